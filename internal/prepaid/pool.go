package prepaid

import (
	"math"
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

// disturbedFor is how long after a failed call the table counts as disturbed: calls that
// fail now and then leave a pledge too little time for its renewal.
const disturbedFor = 5 * time.Second

// newPledge returns the pledge for an operation. A burst alone does not make a budget low,
// so the demand that tells is the average one. The part of the pledge for sparse requests,
// those that arrive rarely, is not limited while the table is slow: each request beyond the
// pledge would wait for the table. m.mu is held.
func (m *Manager) newPledge(t *team, now time.Time) budget.Pledge {
	average, demand := t.demand.Average(now), t.demand.Demand(now)
	pool := m.pool(t, 0, average)
	kind := budget.PledgeSteady
	sparse := budget.SparsePledge(demand.RequestSize, budget.SparsePledgeLimit(m.prepaidTotals[t.name], pool.Holders))
	switch {
	case pool.Ample(average):
		kind, sparse = budget.PledgeWide, max(sparse, pool.Allowance())
	case m.lastCallDuration > maxNormalLatency:
		sparse = budget.SparsePledge(demand.RequestSize, math.MaxInt64)
		if !pool.Low(average) {
			kind = budget.PledgeWide
		}
	case pool.Low(average) && now.Sub(m.lastFailureAt) >= disturbedFor:
		kind = budget.PledgeLow
	}
	return t.share.NewPledge(kind, demand, sparse, t.waitingTokens(), m.tableNowMS())
}

const (
	// scarceDivisor gives the part of the prepaid tokens below which what is left is scarce.
	scarceDivisor = 6
	// scarceHorizon is how long shares cover the demand while tokens are scarce, in
	// proportion to what is left, and minScarceHorizon the least such period.
	scarceHorizon    = 3 * time.Second
	minScarceHorizon = 500 * time.Millisecond
	// scarceFor is how long tokens count as scarce after they were. Otherwise routers would
	// draw again what they have just returned.
	scarceFor = 5 * time.Second
	// minCoverHorizon is how long a share covers the demand before tokens of other stripes
	// are transferred for it, and half of which it covers before it is drawn ahead of time.
	minCoverHorizon = 2 * time.Second
	// drawAheadPause is the least pause between two rounds that draw ahead of time.
	drawAheadPause = 100 * time.Millisecond
	// drainHorizon is how long the shares of a draining router cover the demand.
	drainHorizon = time.Second
)

// homeIsScarce reports whether few tokens of a team are left in the home stripe. The totals
// of the other stripes may be ten seconds old. The home stripe tells within a second that a
// budget may run out, because routers of other stripes take from those that have most.
// m.mu is held.
func (m *Manager) homeIsScarce(t *team) bool {
	home := m.stripeTotal(t, m.home)
	return home.Left() < home.ToppedUp/scarceDivisor
}

// estimatedLeft estimates what all stripes have left by those that were read lately. A budget
// may run out before all are read again, a few at a time. It sets no bound while the home
// stripe has enough. m.mu is held.
func (m *Manager) estimatedLeft(t *team) int64 {
	if !m.homeIsScarce(t) {
		return math.MaxInt64
	}
	now, age := m.opt.Clock(), m.totalsAge()
	left, others := int64(0), int64(0)
	for _, stripe := range m.otherStripes() {
		if m.others[stripe].readable && now.Sub(m.others[stripe].readAt) < age {
			left += m.stripeTotal(t, stripe).Left()
			others++
		}
	}
	if others == 0 {
		return math.MaxInt64 // the home stripe alone may be emptied by one router
	}
	return m.stripeTotal(t, m.home).Left() + left*int64(m.stripes-1)/others
}

// horizon returns how long a share should cover its demand, and whether more than that is
// to be returned at once, because few tokens of the team were left in all stripes lately
// or the router ends. left are the tokens that it can draw. m.mu is held.
func (m *Manager) horizon(t *team, left int64, now time.Time) (horizon time.Duration, returnsRest bool) {
	left, limit := min(left, m.estimatedLeft(t))+max(t.share.Available(), 0), m.prepaidTotals[t.name]/scarceDivisor
	if left < limit {
		t.scarceAt = now
	}
	horizon = m.shareHorizon()
	if now.Sub(t.scarceAt) < scarceFor {
		part := float64(min(left, limit)) / float64(max(limit, 1))
		horizon, returnsRest = min(horizon, max(time.Duration(part*float64(scarceHorizon)), minScarceHorizon)), true
	}
	if m.draining {
		horizon, returnsRest = min(horizon, drainHorizon), true
	}
	return horizon, returnsRest
}

// idleTokens returns the tokens of a share beyond the demand in a horizon, 0 if they
// would not cover a request of another router. m.mu is held.
func (m *Manager) idleTokens(t *team, own budget.Demand, horizon time.Duration) int64 {
	if own.TokensPerSecond == 0 {
		return max(t.share.Available(), 0)
	}
	if idle := t.share.Available() - int64(own.TokensPerSecond*horizon.Seconds()); idle >= max(own.RequestSize, 1) {
		return idle
	}
	return 0
}

// minCover returns the tokens that a share must cover not to need tokens of another stripe.
// m.mu is held.
func (m *Manager) minCover(t *team, now time.Time) int64 {
	own := t.demand.Demand(now)
	return max(own.RequestSize, int64(own.TokensPerSecond*minCoverHorizon.Seconds()))
}

// runsDry reports whether a share of a team with many requests covers less than half of
// minCoverHorizon. Such a share is drawn before a request has to wait: if the table
// turned slow, it would be used up at once. m.mu is held.
func (m *Manager) runsDry(t *team, now time.Time) bool {
	own := t.demand.Demand(now)
	covers := int64(own.TokensPerSecond * minCoverHorizon.Seconds() / 2)
	return isBusy(own) && t.share.Available() < covers && m.drawableTokens(t) >= own.RequestSize
}

// pledgeRunsDry reports whether the pledge for a team with many requests is to be renewed
// before a request has to wait. m.mu is held.
func (m *Manager) pledgeRunsDry(t *team, now time.Time) bool {
	own := t.demand.Demand(now)
	return isBusy(own) && t.share.Available() >= own.RequestSize && t.share.PledgeRunsDry(own, m.tableNowMS())
}

// minDryRequests is the number of requests a second from which a share is drawn ahead of
// time.
const minDryRequests = 4

// isBusy reports whether a team sends minDryRequests or more a second.
func isBusy(d budget.Demand) bool {
	return d.RequestSize > 0 && d.TokensPerSecond >= float64(minDryRequests*d.RequestSize)
}

// drawAhead starts a round if the share or its pledge runs dry. m.mu is held.
func (m *Manager) drawAhead(t *team, now time.Time) {
	if now.Sub(t.drawnAheadAt) >= drawAheadPause && m.tableReachable && (m.pledgeRunsDry(t, now) || m.runsDry(t, now)) {
		t.drawnAheadAt = now
		m.wake()
	}
}

// reportsEnd reports whether the total is to learn what this router has consumed although
// it draws nothing: the budget is low and its share does not cover another request.
// Otherwise no router could tell that the budget is spent. m.mu is held.
func (m *Manager) reportsEnd(t *team, old budget.Grant, now time.Time) bool {
	own := t.demand.Average(now)
	return t.share.Consumed() > old.Reported && old.Seq > 0 && t.share.Available() < own.RequestSize && m.pool(t, 0, own).Low(own)
}
