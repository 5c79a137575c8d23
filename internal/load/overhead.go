package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/timing"
)

// Limits and times of an overhead comparison.
const (
	maxOverheadRepeats   = 100
	maxOverheadTokens    = 100_000                // per response
	overheadWarmUp       = 1 * time.Second        // sending phase before the first repetition, not measured
	memorySampleInterval = 100 * time.Millisecond // time between memory samples
)

// OverheadConfig configures a comparison of a direct connection to an engine
// with the path to the same engine through router and sidecar. The defaults
// below are those of DefaultOverheadConfig.
type OverheadConfig struct {
	Direct         string        // base URL of the engine
	Routed         string        // base URL of the router
	RouterMetrics  string        // URL of the router's metrics
	SidecarMetrics string        // URL of the sidecar's metrics
	Key            string        // caller key for the router
	Model          string        // default standin-model
	Rate           float64       // mean arrivals per second over both paths; default 20
	Tokens         int           // tokens of each response; default 400
	PromptBytes    int           // size of each prompt; default 400
	Duration       time.Duration // of the sending phase of a repetition; default 10 s
	Timeout        time.Duration // of a request, from its planned send time; default 30 s
	Repeats        int           // repetitions, at least 3; default 3
	Keyed          bool          // routed requests carry an Idempotency-Key
	Seed           uint64        // default 1
	Progress       io.Writer     // receives a line per repetition; nil for none
}

// DefaultOverheadConfig returns the default configuration, without URLs and Key.
func DefaultOverheadConfig() OverheadConfig {
	return OverheadConfig{
		Model:       "standin-model",
		Rate:        20,
		Tokens:      400,
		PromptBytes: 400,
		Duration:    10 * time.Second,
		Timeout:     30 * time.Second,
		Repeats:     3,
		Seed:        1,
	}
}

// Validate returns an error for the first invalid setting.
func (c OverheadConfig) Validate() error {
	checks := []struct {
		ok   bool
		text string
	}{
		{isHTTPURL(c.Direct), "direct must be an http URL"},
		{isHTTPURL(c.Routed), "routed must be an http URL"},
		{isHTTPURL(c.RouterMetrics), "router metrics must be an http URL"},
		{isHTTPURL(c.SidecarMetrics), "sidecar metrics must be an http URL"},
		{c.Model != "", "a model is required"},
		{c.Rate > 0 && c.Rate <= maxRate, "rate must be above 0 and at most 20000"},
		{c.Tokens > 1 && c.Tokens <= maxOverheadTokens, "tokens must be between 2 and 100000"},
		{c.PromptBytes > 0 && c.PromptBytes <= maxLineBytes, "prompt bytes must be between 1 and 1048576"},
		{c.Duration > 0 && c.Duration <= maxDuration, "duration must be above 0 and at most 6h"},
		{c.Timeout > 0, "timeout must be positive"},
		{c.Repeats >= 3 && c.Repeats <= maxOverheadRepeats, "repeats must be between 3 and 100"},
	}
	for _, check := range checks {
		if !check.ok {
			return eris.New("load: " + check.text)
		}
	}
	return nil
}

// overheadRun is a comparison in progress.
type overheadRun struct {
	config     OverheadConfig
	http       *http.Client
	runID      string // makes idempotency keys unique
	random     *rand.Rand
	nextNumber int // number of the next request; even ones take the direct path
}

// MeasureOverhead measures the latency and cost that router and sidecar add.
// Requests alternate between the paths, so both see the same state of the engine
// and the machine.
func MeasureOverhead(ctx context.Context, config OverheadConfig) (*OverheadResult, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	r := newOverheadRun(config)
	defer r.http.CloseIdleConnections()
	result := newOverheadResult(config)
	r.send(ctx, min(overheadWarmUp, config.Duration), new(openStreams))
	for range config.Repeats {
		repetition, err := r.runRepetition(ctx)
		if err != nil {
			return nil, err
		}
		result.Repetitions = append(result.Repetitions, repetition)
		repetition.progress(config.Progress, len(result.Repetitions))
	}
	result.summarize()
	return result, nil
}

func newOverheadRun(config OverheadConfig) *overheadRun {
	transport := &http.Transport{
		MaxIdleConns:        maxInFlight,
		MaxIdleConnsPerHost: maxInFlight,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &overheadRun{
		config: config,
		http:   &http.Client{Transport: transport},
		runID:  ulid.Make().String(),
		random: rand.New(rand.NewPCG(config.Seed, 0)),
	}
}

// openStreams counts the streams in progress on the routed path.
type openStreams struct{ atomic.Int64 }

func (r *overheadRun) runRepetition(ctx context.Context) (*Repetition, error) {
	before, err := r.readProcesses(ctx)
	if err != nil {
		return nil, err
	}
	routedStreams := new(openStreams)
	sampler := startMemorySampler(ctx, r, before, routedStreams)
	start := time.Now()
	direct, routed := r.send(ctx, r.config.Duration, routedStreams)
	elapsed := time.Since(start)
	peaks := sampler.stop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	after, err := r.readProcesses(ctx)
	if err != nil {
		return nil, err
	}
	if direct.complete == 0 || routed.complete == 0 {
		return nil, eris.Errorf("load: a path has no complete responses to compare; failures: direct %v, routed %v", direct.failures, routed.failures)
	}
	return newRepetition(direct, routed, elapsed, newProcessUsage(before, after, peaks)), nil
}

// send sends requests at their planned times and waits until all have ended. It
// returns the figures of both paths.
func (r *overheadRun) send(ctx context.Context, duration time.Duration, routedStreams *openStreams) (direct, routed *pathStats) {
	direct, routed = newPathStats(), newPathStats()
	var calls sync.WaitGroup
	start := time.Now()
	for at := r.nextGap(); at < duration; at += r.nextGap() {
		plannedAt := start.Add(at)
		if !timing.Sleep(ctx, time.Until(plannedAt)) {
			break
		}
		number := r.nextNumber
		r.nextNumber++
		if number%2 == 0 {
			calls.Go(func() { r.call(ctx, number, plannedAt, direct, nil) })
			continue
		}
		calls.Go(func() { r.call(ctx, number, plannedAt, routed, routedStreams) })
	}
	calls.Wait()
	return direct, routed
}

// nextGap returns the time to the next arrival of a Poisson process.
func (r *overheadRun) nextGap() time.Duration {
	return time.Duration(r.random.ExpFloat64() / r.config.Rate * float64(time.Second))
}
