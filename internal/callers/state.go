package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// State of a connection. That of net/http does not tell a connection on which a part of a
// head was read from one that is idle.
const (
	connQuiet     int32 = iota // nothing was read since the last answer
	connPartial                // bytes of a request were read
	connReceiving              // the request's head is whole, its body is not
	connRest                   // the request is answered without it, or refused
	connWhole                  // the request is in progress
	connEnded                  // no further request is read
)

// retryAfter is when a caller is told to return whose request found no room.
const retryAfter = time.Second

// refusalAtStop answers a request that was read in part when the process stops.
var refusalAtStop = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// refusalOfPart answers a request that was read in part and for which there is no room.
var refusalOfPart = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + strconv.Itoa(int(retryAfter/time.Second)) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// moveTo changes the state unless the connection has ended, and reports whether it could.
func (c *Conn) moveTo(state int32) bool {
	for {
		old := c.state.Load()
		if old == connEnded {
			return false
		}
		if c.state.CompareAndSwap(old, state) {
			if old == state {
				return true
			}
			c.since.Store(int64(time.Since(c.pool.start)))
			switch connWhole {
			case state:
				c.pool.whole.Add(1)
			case old:
				c.pool.whole.Add(-1)
			}
			return true
		}
	}
}

// Begin notes that the handler of a request has begun. It fails with ErrGone if the connection
// has ended, or if its body is not the one that was seen: it must not be served.
func (c *Conn) Begin(r *http.Request) error {
	state := connReceiving
	if r.ContentLength == 0 {
		state = connWhole
	}
	if r.ContentLength != c.head.length {
		return errkind.New(errkind.InvalidRequest, "it is not clear where the body ends")
	}
	if state == connWhole {
		return c.Received()
	}
	if timeout := c.pool.opt.BodyTimeout; timeout > 0 && c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return ErrGone
	}
	if !c.moveTo(state) {
		return ErrGone
	}
	return nil
}

// Received notes that the request has come in whole. It fails with ErrGone if the connection
// has ended, and if there are too many requests in progress.
func (c *Conn) Received() error {
	p := c.pool
	most := 0
	if p.opt.Whole != nil {
		most = p.opt.Whole()
	}
	switch {
	case c.state.Load() == connWhole:
		return nil
	case most > 0 && p.whole.Load() >= int64(most):
		p.metrics.refused.WithLabelValues(string(limitDescriptors)).Inc()
		c.moveTo(connRest)
		return errNoRoom("descriptors")
	case !c.moveTo(connWhole):
		return ErrGone
	}
	return nil
}

// Answered notes that an answer begins. What is left of the request's body is discarded.
func (c *Conn) Answered() { c.state.CompareAndSwap(connReceiving, connRest) }

// observeConn follows what the server does with a connection.
func observeConn(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		if c.moveTo(connQuiet) {
			c.served.Store(true)
		}
		c.pool.endRequest(c)
		c.head.inRequest = false
	case http.StateClosed, http.StateHijacked:
		if c.state.Swap(connEnded) == connWhole {
			c.pool.whole.Add(-1)
		}
		c.pool.remove(c)
	}
}

// CloseQuiet closes the connections that have no request, and returns the number of the
// others.
func (p *Pool) CloseQuiet() (left int) {
	for _, c := range p.all() {
		if !c.closeIfQuiet() {
			left++
		}
	}
	return left
}

// closeIfQuiet closes the connection if it has no request and its answers are written, and
// reports whether it did, now or before.
func (c *Conn) closeIfQuiet() bool {
	if c.state.Load() == connEnded {
		return c.Written()
	}
	if n, err := peek(c.raw); n > 0 && err == nil || !c.Written() || !c.state.CompareAndSwap(connQuiet, connEnded) {
		return false
	}
	_ = c.Close() // the caller may have left
	return true
}

// PartialHeads returns the number of connections on which a part of a head was read.
func (p *Pool) PartialHeads() (n int) {
	for _, c := range p.all() {
		if c.state.Load() == connPartial {
			n++
		}
	}
	return n
}

// EndReads ends the reads from all connections. Those of which a part of a head was read
// get an answer, for which they have a time.
func (p *Pool) EndReads(timeout time.Duration) {
	for _, c := range p.all() {
		if c.state.CompareAndSwap(connPartial, connEnded) {
			err := c.SetWriteDeadline(time.Now().Add(timeout))
			if err == nil {
				_, err = c.Write(refusalAtStop)
			}
			_ = errors.Join(err, c.Close()) // the caller may have left
			continue
		}
		c.head.stopped.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
}

// ErrGone reports that a caller has left, or that its connection was closed.
var ErrGone = errors.New("the caller has left")

// errEnded is the error of reads from a connection that reads nothing more. The server does
// not answer it.
var errEnded = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request, nil if it came on none of a pool's.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// CheckGone returns ErrGone if the caller of a request has closed its connection. The
// context of its request ends only a moment later, which matters on a host that reads
// requests late: their callers may have left before.
func CheckGone(ctx context.Context) error {
	if ctx.Err() != nil {
		return ErrGone
	}
	c := FromContext(ctx)
	if c == nil {
		return nil
	}
	if n, err := peek(c.raw); n == 0 && err == nil || errors.Is(err, unix.ECONNRESET) || errors.Is(err, net.ErrClosed) {
		return ErrGone
	}
	return nil
}

// peek returns the number of bytes, 1 at most, that a connection has received and that were
// not read. It is 0 without an error if the other side has closed the connection.
func peek(raw syscall.RawConn) (n int, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(controlErr, err)
}

// unreadBytes returns what the kernel has received of a connection and was not read.
func unreadBytes(raw syscall.RawConn) (n int64) {
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			n = int64(unread)
		}
	})
	return n
}
