package sidecar_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// testTimeout limits how long a failing test waits. Decoding a few MB under the
// race detector takes some seconds.
const testTimeout = 15 * time.Second

// Guards against goroutines that keep running after a sidecar has stopped,
// because the end of their run or connection does not cancel them.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// process is a running sidecar.
type process struct {
	addr string
	stop context.CancelFunc
	done chan struct{} // closed after Run has returned and err is set
	err  error
}

func testOptions(targetURL string) sidecar.Options {
	return sidecar.Options{
		Kind:            sidecar.Engine,
		Target:          "t1",
		TargetURL:       targetURL,
		Model:           "m1",
		Host:            "host1",
		Domain:          "d1",
		Listen:          "127.0.0.1:0",
		Table:           platform.NewMemoryTable(),
		HandoverTimeout: time.Millisecond,
		RPC:             rpc.Options{SilenceTimeout: 10 * time.Second},
		Logger:          slog.New(slog.DiscardHandler),
	}
}

func startSidecar(t *testing.T, opts sidecar.Options) *process {
	t.Helper()
	ready := make(chan string, 1)
	opts.OnReady = func(addr string) { ready <- addr }
	server, err := sidecar.New(opts)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = server.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-p.done
		assert.NilError(t, p.err)
	})
	p.addr = receive(t, ready)
	return p
}

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing received in time")
		panic("unreachable")
	}
}

// router is a test router that records what the sidecar sends.
type router struct {
	conn    *rpc.Conn
	mu      sync.Mutex
	chunks  map[string][]wire.RunChunk // by run ID; guarded by mu
	ends    chan wire.RunEnd
	reports chan wire.LoadReport
	gate    chan struct{} // if set, notifications are blocked until it is closed
}

func dialRouter(t *testing.T, addr, incarnation string, gate chan struct{}) *router {
	t.Helper()
	r := &router{
		chunks:  map[string][]wire.RunChunk{},
		ends:    make(chan wire.RunEnd, 16),
		reports: make(chan wire.LoadReport, 1000),
		gate:    gate,
	}
	hello := func() wire.Hello { return wire.Hello{Role: "router", Incarnation: incarnation} }
	opts := rpc.Options{Hello: hello, SilenceTimeout: 10 * time.Second, Logger: slog.New(slog.DiscardHandler)}
	conn, err := rpc.Dial(context.Background(), addr, opts, r)
	assert.NilError(t, err)
	r.conn = conn
	t.Cleanup(func() { _ = conn.Close() })
	return r
}

func (r *router) Opened(*rpc.Conn)        {}
func (r *router) Closed(*rpc.Conn, error) {}

func (r *router) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}

func (r *router) Notify(_ *rpc.Conn, method string, params json.RawMessage) {
	if r.gate != nil {
		<-r.gate
	}
	switch method {
	case wire.MethodRunChunk:
		var c wire.RunChunk
		_ = json.Unmarshal(params, &c)
		r.mu.Lock()
		r.chunks[c.RunID] = append(r.chunks[c.RunID], c)
		r.mu.Unlock()
	case wire.MethodRunEnd:
		var e wire.RunEnd
		_ = json.Unmarshal(params, &e)
		r.ends <- e
	case wire.MethodLoadReport:
		var l wire.LoadReport
		_ = json.Unmarshal(params, &l)
		r.reports <- l
	}
}

// callSidecar calls a method of the sidecar and fails the test on an error.
func callSidecar[R any](t *testing.T, r *router, method string, params any) R {
	t.Helper()
	var out R
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, r.conn.Call(ctx, method, params, &out))
	return out
}

func (r *router) start(t *testing.T, run wire.StartRun) wire.StartRunResult {
	t.Helper()
	return callSidecar[wire.StartRunResult](t, r, wire.MethodRunStart, run)
}

// answer returns the events of a run and checks that they are contiguous.
func (r *router) answer(t *testing.T, end wire.RunEnd) []string {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for i, c := range r.chunks[end.RunID] {
		assert.Equal(t, c.Seq, int64(i))
		for _, ev := range c.Events {
			out = append(out, canonical(t, string(ev)))
		}
	}
	assert.Equal(t, int64(len(r.chunks[end.RunID])), end.Chunks)
	return out
}

// canonical sorts the keys of a JSON object, because jsonrpc2 does not preserve
// their order.
func canonical(t *testing.T, raw string) string {
	t.Helper()
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(raw))
	decoder.UseNumber()
	assert.NilError(t, decoder.Decode(&fields))
	out, err := json.Marshal(fields)
	assert.NilError(t, err)
	return string(out)
}

func completionRun(id string) wire.StartRun {
	return wire.StartRun{
		Identity:    ledger.Identity{Team: "team", Key: "key-" + id},
		RunID:       id,
		RequestID:   "request-" + id,
		Holder:      "h1",
		Kind:        wire.CompletionRun,
		Model:       "m1",
		Method:      http.MethodPost,
		Path:        "/v1/chat/completions",
		ContentType: "application/json",
		Body:        []byte(`{"model":"m1","messages":[],"max_tokens":500,"priority":9}`),
		Priority:    4,
		ContentHash: "hash",
		Reserved:    100,
		OutputCap:   10,
	}
}

func tokenEvent(text string) string {
	return fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, text)
}

const (
	finishEvent = `{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
	usageEvent  = `{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2}}`
)

// writeEvent writes and flushes one server-sent event.
func writeEvent(w http.ResponseWriter, payload string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", payload)
	w.(http.Flusher).Flush()
}

// startEngine starts an engine that serves completions with the handler.
func startEngine(t *testing.T, serve http.HandlerFunc) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a closed client connection only after the body is
		// read.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		serve(w, r)
	})
	server := httptest.NewUnstartedServer(mux)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func writeWholeAnswer(w http.ResponseWriter, _ *http.Request) {
	for _, payload := range []string{tokenEvent("a"), tokenEvent("b"), finishEvent, usageEvent, "[DONE]"} {
		writeEvent(w, payload)
	}
}

func decodeBody(r *http.Request) map[string]any {
	var out map[string]any
	raw, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(raw, &out)
	return out
}
