package prepaid

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
)

// unspentTokens returns the tokens of a budget that were neither reported as spent nor
// written off, at any router. It is called for each change of a share, so it avoids the
// cost of teamTotal. m.mu is held.
func (m *Manager) unspentTokens(t *team) int64 {
	unspent := m.prepaidTotals[t.name]
	for _, stripe := range t.stripes {
		unspent -= stripe.total.Settled + stripe.total.ClosedSpent + stripe.total.Reserve.Size()
	}
	return max(unspent, 0)
}

// demandOfAll returns the demand that all routers have stated, with this router's present
// one.
func (m *Manager) demandOfAll(t *team, own budget.Demand) float64 {
	demand := own.TokensPerSecond - float64(m.holding.Grants[t.name].Demand)
	for _, stripe := range t.stripes {
		demand += float64(stripe.total.Demand)
	}
	return demand
}

// pool returns the state of a budget of which this router can draw the tokens left.
// m.mu is held.
func (m *Manager) pool(t *team, left int64, own budget.Demand) budget.Pool {
	return budget.Pool{Left: left, Held: max(m.unspentTokens(t)-left, 0), Holders: t.holderCount(), Demand: m.demandOfAll(t, own)}
}

// pledgeKind returns the kind of the next pledge of a team. m.mu is held.
func (m *Manager) pledgeKind(t *team, own budget.Demand) budget.PledgeKind {
	switch {
	case m.lastCallDuration > maxNormalLatency:
		return budget.PledgeSlow
	case m.pool(t, 0, own).Low(own):
		return budget.PledgeLow
	}
	return budget.PledgeSteady
}

const (
	// scarceDivisor gives the part of a stripe's prepaid tokens below which it is scarce.
	scarceDivisor = 8
	// scarceHorizon is how long shares cover the demand while the home stripe is scarce,
	// in proportion to what it has left, and minScarceHorizon the least such period.
	scarceHorizon    = 2 * time.Second
	minScarceHorizon = 500 * time.Millisecond
	// scarceFor is how long a stripe counts as scarce after it was. Otherwise routers would
	// draw again what they have just returned to it.
	scarceFor = 5 * time.Second
)

// horizon returns how long a share should cover its demand, and whether few tokens of the
// team were left in the home stripe lately. The totals of the other stripes may be ten
// seconds old. The home stripe tells within a second that a budget runs out, because
// routers of other stripes take from those that have most. m.mu is held.
func (m *Manager) horizon(t *team, now time.Time) (horizon time.Duration, scarce bool) {
	home := m.stripeTotal(t, m.home)
	limit := home.ToppedUp / scarceDivisor
	if home.Left() < limit {
		t.scarceAt = now
	}
	horizon = m.shareHorizon()
	if now.Sub(t.scarceAt) >= scarceFor {
		return horizon, false
	}
	part := float64(min(home.Left(), limit)) / float64(max(limit, 1))
	return min(horizon, max(time.Duration(part*float64(scarceHorizon)), minScarceHorizon)), true
}

// idleTokens returns the tokens of a share beyond the demand in a horizon, 0 if they
// would not cover a request of another router. m.mu is held.
func (m *Manager) idleTokens(t *team, own budget.Demand, horizon time.Duration) int64 {
	if idle := t.share.Available() - int64(own.TokensPerSecond*horizon.Seconds()); idle >= max(own.RequestSize, 1) {
		return idle
	}
	return 0
}

// reportsEnd reports whether the total is to learn what this router has consumed although
// it draws nothing: the budget is low and its share does not cover another request.
// Otherwise no router could tell that the budget is spent. m.mu is held.
func (m *Manager) reportsEnd(t *team, old budget.Grant, now time.Time) bool {
	own := t.demand.Demand(now)
	return t.share.Consumed() > old.Reported && old.Seq > 0 && t.share.Available() < own.RequestSize && m.pool(t, 0, own).Low(own)
}
