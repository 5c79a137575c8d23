package router

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/settings"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/timeline"
)

const operatorKey = "opkey"

// relaySetup is a router and a sidecar in this process, connected over
// loopback.
type relaySetup struct {
	url string
	key string
}

// lockstepEngine is an engine that sends each token only after the caller has
// received the previous one, so that no two tokens share a chunk.
type lockstepEngine struct {
	mu      sync.Mutex
	turns   map[string]chan struct{} // by prompt; each message permits one token
	tokens  int
	payload []byte
	burst   bool // send all tokens without waiting for the caller
}

const tokenEvent = `{"id":"cmpl-01M8YSXHM4V8926H6WMFR53AB2","object":"chat.completion.chunk","created":1796330145,"model":"m",` +
	`"choices":[{"index":0,"delta":{"content":"t0a1b2c3d "},"finish_reason":null}],` +
	`"usage":{"prompt_tokens":100,"completion_tokens":1,"total_tokens":101,"prompt_tokens_details":{"cached_tokens":0}}}`

// turn returns the channel of a prompt.
func (e *lockstepEngine) turn(prompt string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.turns[prompt] == nil {
		e.turns[prompt] = make(chan struct{}, 1)
	}
	return e.turns[prompt]
}

// serve writes the chunks of the HTTP response itself, so that the engine's own
// cost per token is a single write.
func (e *lockstepEngine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(body), "turn-")
	prompt, _, _ := strings.Cut(rest, `"`)
	turn := e.turn(prompt)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range e.tokens {
		if !e.burst {
			<-turn
		}
		if _, err := conn.Write(e.payload); err != nil {
			return
		}
	}
	final := strings.Replace(tokenEvent, `"finish_reason":null`, `"finish_reason":"stop"`, 1)
	_, _ = conn.Write(chunked("data: " + final + "\n\ndata: [DONE]\n\n"))
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// chunked returns text as one chunk of the HTTP chunked encoding.
func chunked(text string) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text) }

func newLockstep(tokens int) *lockstepEngine {
	return &lockstepEngine{turns: map[string]chan struct{}{}, tokens: tokens, payload: chunked("data: " + tokenEvent + "\n\n")}
}

// startRelay starts a router and a sidecar on one table and creates a team with
// a budget.
func startRelay(tb testing.TB, engine http.HandlerFunc) relaySetup {
	tb.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/", engine)
	mux.HandleFunc("/control/", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") })
	target := httptest.NewServer(mux)
	tb.Cleanup(target.Close)
	table := platform.NewMemoryTable()
	url := runRouter(tb, table)
	runSidecar(tb, table, target.URL)
	return relaySetup{url: url, key: createTeam(tb, url)}
}

func runRouter(tb testing.TB, table platform.Table) string {
	tb.Helper()
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	cfg := settings.Router{Host: "h1", FailureDomain: "d1", Operators: []settings.Operator{{Name: "o", KeySHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(operatorKey)))}}}
	cfg.Limits = settings.RouterLimits{BodyBytes: 1 << 20, HeaderBytes: 1 << 15, Connections: 1000, ReadHeaderTimeoutMS: 5000, ReadTimeoutMS: 30000, IdleTimeoutMS: 1000}
	clock := &hlc.Clock{}
	r := New(Options{
		Settings: cfg, Table: table, Clock: clock,
		Logger:   slog.New(slog.DiscardHandler),
		Timeline: timeline.New(timeline.Options{Clock: clock}),
	}, Listeners{Callers: callers, Peers: peers})
	inBackground(tb, r.Run)
	return "http://" + callers.Addr().String()
}

func runSidecar(tb testing.TB, table platform.Table, target string) {
	tb.Helper()
	s, err := sidecar.New(sidecar.Options{
		Kind: sidecar.Engine, Target: "t1", TargetURL: target, Model: "m", Host: "h2", Domain: "d1",
		Listen: "127.0.0.1:0", Table: table, HandoverTimeout: time.Millisecond,
		Logger: slog.New(slog.DiscardHandler),
	})
	assert.NilError(tb, err)
	inBackground(tb, s.Run)
}

// inBackground runs f until the test ends, and then waits until f has returned.
func inBackground(tb testing.TB, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	tb.Cleanup(func() { cancel(); <-done })
}

// createTeam creates a model and a team with a budget. It returns the team's
// key once the router has a healthy target.
func createTeam(tb testing.TB, url string) string {
	tb.Helper()
	ctx := tb.Context()
	client := admin.New(admin.Options{ServerURL: url, OperatorKey: operatorKey})
	var doc policy.Document
	var version int64
	eventually(tb, func() (err error) { doc, version, err = client.Config(ctx); return err })
	doc.Models = map[string]policy.Model{"m": {MaxOutputTokens: 1 << 20, ContextTokens: 1 << 20}}
	_, err := client.PutConfig(ctx, doc, version)
	assert.NilError(tb, err)
	_, err = client.CreateTeam(ctx, admin.CreateTeamRequest{Name: "team"})
	assert.NilError(tb, err)
	key, err := client.AddKey(ctx, "team")
	assert.NilError(tb, err)
	_, err = client.TopUp(ctx, "team", "k", 1<<40)
	assert.NilError(tb, err)
	eventually(tb, func() error {
		targets, err := client.Targets(ctx)
		if err == nil && (len(targets) == 0 || !targets[0].Healthy) {
			err = fmt.Errorf("no target: %v", targets)
		}
		return err
	})
	return key.Key
}

// eventually retries f for up to 5 seconds until it succeeds.
func eventually(tb testing.TB, f func() error) {
	tb.Helper()
	var err error
	for range 200 {
		if err = f(); err == nil {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	tb.Fatal(err)
}

// read receives one stream over its own connection and lets the engine send the
// next token after each one received. It returns the number of tokens.
func (r relaySetup) read(tb testing.TB, e *lockstepEngine, name string) int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		tb.Error(err)
		return 0
	}
	defer conn.Close()
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"turn-%s"}]}`, 1<<19, name)
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", r.key, len(body), body)
	lines := bufio.NewReaderSize(conn, 64<<10)
	turn := e.turn(name)
	if !e.burst {
		turn <- struct{}{}
	}
	tokens := 0
	for {
		line, err := lines.ReadSlice('\n')
		switch {
		case err != nil || bytes.HasPrefix(line, []byte("data: [DONE]")):
			return tokens
		case bytes.HasPrefix(line, []byte("data: {")):
			tokens++
			if tokens < e.tokens && !e.burst {
				turn <- struct{}{}
			}
		case bytes.HasPrefix(line, []byte("HTTP/1.1 ")) && !bytes.Contains(line, []byte("200")):
			tb.Errorf("the router answered %s", line)
			return tokens
		}
	}
}

// readAll receives several streams at once and checks the number of their
// tokens.
func (r relaySetup) readAll(tb testing.TB, e *lockstepEngine, prefix string, streams int) {
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			if got := r.read(tb, e, fmt.Sprint(prefix, "-", i)); got != e.tokens+1 {
				tb.Errorf("stream %d: received %d of %d tokens", i, got, e.tokens+1)
			}
		})
	}
	all.Wait()
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for an invalid argument
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay measures sending one token from an engine through sidecar and
// router to a caller. In lockstep mode each token travels in a chunk of its
// own, which is the most expensive case; in burst mode the engine is faster
// than the relay.
func BenchmarkRelay(b *testing.B) {
	b.Run("lockstep/streams=1", func(b *testing.B) { benchmarkRelay(b, 1, false) })
	b.Run("lockstep/streams=24", func(b *testing.B) { benchmarkRelay(b, 24, false) })
	b.Run("burst/streams=24", func(b *testing.B) { benchmarkRelay(b, 24, true) })
}

func benchmarkRelay(b *testing.B, streams int, burst bool) {
	const perRun = 2000
	engine := newLockstep(perRun)
	engine.burst = burst
	r := startRelay(b, engine.serve)
	b.ReportAllocs()
	cpu := cpuTime()
	b.ResetTimer()
	left := b.N
	for round := 0; left > 0; round++ {
		engine.tokens = min(perRun, (left+streams-1)/streams)
		r.readAll(b, engine, fmt.Sprint(round), streams)
		left -= engine.tokens * streams
	}
	b.StopTimer()
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/op")
}

// countAllocs returns the number of heap allocations while f runs.
func countAllocs(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}
