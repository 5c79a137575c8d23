package sidecar

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/run"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Server is a sidecar process.
type Server struct {
	opts        Options
	log         *slog.Logger
	incarnation string
	clock       *hlc.Clock
	target      *target
	metrics     *metrics
	background  sync.WaitGroup // goroutines of runs, readers and reports

	orderMu           sync.Mutex // serialises orders, so that the target receives ascending fencing numbers
	highestOrderFence int64      // highest fencing number of an order seen; guarded by orderMu

	mu          sync.Mutex // guards the fields below
	runTable    *run.Table
	document    *policy.Document      // newest configuration received; nil if none
	stopping    bool                  // set by drain; the process is about to end
	ready       bool                  // registered and accepting work
	runs        map[string]*activeRun // runs in progress, by run ID
	readers     map[readerKey]*reader
	peers       map[*rpc.Conn]*peer
	targetState targetState
}

// activeRun controls the goroutine and the readers of a run in progress.
type activeRun struct {
	cancel  context.CancelCauseFunc
	changed chan struct{} // closed and replaced at each chunk, closed at the end
}

// New returns a sidecar. Run starts it.
func New(opts Options) (*Server, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	incarnation := ulid.Make().String()
	s := &Server{
		opts:        opts,
		log:         opts.Logger.With("role", "sidecar", "target", opts.Target, "incarnation", incarnation),
		incarnation: incarnation,
		clock:       opts.Clock,
		target:      newTarget(opts),
		runTable:    run.New(opts.Limits, opts.Target, incarnation),
		runs:        map[string]*activeRun{},
		readers:     map[readerKey]*reader{},
		peers:       map[*rpc.Conn]*peer{},
		targetState: targetState{},
	}
	s.metrics = newMetrics(func() int64 { return s.header().ConfigVersion })
	return s, nil
}

// Incarnation returns the ID of this process instance.
func (s *Server) Incarnation() string { return s.incarnation }

// Run registers the sidecar and serves until ctx is done. It then drains: it
// refuses new runs, finishes those in progress and hands their records over to
// routers.
func (s *Server) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "listen on %s", s.opts.Listen)
	}
	defer ln.Close()
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	defer s.target.close()
	group, serving := errgroup.WithContext(serving)
	if err := s.serveHTTP(serving, group); err != nil {
		return err
	}
	if err := s.register(ctx, s.advertisedAddr(ln)); err != nil {
		stopServing()
		_ = group.Wait()
		return nil // stopped before any work was accepted
	}
	s.startServing(serving, ln, group)
	select {
	case <-ctx.Done():
		s.drain()
	case <-serving.Done():
	}
	stopServing()
	err = group.Wait()
	s.background.Wait()
	return err
}

func (s *Server) advertisedAddr(ln net.Listener) string {
	if s.opts.Advertise != "" {
		return s.opts.Advertise
	}
	return ln.Addr().String()
}

// startServing starts the RPC server and the periodic tasks.
func (s *Server) startServing(ctx context.Context, ln net.Listener, group *errgroup.Group) {
	rpcOpts := s.opts.RPC
	rpcOpts.Hello = s.hello
	rpcOpts.Logger = s.log
	rpcOpts.Traffic = &s.metrics.traffic
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	group.Go(func() error { return rpc.Serve(ctx, ln, rpcOpts, s) })
	group.Go(func() error { s.pollTarget(ctx); return nil })
	group.Go(func() error { s.expireLoop(ctx); return nil })
	group.Go(func() error { return s.verifyRegistration(ctx) })
	s.log.Info("accepting work", "addr", ln.Addr().String(), "honour_fence", s.opts.TargetChecksFence)
	if s.opts.OnReady != nil {
		s.opts.OnReady(ln.Addr().String())
	}
}

func (s *Server) hello() wire.Hello {
	s.mu.Lock()
	draining := s.runTable.Draining()
	s.mu.Unlock()
	return wire.Hello{
		Header:      s.header(),
		Role:        roleSidecar,
		Incarnation: s.incarnation,
		Host:        s.opts.Host,
		Domain:      s.opts.Domain,
		Target:      s.opts.Target,
		Draining:    draining,
	}
}

// header returns the header of an outgoing message. The caller must not hold
// s.mu.
func (s *Server) header() wire.Header {
	s.mu.Lock()
	version := s.runTable.ConfigVersion()
	s.mu.Unlock()
	return wire.Header{ConfigVersion: version, Stamp: s.clock.Now(time.Now())}
}

// observeHeader updates the clock and the configuration version from the header
// of a received message.
func (s *Server) observeHeader(h wire.Header) {
	s.clock.Observe(time.Now(), h.Stamp)
	s.mu.Lock()
	s.runTable.ObserveConfigVersion(h.ConfigVersion)
	s.mu.Unlock()
}

// emitEvent reports an event of a run to the timeline.
func (s *Server) emitEvent(name string, start wire.StartRun, attrs map[string]string) {
	if s.opts.OnEvent == nil {
		return
	}
	s.opts.OnEvent(wire.TimelineEvent{
		Name:      name,
		RequestID: start.RequestID,
		RunID:     start.RunID,
		Team:      start.Team,
		Attrs:     attrs,
	})
}

// expireInterval is the interval between calls of expireRuns. It limits how
// late a run without a reader is canceled.
const expireInterval = 250 * time.Millisecond

func (s *Server) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.expireRuns(now)
		}
	}
}

// expireRuns cancels the runs that have had no reader for too long and updates
// the gauges.
func (s *Server) expireRuns(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.runTable.Expire(now) {
		if r := s.runs[id]; r != nil {
			r.cancel(errRunCanceled)
		}
	}
	s.metrics.activeRuns.Set(float64(s.runTable.ActiveCount()))
	s.metrics.bufferedBytes.Set(float64(s.runTable.BufferedBytes()))
}
