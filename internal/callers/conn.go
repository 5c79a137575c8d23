package callers

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonridge.example/tarragonridge/internal/core/backlog"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/netcount"
)

// Values of SO_LINGER: every end of the connection is a reset, or a plain one.
const (
	LingerReset   = 0
	LingerDefault = -1
)

const (
	// maxLinger bounds how long a backlog is written after its connection was closed, if no
	// write deadline is set.
	maxLinger = 5 * time.Second
	// maxPiece is the most that is written at once while the caller reads slowly, so that
	// its progress is seen.
	maxPiece = 16 << 10
)

// Conn is a connection to a caller. Write does not wait for a caller that reads slowly until
// the backlog is full: what the connection does not take at once, a goroutine writes.
// Callers that keep up cost neither a goroutine nor a copy.
type Conn struct {
	net.Conn // counted if the bytes are counted, else tcp
	tcp      *net.TCPConn
	counted  *netcount.Conn
	raw      syscall.RawConn
	pool     *Pool
	state    atomic.Int32
	since    atomic.Int64 // since when the connection does what it does; from the start of the pool
	served   atomic.Bool
	// progressAt is when the caller last took a part of what waits to be written, from the
	// start of the pool; 0 if nothing waits.
	progressAt atomic.Int64
	ended      chan struct{} // closed by mark

	// Of the pool, whose lock guards them.
	held   int64 // bytes
	unread int64 // bytes that the kernel holds, as last measured
	marked bool  // closed for others
	limit  Limit // that closed it
	// answerable says that a caller whose connection is closed for others gets an answer, and
	// answering that one is on its way, which must not look complete.
	answerable, answering bool

	head headReader

	mu            sync.Mutex
	changed       sync.Cond // the backlog shrank, or err is set
	backlog       backlog.Backlog
	writing       bool  // a goroutine writes the backlog
	written       int64 // bytes that the connection has taken
	err           error // of a write
	deadline      time.Time
	deadlineEnds  bool // when the backlog is written
	closing       bool // when the backlog is written
	closingWrites bool // likewise
	waits         bool // a write waits for the caller

	tryNow func(fd uintptr) bool // tries to write trying; kept to save allocations
	trying []byte
	tried  int
	tryErr error
}

// newConn returns a connection of the pool. counted is nil if its bytes are not counted.
func (p *Pool) newConn(conn net.Conn, tcp *net.TCPConn, counted *netcount.Conn, raw syscall.RawConn) *Conn {
	c := &Conn{Conn: conn, tcp: tcp, counted: counted, raw: raw, pool: p, backlog: backlog.New(p.opt.Backlogs), ended: make(chan struct{})}
	c.since.Store(int64(time.Since(p.start)))
	c.changed.L = &c.mu
	c.tryNow = func(fd uintptr) bool {
		for {
			if c.tried, c.tryErr = unix.Write(int(fd), c.trying); !errors.Is(c.tryErr, unix.EINTR) {
				return true
			}
		}
	}
	return c
}

// Counted returns the connection with its count of bytes, nil if they are not counted.
func (c *Conn) Counted() *netcount.Conn { return c.counted }

// try writes as much as the connection takes at once. c.mu is held.
func (c *Conn) try(p []byte) (int, error) {
	c.trying, c.tried, c.tryErr = p, 0, nil
	err := c.raw.Write(c.tryNow)
	c.trying = nil
	switch {
	case err != nil:
		return 0, err
	case errors.Is(c.tryErr, unix.EAGAIN):
		return 0, nil
	case c.tryErr != nil:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.tryErr}
	}
	if c.counted != nil {
		c.counted.CountSent(c.tried)
	}
	return c.tried, nil
}

// Write implements net.Conn. It waits only while there is no room for a backlog.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 {
		if c.err != nil {
			return n, c.err
		}
		var done int
		if !c.writing {
			done, c.err = c.try(p)
			c.written += int64(done)
			n, p = n+done, p[done:]
			if len(p) == 0 || c.err != nil {
				return n, c.err
			}
		}
		done = c.backlog.Add(p)
		n, p = n+done, p[done:]
		switch {
		case done > 0 && !c.writing:
			c.writing = true
			c.pool.opt.Slow.Inc()
			c.noteProgress()
			go c.writeBacklog()
		case done == 0 && c.writing:
			c.pool.opt.HeldUp.Inc()
			c.changed.Wait()
		case done == 0:
			c.pool.opt.HeldUp.Inc()
			c.noteProgress()
			done = c.write(p[:min(len(p), maxPiece)])
			c.progressAt.Store(0)
			n, p = n+done, p[done:]
		}
	}
	return n, c.err
}

// noteProgress notes that the caller has taken something, or that something begins to wait.
func (c *Conn) noteProgress() { c.progressAt.Store(max(int64(time.Since(c.pool.start)), 1)) }

// write waits until the connection has taken the bytes, or the write deadline. It returns
// how many it has taken, and sets c.err. c.mu is held, but not meanwhile.
func (c *Conn) write(p []byte) int {
	err := c.tcp.SetWriteDeadline(c.deadline)
	n := 0
	if err == nil {
		c.waits = true
		c.mu.Unlock()
		n, err = c.Conn.Write(p)
		c.mu.Lock()
		c.waits = false
	}
	c.written += int64(n)
	if err == nil {
		err = c.tcp.SetWriteDeadline(time.Time{})
	}
	if c.err == nil {
		c.err = err
	}
	return n
}

// writeBacklog writes the backlog until it is empty or a write fails.
func (c *Conn) writeBacklog() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && c.backlog.Len() > 0 {
		n := c.write(c.backlog.Next())
		c.backlog.Written(n)
		c.noteProgress()
		c.changed.Broadcast()
	}
	c.backlog.Drop()
	c.writing = false
	c.progressAt.Store(0)
	if c.deadlineEnds {
		c.deadline, c.deadlineEnds = time.Time{}, false
	}
	c.changed.Broadcast()
	switch {
	case c.closing || c.closingWrites && c.err != nil:
		c.closeNow(c.end)
	case c.closingWrites:
		c.closeNow(c.tcp.CloseWrite)
	}
}

// closeNow closes the connection after its last byte, when nobody waits for the result.
func (c *Conn) closeNow(do func() error) {
	if err := do(); err != nil && c.err == nil {
		c.err = err
	}
}

// end closes the connection. If a write has failed, the connection is reset: its end may be
// all that ends an answer, which must not look complete. c.mu is held.
func (c *Conn) end() error {
	if c.err == nil {
		return c.Conn.Close()
	}
	return errors.Join(c.tcp.SetLinger(LingerReset), c.Conn.Close())
}

// AwaitWritten waits until the backlog is written, and returns the error of the
// connection, if there is one.
func (c *Conn) AwaitWritten() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing {
		c.changed.Wait()
	}
	return c.err
}

// Written reports whether the connection has taken all that was written.
func (c *Conn) Written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && c.err == nil
}

// Progress returns the bytes that the connection has taken, and those of the backlog.
func (c *Conn) Progress() (written int64, held int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written, c.backlog.Len()
}

// SetWriteDeadline implements net.Conn. A deadline that is removed stays in force for a
// backlog.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		if c.deadlineEnds = t.IsZero(); c.deadlineEnds {
			return nil
		}
		if err := c.tcp.SetWriteDeadline(t); err != nil {
			return err
		}
	}
	c.deadline = t
	return nil
}

// Close implements net.Conn. The backlog is written first.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing {
		return c.end()
	}
	c.closing = true
	if c.deadline.IsZero() {
		c.deadline = time.Now().Add(maxLinger)
		return c.tcp.SetWriteDeadline(c.deadline)
	}
	return nil
}

// CloseWrite closes the connection for writes. The backlog is written first.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		c.closingWrites = true
		return nil
	}
	if c.err != nil {
		return c.end()
	}
	return c.tcp.CloseWrite()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// SetLinger sets SO_LINGER to LingerReset or LingerDefault.
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// holding returns what the connection holds. The lock of the pool is held.
func (c *Conn) holding(now time.Time) intake.Holding {
	h := intake.Holding{Since: c.pool.start.Add(time.Duration(c.since.Load())), Bytes: c.held + c.unread, Served: c.served.Load()}
	switch c.state.Load() {
	case connQuiet:
		h.State = intake.Quiet
	case connPartial, connReceiving, connRest:
		h.State = intake.Receiving
	case connWhole:
		h.State = intake.Whole
		if at := c.stalledSince(); !at.IsZero() && now.Sub(at) >= stalledAfter {
			h.State, h.Since = intake.Stalled, at
		}
	default:
		h.State = intake.Ending
	}
	return h
}

// stalledSince returns since when the caller takes nothing of its answer or has sent on,
// the zero time if it does neither. The lock of the pool is held.
func (c *Conn) stalledSince() time.Time {
	if at := c.progressAt.Load(); at != 0 {
		return c.pool.start.Add(time.Duration(at))
	}
	if c.unread > unreadTolerance {
		return c.pool.start.Add(time.Duration(c.since.Load()))
	}
	return time.Time{}
}

// mark makes the connection read and answer nothing more. It reports false if that has
// happened before, or a request has come in whole meanwhile. The lock of the pool is held,
// unless the connection is not one of its own yet.
func (c *Conn) mark(limit Limit) bool {
	for {
		state := c.state.Load()
		if state == connEnded || state == connWhole && c.stalledSince().IsZero() {
			return false
		}
		if c.state.CompareAndSwap(state, connEnded) {
			if state == connWhole {
				c.pool.whole.Add(-1)
			}
			c.marked, c.limit = true, limit
			c.answerable = state == connPartial || state == connReceiving
			c.answering = state == connWhole || state == connRest
			close(c.ended)
			return true
		}
	}
}

// shut ends a connection that was marked. A caller whose request was read in part gets an
// answer, if the connection takes it at once.
func (c *Conn) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answerable && !c.waits {
		_, _ = c.try(refusalOfPart) // the caller may have left
	}
	if c.err == nil {
		c.err = net.ErrClosed
	}
	if c.answering {
		_ = c.tcp.SetLinger(LingerReset) // fails only if the connection is closed
	}
	_ = c.Conn.Close()
	c.changed.Broadcast()
}
