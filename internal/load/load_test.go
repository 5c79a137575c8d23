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

// Guards against goroutines that outlive a run.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func testConfig(url string) Config {
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

func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func run(t *testing.T, c Config) *Result {
	r, err := Run(t.Context(), c)
	assert.NilError(t, err)
	return r
}

// wait sleeps on the server side, unless the client has left.
func wait(r *http.Request, d time.Duration) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// Guards against a generator that waits for answers before it sends more, or
// that counts latency from the actual instead of the planned time.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	var now, most atomic.Int64
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		most.Store(max(most.Load(), now.Add(1)))
		wait(r, 700*time.Millisecond)
		now.Add(-1)
		fmt.Fprint(w, "{}")
	})
	c := testConfig(url)
	c.Mix = "only-submit"
	mixes[c.Mix] = []kind{{name: "submission", share: 100, form: submit, service: "s", path: "/p"}}
	defer delete(mixes, c.Mix)
	plan := newPlanner(c)
	var planned int64
	for _, ok := plan.next(); ok; _, ok = plan.next() {
		planned++
	}
	r := run(t, c)
	assert.Equal(t, r.All.Counts.Sent, planned)
	assert.Equal(t, r.All.Counts.Complete, planned)
	assert.Equal(t, r.All.Counts.Unchecked, planned)
	assert.Assert(t, most.Load() > planned*9/10, "%d of %d at once", most.Load(), planned)
	assert.Assert(t, r.All.Total.P50MS >= 699, "%v", r.All.Total)
}

// Guards against arrivals that pile up in memory when the system stands still,
// and against requests given up that vanish from the histogram.
func TestInFlightIsBounded(t *testing.T) {
	c := testConfig(serve(t, func(w http.ResponseWriter, r *http.Request) { wait(r, time.Minute) }))
	c.MaxInFlight = 5
	c.Drain = 100 * time.Millisecond
	began := time.Now()
	c.Mix = "only-stream"
	mixes[c.Mix] = []kind{{name: "question", share: 100, form: streamed, own: 10, minTokens: 5, maxTokens: 9}}
	defer delete(mixes, c.Mix)
	r := run(t, c)
	n := r.All.Counts
	assert.Equal(t, r.All.FirstToken.Count, int64(5))
	assert.Equal(t, n.Sent, int64(5))
	assert.Equal(t, n.Expired, int64(5))
	assert.Equal(t, n.Skipped, n.Planned-5)
	assert.Assert(t, time.Since(began) < 3*time.Second)
}

// Guards against plans that differ under one seed, shares that do not add up,
// and a team distribution without large teams.
func TestPlanIsSeededAndSkewed(t *testing.T) {
	c := testConfig("http://127.0.0.1")
	c.Rate, c.Duration = 1000, 10*time.Second
	for _, c.Mix = range []string{MixAssay, MixLeaf} {
		shares := 0
		for _, k := range mixes[c.Mix] {
			shares += k.share
		}
		assert.Equal(t, shares, 100)
		a, b := newPlanner(c), newPlanner(c)
		teams := make([]int, len(c.Teams))
		for x, ok := a.next(); ok; x, ok = a.next() {
			y, _ := b.next()
			assert.Equal(t, x.at, y.at)
			assert.Equal(t, x.word, y.word)
			assert.Equal(t, x.team, y.team)
			teams[x.team]++
		}
		assert.Assert(t, a.number > 9500 && a.number < 10500, "%d arrivals", a.number)
		assert.Assert(t, teams[0] > 2*teams[2] && teams[4] > 0, "%v", teams)
	}
}

// Guards against a surge that changes the other arrivals, which would make
// results with and without it incomparable.
func TestSurgeOnlyAddsArrivals(t *testing.T) {
	c := testConfig("http://127.0.0.1")
	c.Rate, c.Duration = 50, 4*time.Second
	plain := newPlanner(c)
	c.Surge = Surge{Team: 1, Rate: 200, Start: time.Second, Length: time.Second}
	surging := newPlanner(c)
	extra := 0
	want, more := plain.next()
	for x, ok := surging.next(); ok; x, ok = surging.next() {
		if more && x.at == want.at {
			assert.Equal(t, x.team, want.team)
			want, more = plain.next()
			continue
		}
		extra++
		assert.Assert(t, x.team == 1 && x.at >= time.Second && x.at < 2*time.Second)
	}
	assert.Assert(t, !more && extra > 140 && extra < 260, "%d extra arrivals", extra)
}

// Guards against a repeat that comes before Retry-After, under another key, or
// after a refusal that names no time.
func TestRetryHonoursRetryAfter(t *testing.T) {
	var mu sync.Mutex
	times := map[string][]time.Time{}
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get("Idempotency-Key")
		times[key] = append(times[key], time.Now())
		w.Header().Set("Content-Type", "application/problem+json")
		if len(times[key]) == 1 {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"kind":"overloaded","ran":"no","retry_after_s":1}`)
			return
		}
		w.WriteHeader(http.StatusPaymentRequired)
		fmt.Fprint(w, `{"kind":"budget_exhausted","ran":"no"}`)
	})
	c := testConfig(url)
	c.Duration = 100 * time.Millisecond
	r := run(t, c)
	assert.Assert(t, r.All.Counts.Sent > 0)
	assert.Equal(t, int64(len(times)), r.All.Counts.Sent)
	for key, at := range times {
		assert.Equal(t, len(at), 2, key)
		assert.Assert(t, at[1].Sub(at[0]) >= time.Second)
	}
	assert.DeepEqual(t, r.FinalRefusals, map[string]int64{"budget_exhausted/no": r.All.Counts.Sent})
	assert.DeepEqual(t, r.AllRefusals, map[string]int64{
		"budget_exhausted/no": r.All.Counts.Sent, "overloaded/no": r.All.Counts.Sent})
}

// Guards against histograms that miss a known latency, that count a repeated
// token twice, or that start a gap at the repeat.
func TestHistogramsShowKnownLatency(t *testing.T) {
	c := testConfig("http://127.0.0.1")
	st := newStats(mixes[c.Mix])
	start := time.Unix(1000, 0)
	cl := &call{arrival: arrival{kind: &mixes[c.Mix][0], word: "a"}, intended: start}
	at := func(r *reader, ms int, token int) {
		r.match.feed(sim.EchoToken("a", token))
		r.time(start.Add(time.Duration(ms) * time.Millisecond))
	}
	first := newReader(&client{config: c, stats: st}, cl)
	at(first, 250, 0)
	at(first, 290, 1)
	second := newReader(first.client, cl)
	at(second, 400, 0)
	at(second, 401, 1)
	at(second, 500, 2)
	f, err := st.all.figures()
	assert.NilError(t, err)
	near := func(got, want float64) { assert.Assert(t, math.Abs(got-want) <= want/1000, "%v, want %v", got, want) }
	assert.Equal(t, f.FirstToken.Count, int64(1))
	assert.Equal(t, f.TokenGap.Count, int64(2))
	near(f.FirstToken.P50MS, 250)
	near(f.TokenGap.P50MS, 40)
	near(f.TokenGap.MaxMS, 210)
}

// Guards against latencies of a real stream that are shorter than the server's
// delays or attributed to the wrong event. Upper bounds would depend on the load
// of the machine.
func TestStreamLatencyIncludesServerDelay(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		word := string(body[strings.LastIndex(string(body), "echo:")+5:])
		word = word[:strings.IndexByte(word, '"')]
		for i := range 3 {
			wait(r, 40*time.Millisecond)
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", sim.EchoToken(word, i))
			w.(http.Flusher).Flush()
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	})
	c := testConfig(url)
	c.ExactLength = false
	c.Mix = "only-stream"
	mixes[c.Mix] = []kind{{name: "question", share: 100, form: streamed, own: 10, minTokens: 5, maxTokens: 9}}
	defer delete(mixes, c.Mix)
	began := time.Now()
	r := run(t, c)
	elapsed := float64(time.Since(began).Milliseconds())
	assert.Equal(t, r.All.Counts.Complete, r.All.Counts.Sent)
	assert.Equal(t, r.All.TokenGap.Count, 2*r.All.FirstToken.Count)
	assert.Assert(t, r.All.FirstToken.P50MS >= 40 && r.All.FirstToken.MaxMS < elapsed, "%v", r.All.FirstToken)
	assert.Assert(t, r.All.Total.P50MS >= 120 && r.All.Total.MaxMS < elapsed, "%v", r.All.Total)
	assert.Assert(t, r.All.TokenGap.MeanMS >= 35, "%v", r.All.TokenGap)
}

// Guards against a check that passes foreign, altered, short or long answers.
func TestJudge(t *testing.T) {
	good := ending{finish: "length", usage: 2, done: true}
	for _, c := range []struct {
		text string
		end  ending
		want verdict
	}{
		{"a-0 a-1 ", good, complete},
		{"a-0 b-1 ", good, wrong},
		{"a-0 a-2 ", good, wrong},
		{"a-0 a-1 a-2 ", ending{"length", 3, true}, incomplete},
		{"a-0 ", good, incomplete},
		{"a-0 a-1", good, incomplete},
		{"a-0 a-1 ", ending{"", 2, true}, incomplete},
		{"a-0 a-1 ", ending{"length", 3, true}, incomplete},
		{"a-0 a-1 ", ending{"length", 2, false}, broken},
	} {
		m := &matcher{word: "a"}
		for _, piece := range strings.SplitAfter(c.text, "-") {
			m.feed(piece)
		}
		assert.Equal(t, judge(m, c.end, 2, true), c.want, "%q %+v", c.text, c.end)
	}
	assert.Equal(t, judgeService("other", "a"), wrong)
}

// Guards against a load that the stand-in does not understand, a schedule that
// is not carried out, and truncated answers that pass as complete.
func TestAgainstEngineWithFaults(t *testing.T) {
	ec := engine.DefaultConfig()
	ec.Sim.StepBase = time.Millisecond
	ec.Sim.PrefillPerToken = time.Microsecond
	ec.Sim.PrefillPerStep = 100_000
	ec.Sim.MaxBatch = 200
	s, err := engine.Start(ec)
	assert.NilError(t, err)
	defer s.Close()
	c := testConfig(s.URL())
	c.Rate, c.Duration = 40, time.Second
	c.MaxRetries = 2
	c.Faults, err = ParseFaults([]byte(`[{"at_s":0.1,"url":"` + s.URL() + `/control/fault","body":{"mode":"truncate","count":2}},
		{"at_s":0.3,"url":"` + s.URL() + `/control/fault","body":{"mode":"overrun","count":2}}]`))
	assert.NilError(t, err)
	r := run(t, c)
	assert.Equal(t, len(r.Faults), 2)
	assert.Equal(t, r.Faults[0].Status+r.Faults[1].Status, 400)
	n := r.All.Counts
	completions := n.Sent - r.Kinds["submission"].Counts.Sent
	assert.Equal(t, r.All.Counts.Incomplete, int64(2))
	assert.Equal(t, n.Complete, completions-2)
	assert.Equal(t, n.Retries, int64(2))
	assert.Equal(t, r.FinalRefusals["status_404/unknown"], n.Refused) // the engine has no services

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

// Guards against a run that goes on after its context ended.
func TestRunStopsWithContext(t *testing.T) {
	c := testConfig(serve(t, func(w http.ResponseWriter, r *http.Request) { wait(r, time.Minute) }))
	c.Duration = time.Hour
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := Run(ctx, c)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}
