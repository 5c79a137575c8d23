package rpc_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// recordingHandler records notifications and the end of its connection. It
// echoes the params of calls.
type recordingHandler struct {
	mu            sync.Mutex
	notifications []string
	closed        chan error
}

func newRecordingHandler() *recordingHandler { return &recordingHandler{closed: make(chan error, 4)} }

func (r *recordingHandler) Call(_ context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	if method == "refuse" {
		return nil, errkind.New(errkind.Draining, "leaving")
	}
	return params, nil
}

func (r *recordingHandler) Notify(_ *rpc.Conn, method string, params json.RawMessage) {
	if method == wire.MethodPing {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifications = append(r.notifications, string(params))
}

func (r *recordingHandler) Opened(*rpc.Conn)              {}
func (r *recordingHandler) Closed(_ *rpc.Conn, err error) { r.closed <- err }

func testOptions(name string) rpc.Options {
	return rpc.Options{
		Hello:            func() wire.Hello { return wire.Hello{Role: name, Incarnation: name} },
		PingInterval:     20 * time.Millisecond,
		SilenceTimeout:   200 * time.Millisecond,
		IdlePingInterval: 100 * time.Millisecond,
	}
}

func startServer(t *testing.T, h rpc.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = rpc.Serve(ctx, ln, testOptions("server"), h) }()
	t.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String()
}

// Guards against losing the kind of an error between processes. A JSON-RPC error
// has no field for the kind, which is therefore sent in the error's data.
func TestErrorKindCrossesConnection(t *testing.T) {
	addr := startServer(t, newRecordingHandler())
	c, err := rpc.Dial(context.Background(), addr, testOptions("client"), newRecordingHandler())
	assert.NilError(t, err)
	defer c.Close()
	assert.Equal(t, c.Peer().Role, "server")
	err = c.Call(context.Background(), "refuse", nil, nil)
	assert.Equal(t, errkind.Of(err), errkind.Draining)
}

// Guards against reordering the chunks of an answer. They are notifications and
// must be handled one after the other, unlike calls.
func TestNotificationsKeepOrder(t *testing.T) {
	server := newRecordingHandler()
	addr := startServer(t, server)
	c, err := rpc.Dial(context.Background(), addr, testOptions("client"), newRecordingHandler())
	assert.NilError(t, err)
	defer c.Close()
	const count = 500
	for i := range count {
		assert.NilError(t, c.Notify(context.Background(), "n", i))
	}
	assert.NilError(t, c.Call(context.Background(), "echo", 1, nil))
	server.mu.Lock()
	defer server.mu.Unlock()
	assert.Equal(t, len(server.notifications), count)
	for i, note := range server.notifications {
		want, _ := json.Marshal(i)
		assert.Equal(t, note, string(want))
	}
}

// Guards against a connection that stays open although it no longer delivers
// data. It must be reported as closed within the silence timeout.
func TestSilentConnectionIsClosed(t *testing.T) {
	busy := testOptions("client")
	busy.IdlePingInterval = time.Hour
	busy.Busy = func() bool { return true }
	for name, opts := range map[string]rpc.Options{"idle": testOptions("client"), "busy": busy} {
		t.Run(name, func(t *testing.T) { assertClosedOnSilence(t, opts) })
	}
}

// chattyHandler sends notifications until the connection ends.
type chattyHandler struct{ *recordingHandler }

func (chattyHandler) Opened(c *rpc.Conn) {
	go func() {
		for c.Notify(context.Background(), "more", 1) == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

// Guards against a call that waits forever on a connection that delivers data
// only in the other direction.
func TestCallOnHalfSilentConnectionFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	relay, silence := relayTo(t, startServer(t, chattyHandler{newRecordingHandler()}), ln, toServer)
	client := newRecordingHandler()
	c, err := rpc.Dial(context.Background(), relay, testOptions("client"), client)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.Call(context.Background(), "echo", 1, nil))
	silence()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	err = c.Call(ctx, "echo", 1, nil)
	assert.Equal(t, errkind.Of(err), errkind.Unreachable)
	assert.NilError(t, ctx.Err(), "the connection was not closed in time")
	assert.Equal(t, errkind.Of(<-client.closed), errkind.Unreachable)
}

// greetingHandler sends a notification as soon as a connection is open.
type greetingHandler struct{ *recordingHandler }

func (greetingHandler) Opened(c *rpc.Conn) { _ = c.Notify(context.Background(), "first", 1) }

// Guards against losing a notification that the accepting side sends before the
// dialling side has handled its hello.
func TestFirstNotificationArrives(t *testing.T) {
	addr := startServer(t, greetingHandler{newRecordingHandler()})
	for range 50 {
		client := newRecordingHandler()
		c, err := rpc.Dial(context.Background(), addr, testOptions("client"), client)
		assert.NilError(t, err)
		assert.NilError(t, c.Call(context.Background(), "echo", 1, nil))
		client.mu.Lock()
		assert.Equal(t, len(client.notifications), 1)
		client.mu.Unlock()
		_ = c.Close()
	}
}

// Guards against a dial that fails because a busy peer pings before it has the hello: the
// answer to the hello comes after the ping and must be read.
func TestPingBeforeTheHello(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	busy := testOptions("server")
	busy.Busy = func() bool { return true }
	go func() { _ = rpc.Serve(ctx, ln, busy, newRecordingHandler()) }()
	opts := testOptions("client")
	opts.SilenceTimeout = 2 * time.Second
	hello := opts.Hello
	opts.Hello = func() wire.Hello {
		time.Sleep(60 * time.Millisecond)
		return hello()
	}
	c, err := rpc.Dial(ctx, ln.Addr().String(), opts, newRecordingHandler())
	assert.NilError(t, err)
	_ = c.Close()
}

// Guards against closing a healthy idle connection as silent. The only data that
// it receives are the answers to its rare pings.
func TestIdleConnectionStaysOpen(t *testing.T) {
	client := newRecordingHandler()
	c, err := rpc.Dial(context.Background(), startServer(t, newRecordingHandler()), testOptions("client"), client)
	assert.NilError(t, err)
	defer c.Close()
	select {
	case err := <-client.closed:
		t.Fatalf("closed: %v", err)
	case <-time.After(time.Second):
	}
}

func assertClosedOnSilence(t *testing.T, opts rpc.Options) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	relay, silence := relayTo(t, startServer(t, newRecordingHandler()), ln, toServer, toClient)
	client := newRecordingHandler()
	c, err := rpc.Dial(context.Background(), relay, opts, client)
	assert.NilError(t, err)
	defer c.Close()
	silence()
	select {
	case err := <-client.closed:
		assert.Equal(t, errkind.Of(err), errkind.Unreachable)
	case <-time.After(3 * time.Second):
		t.Fatal("silent connection was not closed")
	}
}

type direction int

const (
	toServer direction = iota
	toClient
)

// relayTo forwards the connections of ln to addr. It returns its own address and
// a function after which it keeps the connections open but discards the bytes of
// the given directions.
func relayTo(t *testing.T, addr string, ln net.Listener, discard ...direction) (string, func()) {
	t.Helper()
	discarding := make(chan struct{})
	discardingIn := map[direction]<-chan struct{}{}
	for _, d := range discard {
		discardingIn[d] = discarding
	}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			go forward(in, out, discardingIn[toServer])
			go forward(out, in, discardingIn[toClient])
		}
	}()
	return ln.Addr().String(), func() { close(discarding) }
}

func forward(from, to net.Conn, discarding <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-discarding:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}
