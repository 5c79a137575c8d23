package gateway

import (
	"cmp"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics are the gateway's Prometheus collectors. Label values come from fixed
// lists, never from callers.
type Metrics struct {
	Registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	noAnswers  *prometheus.CounterVec
	limited    prometheus.Counter
	turnedAway prometheus.Counter
	// invalidHeaders counts headers about a target whose values make no sense.
	invalidHeaders prometheus.Counter
	invalidOrders  prometheus.Counter
	refusedRows    prometheus.Counter
	crashes        prometheus.Counter
	crashReports   *prometheus.CounterVec
	continued      *prometheus.CounterVec
	answerEnds     *prometheus.CounterVec
	widened        prometheus.Counter
	slowCallers    prometheus.Counter
	heldUp         prometheus.Counter
	hurried        *prometheus.CounterVec
	duration       prometheus.Histogram
	admission      admissionMetrics
	configVersion  prometheus.Gauge
}

// NewMetrics returns collectors that are registered with a new registry.
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
		noAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_http_no_answers_total",
			Help: "Attempts whose target sent what is no answer of HTTP/1.x, or one that was cut off, by reason.",
		}, []string{"reason"}),
		limited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_http_limited_attempts_total",
			Help: "Attempts at targets that name a request limit or are cold.",
		}),
		turnedAway: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_http_turned_away_total",
			Help: "Answers in which a target asked this gateway for no requests for a while.",
		}),
		invalidHeaders: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_http_invalid_target_headers_total",
			Help: "Headers and registrations in which targets state limits, a pause, their stop or how long they are cold with values that make no sense.",
		}),
		refusedRows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_http_refused_rows_total",
			Help: "Rows that the platform's table refused for what they are; each is given up.",
		}),
		invalidOrders: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_http_invalid_orders_total",
			Help: "Rows of the operator that are ignored: evacuations without the name of a failure domain, and configurations that cannot be decoded.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_http_target_crashes_total",
			Help: "Targets that crashed with requests of this gateway in flight.",
		}),
		crashReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_http_crash_reports_total",
			Help: "Requests reported as in flight at a crash, by where the report comes from: here or other. A report may come more than once.",
		}, []string{"source"}),
		continued: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_http_continued_streams_total",
			Help: "Streams that continue at another target, by how the version that began them is known, and whether the target has it.",
		}, []string{"origin", "version"}),
		answerEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_http_answer_ends_total",
			Help: "Answers of targets whose head was sent to the caller, by what ends them at the caller and at the target, and how they ended: whole, presumed (probably whole), or the error kind.",
		}, []string{"framing", "target_framing", "result"}),
		slowCallers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_http_slow_callers_total",
			Help: "Times that a caller did not take at once what was written to it, so that a backlog began.",
		}),
		heldUp: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_http_held_up_total",
			Help: "Times that a target was held up, because there was no room for the backlog of a caller.",
		}),
		widened: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_placement_widened_total",
			Help: "Prompts for which further engines were asked, because they were likely to be late at the first ones.",
		}),
		hurried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_http_overdue_first_events_total",
			Help: "Attempts whose first event was overdue at their engine while another one could still bring it in time, by result: moved there, or no_retry, for which the retry budget had no room.",
		}, []string{"result"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tarragonridge_http_request_seconds", Help: "Time from a request to the end of its answer.",
			Buckets: []float64{.02, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 12.8},
		}),
		admission: newAdmissionMetrics(),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tarragonridge_http_config_version", Help: "Version of the routes in force here.",
		}),
	}
	m.Registry.MustRegister(m.requests, m.attempts, m.noAnswers, m.limited, m.turnedAway, m.invalidHeaders, m.invalidOrders, m.refusedRows, m.crashes, m.crashReports, m.continued, m.answerEnds,
		m.slowCallers, m.heldUp, m.widened, m.hurried, m.duration, m.configVersion, m.admission.refused, m.admission.evicted, m.admission.wait, collectors.NewGoCollector())
	return m
}

// CountDroppedLines exports the number of log lines that were dropped, which count
// returns.
func (m *Metrics) CountDroppedLines(count func() int64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "tarragonridge_log_lines_dropped_total", Help: "Log lines that did not fit the queue.",
	}, func() float64 { return float64(count()) }))
}

// targetsDesc describes the gauge of known targets.
var targetsDesc = prometheus.NewDesc("tarragonridge_http_targets",
	"Known targets by belief: usable, or why they are not sent requests.", []string{"belief"}, nil)

// limitedTargetsDesc describes the gauge of targets that name a request limit.
var limitedTargetsDesc = prometheus.NewDesc("tarragonridge_http_limited_targets",
	"Targets with a limit on their requests: they name one, to this gateway or to another, or are cold.", nil, nil)

// limitShareDesc describes the gauge of this gateway's shares of request limits.
var limitShareDesc = prometheus.NewDesc("tarragonridge_http_limit_share",
	"Requests per second that this gateway may send to all targets with a limit.", nil, nil)

// coldTargetsDesc describes the gauge of cold targets.
var coldTargetsDesc = prometheus.NewDesc("tarragonridge_http_cold_targets",
	"Targets that are cold, of services that limit the requests to these.", nil, nil)

// evacuatedDomainsDesc describes the gauge of evacuated failure domains.
var evacuatedDomainsDesc = prometheus.NewDesc("tarragonridge_http_evacuated_domains",
	"Failure domains whose targets are sent nothing by the operator's order, by whether targets are known there.", []string{"targets"}, nil)

// backlogDesc describes the gauge of what is held for callers that read slowly.
var backlogDesc = prometheus.NewDesc("tarragonridge_http_backlog_bytes",
	"Bytes of answers that callers have not read yet.", nil, nil)

// quarantinedPartsDesc describes the gauge of quarantined prompt parts.
var quarantinedPartsDesc = prometheus.NewDesc("tarragonridge_http_quarantined_parts",
	"Prompt parts that are refused because targets crashed that read them.", nil, nil)

// Describe implements prometheus.Collector.
func (g *Gateway) Describe(ch chan<- *prometheus.Desc) {
	ch <- targetsDesc
	ch <- limitedTargetsDesc
	ch <- limitShareDesc
	ch <- coldTargetsDesc
	ch <- evacuatedDomainsDesc
	ch <- quarantinedPartsDesc
	ch <- waitingDesc
	ch <- backlogDesc
}

// Collect implements prometheus.Collector.
func (g *Gateway) Collect(ch chan<- prometheus.Metric) {
	g.mu.Lock()
	counts := g.targetView.CountByState(time.Now())
	limited, cold, share := g.targetView.Limits(time.Now())
	evacuated := map[bool]int{}
	for _, n := range g.targetView.Evacuated() {
		evacuated[n > 0]++
	}
	quarantinedParts := len(g.parts.Quarantined())
	waiting := g.turns.queue.Len()
	g.mu.Unlock()
	ch <- prometheus.MustNewConstMetric(backlogDesc, prometheus.GaugeValue, float64(g.backlogs.Held()))
	ch <- prometheus.MustNewConstMetric(quarantinedPartsDesc, prometheus.GaugeValue, float64(quarantinedParts))
	ch <- prometheus.MustNewConstMetric(coldTargetsDesc, prometheus.GaugeValue, float64(cold))
	for label, known := range map[string]bool{"known": true, "none": false} {
		ch <- prometheus.MustNewConstMetric(evacuatedDomainsDesc, prometheus.GaugeValue, float64(evacuated[known]), label)
	}
	ch <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(waiting))
	ch <- prometheus.MustNewConstMetric(limitShareDesc, prometheus.GaugeValue, share)
	ch <- prometheus.MustNewConstMetric(limitedTargetsDesc, prometheus.GaugeValue, float64(limited))
	for reason, n := range counts {
		ch <- prometheus.MustNewConstMetric(targetsDesc, prometheus.GaugeValue, float64(n), string(reason))
	}
}

// observeRequest counts a finished request and its duration.
func (m *Metrics) observeRequest(req *request) {
	kind := ""
	if req.err != nil {
		kind = string(req.err.Kind)
	}
	m.requests.WithLabelValues(strconv.Itoa(req.status), kind).Inc()
	if req.headSent {
		m.answerEnds.WithLabelValues(string(req.callerFraming), string(req.targetFraming), cmp.Or(kind, string(req.end))).Inc()
	}
	m.duration.Observe(time.Since(req.arrived).Seconds())
}
