package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/listen"
	"tarragonridge.example/tarragonridge/internal/rpc"
)

const httpShutdownTimeout = 1 * time.Second

// metrics holds the collectors of a sidecar. All label values come from fixed
// sets, so the number of time series is bounded.
type metrics struct {
	registry      *prometheus.Registry
	runs          *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	tokens        *prometheus.CounterVec
	runDuration   prometheus.Histogram
	activeRuns    prometheus.Gauge
	bufferedBytes prometheus.Gauge
	traffic       rpc.Traffic
}

func newMetrics(configVersion func() int64) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_sidecar_runs_total", Help: "Ended runs by outcome."}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_sidecar_refusals_total", Help: "Refused runs by error kind."}, []string{"kind"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_sidecar_tokens_total", Help: "Tokens of ended runs by type."}, []string{"type"}),
		runDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tarragonridge_sidecar_run_seconds", Help: "Duration of ended runs.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 14)}),
		activeRuns: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tarragonridge_sidecar_active_runs", Help: "Runs in progress."}),
		bufferedBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tarragonridge_sidecar_buffered_bytes", Help: "Bytes of buffered answers."}),
	}
	m.registry.MustRegister(m.runs, m.refusals, m.tokens, m.runDuration, m.activeRuns, m.bufferedBytes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerCounter("tarragonridge_rpc_received_bytes_total", "Bytes received from routers.", &m.traffic.Received)
	m.registerCounter("tarragonridge_rpc_sent_bytes_total", "Bytes sent to routers.", &m.traffic.Sent)
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tarragonridge_config_version", Help: "Version of the configuration in force here."},
		func() float64 { return float64(configVersion()) }))
	return m
}

func (m *metrics) registerCounter(name, help string, value *atomic.Int64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
		func() float64 { return float64(value.Load()) }))
}

func (m *metrics) observeRunEnd(record ledger.Record) {
	m.runs.WithLabelValues(string(record.Outcome)).Inc()
	m.tokens.WithLabelValues("prompt").Add(float64(record.PromptTokens))
	m.tokens.WithLabelValues("output").Add(float64(record.OutputTokens))
	m.tokens.WithLabelValues("charged").Add(float64(record.Charged))
	m.runDuration.Observe(time.Duration((record.EndedUS - record.StartedUS) * int64(time.Microsecond)).Seconds())
}

// serveHTTP starts the endpoint for metrics and health, which serves until ctx
// is done.
func (s *Server) serveHTTP(ctx context.Context, group *errgroup.Group) error {
	if s.opts.HTTPListen == "" {
		return nil
	}
	ln, err := listen.TCP(s.opts.HTTPListen, listen.SideBuffer)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "listen on %s", s.opts.HTTPListen)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: callers.MaxMetricsReads}))
	mux.HandleFunc("GET /healthz", s.serveHealth)
	server := callers.NewSideServer("metrics", mux, 0, s.log)
	s.metrics.registry.MustRegister(server.Pool)
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		return server.Shutdown(shutdownCtx)
	})
	group.Go(func() error { return server.Serve(ln) })
	s.log.Info("serving metrics", "addr", ln.Addr().String())
	return nil
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if err := s.checkHealth(); err != nil {
		http.Error(w, errkind.From(err).Detail, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // fails only if the client has disconnected
}
