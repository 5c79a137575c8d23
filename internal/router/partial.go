package router

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/timing"
)

// Progress of a caller's connection. That of net/http does not tell a connection on which a
// part of a head was read from one that is idle.
const (
	connIdle int32 = iota
	connPartial
	connActive
	connClosed
)

// partialHeads counts the connections on which a part of a request's head was read.
type partialHeads struct{ open atomic.Int64 }

// listen returns a listener whose connections are counted.
func (p *partialHeads) listen(ln net.Listener) net.Listener { return headListener{ln, p} }

// observe is a http.Server.ConnState.
func (p *partialHeads) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*headConn)
	switch {
	case !ok:
	case state == http.StateActive:
		c.moveTo(connActive)
	case state == http.StateIdle:
		c.moveTo(connIdle)
	}
}

// await waits until there are none, at most until ctx ends.
func (p *partialHeads) await(ctx context.Context) {
	for p.open.Load() > 0 && timing.Sleep(ctx, partialHeadPoll) {
	}
}

// partialHeadPoll is the pause between two checks for partial heads.
const partialHeadPoll = 20 * time.Millisecond

type headListener struct {
	net.Listener
	heads *partialHeads
}

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: c, heads: l.heads}, nil
}

type headConn struct {
	net.Conn
	heads *partialHeads
	state atomic.Int32
}

// moveTo changes the state unless the connection is closed.
func (c *headConn) moveTo(state int32) {
	for {
		old := c.state.Load()
		if old == connClosed || old == state {
			return
		}
		if c.state.CompareAndSwap(old, state) {
			if old == connPartial {
				c.heads.open.Add(-1)
			}
			return
		}
	}
}

// Read implements net.Conn.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.state.CompareAndSwap(connIdle, connPartial) {
		c.heads.open.Add(1)
	}
	return n, err
}

// Close implements net.Conn.
func (c *headConn) Close() error {
	c.moveTo(connClosed)
	return c.Conn.Close()
}

// CloseWrite closes the connection for writes if it can. net/http needs it to end a
// connection whose request it has not read to its end.
func (c *headConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
