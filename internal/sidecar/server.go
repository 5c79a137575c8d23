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
	work        sync.WaitGroup // runs and readers

	orderMu sync.Mutex // serialises orders, so that the target sees rising numbers
	fence   int64      // highest fencing number seen; under orderMu

	mu       sync.Mutex // guards the fields below
	table    *run.Table
	document *policy.Document
	stopping bool
	ready    bool
	runs     map[string]*liveRun // in progress
	readers  map[readerKey]*reader
	peers    map[*rpc.Conn]*peer
	load     loadState
}

// liveRun is the process side of a run in progress.
type liveRun struct {
	cancel  context.CancelCauseFunc
	changed chan struct{} // closed and replaced with each chunk, closed at the end
}

// New returns a sidecar; Run starts it.
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
		table:       run.New(opts.Limits, opts.Target, incarnation),
		runs:        map[string]*liveRun{},
		readers:     map[readerKey]*reader{},
		peers:       map[*rpc.Conn]*peer{},
		load:        loadState{},
	}
	s.metrics = newMetrics(func() int64 { return s.header().ConfigVersion })
	return s, nil
}

// Incarnation returns the identity of this start of the process.
func (s *Server) Incarnation() string { return s.incarnation }

// Run registers the sidecar and serves until ctx is done. Then it drains: it
// refuses new runs, finishes those in progress and hands their records over.
func (s *Server) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "listen on %s", s.opts.Listen)
	}
	defer ln.Close()
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer s.target.close()
	group, serving := errgroup.WithContext(serving)
	if err := s.serveHTTP(serving, group); err != nil {
		return err
	}
	if err := s.register(ctx, s.advertised(ln)); err != nil {
		stop()
		_ = group.Wait()
		return nil // stopped before any work was accepted
	}
	s.start(serving, ln, group)
	select {
	case <-ctx.Done():
		s.drain()
	case <-serving.Done():
	}
	stop()
	err = group.Wait()
	s.work.Wait()
	return err
}

func (s *Server) advertised(ln net.Listener) string {
	if s.opts.Advertise != "" {
		return s.opts.Advertise
	}
	return ln.Addr().String()
}

// start begins to accept work.
func (s *Server) start(ctx context.Context, ln net.Listener, group *errgroup.Group) {
	rpcOpts := s.opts.RPC
	rpcOpts.Hello = s.hello
	rpcOpts.Logger = s.log
	rpcOpts.Traffic = &s.metrics.traffic
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	group.Go(func() error { return rpc.Serve(ctx, ln, rpcOpts, s) })
	group.Go(func() error { s.reportLoad(ctx); return nil })
	group.Go(func() error { s.expire(ctx); return nil })
	group.Go(func() error { return s.verifyRegistration(ctx) })
	s.log.Info("accepting work", "addr", ln.Addr().String(), "honour_fence", s.opts.TargetChecksFence)
	if s.opts.OnReady != nil {
		s.opts.OnReady(ln.Addr().String())
	}
}

func (s *Server) hello() wire.Hello {
	s.mu.Lock()
	draining := s.table.Draining()
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
	version := s.table.ConfigVersion()
	s.mu.Unlock()
	return wire.Header{ConfigVersion: version, Stamp: s.clock.Now(time.Now())}
}

// observe takes in the header of a received message.
func (s *Server) observe(h wire.Header) {
	s.clock.Observe(time.Now(), h.Stamp)
	s.mu.Lock()
	s.table.ObserveConfigVersion(h.ConfigVersion)
	s.mu.Unlock()
}

// event reports to the timeline.
func (s *Server) event(name string, start wire.StartRun, attrs map[string]string) {
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

// expireEvery is the period of Expire. It bounds how late a run without a
// reader is canceled.
const expireEvery = 250 * time.Millisecond

func (s *Server) expire(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.expireAt(now)
		}
	}
}

func (s *Server) expireAt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.table.Expire(now) {
		if r := s.runs[id]; r != nil {
			r.cancel(errCanceled)
		}
	}
	s.metrics.active.Set(float64(s.table.ActiveCount()))
	s.metrics.buffered.Set(float64(s.table.BufferedBytes()))
}
