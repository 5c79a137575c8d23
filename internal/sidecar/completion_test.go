package sidecar_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Guards against a request that the engine may answer without usage, beyond the
// cap or at a priority of the caller's choice, and against a wrong bill of a whole answer.
func TestWholeAnswer(t *testing.T) {
	bodies := make(chan map[string]any, 1)
	headers := make(chan http.Header, 1)
	target := engine(t, func(w http.ResponseWriter, r *http.Request) {
		bodies <- readBody(r)
		headers <- r.Header
		serveWhole(w, r)
	})
	r := dial(t, startSidecar(t, options(target.URL)).addr, "h1", nil)
	assert.Assert(t, r.start(t, completion("r1")).Accepted)
	end := receive(t, r.ends)
	want := []string{token("a"), token("b"), finish, usage}
	for i := range want {
		want[i] = canonical(t, want[i])
	}
	assert.DeepEqual(t, r.answer(t, end), want)
	assert.Equal(t, end.Record.Outcome, ledger.Complete)
	assert.Equal(t, end.Record.Charged, int64(9))
	body := receive(t, bodies)
	assert.Equal(t, body["stream"], true)
	assert.Equal(t, body["max_tokens"], 10.0)
	assert.Equal(t, body["priority"], 4.0)
	assert.Equal(t, body["stream_options"].(map[string]any)["include_usage"], true)
	got := receive(t, headers)
	assert.Equal(t, got.Get("X-Team"), "team")
	assert.Equal(t, got.Get("X-Run-Id"), "r1")
	assert.Equal(t, got.Get("X-Request-Id"), "request-r1")
	assert.Equal(t, got.Get("Idempotency-Key"), "key-r1")
}

// Guards against a truncated answer that passes for a whole one, and against
// blaming its request for a crash while the engine is up.
func TestTruncatedAnswerIsNotWhole(t *testing.T) {
	cases := map[string]struct {
		serve   http.HandlerFunc
		outcome ledger.Outcome
	}{
		"no done": {func(w http.ResponseWriter, _ *http.Request) {
			event(w, token("a"))
			event(w, finish)
		}, ledger.Failed},
		"no finish": {func(w http.ResponseWriter, _ *http.Request) {
			event(w, token("a"))
			event(w, "[DONE]")
		}, ledger.Failed},
		"broken connection": {func(w http.ResponseWriter, _ *http.Request) {
			event(w, token("a"))
			event(w, finish)
			panic(http.ErrAbortHandler)
		}, ledger.Crashed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := dial(t, startSidecar(t, options(engine(t, c.serve).URL)).addr, "h1", nil)
			r.start(t, completion("r1"))
			end := receive(t, r.ends)
			assert.Equal(t, end.Record.Outcome, c.outcome)
			assert.Assert(t, end.Kind != "")
			assert.Assert(t, !end.Suspect)
		})
	}
}

// Guards against tokens beyond the cap from an engine that ignores max_tokens,
// and against an answer without usage, which the engine has not sent yet.
func TestOverrunIsCapped(t *testing.T) {
	left := make(chan struct{})
	target := engine(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(left)
		for r.Context().Err() == nil {
			event(w, token("x"))
		}
	})
	r := dial(t, startSidecar(t, options(target.URL)).addr, "h1", nil)
	r.start(t, completion("r1"))
	end := receive(t, r.ends)
	receive(t, left)
	assert.Equal(t, end.Record.Outcome, ledger.Capped)
	answer := strings.Join(r.answer(t, end), "\n")
	assert.Equal(t, strings.Count(answer, `"content":"x"`), 10)
	assert.Equal(t, strings.Count(answer, `"finish_reason":"length"`), 1)
	assert.Equal(t, strings.Count(answer, `"choices":[],"usage":{`), 1)
	assert.Equal(t, strings.Count(answer, `"completion_tokens":10,`), 1)
	assert.Assert(t, end.Record.Charged <= end.Record.Reserved)
}

// Guards against an engine that stops silently at the cap and would keep the
// reservation for the stall limit.
func TestSilenceAtCapIsCapped(t *testing.T) {
	target := engine(t, func(w http.ResponseWriter, r *http.Request) {
		for range 10 {
			event(w, token("x"))
		}
		<-r.Context().Done()
	})
	r := dial(t, startSidecar(t, options(target.URL)).addr, "h1", nil)
	r.start(t, completion("r1"))
	end := receive(t, r.ends)
	assert.Equal(t, end.Record.Outcome, ledger.Capped)
	assert.Equal(t, end.Record.OutputTokens, int64(10))
}

// Guards against a bill, or a lost retry elsewhere, for a run of which the
// target received nothing.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	target := engine(t, serveWhole)
	target.Close()
	r := dial(t, startSidecar(t, options(target.URL)).addr, "h1", nil)
	r.start(t, completion("r1"))
	end := receive(t, r.ends)
	assert.Equal(t, end.Kind, errkind.NoTarget)
	assert.Equal(t, end.Record.Outcome, ledger.Failed)
	assert.Equal(t, end.Record.Charged, int64(0))
}

// Guards against a router that does not read delaying the engine's stream or
// the runs of another router.
func TestSlowReaderDelaysNobody(t *testing.T) {
	t.Parallel()
	const size, count = 16 << 10, 280 // 4.6 MB; a loopback socket holds 3.9 MB
	produced := make(chan struct{})
	target := engine(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Run-Id") != "big" {
			serveWhole(w, r)
			return
		}
		big := token(strings.Repeat("x", size))
		for range count {
			event(w, big)
		}
		event(w, finish)
		event(w, "[DONE]")
		close(produced)
	})
	opts := options(target.URL)
	opts.Limits.MaxBytes, opts.Limits.MaxRunBytes = 64<<20, 64<<20
	p := startSidecar(t, opts)
	hold := make(chan struct{})
	slow := dial(t, p.addr, "h1", hold)
	fast := dial(t, p.addr, "h2", nil)
	big := completion("big")
	big.OutputCap, big.Reserved, big.Resumable = 2*count, 3*count, true
	// The reply follows notifications that the slow router does not read, so
	// nothing waits for it.
	go func() { _ = slow.conn.Call(context.Background(), wire.MethodRunStart, big, nil) }()
	receive(t, produced)
	fast.start(t, completion("small"))
	assert.Equal(t, receive(t, fast.ends).Record.Outcome, ledger.Complete)
	assert.Equal(t, len(slow.ends), 0)
	close(hold)
	end := receive(t, slow.ends)
	assert.Equal(t, end.Record.Outcome, ledger.Complete)
	assert.Equal(t, len(slow.answer(t, end)), count+1)
}

// Guards against wrong suspects: with a known suspect in flight, only that one
// is reported when the target goes away.
func TestCrashEndsAllRuns(t *testing.T) {
	target := engine(t, func(w http.ResponseWriter, r *http.Request) {
		event(w, token("a"))
		<-r.Context().Done()
	})
	r := dial(t, startSidecar(t, options(target.URL)).addr, "h1", nil)
	poison := completion("poison")
	poison.Suspect = true
	r.start(t, poison)
	r.start(t, completion("other"))
	waitFor(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.chunks) == 2
	})
	_ = target.Listener.Close()
	target.CloseClientConnections()
	for range 2 {
		end := receive(t, r.ends)
		assert.Equal(t, end.Record.Outcome, ledger.Crashed)
		assert.Equal(t, end.Suspect, end.RunID == "poison")
		assert.Equal(t, end.Alone, end.RunID == "poison")
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("condition does not hold in time")
		}
	}
}

// Guards against a second call of a service when the connection breaks, which
// net/http makes by itself on reused connections.
func TestServiceIsCalledOnce(t *testing.T) {
	var calls atomic.Int32
	target := engine(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = w.Write([]byte("fee registered"))
			return
		}
		panic(http.ErrAbortHandler)
	})
	opts := options(target.URL)
	opts.Kind, opts.Model, opts.Service = sidecar.Service, "", "fees"
	r := dial(t, startSidecar(t, opts).addr, "h1", nil)
	for i, want := range []errkind.Kind{"", errkind.OutcomeUnknown} {
		m := completion([]string{"r1", "r2"}[i])
		m.Kind, m.Service, m.Model = wire.ServiceRun, "fees", ""
		r.start(t, m)
		end := receive(t, r.ends)
		assert.Equal(t, end.Kind, want)
		assert.Equal(t, calls.Load(), int32(i+1))
		again := r.start(t, m)
		assert.Assert(t, again.Existing)
		receive(t, r.ends)
		assert.Equal(t, calls.Load(), int32(i+1))
	}
}
