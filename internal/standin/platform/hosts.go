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
	mu           sync.Mutex
	lag          time.Duration
	latestHosts  map[string]platform.Host // by name, with all edits applied
	visibleHosts []platform.Host          // what readers see
	pendingLists []pendingHostList        // ordered by visibleAt
}

// pendingHostList is the result of an edit that readers do not see yet.
type pendingHostList struct {
	visibleAt time.Time
	hosts     []platform.Host
}

func newHostList(hosts []platform.Host, lag time.Duration) *hostList {
	list := &hostList{lag: lag, latestHosts: map[string]platform.Host{}}
	for _, host := range hosts {
		list.latestHosts[host.Host] = host
	}
	list.visibleHosts = list.sorted()
	return list
}

func (l *hostList) applyEdit(e HostEdit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.LagMS != nil {
		l.lag = time.Duration(*e.LagMS) * time.Millisecond
	}
	for _, host := range e.Set {
		l.latestHosts[host.Host] = host
	}
	for _, name := range e.Remove {
		delete(l.latestHosts, name)
	}
	visibleAt := now.Add(l.lag)
	if n := len(l.pendingLists); n > 0 && l.pendingLists[n-1].visibleAt.After(visibleAt) {
		visibleAt = l.pendingLists[n-1].visibleAt // edits become visible in the order in which they were made
	}
	l.pendingLists = append(l.pendingLists, pendingHostList{visibleAt: visibleAt, hosts: l.sorted()})
}

func (l *hostList) list(now time.Time) []platform.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pendingLists) > 0 && !l.pendingLists[0].visibleAt.After(now) {
		l.visibleHosts = l.pendingLists[0].hosts
		l.pendingLists = l.pendingLists[1:]
	}
	return l.visibleHosts
}

func (l *hostList) sorted() []platform.Host {
	out := make([]platform.Host, 0, len(l.latestHosts))
	for _, host := range l.latestHosts {
		out = append(out, host)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}
