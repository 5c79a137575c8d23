package gateway

import (
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State of a caller's connection. That of net/http does not tell a connection on which a
// part of a head was read from one that is idle.
const (
	connQuiet   int32 = iota // nothing was read since the last answer
	connPartial              // bytes of a request were read
	connServing              // the request is in progress
	connEnded                // no further request is read
)

// callerConns are the open connections to callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func (cs *callerConns) add(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open == nil {
		cs.open = map[*callerConn]struct{}{}
	}
	cs.open[c] = struct{}{}
}

func (cs *callerConns) remove(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, c)
}

func (cs *callerConns) all() []*callerConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Collect(maps.Keys(cs.open))
}

// closeQuiet closes the connections that have no request, and returns the number of the
// others.
func (cs *callerConns) closeQuiet() (left int) {
	for _, c := range cs.all() {
		if !c.closeIfQuiet() {
			left++
		}
	}
	return left
}

// endReads ends the reads from all connections. Those of which a part of a head was read get
// the answer.
func (cs *callerConns) endReads(answer []byte) {
	for _, c := range cs.all() {
		if c.state.CompareAndSwap(connPartial, connEnded) {
			err := c.SetWriteDeadline(time.Now().Add(cutOffWait))
			if err == nil {
				_, err = c.Write(answer)
			}
			_ = errors.Join(err, c.Close()) // the caller may have left
			continue
		}
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
}

// observeCallerConn notes that a connection waits for its next request.
func observeCallerConn(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle && !c.state.CompareAndSwap(connServing, connQuiet) {
		c.state.CompareAndSwap(connPartial, connQuiet) // the server has answered by itself
	}
}

// Read implements net.Conn. What arrives when the connection has ended counts as not read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(connQuiet, connPartial) && c.state.Load() == connEnded {
		return 0, net.ErrClosed
	}
	return n, err
}

// beginRequest notes that a request is in progress. It reports false if the connection has
// ended.
func (c *callerConn) beginRequest() bool {
	return c.state.CompareAndSwap(connPartial, connServing) || c.state.CompareAndSwap(connQuiet, connServing)
}

// closeIfQuiet closes the connection if it has no request and its answers are written, and
// reports whether it did.
func (c *callerConn) closeIfQuiet() bool {
	if n, err := peek(c.raw); n > 0 && err == nil || !c.idle() || !c.state.CompareAndSwap(connQuiet, connEnded) {
		return false
	}
	_ = c.Close() // the caller may have left
	return true
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
