package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/standin/engine"
	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// Guards against goroutines that are still running after a run.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newTestConfig(url string) Config {
	c := DefaultConfig()
	c.Targets = []string{url}
	c.Rate = 100
	c.Duration = 500 * time.Millisecond
	c.Drain = 5 * time.Second
	for i := range 5 {
		c.Teams = append(c.Teams, Credential{Team: fmt.Sprint("t", i), Key: fmt.Sprint("k", i)})
	}
	return c
}

func startServer(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func mustRun(t *testing.T, c Config) *Result {
	r, err := Run(t.Context(), c)
	assert.NilError(t, err)
	return r
}

// readBodyAndWait reads a request and sleeps, or returns when the client
// disconnects.
func readBodyAndWait(r *http.Request, d time.Duration) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// Guards against a generator that waits for responses before it sends more
// requests, or that measures latency from the actual instead of the planned send
// time.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	var inFlight, peakInFlight atomic.Int64
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		peakInFlight.Store(max(peakInFlight.Load(), inFlight.Add(1)))
		readBodyAndWait(r, 700*time.Millisecond)
		inFlight.Add(-1)
		fmt.Fprint(w, "{}")
	})
	c := newTestConfig(url)
	c.Mix = "only-submit"
	mixes[c.Mix] = []requestKind{{name: "submission", percent: 100, protocol: servicePost, service: "s", path: "/p"}}
	defer delete(mixes, c.Mix)
	plan := newPlanner(c)
	var planned int64
	for _, ok := plan.next(); ok; _, ok = plan.next() {
		planned++
	}
	r := mustRun(t, c)
	assert.Equal(t, r.All.Counts.Sent, planned)
	assert.Equal(t, r.All.Counts.Complete, planned)
	assert.Equal(t, r.All.Counts.Unchecked, planned)
	assert.Assert(t, peakInFlight.Load() > planned*9/10, "%d of %d at once", peakInFlight.Load(), planned)
	assert.Assert(t, r.All.Total.P50MS >= 699, "%v", r.All.Total)
}

// Guards against requests that pile up in memory when the system under test
// stops responding, and against expired requests missing from the histogram.
func TestInFlightIsBounded(t *testing.T) {
	c := newTestConfig(startServer(t, func(w http.ResponseWriter, r *http.Request) { readBodyAndWait(r, time.Minute) }))
	c.MaxInFlight = 5
	c.Drain = 100 * time.Millisecond
	start := time.Now()
	c.Mix = "only-stream"
	mixes[c.Mix] = []requestKind{{name: "question", percent: 100, protocol: streamedChat, uniqueBytes: 10, minTokens: 5, maxTokens: 9}}
	defer delete(mixes, c.Mix)
	r := mustRun(t, c)
	n := r.All.Counts
	assert.Equal(t, r.All.FirstToken.Count, int64(5))
	assert.Equal(t, n.Sent, int64(5))
	assert.Equal(t, n.Expired, int64(5))
	assert.Equal(t, n.Skipped, n.Planned-5)
	assert.Assert(t, time.Since(start) < 3*time.Second)
}

// Guards against plans that differ although the seed is the same, percentages
// that do not add up to 100, and teams that all get the same load.
func TestPlanIsSeededAndSkewed(t *testing.T) {
	c := newTestConfig("http://127.0.0.1")
	c.Rate, c.Duration = 1000, 10*time.Second
	for _, c.Mix = range []string{MixAssay, MixLeaf} {
		shares := 0
		for _, k := range mixes[c.Mix] {
			shares += k.percent
		}
		assert.Equal(t, shares, 100)
		a, b := newPlanner(c), newPlanner(c)
		teams := make([]int, len(c.Teams))
		for x, ok := a.next(); ok; x, ok = a.next() {
			y, _ := b.next()
			assert.Equal(t, x.offset, y.offset)
			assert.Equal(t, x.nonce, y.nonce)
			assert.Equal(t, x.team, y.team)
			teams[x.team]++
		}
		assert.Assert(t, a.nextIndex > 9500 && a.nextIndex < 10500, "%d arrivals", a.nextIndex)
		assert.Assert(t, teams[0] > 2*teams[2] && teams[4] > 0, "%v", teams)
	}
}

// Guards against a surge that changes the other arrivals. Results with and
// without the surge could then not be compared.
func TestSurgeOnlyAddsArrivals(t *testing.T) {
	c := newTestConfig("http://127.0.0.1")
	c.Rate, c.Duration = 50, 4*time.Second
	plain := newPlanner(c)
	c.Surge = Surge{Team: 1, Rate: 200, Start: time.Second, Length: time.Second}
	surging := newPlanner(c)
	extra := 0
	want, plainLeft := plain.next()
	for x, ok := surging.next(); ok; x, ok = surging.next() {
		if plainLeft && x.offset == want.offset {
			assert.Equal(t, x.team, want.team)
			want, plainLeft = plain.next()
			continue
		}
		extra++
		assert.Assert(t, x.team == 1 && x.offset >= time.Second && x.offset < 2*time.Second)
	}
	assert.Assert(t, !plainLeft && extra > 140 && extra < 260, "%d extra arrivals", extra)
}

// Guards against a retry that is sent before the Retry-After time, with another
// idempotency key, or after an error response that states no retry time.
func TestRetryHonoursRetryAfter(t *testing.T) {
	var mu sync.Mutex
	attemptTimes := map[string][]time.Time{}
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get("Idempotency-Key")
		attemptTimes[key] = append(attemptTimes[key], time.Now())
		w.Header().Set("Content-Type", "application/problem+json")
		if len(attemptTimes[key]) == 1 {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"kind":"overloaded","ran":"no","retry_after_s":1}`)
			return
		}
		w.WriteHeader(http.StatusPaymentRequired)
		fmt.Fprint(w, `{"kind":"budget_exhausted","ran":"no"}`)
	})
	c := newTestConfig(url)
	c.Duration = 100 * time.Millisecond
	r := mustRun(t, c)
	assert.Assert(t, r.All.Counts.Sent > 0)
	assert.Equal(t, int64(len(attemptTimes)), r.All.Counts.Sent)
	for key, attempts := range attemptTimes {
		assert.Equal(t, len(attempts), 2, key)
		assert.Assert(t, attempts[1].Sub(attempts[0]) >= time.Second)
	}
	assert.DeepEqual(t, r.FinalRefusals, map[string]int64{"budget_exhausted/no": r.All.Counts.Sent})
	assert.DeepEqual(t, r.AllRefusals, map[string]int64{
		"budget_exhausted/no": r.All.Counts.Sent, "overloaded/no": r.All.Counts.Sent})
}

// Guards against histograms that miss a known latency, that count a token again
// when a retry repeats it, or that measure the next gap from the repeated token.
func TestHistogramsShowKnownLatency(t *testing.T) {
	c := newTestConfig("http://127.0.0.1")
	st := newStats(mixes[c.Mix])
	start := time.Unix(1000, 0)
	cl := &call{arrival: arrival{kind: &mixes[c.Mix][0], nonce: "a"}, plannedAt: start}
	receiveToken := func(r *responseReader, ms int, token int) {
		r.matcher.feed(sim.EchoToken("a", token))
		r.recordTokenTime(start.Add(time.Duration(ms) * time.Millisecond))
	}
	first := newResponseReader(&client{config: c, stats: st}, cl)
	receiveToken(first, 250, 0)
	receiveToken(first, 290, 1)
	second := newResponseReader(first.client, cl)
	receiveToken(second, 400, 0)
	receiveToken(second, 401, 1)
	receiveToken(second, 500, 2)
	f, err := st.all.figures()
	assert.NilError(t, err)
	assertNear := func(got, want float64) { assert.Assert(t, math.Abs(got-want) <= want/1000, "%v, want %v", got, want) }
	assert.Equal(t, f.FirstToken.Count, int64(1))
	assert.Equal(t, f.TokenGap.Count, int64(2))
	assertNear(f.FirstToken.P50MS, 250)
	assertNear(f.TokenGap.P50MS, 40)
	assertNear(f.TokenGap.MaxMS, 210)
}

// Guards against latencies of a real stream that are shorter than the server's
// delays or attributed to the wrong event. There are no fixed upper bounds,
// because these would depend on the load of the machine.
func TestStreamLatencyIncludesServerDelay(t *testing.T) {
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		nonce := string(body[strings.LastIndex(string(body), "echo:")+5:])
		nonce = nonce[:strings.IndexByte(nonce, '"')]
		for i := range 3 {
			readBodyAndWait(r, 40*time.Millisecond)
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", sim.EchoToken(nonce, i))
			w.(http.Flusher).Flush()
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	})
	c := newTestConfig(url)
	c.ExactLength = false
	c.Mix = "only-stream"
	mixes[c.Mix] = []requestKind{{name: "question", percent: 100, protocol: streamedChat, uniqueBytes: 10, minTokens: 5, maxTokens: 9}}
	defer delete(mixes, c.Mix)
	start := time.Now()
	r := mustRun(t, c)
	elapsed := float64(time.Since(start).Milliseconds())
	assert.Equal(t, r.All.Counts.Complete, r.All.Counts.Sent)
	assert.Equal(t, r.All.TokenGap.Count, 2*r.All.FirstToken.Count)
	assert.Assert(t, r.All.FirstToken.P50MS >= 40 && r.All.FirstToken.MaxMS < elapsed, "%v", r.All.FirstToken)
	assert.Assert(t, r.All.Total.P50MS >= 120 && r.All.Total.MaxMS < elapsed, "%v", r.All.Total)
	assert.Assert(t, r.All.TokenGap.MeanMS >= 35, "%v", r.All.TokenGap)
}

// Guards against a check that accepts responses of other requests and responses
// that are altered, too short or too long.
func TestVerifyCompletion(t *testing.T) {
	good := completionEnd{finishReason: "length", completionTokens: 2, terminated: true}
	for _, c := range []struct {
		text string
		end  completionEnd
		want verdict
	}{
		{"a-0 a-1 ", good, complete},
		{"a-0 b-1 ", good, wrong},
		{"a-0 a-2 ", good, wrong},
		{"a-0 a-1 a-2 ", completionEnd{"length", 3, true}, incomplete},
		{"a-0 ", good, incomplete},
		{"a-0 a-1", good, incomplete},
		{"a-0 a-1 ", completionEnd{"", 2, true}, incomplete},
		{"a-0 a-1 ", completionEnd{"length", 3, true}, incomplete},
		{"a-0 a-1 ", completionEnd{"length", 2, false}, broken},
	} {
		m := &echoMatcher{nonce: "a"}
		for _, piece := range strings.SplitAfter(c.text, "-") {
			m.feed(piece)
		}
		assert.Equal(t, verifyCompletion(m, c.end, 2, true), c.want, "%q %+v", c.text, c.end)
	}
	assert.Equal(t, verifyServiceResponse("other", "a"), wrong)
}

// Guards against requests that the stand-in engine does not understand, faults
// that are not injected, and responses that count as complete although the engine
// truncated them or exceeded max_tokens.
func TestAgainstEngineWithFaults(t *testing.T) {
	engineConfig := engine.DefaultConfig()
	engineConfig.Sim.StepBase = time.Millisecond
	engineConfig.Sim.PrefillPerToken = time.Microsecond
	engineConfig.Sim.PrefillPerStep = 100_000
	engineConfig.Sim.MaxBatch = 200
	s, err := engine.Start(engineConfig)
	assert.NilError(t, err)
	defer s.Close()
	c := newTestConfig(s.URL())
	c.Rate, c.Duration = 40, time.Second
	c.MaxRetries = 2
	c.Faults, err = ParseFaults([]byte(`[{"at_s":0.1,"url":"` + s.URL() + `/control/fault","body":{"mode":"truncate","count":2}},
		{"at_s":0.3,"url":"` + s.URL() + `/control/fault","body":{"mode":"overrun","count":2}}]`))
	assert.NilError(t, err)
	r := mustRun(t, c)
	assert.Equal(t, len(r.Faults), 2)
	assert.Equal(t, r.Faults[0].Status+r.Faults[1].Status, 400)
	n := r.All.Counts
	completions := n.Sent - r.Kinds["submission"].Counts.Sent
	assert.Equal(t, r.All.Counts.Incomplete, int64(2))
	assert.Equal(t, n.Complete, completions-2)
	assert.Equal(t, n.Retries, int64(2))
	assert.Equal(t, r.FinalRefusals["status_404/unknown"], n.Refused) // the engine provides no services

	dir := t.TempDir()
	path := filepath.Join(dir, "a.json")
	assert.NilError(t, r.Save(path))
	named, err := OpenAll([]string{path, path})
	assert.NilError(t, err)
	svg := filepath.Join(dir, "report.svg")
	assert.NilError(t, WriteSVG(svg, named))
	content, err := os.ReadFile(svg)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), "<svg") && strings.Contains(string(content), "a.json"))
	h, err := named[0].All.FirstToken.histogram()
	assert.NilError(t, err)
	assert.Equal(t, h.TotalCount(), r.All.FirstToken.Count)
}

// Guards against a run that continues after its context has ended, because it
// still sends requests or waits for outstanding responses.
func TestRunStopsWithContext(t *testing.T) {
	c := newTestConfig(startServer(t, func(w http.ResponseWriter, r *http.Request) { readBodyAndWait(r, time.Minute) }))
	c.Duration = time.Hour
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := Run(ctx, c)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) < 2*time.Second)
}
