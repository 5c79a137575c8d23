package gateway

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonridge.example/tarragonridge/internal/core/backlog"
	"tarragonridge.example/tarragonridge/internal/netcount"
)

// maxLinger bounds how long a backlog is written after its connection was closed, if no
// write deadline is set.
const maxLinger = 5 * time.Second

// callerListener accepts connections whose callers may read slowly.
type callerListener struct {
	net.Listener
	gateway *Gateway
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted, _ := c.(*netcount.Conn)
	tcp, ok := c.(*net.TCPConn)
	if counted != nil {
		tcp, ok = counted.TCP(), true
	}
	if !ok {
		return c, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c, nil // an error would end the server
	}
	conn := newCallerConn(c, tcp, counted, raw, l.gateway.backlogs, l.gateway.opt.Metrics)
	conn.conns = &l.gateway.callers
	conn.conns.add(conn)
	return conn, nil
}

// callerConn is a connection to a caller. Write does not wait for a caller that reads
// slowly until the backlog is full: what the connection does not take at once, a goroutine
// writes. Callers that keep up cost neither a goroutine nor a copy.
type callerConn struct {
	net.Conn // counted if the bytes are counted, else tcp
	tcp      *net.TCPConn
	counted  *netcount.Conn
	raw      syscall.RawConn
	metrics  *Metrics
	conns    *callerConns // that it is one of; nil if it is not listed
	state    atomic.Int32

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

	tryNow func(fd uintptr) bool // tries to write trying; kept to save allocations
	trying []byte
	tried  int
	tryErr error
}

func newCallerConn(conn net.Conn, tcp *net.TCPConn, counted *netcount.Conn, raw syscall.RawConn, pool *backlog.Pool, m *Metrics) *callerConn {
	c := &callerConn{Conn: conn, tcp: tcp, counted: counted, raw: raw, metrics: m, backlog: backlog.New(pool)}
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

// try writes as much as the connection takes at once. c.mu is held.
func (c *callerConn) try(p []byte) (int, error) {
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
func (c *callerConn) Write(p []byte) (n int, err error) {
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
			c.metrics.slowCallers.Inc()
			go c.writeBacklog()
		case done == 0 && c.writing:
			c.metrics.heldUp.Inc()
			c.changed.Wait()
		case done == 0:
			c.metrics.heldUp.Inc()
			done = c.write(p)
			n, p = n+done, p[done:]
		}
	}
	return n, c.err
}

// write waits until the connection has taken the bytes, or the write deadline. It returns
// how many it has taken, and sets c.err. c.mu is held, but not meanwhile.
func (c *callerConn) write(p []byte) int {
	err := c.tcp.SetWriteDeadline(c.deadline)
	n := 0
	if err == nil {
		c.mu.Unlock()
		n, err = c.Conn.Write(p)
		c.mu.Lock()
	}
	c.written += int64(n)
	if err == nil {
		err = c.tcp.SetWriteDeadline(time.Time{})
	}
	c.err = err
	return n
}

// writeBacklog writes the backlog until it is empty or a write fails.
func (c *callerConn) writeBacklog() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && c.backlog.Len() > 0 {
		n := c.write(c.backlog.Next())
		c.backlog.Written(n)
		c.changed.Broadcast()
	}
	c.backlog.Drop()
	c.writing = false
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
func (c *callerConn) closeNow(do func() error) {
	if err := do(); err != nil && c.err == nil {
		c.err = err
	}
}

// end closes the connection. If a write has failed, the connection is reset: its end may be
// all that ends an answer, which must not look complete. c.mu is held.
func (c *callerConn) end() error {
	if c.conns != nil {
		c.conns.remove(c)
	}
	if c.err == nil {
		return c.Conn.Close()
	}
	return errors.Join(c.tcp.SetLinger(lingerReset), c.Conn.Close())
}

// awaitWritten waits until the backlog is written, and returns the error of the
// connection, if there is one.
func (c *callerConn) awaitWritten() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing {
		c.changed.Wait()
	}
	return c.err
}

// idle reports whether the connection has taken all that was written.
func (c *callerConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && c.err == nil
}

// progress returns the bytes that the connection has taken, and those of the backlog.
func (c *callerConn) progress() (written int64, held int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written, c.backlog.Len()
}

// SetWriteDeadline implements net.Conn. A deadline that is removed stays in force for a
// backlog.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
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
func (c *callerConn) Close() error {
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
func (c *callerConn) CloseWrite() error {
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
func (c *callerConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// SetLinger makes the end of the connection a reset with lingerReset, a plain one with
// lingerDefault.
func (c *callerConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }
