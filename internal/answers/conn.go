// Package answers reads answers from connections, each checked by internal/core/answer. The
// processes of the system read answers of HTTP through a Conn; tools of operators do not.
package answers

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"tarragonridge.example/tarragonridge/internal/core/answer"
)

// Conn is the client's side of a connection. What the server sends passes only as far as it
// is an answer: Read fails with an *answer.Fault where it is none, or is cut off. An answer
// without a length ends with io.EOF only if the server ended it in order and no write has
// failed. One goroutine may read while another writes.
type Conn struct {
	net.Conn
	writeFailed atomic.Bool

	mu      sync.Mutex
	checker *answer.Checker
	written bool   // a request has begun
	ready   []byte // accepted, for the next Read
	held    []byte // of a line that is not whole
	err     error  // of each Read after ready; nil if there may be more
}

// NewConn returns a connection on which nothing has been read or written.
func NewConn(c net.Conn, limits answer.Limits) *Conn {
	return &Conn{Conn: c, checker: answer.NewChecker(limits)}
}

// Expect states the method of the request whose answer comes next. Without it the method
// is taken from the first write, which must then have the request line, and holds for all
// requests on the connection.
func (c *Conn) Expect(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Expect(method)
	c.written = true
}

// Read implements net.Conn. It passes lines of heads and of chunks only when they are whole.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if n, err := c.readReady(p); n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		n, err := c.Conn.Read(p)
		if accepted := c.accept(p[:n], err); accepted > 0 {
			return accepted, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return 0, err // the caller may read on after a timeout
		}
	}
}

// Unused reports whether nothing came that belongs to no answer, or to one that was not read
// to its end.
func (c *Conn) Unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && len(c.ready)+len(c.held) == 0
}

// readReady reads what was accepted before, and then the error that ends the connection.
func (c *Conn) readReady(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return 0, c.err
	}
	n := copy(p, c.ready)
	if c.ready = c.ready[n:]; len(c.ready) == 0 {
		c.ready = nil
	}
	return n, nil
}

// accept checks what was read, with the error of the read. It returns how many bytes at the
// start of p may be passed on at once; others that may are ready for the next read.
func (c *Conn) accept(p []byte, readErr error) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, fault := c.checker.Feed(p)
	switch {
	case fault != nil:
		c.err = fault
	case errors.Is(readErr, io.EOF):
		c.err = c.end()
	}
	rest := p[accepted:]
	if len(c.held) > 0 && accepted > 0 {
		c.ready = append(c.held, p[:accepted]...)
		c.held, accepted = nil, 0
	}
	if c.err == nil {
		c.held = append(c.held, rest...)
	}
	return accepted
}

// end returns the error of the reads after the server has ended its side. c.mu is held.
func (c *Conn) end() error {
	if fault := c.checker.End(c.checker.EndsWithConnection() && c.endedInOrder()); fault != nil {
		return fault
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.written {
		method, _, _ := bytes.Cut(p, []byte(" "))
		c.checker.Expect(string(method))
		c.written = true
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// endedInOrder reports whether the server ended its side of the connection after all that it
// sent. A reset that another goroutine's write was told of looks like such an end to Read.
func (c *Conn) endedInOrder() bool {
	state, ok := c.state()
	return !c.writeFailed.Load() && !(ok && state == unix.BPF_TCP_CLOSE)
}

// Open reports whether the server has not ended its side, as far as this host has received.
// Bytes that came before may still be unread.
func (c *Conn) Open() bool {
	state, ok := c.state()
	return ok && state == unix.BPF_TCP_ESTABLISHED
}

// state returns the state of the TCP connection, if it is one.
func (c *Conn) state() (state uint8, ok bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state, controlErr == nil && err == nil
}

// errNotTCP reports that a connection has no socket of its own.
var errNotTCP = errors.New("no socket")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn := c.Conn
	if tls, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = tls.NetConn()
	}
	if socket, ok := conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNotTCP
}
