package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/rpc"
)

const (
	httpHeaderTimeout = 5 * time.Second
	httpCloseTimeout  = 1 * time.Second
)

// metrics are the collectors of a sidecar. Labels take values of closed lists
// only.
type metrics struct {
	registry *prometheus.Registry
	runs     *prometheus.CounterVec
	refusals *prometheus.CounterVec
	tokens   *prometheus.CounterVec
	seconds  prometheus.Histogram
	active   prometheus.Gauge
	buffered prometheus.Gauge
	traffic  rpc.Traffic
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
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tarragonridge_sidecar_run_seconds", Help: "Duration of ended runs.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 14)}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tarragonridge_sidecar_active_runs", Help: "Runs in progress."}),
		buffered: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tarragonridge_sidecar_buffered_bytes", Help: "Bytes of buffered answers."}),
	}
	m.registry.MustRegister(m.runs, m.refusals, m.tokens, m.seconds, m.active, m.buffered,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.counter("tarragonridge_rpc_received_bytes_total", "Bytes received from routers.", &m.traffic.Received)
	m.counter("tarragonridge_rpc_sent_bytes_total", "Bytes sent to routers.", &m.traffic.Sent)
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tarragonridge_config_version", Help: "Version of the configuration in force here."},
		func() float64 { return float64(configVersion()) }))
	return m
}

func (m *metrics) counter(name, help string, value *atomic.Int64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
		func() float64 { return float64(value.Load()) }))
}

func (m *metrics) ended(r ledger.Record) {
	m.runs.WithLabelValues(string(r.Outcome)).Inc()
	m.tokens.WithLabelValues("prompt").Add(float64(r.PromptTokens))
	m.tokens.WithLabelValues("output").Add(float64(r.OutputTokens))
	m.tokens.WithLabelValues("charged").Add(float64(r.Charged))
	m.seconds.Observe(time.Duration((r.EndedUS - r.StartedUS) * int64(time.Microsecond)).Seconds())
}

// serveHTTP serves metrics and health until ctx is done.
func (s *Server) serveHTTP(ctx context.Context, group *errgroup.Group) error {
	if s.opts.HTTPListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", s.opts.HTTPListen)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "listen on %s", s.opts.HTTPListen)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", s.serveHealth)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: httpHeaderTimeout}
	group.Go(func() error {
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.Background(), httpCloseTimeout)
		defer cancel()
		return server.Shutdown(closing)
	})
	group.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	s.log.Info("serving metrics", "addr", ln.Addr().String())
	return nil
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if err := s.healthy(); err != nil {
		http.Error(w, errkind.From(err).Detail, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // a client that left needs no answer
}
