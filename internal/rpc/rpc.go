// Package rpc carries typed messages between the system's processes over
// jsonrpc2. A connection is closed when nothing has arrived for a while,
// because a connection can stop delivering data without an error while new
// connections work. It can also stop in one direction only, so a call that waits
// for its answer needs proof that this side's data arrives: an answer to a call or
// to a ping. The side that dialled sends pings and the other answers.
// While work depends on the connection, silence is noticed within seconds; an
// idle connection is checked rarely, because heartbeats on every idle
// connection are the largest part of the control traffic.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Defaults of Options.
const (
	DefaultPingInterval     = 500 * time.Millisecond
	DefaultSilenceTimeout   = 2 * time.Second
	DefaultIdlePingInterval = 4 * time.Second
	DefaultDialTimeout      = 1 * time.Second
)

// idleSilencePings is the number of idle ping periods without data after which
// an idle connection is closed.
const idleSilencePings = 3

// codeKind is the JSON-RPC error code of errors that carry an error kind.
const codeKind = 1

// Handler serves a connection. Opened comes before anything else of the
// connection. Notifications of one connection arrive in order, and their
// params are valid until Notify returns; calls run concurrently. Opened and
// Notify must not wait for a call.
type Handler interface {
	Call(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)
	Notify(c *Conn, method string, params json.RawMessage)
	Opened(c *Conn)
	Closed(c *Conn, err error)
}

// Options configures connections.
type Options struct {
	Hello            func() wire.Hello // describes this process; also the source of heartbeat headers
	Busy             func() bool       // work depends on the connection; nil: only while a call is open
	PingInterval     time.Duration     // of a busy connection without data; default 500 ms
	SilenceTimeout   time.Duration     // a busy connection without data is closed; default 2 s
	IdlePingInterval time.Duration     // of an idle connection; default 4 s
	DialTimeout      time.Duration     // default 1 s
	Logger           *slog.Logger      // default slog.Default()
	Traffic          *Traffic          // counts bytes; may be nil
}

// Traffic counts the bytes of all connections that share it, without the
// overhead of TCP.
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
	opts    Options
	handler Handler
	sock    *trackedConn
	stream  *stream
	rpc     *jsonrpc2.Conn
	ready   chan struct{} // closed once rpc is set
	opened  atomic.Bool
	dialled bool         // this side sends the pings
	calls   atomic.Int32 // open calls of this side
	proof   atomic.Int64 // unix time in nanoseconds of the last answer to a call or ping
	peer    atomic.Pointer[wire.Hello]
	once    sync.Once
	usable  chan struct{} // closed after Opened
	done    chan struct{}
}

// Dial connects to addr and exchanges hellos.
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
	c.open(reply)
	return c, nil
}

// Serve accepts connections until ctx is done or the listener fails.
func Serve(ctx context.Context, ln net.Listener, opts Options, h Handler) error {
	opts = opts.withDefaults()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var conns sync.Map
	defer conns.Range(func(k, _ any) bool {
		_ = k.(*Conn).Close()
		return true
	})
	for {
		sock, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return errkind.Wrap(err, errkind.Internal, "accept on %s", ln.Addr())
		}
		c := newConn(sock, opts, h, false)
		conns.Store(c, struct{}{})
		go func() {
			<-c.done
			conns.Delete(c)
		}()
	}
}

func newConn(sock net.Conn, opts Options, h Handler, dialled bool) *Conn {
	c := &Conn{
		dialled: dialled,
		opts:    opts,
		handler: h,
		sock:    newTrackedConn(sock, opts.SilenceTimeout, opts.Traffic),
		ready:   make(chan struct{}),
		usable:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	c.noteProof()
	c.stream = newStream(c.sock, c.notified)
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, dispatcher{c}, jsonrpc2.SetLogger(discardLogger{}))
	close(c.ready)
	go c.watch()
	return c
}

// open marks the connection as usable, once the peer's hello is known.
func (c *Conn) open(peer wire.Hello) {
	c.peer.Store(&peer)
	if c.opened.CompareAndSwap(false, true) {
		c.handler.Opened(c)
		close(c.usable)
	}
}

// Peer returns the hello of the other process.
func (c *Conn) Peer() wire.Hello {
	if p := c.peer.Load(); p != nil {
		return *p
	}
	return wire.Hello{}
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection.
func (c *Conn) Close() error { return c.rpc.Close() }

// Call calls a method and decodes its result. A broken connection gives
// errkind.Unreachable: the call may or may not have been served.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	c.calls.Add(1)
	defer c.calls.Add(-1)
	err := decodeError(c.rpc.Call(ctx, method, params, result), method)
	if !errkind.Is(err, errkind.Unreachable) {
		c.noteProof()
	}
	return err
}

func (c *Conn) noteProof() { c.proof.Store(time.Now().UnixNano()) }

func (c *Conn) unprovenFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.proof.Load()))
}

// Notify queues a notification; messages leave in the order of the calls. It
// fails if the connection has ended, and blocks while the peer accepts no data.
func (c *Conn) Notify(_ context.Context, method string, params any) error {
	if err := c.stream.sendNotification(method, params); err != nil {
		return errkind.Wrap(err, errkind.Unreachable, "notify %s", method)
	}
	return nil
}

// watch sends pings and closes the connection after silence.
func (c *Conn) watch() {
	ticker := time.NewTicker(c.opts.PingInterval)
	defer ticker.Stop()
	var busySince, callSince time.Time // zero while idle or without an open call
	for {
		select {
		case <-c.rpc.DisconnectNotify():
			c.finish(errkind.New(errkind.Unreachable, "connection closed"))
			return
		case now := <-ticker.C:
			calling := c.calls.Load() > 0
			callSince = since(calling, now, callSince)
			busySince = since(calling || c.opts.Busy(), now, busySince)
			if err := c.silent(now, busySince, callSince); err != nil {
				_ = c.rpc.Close()
				c.finish(err)
				return
			}
			if c.pingDue(now, busySince, callSince) {
				go c.ping(true)
			}
		}
	}
}

// since returns when a state began that holds now or not.
func since(holds bool, now, began time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case began.IsZero():
		return now
	}
	return began
}

// silent returns an error if the silence has exceeded a limit. A connection that
// has just become busy is given the whole limit, and so is a call.
func (c *Conn) silent(now, busySince, callSince time.Time) error {
	silent := c.sock.silentFor(now)
	if !busySince.IsZero() && min(silent, now.Sub(busySince)) > c.opts.SilenceTimeout {
		return errkind.New(errkind.Unreachable, "nothing received for %s", c.opts.SilenceTimeout)
	}
	if !callSince.IsZero() && min(c.unprovenFor(now), now.Sub(callSince)) > c.opts.SilenceTimeout {
		return errkind.New(errkind.Unreachable, "no answer to calls and pings for %s", c.opts.SilenceTimeout)
	}
	if idle := idleSilencePings * c.opts.IdlePingInterval; silent > idle {
		return errkind.New(errkind.Unreachable, "nothing received for %s", idle)
	}
	return nil
}

func (c *Conn) pingDue(now, busySince, callSince time.Time) bool {
	silent := c.sock.silentFor(now)
	if !busySince.IsZero() && silent >= c.opts.PingInterval {
		return true
	}
	if !callSince.IsZero() && c.unprovenFor(now) >= c.opts.PingInterval {
		return true
	}
	return c.dialled && max(silent, c.sock.unsentFor(now)) >= c.opts.IdlePingInterval
}

// RequestPing asks the peer for a ping, whose header shows its configuration version.
func (c *Conn) RequestPing() { c.ping(true) }

// ping runs in its own goroutine, because a write to a stalled connection
// blocks until the write deadline and must not delay the check for silence.
func (c *Conn) ping(want bool) {
	msg := wire.Ping{Header: c.opts.Hello().Header, WantReply: want}
	_ = c.stream.sendNotification(wire.MethodPing, msg) // silence shows a failure
}

// takePing answers a ping that asks for it; any other is itself an answer.
func (c *Conn) takePing(params json.RawMessage) {
	var ping wire.Ping
	if json.Unmarshal(params, &ping) != nil {
		return
	}
	if ping.WantReply {
		go c.ping(false)
		return
	}
	c.noteProof()
}

func (c *Conn) finish(err error) {
	c.once.Do(func() {
		close(c.done)
		if c.opened.Load() {
			c.handler.Closed(c, err)
		}
	})
}

// notified passes a notification on from the read loop, so that the order is
// kept.
func (c *Conn) notified(method string, params json.RawMessage) {
	<-c.ready
	if method == wire.MethodPing {
		c.takePing(params)
	}
	if c.awaitUsable() {
		c.handler.Notify(c, method, params)
	}
}

// dispatcher adapts Handler to jsonrpc2, for calls. The stream takes
// notifications out before.
type dispatcher struct{ c *Conn }

// Handle implements jsonrpc2.Handler.
func (d dispatcher) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	c := d.c
	<-c.ready
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

// awaitUsable reports whether the hellos have been exchanged. On the side that
// dialled, messages of the peer can arrive before Dial has handled the peer's
// hello; they must not be lost.
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
		_ = c.rpc.ReplyWithError(ctx, req.ID, encodeError(errkind.Wrap(err, errkind.InvalidRequest, "hello")))
		return
	}
	_ = c.rpc.Reply(ctx, req.ID, c.opts.Hello())
	c.open(hello)
}

func (c *Conn) serveCall(ctx context.Context, req *jsonrpc2.Request, params json.RawMessage) {
	result, err := c.handler.Call(ctx, c, req.Method, params)
	if err != nil {
		_ = c.rpc.ReplyWithError(ctx, req.ID, encodeError(err))
		return
	}
	_ = c.rpc.Reply(ctx, req.ID, result)
}

func encodeError(err error) *jsonrpc2.Error {
	e := errkind.From(err)
	out := &jsonrpc2.Error{Code: codeKind, Message: e.Detail}
	out.SetError(wire.Refusal{Kind: e.Kind, Detail: e.Detail})
	return out
}

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

// discardLogger drops the library's own messages; the package logs through
// slog.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
