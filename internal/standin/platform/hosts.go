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
	Set    []platform.Host `json:"set,omitempty"`    // hosts to add or, if the name is known, to replace
	Remove []string        `json:"remove,omitempty"` // names of hosts to remove
	LagMS  *int64          `json:"lag_ms,omitempty"` // new lag, for this edit and later ones; unchanged if absent
}

// Validate returns an error if the edit is invalid.
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

// hostList is the list of hosts. Readers see an edit only after the lag.
type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	latest  map[string]platform.Host // with all edits, by name
	visible []platform.Host          // what readers see
	pending []pendingHostList        // ordered by visibleAt
}

// pendingHostList is the result of an edit that readers do not see yet.
type pendingHostList struct {
	visibleAt time.Time
	hosts     []platform.Host
}

func newHostList(hosts []platform.Host, lag time.Duration) *hostList {
	list := &hostList{lag: lag, latest: map[string]platform.Host{}}
	for _, host := range hosts {
		list.latest[host.Host] = host
	}
	list.visible = list.sorted()
	return list
}

func (l *hostList) applyEdit(e HostEdit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.LagMS != nil {
		l.lag = time.Duration(*e.LagMS) * time.Millisecond
	}
	for _, host := range e.Set {
		l.latest[host.Host] = host
	}
	for _, name := range e.Remove {
		delete(l.latest, name)
	}
	visibleAt := now.Add(l.lag)
	if n := len(l.pending); n > 0 && l.pending[n-1].visibleAt.After(visibleAt) {
		visibleAt = l.pending[n-1].visibleAt // edits become visible in the order in which they were made
	}
	l.pending = append(l.pending, pendingHostList{visibleAt: visibleAt, hosts: l.sorted()})
}

func (l *hostList) list(now time.Time) []platform.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.visible = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
	return l.visible
}

func (l *hostList) sorted() []platform.Host {
	out := make([]platform.Host, 0, len(l.latest))
	for _, host := range l.latest {
		out = append(out, host)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}
