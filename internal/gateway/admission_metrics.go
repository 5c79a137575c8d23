package gateway

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// admissionMetrics are the collectors about requests that wait for targets.
type admissionMetrics struct {
	refused *prometheus.CounterVec
	evicted *prometheus.CounterVec
	wait    prometheus.Histogram
}

func newAdmissionMetrics() admissionMetrics {
	return admissionMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_admission_refused_total",
			Help: "Requests refused because there is too little room, by reason: refused (at once), evicted (by one that goes first) or too_late.",
		}, []string{"reason"}),
		evicted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_admission_evicted_total",
			Help: "Requests that yielded their place in the queue to another one, by rank.",
		}, []string{"rank"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tarragonridge_admission_wait_seconds", Help: "Time for which requests waited for a turn at the targets.",
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5},
		}),
	}
}

// maxRank is the least urgent rank with a label value of its own.
const maxRank = 9

// refuse counts a request that gets no turn.
func (m *admissionMetrics) refuse(reason string, rank int) {
	m.refused.WithLabelValues(reason).Inc()
	if reason == "evicted" {
		m.evicted.WithLabelValues(strconv.Itoa(min(max(rank, 0), maxRank))).Inc()
	}
}

// waitingDesc describes the gauge of waiting requests.
var waitingDesc = prometheus.NewDesc("tarragonridge_admission_waiting",
	"Requests that wait for targets which are limited or turn this gateway away.", nil, nil)
