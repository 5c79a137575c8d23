package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/timing"
)

// idleTimeout is how long an unused connection is kept open.
const idleTimeout = 30 * time.Second

// runner is a run in progress.
type runner struct {
	config   Config
	stats    *stats
	client   *client
	start    time.Time
	inFlight chan struct{} // semaphore of MaxInFlight requests
	calls    sync.WaitGroup
}

// Run sends the load and returns its figures. It ends after the sending phase
// and the drain, or earlier if ctx ends, and leaves no goroutines.
func Run(ctx context.Context, config Config) (*Result, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	r := newRunner(config)
	defer r.client.http.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	faults := &faultLog{}
	r.start = time.Now()
	background.Go(func() { runFaults(ctx, r.client.http, config.Faults, r.start, faults) })
	background.Go(func() { r.progress(ctx) })
	r.send(ctx)
	sendingTime := time.Since(r.start)
	r.drain(cancel)
	background.Wait()
	return r.result(sendingTime, faults.results)
}

func newRunner(config Config) *runner {
	transport := &http.Transport{
		MaxIdleConns:        config.MaxInFlight,
		MaxIdleConnsPerHost: config.MaxInFlight,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	st := newStats(mixes[config.Mix])
	return &runner{
		config:   config,
		stats:    st,
		inFlight: make(chan struct{}, config.MaxInFlight),
		client: &client{
			config: config,
			http:   &http.Client{Transport: transport},
			stats:  st,
			runID:  ulid.Make().String(),
		},
	}
}

// send starts each request at its planned time, whether or not earlier ones have
// ended.
func (r *runner) send(ctx context.Context) {
	plan := newPlanner(r.config)
	for a, ok := plan.next(); ok; a, ok = plan.next() {
		plannedAt := r.start.Add(a.offset)
		if !timing.Sleep(ctx, time.Until(plannedAt)) {
			return
		}
		r.stats.addPlanned(a.kind)
		r.launch(ctx, a, plannedAt)
	}
	timing.Sleep(ctx, time.Until(r.start.Add(r.config.Duration)))
}

func (r *runner) launch(ctx context.Context, a arrival, plannedAt time.Time) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.stats.addSkipped(a.kind)
		return
	}
	r.calls.Go(func() {
		defer func() { <-r.inFlight }()
		r.client.do(ctx, a, plannedAt)
	})
}

// drain waits for outstanding responses up to the configured time and then
// cancels the remaining requests.
func (r *runner) drain(cancel context.CancelFunc) {
	timer := time.AfterFunc(r.config.Drain, cancel)
	defer timer.Stop()
	r.calls.Wait()
	cancel()
}

func (r *runner) progress(ctx context.Context) {
	if r.config.Progress == nil {
		return
	}
	ticker := time.NewTicker(r.config.ProgressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.progressLine()
		}
	}
}

func (r *runner) progressLine() {
	c := r.stats.counts()
	fmt.Fprintf(r.config.Progress,
		"load elapsed=%s sent=%d in_flight=%d complete=%d refused=%d wrong=%d incomplete=%d broken=%d expired=%d skipped=%d retries=%d\n",
		time.Since(r.start).Round(100*time.Millisecond), c.Sent, len(r.inFlight), c.Complete, c.Refused,
		c.Wrong, c.Incomplete, c.Broken, c.Expired, c.Skipped, c.Retries)
}
