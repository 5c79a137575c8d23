package router

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// metrics holds the router's Prometheus collectors. Label values come from
// fixed lists or from the configuration, never from callers.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	tokens   *prometheus.CounterVec
}

func newMetrics(r *Router) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_requests_total",
			Help: "Requests by kind and result; the result is answered or an error kind.",
		}, []string{"kind", "result"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_tokens_charged_total",
			Help: "Tokens in the records that this router has stored, by outcome of the run.",
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.requests, m.tokens, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.addGauge("tarragonridge_runs_open", "Runs of this router that have not ended.", func() float64 { return float64(r.openRunCount()) })
	m.addGauge("tarragonridge_requests_waiting", "Requests that wait for a target.", func() float64 { return float64(r.sched.waitingCount()) })
	m.addGauge("tarragonridge_targets_usable", "Targets that take new work.", func() float64 { return float64(r.sched.usableCount()) })
	m.addGauge("tarragonridge_config_version", "Version of the configuration in force here.", func() float64 { return float64(r.config.Version()) })
	m.addCounter("tarragonridge_rpc_received_bytes_total", "Bytes received from sidecars and routers.", func() float64 { return float64(r.traffic.Received.Load()) })
	m.addCounter("tarragonridge_rpc_sent_bytes_total", "Bytes sent to sidecars and routers.", func() float64 { return float64(r.traffic.Sent.Load()) })
	return m
}

// addCounter registers a counter that is read from value.
func (m *metrics) addCounter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// addGauge registers a gauge that is read from value.
func (m *metrics) addGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// countFinished counts a finished request by its kind and result.
func (m *metrics) countFinished(kind string, err error) {
	result := "answered"
	if err != nil {
		result = string(errkind.Of(err))
	}
	m.requests.WithLabelValues(kind, result).Inc()
}
