package callers

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/logqueue"
)

// metrics are the collectors of a pool.
type metrics struct {
	closed, refused *prometheus.CounterVec
}

func newMetrics(listener string) *metrics {
	labels := prometheus.Labels{"listener": listener}
	return &metrics{
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_callers_closed_connections_total", ConstLabels: labels,
			Help: "Connections of callers that were closed by a limit: memory or descriptors, for other callers; header_bytes, header_timeout or idle_timeout.",
		}, []string{"limit"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_callers_refused_total", ConstLabels: labels,
			Help: "Connections and requests for which no other connection could be closed, by limit: memory or descriptors.",
		}, []string{"limit"}),
	}
}

// Describe implements prometheus.Collector.
func (p *Pool) Describe(ch chan<- *prometheus.Desc) {
	p.metrics.closed.Describe(ch)
	p.metrics.refused.Describe(ch)
	ch <- p.connectionsDesc()
	ch <- p.heldDesc()
}

func (p *Pool) connectionsDesc() *prometheus.Desc {
	return prometheus.NewDesc("tarragonridge_callers_connections",
		"Open connections of callers by state: quiet, receiving, whole, stalled (the answer is not read) or ending.", []string{"state"}, prometheus.Labels{"listener": p.opt.Listener})
}

func (p *Pool) heldDesc() *prometheus.Desc {
	return prometheus.NewDesc("tarragonridge_callers_held_bytes",
		"Memory that callers hold, as it is counted: connections with their requests, answers that were not read yet (backlog), and what the kernel was last seen to hold of requests in progress (unread).",
		[]string{"kind"}, prometheus.Labels{"listener": p.opt.Listener})
}

// Collect implements prometheus.Collector.
func (p *Pool) Collect(ch chan<- prometheus.Metric) {
	p.metrics.closed.Collect(ch)
	p.metrics.refused.Collect(ch)
	p.mu.Lock()
	defer p.mu.Unlock()
	_, holdings := p.list(time.Now())
	defer p.release()
	states := map[intake.State]int{}
	for _, h := range holdings {
		states[h.State]++
	}
	for state := intake.Quiet; state <= intake.Ending; state++ {
		ch <- prometheus.MustNewConstMetric(p.connectionsDesc(), prometheus.GaugeValue, float64(states[state]), state.String())
	}
	for kind, bytes := range map[string]int64{"requests": p.held, "backlog": p.opt.Backlogs.Held(), "unread": p.unread} {
		ch <- prometheus.MustNewConstMetric(p.heldDesc(), prometheus.GaugeValue, float64(bytes), kind)
	}
}

const (
	// closeLinesPerS and closeLinesBurst bound the log lines about connections that were
	// closed by a limit.
	closeLinesPerS  = 2
	closeLinesBurst = 10
)

// closeLog logs connections that were closed by a limit.
type closeLog struct {
	logger   *slog.Logger
	listener string
	limit    logqueue.Limit
}

// closed logs a connection that is closed by a limit.
func (l *closeLog) closed(now time.Time, c *Conn, limit Limit) {
	omitted, ok := l.limit.Allow(now)
	if !ok {
		return
	}
	p := c.pool
	p.mu.Lock()
	held, all, open := c.held+c.unread, p.used(), len(p.open)
	p.mu.Unlock()
	l.logger.Warn("connection of a caller closed by a limit", "listener", l.listener, "limit", limit, "from", c.RemoteAddr(),
		"held_bytes", held, "held_ms", (now.Sub(p.start) - time.Duration(c.since.Load())).Milliseconds(),
		"all_held_bytes", all, "open", open, "omitted", omitted)
}
