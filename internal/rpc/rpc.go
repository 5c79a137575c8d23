// Package rpc carries typed messages between the system's processes over
// JSON-RPC 2.0.
//
// A connection is closed when nothing has been received for a while, because a
// connection can stop delivering data without an error while new connections
// work. Delivery can also stop in one direction only. While a call is open, the
// caller therefore needs evidence that its own data arrives: an answer to a call
// or to a ping.
//
// While work depends on a connection, either side pings it and silence is
// detected within seconds. An idle connection is pinged rarely, and only by the
// side that dialled, because heartbeats on all idle connections are the largest
// part of the control traffic.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/listen"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Defaults of Options.
const (
	DefaultPingInterval     = 500 * time.Millisecond
	DefaultSilenceTimeout   = 2 * time.Second
	DefaultIdlePingInterval = 4 * time.Second
	DefaultDialTimeout      = 1 * time.Second
)

// maxMissedIdlePings is the number of idle ping intervals without received data
// after which an idle connection is closed.
const maxMissedIdlePings = 3

// errorCodeKind is the JSON-RPC error code of errors whose data holds an error
// kind.
const errorCodeKind = 1

// Handler handles the events of a connection. Opened is called before any other
// method. Notify is called for the notifications of a connection in their order,
// and its params are valid only until it returns. Call is called concurrently.
// Opened and Notify must not wait for the result of a call. Closed is called
// once after a connection that was opened has ended.
type Handler interface {
	Call(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)
	Notify(c *Conn, method string, params json.RawMessage)
	Opened(c *Conn)
	Closed(c *Conn, err error)
}

// Options configures connections.
type Options struct {
	Hello            func() wire.Hello // describes this process and supplies the header of pings; required
	Busy             func() bool       // reports whether work depends on the connection besides open calls; may be nil
	PingInterval     time.Duration     // interval of pings on a busy connection that receives nothing; default 500 ms
	SilenceTimeout   time.Duration     // a busy connection that receives nothing for longer is closed; default 2 s
	IdlePingInterval time.Duration     // interval of pings on an idle connection; default 4 s
	DialTimeout      time.Duration     // default 1 s
	Logger           *slog.Logger      // default slog.Default()
	Traffic          *Traffic          // counts bytes; may be nil
}

// Traffic counts the payload bytes of all connections that share it, without TCP
// overhead.
type Traffic struct {
	Received atomic.Int64
	Sent     atomic.Int64
}

func (o Options) withDefaults() Options {
	if o.PingInterval <= 0 {
		o.PingInterval = DefaultPingInterval
	}
	if o.SilenceTimeout <= 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.IdlePingInterval <= 0 {
		o.IdlePingInterval = DefaultIdlePingInterval
	}
	if o.Busy == nil {
		o.Busy = func() bool { return false }
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Traffic == nil {
		o.Traffic = &Traffic{}
	}
	return o
}

// Conn is a connection to another process.
type Conn struct {
	opts        Options
	handler     Handler
	sock        *trackedConn
	stream      *stream
	jsonrpc     *jsonrpc2.Conn
	initialised chan struct{}              // closed once jsonrpc is set
	opened      atomic.Bool                // set when the hello messages have been exchanged
	dialled     bool                       // this side dialled and pings the idle connection
	openCalls   atomic.Int32               // calls of this side that wait for a result
	lastAnswer  atomic.Int64               // unix time in nanoseconds of the last answer to a call or ping
	peer        atomic.Pointer[wire.Hello] // hello of the other process; nil until it is received
	finishOnce  sync.Once
	usable      chan struct{} // closed after Handler.Opened has returned
	done        chan struct{} // closed when the connection has ended
}

// Dial connects to addr and exchanges hello messages.
func Dial(ctx context.Context, addr string, opts Options, h Handler) (*Conn, error) {
	opts = opts.withDefaults()
	dialer := net.Dialer{Timeout: opts.DialTimeout}
	sock, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unreachable, "dial %s", addr)
	}
	c := newConn(sock, opts, h, true)
	callCtx, cancel := context.WithTimeout(ctx, opts.SilenceTimeout)
	defer cancel()
	var reply wire.Hello
	if err := c.Call(callCtx, wire.MethodHello, opts.Hello(), &reply); err != nil {
		_ = c.Close()
		return nil, err
	}
	c.markOpen(reply)
	return c, nil
}

// maxUngreeted bounds the connections whose peers have not sent their hello.
const maxUngreeted = 64

// Serve accepts connections until ctx is done or the listener fails. It closes
// all connections when it returns.
func Serve(ctx context.Context, ln net.Listener, opts Options, h Handler) error {
	opts = opts.withDefaults()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var conns sync.Map
	defer conns.Range(func(k, _ any) bool {
		_ = k.(*Conn).Close()
		return true
	})
	var waiting []*Conn // that have not sent their hello, the oldest first
	for {
		sock, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if listen.Again(ctx, err) {
				continue
			}
			return errkind.Wrap(err, errkind.Internal, "accept on %s", ln.Addr())
		}
		c := newConn(sock, opts, h, false)
		waiting = slices.DeleteFunc(waiting, func(w *Conn) bool { return w.opened.Load() || w.ended() })
		if len(waiting) >= maxUngreeted {
			_ = waiting[0].Close() // it is of no use to anyone
			waiting = slices.Delete(waiting, 0, 1)
		}
		waiting = append(waiting, c)
		conns.Store(c, struct{}{})
		go func() {
			<-c.done
			conns.Delete(c)
		}()
	}
}

func newConn(sock net.Conn, opts Options, h Handler, dialled bool) *Conn {
	c := &Conn{
		dialled:     dialled,
		opts:        opts,
		handler:     h,
		sock:        newTrackedConn(sock, opts.SilenceTimeout, opts.Traffic),
		initialised: make(chan struct{}),
		usable:      make(chan struct{}),
		done:        make(chan struct{}),
	}
	c.noteAnswer()
	c.stream = newStream(c.sock, c.handleNotification)
	if !dialled {
		c.stream.greeted = &c.opened
	}
	c.jsonrpc = jsonrpc2.NewConn(context.Background(), c.stream, dispatcher{c}, jsonrpc2.SetLogger(discardLogger{}))
	close(c.initialised)
	go c.watch()
	return c
}

// markOpen stores the peer's hello and marks the connection as usable.
func (c *Conn) markOpen(peer wire.Hello) {
	c.peer.Store(&peer)
	if c.opened.CompareAndSwap(false, true) {
		c.handler.Opened(c)
		close(c.usable)
	}
}

// Peer returns the hello message of the other process.
func (c *Conn) Peer() wire.Hello {
	if p := c.peer.Load(); p != nil {
		return *p
	}
	return wire.Hello{}
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

func (c *Conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// Close ends the connection.
func (c *Conn) Close() error { return c.jsonrpc.Close() }

// Call calls a method and decodes its result. If the connection breaks, it fails
// with errkind.Unreachable, and the call may or may not have been served.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	c.openCalls.Add(1)
	defer c.openCalls.Add(-1)
	err := decodeError(c.jsonrpc.Call(ctx, method, params, result), method)
	if !errkind.Is(err, errkind.Unreachable) {
		c.noteAnswer()
	}
	return err
}

func (c *Conn) noteAnswer() { c.lastAnswer.Store(time.Now().UnixNano()) }

func (c *Conn) sinceLastAnswer(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastAnswer.Load()))
}

// Notify queues a notification. Messages are sent in the order in which they are
// queued. Notify fails if the connection has ended, and blocks while the queue is
// full because the peer accepts no data.
func (c *Conn) Notify(_ context.Context, method string, params any) error {
	if err := c.stream.sendNotification(method, params); err != nil {
		return errkind.Wrap(err, errkind.Unreachable, "notify %s", method)
	}
	return nil
}

// watch sends pings, and closes the connection after too long a silence.
func (c *Conn) watch() {
	ticker := time.NewTicker(c.opts.PingInterval)
	defer ticker.Stop()
	var busySince, callSince time.Time // zero while idle or without an open call
	for {
		select {
		case <-c.jsonrpc.DisconnectNotify():
			c.finish(errkind.New(errkind.Unreachable, "connection closed"))
			return
		case now := <-ticker.C:
			hasOpenCall := c.openCalls.Load() > 0
			callSince = stateSince(hasOpenCall, now, callSince)
			busySince = stateSince(hasOpenCall || c.opts.Busy(), now, busySince)
			if err := c.checkSilence(now, busySince, callSince); err != nil {
				_ = c.jsonrpc.Close()
				c.finish(err)
				return
			}
			if c.pingDue(now, busySince, callSince) {
				go c.ping(true)
			}
		}
	}
}

// stateSince returns when a state began, or the zero time if it does not hold.
// previous is the result of the previous check.
func stateSince(holds bool, now, previous time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case previous.IsZero():
		return now
	}
	return previous
}

// checkSilence returns an error if the connection has been silent for too long.
// The limits of a busy connection and of an open call start to count when the
// connection became busy or the call began.
func (c *Conn) checkSilence(now, busySince, callSince time.Time) error {
	silence := c.sock.sinceLastRead(now)
	if !busySince.IsZero() && min(silence, now.Sub(busySince)) > c.opts.SilenceTimeout {
		return errkind.New(errkind.Unreachable, "nothing received for %s", c.opts.SilenceTimeout)
	}
	if !callSince.IsZero() && min(c.sinceLastAnswer(now), now.Sub(callSince)) > c.opts.SilenceTimeout {
		return errkind.New(errkind.Unreachable, "no answer to calls and pings for %s", c.opts.SilenceTimeout)
	}
	if idleLimit := maxMissedIdlePings * c.opts.IdlePingInterval; silence > idleLimit {
		return errkind.New(errkind.Unreachable, "nothing received for %s", idleLimit)
	}
	return nil
}

// pingDue reports whether to send a ping now.
func (c *Conn) pingDue(now, busySince, callSince time.Time) bool {
	silence := c.sock.sinceLastRead(now)
	if !busySince.IsZero() && silence >= c.opts.PingInterval {
		return true
	}
	if !callSince.IsZero() && c.sinceLastAnswer(now) >= c.opts.PingInterval {
		return true
	}
	return c.dialled && max(silence, c.sock.sinceLastWrite(now)) >= c.opts.IdlePingInterval
}

// RequestPing asks the peer to answer with a ping. The header of the answer
// contains the peer's configuration version.
func (c *Conn) RequestPing() { c.ping(true) }

// ping sends a ping. On a stalled connection it blocks until the write deadline.
// The connection's own goroutines therefore run it in another one, so that it
// does not delay the check for silence.
func (c *Conn) ping(wantReply bool) {
	msg := wire.Ping{Header: c.opts.Hello().Header, WantReply: wantReply}
	_ = c.stream.sendNotification(wire.MethodPing, msg) // a failure is detected as silence
}

// handlePing answers a ping that asks for an answer. Any other ping is itself an
// answer.
func (c *Conn) handlePing(params json.RawMessage) {
	var ping wire.Ping
	if json.Unmarshal(params, &ping) != nil {
		return
	}
	if ping.WantReply {
		go c.ping(false)
		return
	}
	c.noteAnswer()
}

func (c *Conn) finish(err error) {
	c.finishOnce.Do(func() {
		close(c.done)
		if c.opened.Load() {
			c.handler.Closed(c, err)
		}
	})
}

// handleNotification passes a notification to the handler. It runs in the read
// loop, so that notifications keep their order.
func (c *Conn) handleNotification(method string, params json.RawMessage) {
	<-c.initialised
	if method == wire.MethodPing {
		c.handlePing(params)
		if !c.opened.Load() {
			return // to wait would block the read of the hello, which comes after it
		}
	}
	if c.awaitUsable() {
		c.handler.Notify(c, method, params)
	}
}

// dispatcher is the jsonrpc2.Handler that passes calls to a Handler.
// Notifications do not reach it, because the stream handles them.
type dispatcher struct{ conn *Conn }

// Handle implements jsonrpc2.Handler.
func (d dispatcher) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	c := d.conn
	<-c.initialised
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Method == wire.MethodHello {
		c.acceptHello(ctx, req, params)
		return
	}
	if c.awaitUsable() {
		go c.serveCall(ctx, req, params)
	}
}

// awaitUsable reports whether the hello messages have been exchanged. On the
// side that dialled it waits for that, because messages of the peer can arrive
// before Dial has handled the peer's hello and must not be lost.
func (c *Conn) awaitUsable() bool {
	if !c.dialled {
		return c.opened.Load()
	}
	select {
	case <-c.usable:
		return true
	case <-c.done:
		return false
	}
}

func (c *Conn) acceptHello(ctx context.Context, req *jsonrpc2.Request, params json.RawMessage) {
	var hello wire.Hello
	if err := json.Unmarshal(params, &hello); err != nil {
		_ = c.jsonrpc.ReplyWithError(ctx, req.ID, encodeError(errkind.Wrap(err, errkind.InvalidRequest, "hello")))
		return
	}
	_ = c.jsonrpc.Reply(ctx, req.ID, c.opts.Hello())
	c.markOpen(hello)
}

func (c *Conn) serveCall(ctx context.Context, req *jsonrpc2.Request, params json.RawMessage) {
	result, err := c.handler.Call(ctx, c, req.Method, params)
	if err != nil {
		_ = c.jsonrpc.ReplyWithError(ctx, req.ID, encodeError(err))
		return
	}
	_ = c.jsonrpc.Reply(ctx, req.ID, result)
}

// encodeError converts an error to a JSON-RPC error that preserves its kind.
func encodeError(err error) *jsonrpc2.Error {
	e := errkind.From(err)
	rpcErr := &jsonrpc2.Error{Code: errorCodeKind, Message: e.Detail}
	rpcErr.SetError(wire.Refusal{Kind: e.Kind, Detail: e.Detail})
	return rpcErr
}

// decodeError restores the error of a call. An error without a kind means that
// the connection failed.
func decodeError(err error, method string) error {
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) && rpcErr.Data != nil {
		var refusal wire.Refusal
		if json.Unmarshal(*rpcErr.Data, &refusal) == nil && refusal.Kind != "" {
			return errkind.New(refusal.Kind, "%s", refusal.Detail)
		}
	}
	return errkind.Wrap(err, errkind.Unreachable, "call %s", method)
}

// discardLogger discards the log messages of jsonrpc2. This package logs through
// slog.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
