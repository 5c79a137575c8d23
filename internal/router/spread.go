package router

import (
	"slices"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// confirmation is the highest configuration version that a process has shown.
type confirmation struct {
	version int64
	seen    time.Time
}

// confirmKeep is how long a process counts as live after its last sign or its
// last appearance among the registrations.
const confirmKeep = 30 * time.Second

// processName names a process in answers to operators.
func processName(h wire.Hello) string {
	if h.Role == "sidecar" {
		return sidecarName(h.Target)
	}
	return routerName(h.Incarnation)
}

func sidecarName(target string) string     { return "sidecar/" + target }
func routerName(incarnation string) string { return "router/" + incarnation }

// confirm notes that a process has shown a version.
func (r *Router) confirm(peer wire.Hello, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := processName(peer)
	c := r.confirmed[name]
	c.version = max(c.version, version)
	c.seen = time.Now()
	r.confirmed[name] = c
}

// expect notes that a process is registered as live, so that it counts as
// pending before it has shown a version to this router.
func (r *Router) expect(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.confirmed[name]
	c.seen = time.Now()
	r.confirmed[name] = c
}

// expectNoMore forgets a process whose registration has ended.
func (r *Router) expectNoMore(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.confirmed, name)
}

// spreadConfig pushes the current configuration to all connected processes.
// The push is a hint: processes that miss it learn the version from the next
// message or from their own poll.
func (r *Router) spreadConfig() {
	for _, c := range r.peers.conns() {
		go r.pushConfig(c)
	}
	for _, t := range r.sched.list(func(t *target) bool { return t.conn != nil }) {
		if c := t.link.Conn(); c != nil {
			go r.pushConfig(c)
		}
	}
}

// pushDelay leaves the accepting router's own push the time to arrive, so that
// 350 routers do not all push to the same processes.
const pushDelay = 1 * time.Second

// noteAdopted is called when a new configuration version is in force here.
func (r *Router) noteAdopted(version int64) {
	time.AfterFunc(pushDelay, func() { r.askVersions(version) })
}

// askVersions asks the sidecars that have not shown the version for theirs. An
// answer with an older version leads to a push. Without it, a sidecar that the
// accepting router's push missed would wait for the next ping of an idle
// connection, which with the poll of the table exceeds 5 s.
func (r *Router) askVersions(version int64) {
	r.raisePushDue(version)
	for _, t := range r.sched.list(func(t *target) bool { return t.conn != nil }) {
		c := t.link.Conn()
		if c != nil && !r.hasConfirmed(c.Peer(), version) {
			go c.RequestPing()
		}
	}
}

func (r *Router) raisePushDue(version int64) {
	for {
		old := r.pushDue.Load()
		if version <= old || r.pushDue.CompareAndSwap(old, version) {
			return
		}
	}
}

func (r *Router) hasConfirmed(peer wire.Hello, version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed[processName(peer)].version >= version
}

// pushIfBehind pushes the configuration to a process that shows a version older
// than the one in force here pushDelay ago. The accepting router's push should
// have reached it by then.
func (r *Router) pushIfBehind(c *rpc.Conn, version int64) {
	if version < r.pushDue.Load() {
		go r.pushConfig(c)
	}
}

// confirmations returns the live processes that have shown the version or a
// later one, and those that have not.
func (r *Router) confirmations(version int64) (confirmed, pending []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, c := range r.confirmed {
		switch {
		case time.Since(c.seen) > confirmKeep:
			delete(r.confirmed, name)
		case c.version >= version:
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
