// Package gateway is the router's second way in: HTTP requests by host and
// path prefix, forwarded byte for byte to the targets of a service. It holds
// the sockets and timers; the decisions are in internal/core.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/retry"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/prepaid"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

// RequestMeta is what a request's headers say to the router.
type RequestMeta struct {
	RequestID         string
	TeamKey           string        // of a team
	Deadline          time.Duration // how long the caller waits; 0 if it does not say
	PromptTokens      int64
	OutputTokens      int64    // at most
	SharedPromptParts []string // of the prompt, without the request's own part
	LastEventID       int64    // -1 if the request does not resume a stream
}

// AttemptInfo is what the router tells a target about an attempt.
type AttemptInfo struct {
	Target      string // id of the target that is to run it
	Team        string
	Priority    int // 0 to 9, 0 is the most urgent; -1 if not set
	TimeLeft    time.Duration
	ResumeAfter int64 // last event that the caller has; -1 to leave the caller's header
}

// AnswerInfo is what the head of an answer says about an attempt.
type AnswerInfo struct {
	NotRun bool // the target states that it did not run the request
	Signed bool // the answer carries the target's signature
}

// Codec translates headers between the product and the deployment.
type Codec interface {
	// ParseRequest decodes a caller's headers.
	ParseRequest(h http.Header) (RequestMeta, error)
	// AttemptHeaders returns the headers of an attempt.
	AttemptHeaders(caller http.Header, a AttemptInfo) http.Header
	// ParseAnswer reads the head of an answer. own reports whether it answers the
	// request with the given id.
	ParseAnswer(r *http.Response, requestID string) (v AnswerInfo, own bool)
	// CallerHeaders returns the headers of an answer for the caller.
	CallerHeaders(h http.Header) http.Header
}

// Options configures a Gateway.
type Options struct {
	Codec       Codec
	Budgets     *prepaid.Manager
	Paths       *StorePaths    // to the store; nil if its path is fixed
	Table       platform.Table // for reports of crashes
	Retries     retry.Limits
	Logger      *slog.Logger
	Metrics     *Metrics
	GracePeriod time.Duration // from the stop signal to the end of the process
}

// Gateway serves callers. Create one with New.
type Gateway struct {
	opt    Options
	pool   *upstream.Pool
	config atomic.Pointer[httproute.Config]
	phase  atomic.Int32
	open   atomic.Int64 // requests in progress
	since  time.Time    // of the stop signal; set before phase

	mu         sync.Mutex
	view       *targets.View
	retries    map[string]*retry.Budget
	quarantine *quarantine.Tracker
	breaks     map[string][]brokenRun // by target, of the last breakWindow
}

// Phases of the process.
const (
	phaseServing int32 = iota
	phaseDraining
)

// New returns a gateway without a configuration. It answers 503 until it has
// one.
func New(o Options) *Gateway {
	g := &Gateway{
		opt:        o,
		pool:       upstream.NewPool(upstream.Options{}),
		view:       targets.NewView(rand.Uint64()),
		retries:    map[string]*retry.Budget{},
		quarantine: quarantine.NewTracker(),
		breaks:     map[string][]brokenRun{},
	}
	o.Metrics.Registry.MustRegister(g)
	return g
}

// SetConfig puts a version of the configuration in force. Versions never go
// back.
func (g *Gateway) SetConfig(d *httproute.Config) {
	for {
		old := g.config.Load()
		if old != nil && old.Version >= d.Version {
			return
		}
		if g.config.CompareAndSwap(old, d) {
			break
		}
	}
	totals := map[string]int64{}
	for name, t := range d.Teams {
		if t.Prepaid != httproute.Unlimited {
			totals[name] = t.Prepaid
		}
	}
	g.opt.Budgets.SetPrepaid(totals)
	g.opt.Metrics.configVersion.Set(float64(d.Version))
	g.opt.Logger.Info("configuration in force", "version", d.Version, "routes", len(d.Routes), "teams", len(d.Teams))
}

// PutTarget takes over a registration.
func (g *Gateway) PutTarget(e targets.Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Put(e)
}

// MarkTargetMissing notes that a registration is gone.
func (g *Gateway) MarkTargetMissing(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.MarkMissing(time.Now(), id)
}

// RemoveMissingTargets removes the targets whose registration has been gone since
// before the given time.
func (g *Gateway) RemoveMissingTargets(before time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SweepMissing(before)
}

// TargetIDs returns the ids of the known targets.
func (g *Gateway) TargetIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.IDs()
}

// engineAddresses returns the addresses of the targets that are engines. Only
// their hosts run a process of the system.
func (g *Gateway) engineAddresses() []string {
	doc := g.config.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Addresses(func(service string) bool { return doc == nil || doc.Services[service].Slots > 0 })
}

// Ready reports whether the gateway takes new connections.
func (g *Gateway) Ready() bool { return g.phase.Load() == phaseServing && g.config.Load() != nil }

// ServeReady answers the balancer's question.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Timeouts towards callers. Callers reuse a connection until four fifths of the
// idle timeout that the configuration states; this one is longer than any.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 32 << 10
	// drainPoll is the pause between two looks at the requests in progress.
	drainPoll = 50 * time.Millisecond
	// acceptAfterStop is how long new connections are taken after the stop
	// signal. The balancer notices within two of its questions, a second apart.
	acceptAfterStop = 2500 * time.Millisecond
	// reserveOfGrace is left of the grace for handing the budgets back.
	reserveOfGrace = 1200 * time.Millisecond
	// idleSweep is the pause between two rounds over idle connections.
	idleSweep = time.Second
)

// Serve serves callers until ctx ends, and then until the requests in progress
// have ended or the grace is over.
func (g *Gateway) Serve(ctx context.Context, callers net.Listener) error {
	server := &http.Server{
		Handler:           http.HandlerFunc(g.ServeHTTP),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.opt.Logger.Handler(), slog.LevelDebug),
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(callers) }()
	sweep := time.NewTicker(idleSweep)
	defer sweep.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-sweep.C:
			g.pool.CloseExpired()
			continue
		case <-ctx.Done():
		}
		break
	}
	g.drain(server, callers)
	return nil
}

// tooLate reports whether a stopping gateway cannot finish a request of a route.
func (g *Gateway) tooLate(route *httproute.Route, now time.Time) bool {
	if g.phase.Load() != phaseDraining || now.Sub(g.since) < acceptAfterStop {
		return false
	}
	return now.Add(route.Timeout).After(g.since.Add(g.opt.GracePeriod - reserveOfGrace))
}

// drain takes requests until the balancer has turned away, then waits for those
// in progress.
func (g *Gateway) drain(server *http.Server, callers net.Listener) {
	g.since = time.Now()
	g.phase.Store(phaseDraining)
	g.opt.Logger.Info("stopping", "open", g.open.Load())
	g.opt.Budgets.Drain()
	end := g.since.Add(g.opt.GracePeriod - reserveOfGrace)
	time.Sleep(acceptAfterStop)
	_ = callers.Close() // the server notices; nothing else uses it
	for time.Now().Before(end) && g.open.Load() > 0 {
		time.Sleep(drainPoll)
	}
	if left := g.open.Load(); left > 0 {
		g.opt.Logger.Warn("requests cut by the end of the grace", "open", left)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainPoll)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
