package rpc

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// Redial delays grow exponentially from the minimum to the maximum and have
// full jitter, so that processes that lost the same peer do not redial at the
// same moment.
const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 1 * time.Second
)

// Link maintains a connection to one address. It dials again when the
// connection ends.
type Link struct {
	addr    string
	opts    Options
	handler Handler
	conn    atomic.Pointer[Conn]
}

// NewLink returns a link. Run dials the connection.
func NewLink(addr string, opts Options, h Handler) *Link {
	return &Link{addr: addr, opts: opts.withDefaults(), handler: h}
}

// Addr returns the address that the link dials.
func (l *Link) Addr() string { return l.addr }

// Conn returns the open connection, or nil.
func (l *Link) Conn() *Conn { return l.conn.Load() }

// Call calls a method over the open connection. Without an open connection it
// sends nothing and fails with errkind.Unreachable.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	c := l.Conn()
	if c == nil {
		return errkind.New(errkind.Unreachable, "no connection to %s", l.addr)
	}
	return c.Call(ctx, method, params, result)
}

// Run maintains the connection until ctx is done.
func (l *Link) Run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		c, err := Dial(ctx, l.addr, l.opts, l.handler)
		if err == nil {
			delay = minRedialDelay
			l.holdUntilClosed(ctx, c)
			continue
		}
		l.opts.Logger.Debug("dial failed", "addr", l.addr, "err", err)
		timing.Sleep(ctx, time.Duration(rand.Int64N(int64(delay)))+minRedialDelay/2)
		delay = min(2*delay, maxRedialDelay)
	}
}

// holdUntilClosed publishes the connection until it ends. It closes the
// connection when ctx is done.
func (l *Link) holdUntilClosed(ctx context.Context, c *Conn) {
	l.conn.Store(c)
	select {
	case <-c.Done():
	case <-ctx.Done():
		_ = c.Close()
	}
	l.conn.CompareAndSwap(c, nil)
}
