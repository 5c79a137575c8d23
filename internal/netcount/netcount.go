// Package netcount counts the bytes that pass through connections.
package netcount

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Counter counts bytes. The zero value is ready to use.
type Counter struct {
	in, out atomic.Int64

	mu      sync.Mutex
	lastOut time.Time
}

// In returns the number of bytes received.
func (c *Counter) In() int64 { return c.in.Load() }

// Out returns the number of bytes sent.
func (c *Counter) Out() int64 { return c.out.Load() }

// LastOut returns when bytes were last sent, the zero time if none were.
func (c *Counter) LastOut() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOut
}

// AddOut counts bytes that were sent now.
func (c *Counter) AddOut(n int64) {
	if n <= 0 {
		return
	}
	now := time.Now()
	c.out.Add(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOut = now
}

// Conn counts the bytes of a TCP connection, for the connection and in its Counter. It
// hides net.TCPConn.ReadFrom and WriteTo, which would pass by the count.
type Conn struct {
	net.Conn
	tcp   *net.TCPConn
	own   Counter
	total *Counter
	since time.Time // start of the connection
	// onClose is called once; nil if nobody wants to know.
	onClose func()
	closed  atomic.Bool
}

// NewConn returns a connection that counts its bytes in total. A connection that is not
// a TCP connection, or a nil total, leaves c as it is.
func NewConn(c net.Conn, total *Counter) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok || total == nil {
		return c
	}
	return &Conn{Conn: tcp, tcp: tcp, total: total, since: time.Now()}
}

// BytesPerS returns the bytes per second, received and sent, that the connection has
// carried since its start.
func (c *Conn) BytesPerS(now time.Time) float64 {
	return float64(c.own.In()+c.own.Out()) / max(now.Sub(c.since), time.Second).Seconds()
}

// Received returns the bytes that the connection has received.
func (c *Conn) Received() int64 { return c.own.In() }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	c.own.in.Add(int64(n))
	c.total.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.tcp.Write(p)
	c.CountSent(n)
	return n, err
}

// TCP returns the connection without the count.
func (c *Conn) TCP() *net.TCPConn { return c.tcp }

// CountSent counts bytes that were written to TCP.
func (c *Conn) CountSent(n int) {
	c.own.out.Add(int64(n))
	c.total.AddOut(int64(n))
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.onClose != nil && !c.closed.Swap(true) {
		c.onClose()
	}
	return c.tcp.Close()
}

// CloseWrite closes the sending side. net/http needs it to end a connection whose
// request it has not read to its end.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger sets what happens to unsent bytes at the close.
func (c *Conn) SetLinger(sec int) error { return c.tcp.SetLinger(sec) }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

var _ syscall.Conn = (*Conn)(nil)

// Listener counts the connections that it accepts and their bytes.
type Listener struct {
	net.Listener
	Total    *Counter
	accepted atomic.Int64
	open     atomic.Int64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	counted := NewConn(c, l.Total)
	if conn, ok := counted.(*Conn); ok {
		l.open.Add(1)
		conn.onClose = func() { l.open.Add(-1) }
	}
	return counted, nil
}

// Accepted returns the number of connections accepted.
func (l *Listener) Accepted() int64 { return l.accepted.Load() }

// Open returns the number of open connections.
func (l *Listener) Open() int64 { return l.open.Load() }

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections count their bytes in total; nil leaves it as
// it is.
func Dial(dial DialFunc, total *Counter) DialFunc {
	if total == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c, total), nil
	}
}
