package router

import (
	"slices"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// processState is what this router knows about another process of the system.
type processState struct {
	configVersion int64     // highest version that the process has shown; 0 if none
	lastSeen      time.Time // last message, or last scan that found its registration
}

// processTTL is how long a process counts as live after its last message or the
// last scan that found its registration.
const processTTL = 30 * time.Second

// processName returns the name of a process in answers to operators.
func processName(h wire.Hello) string {
	if h.Role == "sidecar" {
		return sidecarName(h.Target)
	}
	return routerName(h.Incarnation)
}

func sidecarName(target string) string     { return "sidecar/" + target }
func routerName(incarnation string) string { return "router/" + incarnation }

// recordConfigVersion records the configuration version that a process has
// shown.
func (r *Router) recordConfigVersion(peer wire.Hello, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := processName(peer)
	c := r.processes[name]
	c.configVersion = max(c.configVersion, version)
	c.lastSeen = time.Now()
	r.processes[name] = c
}

// recordRegistered records that a process is registered as live, so that it
// counts as pending even before it has shown a version to this router.
func (r *Router) recordRegistered(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.processes[name]
	c.lastSeen = time.Now()
	r.processes[name] = c
}

// forgetProcess removes a process whose registration has ended.
func (r *Router) forgetProcess(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.processes, name)
}

// pushConfigToAll pushes the current configuration to all connected processes.
// The push is best effort: a process that misses it learns the version from the
// next message or from its own poll of the table.
func (r *Router) pushConfigToAll() {
	for _, c := range r.peers.dialedConns() {
		go r.pushConfig(c)
	}
	for _, t := range r.sched.targetsWhere(func(t *target) bool { return t.conn != nil }) {
		if c := t.link.Conn(); c != nil {
			go r.pushConfig(c)
		}
	}
}

// configPushDelay gives the push of the router that accepted a change time to
// arrive, so that 350 routers do not all push to the same processes.
const configPushDelay = 1 * time.Second

// configAdopted is called when a new configuration version takes effect in this
// process.
func (r *Router) configAdopted(version int64) {
	time.AfterFunc(configPushDelay, func() { r.pingUnconfirmed(version) })
}

// pingUnconfirmed pings the sidecars that have not shown the version yet. A
// sidecar whose reply shows an older version is sent the configuration.
// Otherwise, a sidecar that missed the push of the accepting router would wait
// for the next ping of an idle connection, which together with the poll of the
// table exceeds 5 s.
func (r *Router) pingUnconfirmed(version int64) {
	r.raiseExpectedVersion(version)
	for _, t := range r.sched.targetsWhere(func(t *target) bool { return t.conn != nil }) {
		c := t.link.Conn()
		if c != nil && !r.hasVersion(c.Peer(), version) {
			go c.RequestPing()
		}
	}
}

// raiseExpectedVersion raises expectedVersion to version. It never lowers it.
func (r *Router) raiseExpectedVersion(version int64) {
	for {
		old := r.expectedVersion.Load()
		if version <= old || r.expectedVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// hasVersion reports whether a process has shown the version or a later one.
func (r *Router) hasVersion(peer wire.Hello, version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[processName(peer)].configVersion >= version
}

// pushConfigIfBehind pushes the configuration to a process that shows a version
// older than the one that took effect here at least configPushDelay ago. The
// push of the accepting router should have reached it by then.
func (r *Router) pushConfigIfBehind(c *rpc.Conn, version int64) {
	if version < r.expectedVersion.Load() {
		go r.pushConfig(c)
	}
}

// confirmations returns the names of the live processes that have shown the
// version or a later one, and of those that have not.
func (r *Router) confirmations(version int64) (confirmed, pending []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, c := range r.processes {
		switch {
		case time.Since(c.lastSeen) > processTTL:
			delete(r.processes, name)
		case c.configVersion >= version:
			confirmed = append(confirmed, name)
		default:
			pending = append(pending, name)
		}
	}
	confirmed = append(confirmed, routerName(r.escrow.Incarnation()))
	slices.SortFunc(confirmed, strings.Compare)
	slices.SortFunc(pending, strings.Compare)
	return confirmed, pending
}
