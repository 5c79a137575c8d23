package prepaid

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// totalsAge returns the age at which totals are read again. m.mu is held.
func (m *Manager) totalsAge() time.Duration {
	return max(homeRefreshInterval, refreshLatencyFactor*m.lastSuccessDuration)
}

// refreshHome reads the totals of the home stripe if they are older than maxAge, if
// reloadNeeded is set, and after a failed call to the table: otherwise a router that
// has nothing to write would not notice that the table is available again. Every
// holdingsScanInterval, or if reloadNeeded is set, it also reads the holdings of
// earlier processes of this host. It reports whether the totals are fresh enough.
func (m *Manager) refreshHome(ctx context.Context, maxAge time.Duration) bool {
	m.mu.Lock()
	now := m.opt.Clock()
	fresh := m.tableReachable && !m.reloadNeeded && now.Sub(m.homeReadAt) < maxAge
	scanHoldings := m.reloadNeeded || now.Sub(m.holdingsReadAt) >= holdingsScanInterval
	m.mu.Unlock()
	if fresh {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.nextCallTimeout())
	defer cancel()
	start := m.startCall()
	totals, err := platform.ScanAll(ctx, m.opt.Table, totalKey(m.home, ""))
	var holdings []platform.Row
	if err == nil && scanHoldings {
		holdings, err = platform.ScanAll(ctx, m.opt.Table, m.hostHoldingsPrefix())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordCall(ctx, start, err)
	m.beginEra()
	if err != nil {
		m.opt.Logger.Warn("failed to read the budgets", "err", err)
		return false
	}
	if slices.ContainsFunc(slices.Concat(totals, holdings), m.isOutdated) || m.ownRowUnknown && !scanHoldings {
		m.reloadNeeded = true
		return false
	}
	for _, row := range totals {
		m.adoptTotal(row)
	}
	m.homeReadAt, m.reloadNeeded = start, false
	if !scanHoldings {
		m.confirmEra(start)
		return true
	}
	m.predecessors = nil
	var ownRow *platform.Row
	for _, row := range holdings {
		if row.Key == m.holdingKey() {
			ownRow = &row
			continue
		}
		m.predecessors = append(m.predecessors, m.decodePredecessor(row))
	}
	if m.ownRowUnknown {
		m.adoptOwnRow(ownRow)
	}
	m.confirmEra(start)
	if m.holdingsReadAt.IsZero() {
		ms, sent, _ := m.opt.TableClock.LastReading()
		m.predecessorEndMS = ms - sent.Sub(m.opt.Started).Milliseconds()
	}
	m.holdingsReadAt = start
	return true
}

// homeHolders returns the number of routers that hold a share in the home stripe of the
// most widely held budget, at least 1. m.mu is held.
func (m *Manager) homeHolders() int {
	holders := 1
	if !m.layoutKnown() {
		return holders
	}
	for _, t := range m.teams {
		holders = max(holders, t.stripes[m.home].total.Holders)
	}
	return holders
}

// homeAge returns the age from which the home stripe is read again: sooner while a request
// needs tokens that may have come back.
func (m *Manager) homeAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasUncoveredWaiter() {
		return m.shortageAge()
	}
	return m.totalsAge()
}

// stripesToRefresh returns the other stripes whose totals are due to be read again. They are
// read more often if a request needs tokens that they may have, or a budget seems to run out.
// Apart from the first time, and unless a request waits for them, it returns a few stripes, so
// that reads do not grow with their number.
func (m *Manager) stripesToRefresh() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	age, limit := m.totalsAge(), maxRefreshedStripes
	switch {
	case m.hasUncoveredWaiter():
		age, limit = m.shortageAge(), m.stripes // tells whether tokens came back
	case !m.hasScarceHome():
		age = max(age, otherRefreshInterval*time.Duration(max(m.stripes/maxRefreshedStripes, 1)))
	}
	now := m.opt.Clock()
	due := slices.DeleteFunc(m.otherStripes(), func(stripe int) bool { return now.Sub(m.others[stripe].readAt) < age })
	if slices.ContainsFunc(due, func(stripe int) bool { return m.others[stripe].readAt.IsZero() }) {
		return due
	}
	slices.SortFunc(due, func(a, b int) int { return m.others[a].readAt.Compare(m.others[b].readAt) })
	return due[:min(len(due), limit)]
}

// hasUncoveredWaiter reports whether a request waits for more tokens than its
// budget has left as far as is known, but not for more than are unspent. m.mu is held.
func (m *Manager) hasUncoveredWaiter() bool {
	for _, t := range m.teams {
		if len(t.waiters) > 0 && t.waiters[0].tokens > m.coverableTokens(t) && !m.isSpent(t, t.waiters[0].tokens) {
			return true
		}
	}
	return false
}

// shortageAge returns the age up to which totals show that tokens are short. Those of a
// slow table, or of a stripe that many routers read, are not read again as soon. m.mu is held.
func (m *Manager) shortageAge() time.Duration {
	routers := time.Duration(m.homeHolders() * m.stripes)
	return max(shortageValidFor, routers*shortageReadInterval, refreshLatencyFactor*m.lastSuccessDuration)
}

// totalsShowShortage reports whether the totals of all stripes are new enough to tell that
// no more tokens are left: holders return tokens all the time. m.mu is held.
func (m *Manager) totalsShowShortage() bool {
	now, age := m.opt.Clock(), m.shortageAge()
	return now.Sub(m.homeReadAt) < age && !slices.ContainsFunc(m.otherStripes(), func(stripe int) bool { return now.Sub(m.others[stripe].readAt) >= age })
}

// hasScarceHome reports whether the home stripe has few tokens left of a budget of which
// this router holds a part. m.mu is held.
func (m *Manager) hasScarceHome() bool {
	for name := range m.holding.Grants {
		if m.homeIsScarce(m.team(name)) {
			return true
		}
	}
	return false
}

// otherStripes returns all stripes except the home stripe.
func (m *Manager) otherStripes() (stripes []int) {
	for stripe := range m.stripes {
		if stripe != m.home {
			stripes = append(stripes, stripe)
		}
	}
	return stripes
}

// refreshStripes reads the totals of other stripes. No tokens are transferred from
// a stripe while it cannot be read.
func (m *Manager) refreshStripes(ctx context.Context, stripes []int) {
	if len(stripes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.nextCallTimeout())
	defer cancel()
	start := m.startCall()
	rows := make([][]platform.Row, len(stripes))
	errs := make([]error, len(stripes))
	var reads sync.WaitGroup
	for i, stripe := range stripes {
		reads.Go(func() { rows[i], errs[i] = platform.ScanAll(ctx, m.opt.Table, totalKey(stripe, "")) })
	}
	reads.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callStart = time.Time{}
	if ctx.Err() != nil {
		m.consecutiveTimeouts++
	}
	m.beginEra()
	for i, stripe := range stripes {
		m.others[stripe] = otherStripe{start, errs[i] == nil && !slices.ContainsFunc(rows[i], m.isOutdated)}
		for _, row := range rows[i] {
			m.adoptTotal(row)
		}
	}
	if err := errors.Join(errs...); err != nil {
		m.opt.Logger.Warn("failed to read the budgets of other stripes", "err", err)
	}
}

// otherStripesReadable reports whether the last attempts to read the other stripes
// all succeeded. m.mu is held.
func (m *Manager) otherStripesReadable() bool {
	return !slices.ContainsFunc(m.otherStripes(), func(stripe int) bool { return !m.others[stripe].readable })
}

// stripeTotal returns the total of one stripe of a team's budget, with its part of
// the current prepaid total and the tokens that other stripes have sent to it. It is
// empty until the layout is read: without the number of stripes, nothing is known to be
// left in any of them. m.mu is held.
func (m *Manager) stripeTotal(t *team, stripe int) budget.Total {
	if !m.layoutKnown() {
		return budget.Total{}
	}
	total := t.stripes[stripe].total.RaisePrepaid(budget.StripePrepaid(m.prepaidTotals[t.name], stripe, m.stripes))
	if m.restorable() {
		return m.restorableTotal(t, stripe, total)
	}
	for sender := range m.stripes {
		total = total.Take(sender, t.stripes[sender].total.Sent.Of(stripe))
	}
	return total
}

// teamTotal returns the sum over all stripes of a team's budget. m.mu is held.
func (m *Manager) teamTotal(t *team) (sum budget.Total) {
	for stripe := range m.stripes {
		sum = sum.Add(m.stripeTotal(t, stripe))
	}
	return sum
}

// drawableTokens returns the tokens that this router can draw from its own stripe
// and from the others that are readable. m.mu is held.
func (m *Manager) drawableTokens(t *team) int64 {
	left := m.stripeTotal(t, m.home).Left()
	for _, stripe := range m.otherStripes() {
		if m.others[stripe].readable {
			left += m.stripeTotal(t, stripe).Left()
		}
	}
	return left
}

// coverableTokens returns the tokens that a request could get: those free in the
// local share and those that can be drawn. m.mu is held.
func (m *Manager) coverableTokens(t *team) int64 {
	return max(t.share.Available(), 0) + m.drawableTokens(t) + m.readyReserve(t)
}

// isOutdated reports whether a row was read in another era than the present one. m.mu
// is held.
func (m *Manager) isOutdated(row platform.Row) bool { return row.Version.Era != m.era }

// adoptTotal records a total as it is stored. m.mu is held.
func (m *Manager) adoptTotal(row platform.Row) {
	stripe, name, ok := parseTotalKey(row.Key)
	if !ok || stripe >= m.stripes || m.isOutdated(row) {
		return // commit reads holdings separately
	}
	var total budget.Total
	if err := decodeRow(row.Value, &total); err != nil {
		m.opt.Logger.Error("failed to decode a stored total", "key", row.Key, "err", err)
		return
	}
	m.setStripeRow(m.team(name), stripe, stripeRow{total, row.Version})
}

// decodePredecessor returns the holding of an earlier process, without grants if
// the row cannot be decoded.
func (m *Manager) decodePredecessor(row platform.Row) predecessor {
	p := predecessor{key: row.Key, version: row.Version}
	if err := decodeRow(row.Value, &p.holding); err != nil {
		m.opt.Logger.Error("failed to decode the holding of an earlier process; its tokens stay granted", "key", row.Key, "err", err)
	}
	if p.holding.Era != m.era {
		p.holding = withoutPledges(p.holding)
	}
	return p
}
