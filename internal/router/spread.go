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
	state := r.processes[name]
	state.configVersion = max(state.configVersion, version)
	state.lastSeen = time.Now()
	r.processes[name] = state
}

// recordRegistered records that a process is registered as live, so that it
// counts as pending even before it has shown a version to this router.
func (r *Router) recordRegistered(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.processes[name]
	state.lastSeen = time.Now()
	r.processes[name] = state
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

// onConfigAdopted is called when a new configuration version takes effect in
// this process.
func (r *Router) onConfigAdopted(version int64) {
	time.AfterFunc(configPushDelay, func() { r.pingUnconfirmed(version) })
}

// pingUnconfirmed pings the sidecars that have not shown the version yet. A
// sidecar whose reply shows an older version is sent the configuration. Without
// these pings, a sidecar that missed the push of the router that accepted the
// change would wait for the next ping of an idle connection, which together with
// the poll of the table exceeds 5 s.
func (r *Router) pingUnconfirmed(version int64) {
	r.raiseExpectedConfigVersion(version)
	for _, t := range r.sched.targetsWhere(func(t *target) bool { return t.conn != nil }) {
		c := t.link.Conn()
		if c != nil && !r.hasConfigVersion(c.Peer(), version) {
			go c.RequestPing()
		}
	}
}

// raiseExpectedConfigVersion raises expectedConfigVersion to version. It never
// lowers it.
func (r *Router) raiseExpectedConfigVersion(version int64) {
	for {
		old := r.expectedConfigVersion.Load()
		if version <= old || r.expectedConfigVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// hasConfigVersion reports whether a process has shown the version or a later
// one.
func (r *Router) hasConfigVersion(peer wire.Hello, version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[processName(peer)].configVersion >= version
}

// pushConfigIfBehind pushes the configuration to a process that shows a version
// older than the one that took effect here at least configPushDelay ago. By then
// the push of the router that accepted the change should have reached the
// process.
func (r *Router) pushConfigIfBehind(c *rpc.Conn, version int64) {
	if version < r.expectedConfigVersion.Load() {
		go r.pushConfig(c)
	}
}

// confirmations returns the names of the live processes that have shown the
// version or a later one, and of those that have not.
func (r *Router) confirmations(version int64) (confirmed, pending []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, state := range r.processes {
		switch {
		case time.Since(state.lastSeen) > processTTL:
			delete(r.processes, name)
		case state.configVersion >= version:
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
