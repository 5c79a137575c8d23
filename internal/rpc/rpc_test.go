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

type recorder struct {
	mu     sync.Mutex
	notes  []string
	closed chan error
}

func newRecorder() *recorder { return &recorder{closed: make(chan error, 4)} }

func (r *recorder) Call(_ context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	if method == "refuse" {
		return nil, errkind.New(errkind.Draining, "leaving")
	}
	return params, nil
}

func (r *recorder) Notify(_ *rpc.Conn, method string, params json.RawMessage) {
	if method == wire.MethodPing {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, string(params))
}

func (r *recorder) Opened(*rpc.Conn)              {}
func (r *recorder) Closed(_ *rpc.Conn, err error) { r.closed <- err }

func options(name string) rpc.Options {
	return rpc.Options{
		Hello:            func() wire.Hello { return wire.Hello{Role: name, Incarnation: name} },
		PingInterval:     20 * time.Millisecond,
		SilenceTimeout:   200 * time.Millisecond,
		IdlePingInterval: 100 * time.Millisecond,
	}
}

func serve(t *testing.T, h rpc.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = rpc.Serve(ctx, ln, options("server"), h) }()
	t.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String()
}

// Guards against a refusal losing its kind between processes.
func TestErrorKindCrossesConnection(t *testing.T) {
	addr := serve(t, newRecorder())
	c, err := rpc.Dial(context.Background(), addr, options("client"), newRecorder())
	assert.NilError(t, err)
	defer c.Close()
	assert.Equal(t, c.Peer().Role, "server")
	err = c.Call(context.Background(), "refuse", nil, nil)
	assert.Equal(t, errkind.Of(err), errkind.Draining)
}

// Guards against chunks of an answer being reordered.
func TestNotificationsKeepOrder(t *testing.T) {
	server := newRecorder()
	addr := serve(t, server)
	c, err := rpc.Dial(context.Background(), addr, options("client"), newRecorder())
	assert.NilError(t, err)
	defer c.Close()
	const count = 500
	for i := range count {
		assert.NilError(t, c.Notify(context.Background(), "n", i))
	}
	assert.NilError(t, c.Call(context.Background(), "echo", 1, nil))
	server.mu.Lock()
	defer server.mu.Unlock()
	assert.Equal(t, len(server.notes), count)
	for i, note := range server.notes {
		want, _ := json.Marshal(i)
		assert.Equal(t, note, string(want))
	}
}

// Guards against a connection that stays open although the peer has stopped
// sending: it must be reported as closed within the silence limit.
func TestSilentConnectionIsClosed(t *testing.T) {
	busy := options("client")
	busy.IdlePingInterval = time.Hour
	busy.Busy = func() bool { return true }
	for name, opts := range map[string]rpc.Options{"idle": options("client"), "busy": busy} {
		t.Run(name, func(t *testing.T) { checkSilence(t, opts) })
	}
}

// chatter sends notifications until the connection ends and answers no call.
type chatter struct{ *recorder }

func (chatter) Opened(c *rpc.Conn) {
	go func() {
		for c.Notify(context.Background(), "more", 1) == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

// Guards against a call that waits for ever on a connection that delivers data in
// the other direction only.
func TestCallOnHalfSilentConnectionFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	relay, silence := relayTo(t, serve(t, chatter{newRecorder()}), ln, toServer)
	client := newRecorder()
	c, err := rpc.Dial(context.Background(), relay, options("client"), client)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.Call(context.Background(), "echo", 1, nil))
	silence()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	err = c.Call(ctx, "echo", 1, nil)
	assert.Equal(t, errkind.Of(err), errkind.Unreachable)
	assert.NilError(t, ctx.Err(), "the connection was not closed")
	assert.Equal(t, errkind.Of(<-client.closed), errkind.Unreachable)
}

// greeter notifies a peer as soon as it has connected.
type greeter struct{ *recorder }

func (greeter) Opened(c *rpc.Conn) { _ = c.Notify(context.Background(), "first", 1) }

// Guards against the loss of a notification that the accepting side sends
// before the dialling side has handled its hello.
func TestFirstNotificationArrives(t *testing.T) {
	addr := serve(t, greeter{newRecorder()})
	for range 50 {
		client := newRecorder()
		c, err := rpc.Dial(context.Background(), addr, options("client"), client)
		assert.NilError(t, err)
		assert.NilError(t, c.Call(context.Background(), "echo", 1, nil))
		client.mu.Lock()
		assert.Equal(t, len(client.notes), 1)
		client.mu.Unlock()
		_ = c.Close()
	}
}

// Guards against heartbeats that close a healthy idle connection.
func TestIdleConnectionStaysOpen(t *testing.T) {
	client := newRecorder()
	c, err := rpc.Dial(context.Background(), serve(t, newRecorder()), options("client"), client)
	assert.NilError(t, err)
	defer c.Close()
	select {
	case err := <-client.closed:
		t.Fatalf("closed: %v", err)
	case <-time.After(time.Second):
	}
}

func checkSilence(t *testing.T, opts rpc.Options) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	relay, silence := relayTo(t, serve(t, newRecorder()), ln, toServer, toClient)
	client := newRecorder()
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

// relayTo forwards connections of ln to addr until silence is called; then it
// discards the bytes of the directions and keeps the connections open.
func relayTo(t *testing.T, addr string, ln net.Listener, discard ...direction) (string, func()) {
	t.Helper()
	silent := make(chan struct{})
	silentIn := map[direction]<-chan struct{}{}
	for _, d := range discard {
		silentIn[d] = silent
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
			go pump(in, out, silentIn[toServer])
			go pump(out, in, silentIn[toClient])
		}
	}()
	return ln.Addr().String(), func() { close(silent) }
}

func pump(from, to net.Conn, silent <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-silent:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}
