package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics are the gateway's collectors. Label values come from closed lists,
// never from callers.
type Metrics struct {
	Registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	duration      prometheus.Histogram
	configVersion prometheus.Gauge
}

// NewMetrics returns registered collectors.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_http_requests_total",
			Help: "Requests on HTTP routes by status and error kind; the kind is empty for a target's answer.",
		}, []string{"status", "kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_http_attempts_total",
			Help: "Attempts at targets by outcome.",
		}, []string{"outcome"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tarragonridge_http_request_seconds", Help: "Time from a request to the end of its answer.",
			Buckets: []float64{.02, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 12.8},
		}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tarragonridge_http_config_version", Help: "Version of the routes in force here.",
		}),
	}
	m.Registry.MustRegister(m.requests, m.attempts, m.duration, m.configVersion, collectors.NewGoCollector())
	return m
}

// CountDroppedLines exports the number of log lines that were dropped.
func (m *Metrics) CountDroppedLines(count func() int64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "tarragonridge_log_lines_dropped_total", Help: "Log lines that did not fit the queue.",
	}, func() float64 { return float64(count()) }))
}

// targetsByBelief describes the gauge of known targets.
var targetsByBelief = prometheus.NewDesc("tarragonridge_http_targets",
	"Known targets by belief: usable, avoided, draining or missing.", []string{"belief"}, nil)

// Describe implements prometheus.Collector.
func (g *Gateway) Describe(ch chan<- *prometheus.Desc) { ch <- targetsByBelief }

// Collect implements prometheus.Collector.
func (g *Gateway) Collect(ch chan<- prometheus.Metric) {
	g.mu.Lock()
	counts := g.view.CountByState(time.Now())
	g.mu.Unlock()
	for belief, n := range counts {
		ch <- prometheus.MustNewConstMetric(targetsByBelief, prometheus.GaugeValue, float64(n), belief)
	}
}

func (m *Metrics) finished(x *request) {
	kind := ""
	if x.err != nil {
		kind = string(x.err.Kind)
	}
	m.requests.WithLabelValues(strconv.Itoa(x.status), kind).Inc()
	m.duration.Observe(time.Since(x.arrived).Seconds())
}
