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

// Guards against a request that lets the engine omit usage, exceed the cap or
// use a priority chosen by the caller, because the caller's body was sent without
// rewriting it, and against a wrong charge for a whole answer.
func TestWholeAnswer(t *testing.T) {
	bodies := make(chan map[string]any, 1)
	headers := make(chan http.Header, 1)
	target := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		bodies <- decodeBody(r)
		headers <- r.Header
		writeWholeAnswer(w, r)
	})
	r := dialRouter(t, startSidecar(t, testOptions(target.URL)).addr, "h1", nil)
	assert.Assert(t, r.start(t, completionRun("r1")).Accepted)
	end := receive(t, r.ends)
	want := []string{tokenEvent("a"), tokenEvent("b"), finishEvent, usageEvent}
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

// Guards against reporting a truncated answer as whole, and against suspecting
// its request of a crash although the engine is up. The stream ends without
// [DONE] or without a finish reason, or its connection breaks.
func TestTruncatedAnswerIsNotWhole(t *testing.T) {
	cases := map[string]struct {
		serve   http.HandlerFunc
		outcome ledger.Outcome
	}{
		"no done": {func(w http.ResponseWriter, _ *http.Request) {
			writeEvent(w, tokenEvent("a"))
			writeEvent(w, finishEvent)
		}, ledger.Failed},
		"no finish": {func(w http.ResponseWriter, _ *http.Request) {
			writeEvent(w, tokenEvent("a"))
			writeEvent(w, "[DONE]")
		}, ledger.Failed},
		"broken connection": {func(w http.ResponseWriter, _ *http.Request) {
			writeEvent(w, tokenEvent("a"))
			writeEvent(w, finishEvent)
			panic(http.ErrAbortHandler)
		}, ledger.Crashed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := dialRouter(t, startSidecar(t, testOptions(startEngine(t, c.serve).URL)).addr, "h1", nil)
			r.start(t, completionRun("r1"))
			end := receive(t, r.ends)
			assert.Equal(t, end.Record.Outcome, c.outcome)
			assert.Assert(t, end.Kind != "")
			assert.Assert(t, !end.Suspect)
		})
	}
}

// Guards against tokens above the cap from an engine that ignores max_tokens,
// and against an answer without usage, because the answer is cut off before the
// engine sends it.
func TestOverrunIsCapped(t *testing.T) {
	clientGone := make(chan struct{})
	target := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(clientGone)
		for r.Context().Err() == nil {
			writeEvent(w, tokenEvent("x"))
		}
	})
	r := dialRouter(t, startSidecar(t, testOptions(target.URL)).addr, "h1", nil)
	r.start(t, completionRun("r1"))
	end := receive(t, r.ends)
	receive(t, clientGone)
	assert.Equal(t, end.Record.Outcome, ledger.Capped)
	answer := strings.Join(r.answer(t, end), "\n")
	assert.Equal(t, strings.Count(answer, `"content":"x"`), 10)
	assert.Equal(t, strings.Count(answer, `"finish_reason":"length"`), 1)
	assert.Equal(t, strings.Count(answer, `"choices":[],"usage":{`), 1)
	assert.Equal(t, strings.Count(answer, `"completion_tokens":10,`), 1)
	assert.Assert(t, end.Record.Charged <= end.Record.Reserved)
}

// Guards against holding the reservation for the whole stall timeout when an
// engine stops sending at the cap without closing the stream.
func TestSilenceAtCapIsCapped(t *testing.T) {
	target := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		for range 10 {
			writeEvent(w, tokenEvent("x"))
		}
		<-r.Context().Done()
	})
	r := dialRouter(t, startSidecar(t, testOptions(target.URL)).addr, "h1", nil)
	r.start(t, completionRun("r1"))
	end := receive(t, r.ends)
	assert.Equal(t, end.Record.Outcome, ledger.Capped)
	assert.Equal(t, end.Record.OutputTokens, int64(10))
}

// Guards against charging a run for which the target received nothing, because
// it refused the connection, and against an error kind that prevents a retry at
// another target.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	target := startEngine(t, writeWholeAnswer)
	target.Close()
	r := dialRouter(t, startSidecar(t, testOptions(target.URL)).addr, "h1", nil)
	r.start(t, completionRun("r1"))
	end := receive(t, r.ends)
	assert.Equal(t, end.Kind, errkind.NoTarget)
	assert.Equal(t, end.Record.Outcome, ledger.Failed)
	assert.Equal(t, end.Record.Charged, int64(0))
}

// Guards against a router that does not read its connection and thereby delays
// the engine's stream or the runs of another router, because the sidecar waits
// until the full socket of the first accepts more.
func TestSlowReaderDelaysNobody(t *testing.T) {
	t.Parallel()
	const size, count = 16 << 10, 280 // 4.6 MB; a loopback socket holds 3.9 MB
	produced := make(chan struct{})
	target := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Run-Id") != "big" {
			writeWholeAnswer(w, r)
			return
		}
		big := tokenEvent(strings.Repeat("x", size))
		for range count {
			writeEvent(w, big)
		}
		writeEvent(w, finishEvent)
		writeEvent(w, "[DONE]")
		close(produced)
	})
	opts := testOptions(target.URL)
	opts.Limits.MaxBytes, opts.Limits.MaxRunBytes = 64<<20, 64<<20
	p := startSidecar(t, opts)
	gate := make(chan struct{})
	slow := dialRouter(t, p.addr, "h1", gate)
	fast := dialRouter(t, p.addr, "h2", nil)
	big := completionRun("big")
	big.OutputCap, big.Reserved, big.Resumable = 2*count, 3*count, true
	// The reply is queued behind notifications that the slow router does not
	// read, so the test does not wait for it.
	go func() { _ = slow.conn.Call(context.Background(), wire.MethodRunStart, big, nil) }()
	receive(t, produced)
	fast.start(t, completionRun("small"))
	assert.Equal(t, receive(t, fast.ends).Record.Outcome, ledger.Complete)
	assert.Equal(t, len(slow.ends), 0)
	close(gate)
	end := receive(t, slow.ends)
	assert.Equal(t, end.Record.Outcome, ledger.Complete)
	assert.Equal(t, len(slow.answer(t, end)), count+1)
}

// Guards against runs that stay in progress after the target has crashed, and
// against reporting innocent requests as suspects: if a known suspect was in
// flight, only that one is reported.
func TestCrashEndsAllRuns(t *testing.T) {
	target := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvent(w, tokenEvent("a"))
		<-r.Context().Done()
	})
	r := dialRouter(t, startSidecar(t, testOptions(target.URL)).addr, "h1", nil)
	poison := completionRun("poison")
	poison.Suspect = true
	r.start(t, poison)
	r.start(t, completionRun("other"))
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

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition was not met in time")
		}
	}
}

// Guards against calling a service twice when the connection breaks. On reused
// connections, net/http would resend the request by itself.
func TestServiceIsCalledOnce(t *testing.T) {
	var calls atomic.Int32
	target := startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = w.Write([]byte("fee registered"))
			return
		}
		panic(http.ErrAbortHandler)
	})
	opts := testOptions(target.URL)
	opts.Kind, opts.Model, opts.Service = sidecar.Service, "", "fees"
	r := dialRouter(t, startSidecar(t, opts).addr, "h1", nil)
	for i, want := range []errkind.Kind{"", errkind.OutcomeUnknown} {
		m := completionRun([]string{"r1", "r2"}[i])
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
