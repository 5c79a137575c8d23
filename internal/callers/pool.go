// Package callers holds the connections of callers: it owns the memory and the descriptors
// that they may take together, passes a request's head on once it is whole, and writes to
// callers that read slowly. internal/core/intake decides which connections are closed when
// there is too little for all.
package callers

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tarragonridge.example/tarragonridge/internal/core/backlog"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/listen"
	"tarragonridge.example/tarragonridge/internal/logqueue"
)

// RequestLimits are the limits on what a caller sends.
type RequestLimits struct {
	HeaderBytes   int64         // of a request's head
	HeaderTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout   time.Duration // without a request
}

// Options configures a Pool.
type Options struct {
	Listener string // its name in log lines and metrics
	// MemoryBytes bounds what the connections hold together; 0 means no limit.
	MemoryBytes int64
	// Connections returns how many may be open, and Whole how many requests may be in
	// progress; nil and 0 mean no limit.
	Connections, Whole func() int
	// Requests returns the limits that are in force.
	Requests func() RequestLimits
	// BodyTimeout bounds the time in which the body of a request must come, after its head.
	// Handlers may set another deadline. 0 means no limit.
	BodyTimeout time.Duration
	// Backlogs bounds what is held for callers that read slowly; nil makes writes wait for
	// them.
	Backlogs *backlog.Pool
	Logger   *slog.Logger
	// Slow counts the times that a backlog begins, and HeldUp those that a write waits for
	// the caller; nil if nobody wants to know.
	Slow, HeldUp prometheus.Counter
}

const (
	// roomTimeout bounds how long a connection waits for memory that others give back.
	roomTimeout = 2 * time.Second
	// closePause is the pause after a connection that was closed for a new one, so that
	// those who come again at once do not use up the processor.
	closePause = 500 * time.Microsecond
	// endingDivisor gives the part of the memory that closed connections may still hold
	// while new ones are accepted, which otherwise pauses, for maxAcceptPause at most.
	endingDivisor  = 8
	maxAcceptPause = 50 * time.Millisecond
	// pressedTime is how long after a connection was closed for others the pool counts as
	// pressed.
	pressedTime = time.Second
	// stalledAfter is how long a caller may leave its answer unread, or send on, before
	// its connection may be closed for others.
	stalledAfter = 2 * time.Second
	// unreadInterval is the time between two measurements of what the kernel holds. One is due
	// earlier if new connections may hold the unreadDivisor-th part of the memory.
	unreadInterval = 500 * time.Millisecond
	unreadDivisor  = 8
	// unreadTolerance is what a caller may send on while its request is in progress.
	unreadTolerance = 4 << 10
)

// Pool is the connections of the callers at one listener, and what they hold. Create one
// with NewPool.
type Pool struct {
	opt     Options
	limits  intake.Limits
	start   time.Time
	metrics *metrics
	log     closeLog

	whole atomic.Int64 // connections whose request is in progress

	mu       sync.Mutex
	open     map[*Conn]struct{}
	held     int64 // bytes, of all connections
	ending   int64 // bytes that closed connections have not given back yet
	unread   int64 // bytes that the kernel holds of all connections, as last measured
	unreadAt time.Time
	unseen   int           // connections that are new since then
	freed    chan struct{} // closed and replaced when bytes are given back and somebody waits
	waiting  int           // goroutines that wait for freed
	closedAt time.Time     // when a connection was last closed for others
	// The results of list, kept to save allocations.
	listed   []*Conn
	holdings []intake.Holding
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	if o.Backlogs == nil {
		o.Backlogs = backlog.NewPool(0)
	}
	p := &Pool{opt: o, limits: intake.Limits{Bytes: o.MemoryBytes}, start: time.Now(), open: map[*Conn]struct{}{}, freed: make(chan struct{}), metrics: newMetrics(o.Listener)}
	if p.opt.Slow == nil {
		p.opt.Slow = prometheus.NewCounter(prometheus.CounterOpts{Name: "slow"})
	}
	if p.opt.HeldUp == nil {
		p.opt.HeldUp = prometheus.NewCounter(prometheus.CounterOpts{Name: "held_up"})
	}
	if o.MemoryBytes > 0 {
		o.Backlogs.BoundBy(p.room)
	}
	p.log = closeLog{logger: o.Logger, listener: o.Listener, limit: logqueue.Limit{PerSecond: closeLinesPerS, Burst: closeLinesBurst}}
	return p
}

// Limit is the limit by which a connection was closed or a request refused.
type Limit string

// Limits.
const (
	limitMemory      Limit = "memory"
	limitDescriptors Limit = "descriptors"
	limitHeadBytes   Limit = "header_bytes"
	limitHeadTime    Limit = "header_timeout"
	limitIdle        Limit = "idle_timeout"
)

// errNoRoom is the error of a request for which there is too little of a resource.
func errNoRoom(resource string) *errkind.Error {
	err := errkind.New(errkind.NoRoom, "%s for callers of this host", resource)
	err.RetryAfter = retryAfter
	return err
}

// used returns the bytes that all connections hold. p.mu is held.
func (p *Pool) used() int64 { return p.held + p.unread + p.opt.Backlogs.Held() }

// room returns how many bytes more may be held.
func (p *Pool) room() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opt.MemoryBytes - p.used()
}

// list returns the connections and what they hold, until release is called. p.mu is held.
func (p *Pool) list(now time.Time) ([]*Conn, []intake.Holding) {
	p.listed, p.holdings = p.listed[:0], p.holdings[:0]
	for c := range p.open {
		p.listed, p.holdings = append(p.listed, c), append(p.holdings, c.holding(now))
	}
	return p.listed, p.holdings
}

// release forgets the connections that were listed. p.mu is held.
func (p *Pool) release() { clear(p.listed) }

// await waits until bytes are given back, at most for a time, or until ended is closed.
func (p *Pool) await(freed <-chan struct{}, timeout <-chan time.Time, ended <-chan struct{}) (inTime bool) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
	}()
	select {
	case <-freed:
	case <-ended:
	case <-timeout:
		return false
	}
	return true
}

// add admits a new connection. It closes another one where the limits demand it, and
// reports false if there is none that may be closed.
func (p *Pool) add(c *Conn) bool {
	most := 0
	if p.opt.Connections != nil {
		most = p.opt.Connections()
	}
	p.mu.Lock()
	now := time.Now()
	p.measureUnread(now)
	var victims []*Conn
	if most > 0 && len(p.open) >= most {
		conns, holdings := p.list(now)
		if countOpen(holdings) >= most {
			i, ok := intake.ForConnection(now, holdings)
			if !ok {
				p.release()
				p.mu.Unlock()
				p.refuse(c, limitDescriptors)
				return false
			}
			victims = p.close(victims, limitDescriptors, conns[i])
		}
		p.release()
	}
	victims, ok := p.makeRoom(now, victims, c, intake.ConnectionBytes)
	if ok {
		p.open[c] = struct{}{}
		p.unseen++
		p.hold(c, intake.ConnectionBytes)
	}
	freed, behind := p.freed, ok && p.opt.MemoryBytes > 0 && p.ending > p.opt.MemoryBytes/endingDivisor
	if behind {
		p.waiting++
	}
	p.mu.Unlock()
	p.finish(victims)
	switch {
	case !ok:
		p.refuse(c, limitMemory)
	case behind:
		p.await(freed, time.After(maxAcceptPause), nil)
	case len(victims) > 0:
		time.Sleep(closePause)
	}
	return ok
}

// countOpen returns the number of connections that are not ending.
func countOpen(holdings []intake.Holding) (n int) {
	for _, h := range holdings {
		if h.State != intake.Ending {
			n++
		}
	}
	return n
}

// makeRoom marks connections as closed so that a connection may take more bytes, which may
// become free only later. It reports false if there are not enough. p.mu is held.
func (p *Pool) makeRoom(now time.Time, victims []*Conn, c *Conn, more int64) ([]*Conn, bool) {
	need := p.limits.Excess(p.used()-p.ending, c.held, more)
	if need == 0 {
		return victims, true
	}
	conns, holdings := p.list(now)
	defer p.release()
	closed, ok := intake.ForBytes(now, holdings, need)
	if !ok {
		return victims, false
	}
	for _, i := range closed {
		if next := p.close(victims, limitMemory, conns[i]); len(next) > len(victims) {
			victims = next
			need -= holdings[i].Bytes
		}
	}
	return victims, need <= 0
}

// close marks a connection as closed, and adds it to those that are to be ended. p.mu is
// held.
func (p *Pool) close(victims []*Conn, limit Limit, c *Conn) []*Conn {
	if !c.mark(limit) {
		return victims
	}
	p.ending += c.held
	p.closedAt = time.Now()
	return append(victims, c)
}

// finish ends connections that were marked as closed.
func (p *Pool) finish(victims []*Conn) {
	for _, c := range victims {
		p.noteClosed(c, c.limit)
		c.shut()
	}
}

// noteClosed counts and logs a connection that is closed by a limit.
func (p *Pool) noteClosed(c *Conn, limit Limit) {
	p.metrics.closed.WithLabelValues(string(limit)).Inc()
	p.log.closed(time.Now(), c, limit)
}

// refuse ends a new connection.
func (p *Pool) refuse(c *Conn, limit Limit) {
	c.mark(limit)
	p.metrics.refused.WithLabelValues(string(limit)).Inc()
	p.log.closed(time.Now(), c, limit)
	c.shut()
}

// pressed reports whether a connection was closed for others lately.
func (p *Pool) pressed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closedAt.IsZero() && time.Since(p.closedAt) < pressedTime
}

// hold counts bytes that a connection takes, or gives back if they are negative. p.mu is
// held.
func (p *Pool) hold(c *Conn, bytes int64) {
	c.held += bytes
	p.held += bytes
	if c.state.Load() == connEnded && c.marked {
		p.ending += bytes
	}
	if bytes < 0 && p.waiting > 0 {
		close(p.freed)
		p.freed = make(chan struct{})
	}
}

// take lets a connection hold more bytes, once others have given back enough. It fails if
// there is no room, or the connection is closed for others.
func (p *Pool) take(c *Conn, bytes int64) error {
	var timeout <-chan time.Time
	for {
		p.mu.Lock()
		if c.state.Load() == connEnded {
			p.mu.Unlock()
			return errEnded
		}
		now := time.Now()
		if p.limits.Excess(p.used(), c.held, bytes) == 0 {
			p.hold(c, bytes)
			p.mu.Unlock()
			return nil
		}
		p.measureUnread(now)
		victims, ok := p.makeRoom(now, nil, c, bytes)
		freed, wait := p.freed, ok && !slices.Contains(victims, c)
		if wait {
			p.waiting++
		}
		p.mu.Unlock()
		p.finish(victims)
		switch {
		case !ok:
			p.metrics.refused.WithLabelValues(string(limitMemory)).Inc()
			return errNoRoom("memory")
		case !wait:
			return errEnded
		}
		if timeout == nil {
			timer := time.NewTimer(roomTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		if !p.await(freed, timeout, c.ended) {
			p.metrics.refused.WithLabelValues(string(limitMemory)).Inc()
			return errNoRoom("memory")
		}
	}
}

// tryTake lets a connection hold more bytes if there is room, or there will be soon because
// others were closed.
func (p *Pool) tryTake(c *Conn, bytes int64) bool {
	p.mu.Lock()
	victims, ok := p.makeRoom(time.Now(), nil, c, bytes)
	if ok {
		p.hold(c, bytes)
	}
	p.mu.Unlock()
	p.finish(victims)
	return ok
}

// holdRead counts bytes that a connection holds already.
func (p *Pool) holdRead(c *Conn, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold(c, bytes)
}

// give counts bytes that a connection no longer holds.
func (p *Pool) give(c *Conn, bytes int64) {
	if bytes == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold(c, -bytes)
}

// endRequest counts what the request of a connection has held as free, but not what the
// next one holds.
func (p *Pool) endRequest(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rest := intake.ConnectionBytes + c.head.taken; c.held > rest {
		p.hold(c, rest-c.held)
	}
}

// remove forgets a connection whose server is done with it.
func (p *Pool) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.open[c]; !ok {
		return
	}
	p.forgetUnread(c)
	p.hold(c, -c.held)
	delete(p.open, c)
}

// measureUnread measures what the kernel holds of all connections, where that may matter.
// p.mu is held.
func (p *Pool) measureUnread(now time.Time) {
	matters := p.unread > 0 || p.held+int64(len(p.open))*listen.CallerBuffer >= p.opt.MemoryBytes
	due := now.Sub(p.unreadAt) >= unreadInterval || int64(p.unseen)*listen.CallerBuffer >= p.opt.MemoryBytes/unreadDivisor
	if p.opt.MemoryBytes <= 0 || !matters || !due {
		return
	}
	p.unreadAt, p.unseen = now, 0
	for c := range p.open {
		p.forgetUnread(c)
		if c.state.Load() != connEnded {
			c.unread = unreadBytes(c.raw)
			p.unread += c.unread
		}
	}
}

// forgetUnread counts what the kernel held of a connection as read. p.mu is held.
func (p *Pool) forgetUnread(c *Conn) {
	p.unread -= c.unread
	c.unread = 0
}

// all returns the open connections.
func (p *Pool) all() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.open))
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// Configure sets what a server needs for the connections of the pool. Their heads come whole
// or not at all, and the pool bounds them and their times.
func (p *Pool) Configure(server *http.Server) {
	server.ConnContext = withConn
	server.ConnState = observeConn
	server.MaxHeaderBytes = maxHeaderBytes
	server.ReadTimeout, server.ReadHeaderTimeout, server.IdleTimeout = 0, 0, 0
}

// maxHeaderBytes bounds the header limit that is in force.
const maxHeaderBytes = 1 << 20
