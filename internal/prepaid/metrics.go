package prepaid

import (
	"github.com/prometheus/client_golang/prometheus"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Metrics are the Prometheus collectors of a manager. Teams are not used as label
// values, because there may be thousands.
type Metrics struct {
	reservations *prometheus.CounterVec
	spentTokens  prometheus.Counter
	lostTokens   prometheus.Counter
	exchanges    *prometheus.CounterVec
	restores     prometheus.Counter
}

// NewMetrics returns collectors that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		reservations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_budget_reservations_total",
			Help: "Reservations by result: granted, or the kind of the refusal.",
		}, []string{"result"}),
		spentTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_budget_spent_tokens_total", Help: "Tokens that requests were charged here.",
		}),
		lostTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_budget_lost_tokens_total",
			Help: "Tokens written off here because an earlier process of this host ended without an account of them.",
		}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_budget_exchanges_total",
			Help: "Exchanges of shares with the table by result: done, again (a lost race, or more to do), failed.",
		}, []string{"result"}),
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonridge_budget_table_restores_total", Help: "Restores of the table from an older copy that were noticed.",
		}),
	}
	r.MustRegister(m.reservations, m.spentTokens, m.lostTokens, m.exchanges, m.restores)
	return m
}

// countReservation counts the result of a reservation.
func (m *Metrics) countReservation(err error) {
	result := "granted"
	if err != nil {
		result = string(errkind.From(err).Kind)
	}
	m.reservations.WithLabelValues(result).Inc()
}

// Export registers gauges of the shares that the manager holds.
func (m *Manager) Export(r prometheus.Registerer) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tarragonridge_budget_held_tokens", Help: "Tokens of all shares held here that are not spent.",
		}, func() float64 { return float64(m.heldTokens()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tarragonridge_budget_holders", Help: "Routers that hold a share of the most widely held budget.",
		}, func() float64 { return float64(m.Holders()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tarragonridge_budget_low_teams", Help: "Teams with a share here whose budget lasts less than a minute at the present demand of all routers.",
		}, func() float64 { return float64(m.lowTeams()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tarragonridge_budget_waiting", Help: "Requests that wait for tokens.",
		}, func() float64 { return float64(m.waitingRequests()) }),
	)
}

// lowTeams returns the number of teams with a share here whose budget is low.
func (m *Manager) lowTeams() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock()
	for name := range m.holding.Grants {
		t := m.team(name)
		average := t.demand.Average(now)
		if m.pool(t, 0, average).Low(average) {
			n++
		}
	}
	return n
}

func (m *Manager) waitingRequests() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.teams {
		n += len(t.waiters)
	}
	return n
}

// heldTokens returns the unspent tokens of all shares.
func (m *Manager) heldTokens() (sum int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.teams {
		sum += max(t.share.Available(), 0) + t.share.Reserved()
	}
	return sum
}
