package platform

import (
	"sort"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// HostEdit is the body of POST /control/hosts.
type HostEdit struct {
	Set    []platform.Host `json:"set,omitempty"`    // added or replaced by name
	Remove []string        `json:"remove,omitempty"` // names
	LagMS  *int64          `json:"lag_ms,omitempty"` // new delay, for this edit and later ones
}

// Validate checks the edit.
func (e HostEdit) Validate() error {
	for _, host := range e.Set {
		if host.Host == "" {
			return errkind.New(errkind.InvalidRequest, "host without a name")
		}
		if host.State != platform.HostLive && host.State != platform.HostLeaving {
			return errkind.New(errkind.InvalidRequest, "host %s has unknown state %q", host.Host, host.State)
		}
	}
	if e.LagMS != nil && *e.LagMS < 0 {
		return errkind.New(errkind.InvalidRequest, "lag_ms %d is negative", *e.LagMS)
	}
	return nil
}

// hostList is a list whose readers see an edit only after the lag.
type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	actual  map[string]platform.Host
	visible []platform.Host
	pending []hostVersion // ordered by time
}

type hostVersion struct {
	visibleAt time.Time
	hosts     []platform.Host
}

func newHostList(hosts []platform.Host, lag time.Duration) *hostList {
	list := &hostList{lag: lag, actual: map[string]platform.Host{}}
	for _, host := range hosts {
		list.actual[host.Host] = host
	}
	list.visible = list.sorted()
	return list
}

func (l *hostList) edit(e HostEdit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.LagMS != nil {
		l.lag = time.Duration(*e.LagMS) * time.Millisecond
	}
	for _, host := range e.Set {
		l.actual[host.Host] = host
	}
	for _, name := range e.Remove {
		delete(l.actual, name)
	}
	at := now.Add(l.lag)
	if n := len(l.pending); n > 0 && l.pending[n-1].visibleAt.After(at) {
		at = l.pending[n-1].visibleAt // edits become visible in their order
	}
	l.pending = append(l.pending, hostVersion{visibleAt: at, hosts: l.sorted()})
}

func (l *hostList) read(now time.Time) []platform.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.visible = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
	return l.visible
}

func (l *hostList) sorted() []platform.Host {
	out := make([]platform.Host, 0, len(l.actual))
	for _, host := range l.actual {
		out = append(out, host)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}
