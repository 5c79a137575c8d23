package prepaid

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/budget"
)

// transferToHome transfers the tokens that the home stripe lacks from the stripes
// with the most tokens left. For requests that wait, it goes on to the next stripes after a
// write conflict: the fullest stripe may be the one whose totals change most often. Where
// each stripe has many holders, that would only move the conflicts. If the answer to a
// transfer is lost, the next read of the sending stripe's totals shows whether it took effect.
func (m *Manager) transferToHome(ctx context.Context, shortfalls map[*team]int64) {
	ctx, cancel := context.WithTimeout(ctx, m.nextCallTimeout())
	defer cancel()
	tried := map[int]bool{}
	for len(tried) < maxRefreshedStripes {
		m.mu.Lock()
		before := m.homeLeft(shortfalls)
		ops := m.planTransfers(shortfalls, tried)
		m.mu.Unlock()
		conflicts := false
		for sender, op := range ops {
			tried[sender] = true
			conflicts = m.transfer(ctx, sender, op) || conflicts
		}
		if !conflicts {
			return
		}
		m.mu.Lock()
		if m.homeHolders() > uncontendedHolders {
			m.mu.Unlock()
			return
		}
		maps.DeleteFunc(shortfalls, func(t *team, _ int64) bool { return len(t.waiters) == 0 })
		for t, left := range m.homeLeft(shortfalls) {
			shortfalls[t] -= left - before[t]
		}
		m.mu.Unlock()
	}
}

// homeLeft returns the tokens left in the home stripe, by team. m.mu is held.
func (m *Manager) homeLeft(teams map[*team]int64) map[*team]int64 {
	left := map[*team]int64{}
	for t := range teams {
		left[t] = m.stripeTotal(t, m.home).Left()
	}
	return left
}

// transfer sends a transfer from another stripe. It reports whether it failed with a write
// conflict.
func (m *Manager) transfer(ctx context.Context, sender int, op *operation) (conflict bool) {
	res, err := m.opt.Table.Commit(ctx, op.txn)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.beginEra():
		m.others[sender].readable = false
	case err != nil:
		m.others[sender].readable = false
		m.opt.Logger.Warn("failed to transfer tokens from another stripe", "teams", len(op.totals), "err", err)
	case !res.Committed:
		for _, row := range res.Current {
			m.adoptTotal(row)
		}
		return true
	default:
		m.adoptTotals(op, res.Versions)
	}
	return false
}

// maxRefreshedStripes bounds the other stripes that are read again at once.
const maxRefreshedStripes = 3

// likelySenders returns the stripes that seem to have the most tokens of the teams that
// lack some.
func (m *Manager) likelySenders(shortfalls map[*team]int64) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := make([]int64, m.stripes)
	for t := range shortfalls {
		for stripe := range m.stripes {
			left[stripe] += m.stripeTotal(t, stripe).Left()
		}
	}
	stripes := m.otherStripes()
	slices.SortFunc(stripes, func(a, b int) int { return cmp.Compare(left[b], left[a]) })
	return stripes[:min(len(stripes), maxRefreshedStripes)]
}

// leastTransfer returns the tokens below which a transfer to the home stripe, of which a
// share lacks shortfall, is not worth its transactions: those of the first request that
// waits, or what a share must cover. m.mu is held.
func (m *Manager) leastTransfer(t *team, shortfall int64) int64 {
	covered := max(t.share.Available(), 0) + m.stripeTotal(t, m.home).Left()
	if len(t.waiters) > 0 {
		return min(shortfall, t.waiters[0].tokens-covered)
	}
	return min(shortfall, m.minCover(t, m.opt.Clock())-covered)
}

// planTransfers returns one operation for each stripe that is to send tokens, by
// stripe, without those that were tried. m.mu is held.
func (m *Manager) planTransfers(shortfalls map[*team]int64, tried map[int]bool) map[int]*operation {
	ops := map[int]*operation{}
	for t, shortfall := range shortfalls {
		if m.restorable() {
			shortfall -= m.inTransit(t)
		}
		homeLeft := m.stripeTotal(t, m.home).Left()
		senders := slices.DeleteFunc(m.otherStripes(), func(stripe int) bool { return tried[stripe] || !m.others[stripe].readable })
		slices.SortFunc(senders, func(a, b int) int { return cmp.Compare(m.stripeTotal(t, b).Left(), m.stripeTotal(t, a).Left()) })
		// A few tokens from each of many stripes are not worth their transactions, unless a
		// request waits for them.
		least, available := m.leastTransfer(t, shortfall), int64(0)
		for i, sender := range senders {
			if i >= maxRefreshedStripes && (available >= least || len(t.waiters) == 0) {
				senders = senders[:i]
				break
			}
			available += m.stripeTotal(t, sender).Left()
		}
		if available < least {
			continue
		}
		for _, sender := range senders {
			total := m.stripeTotal(t, sender)
			// More than the shortfall is sent, up to equal numbers of tokens in both
			// stripes, so that the next transfer is needed later.
			tokens := min(total.Left(), max(shortfall, (total.Left()-homeLeft)/2))
			if shortfall <= 0 || tokens <= 0 {
				break
			}
			op := ops[sender]
			if op == nil {
				op = &operation{totals: map[string]budget.Total{}}
				ops[sender] = op
			}
			if len(op.totals) >= m.maxTeams() {
				break
			}
			total, err := total.Send(m.home, tokens)
			if err == nil {
				err = op.addTotal(t, sender, total)
			}
			if err != nil {
				m.opt.Logger.Error("failed to plan a transfer of tokens", "team", t.name, "err", err)
				break
			}
			shortfall -= tokens
		}
	}
	return ops
}
