package prepaid

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// teamsToPlan returns all teams, those for which requests wait first, then half of those of
// whose scarce tokens this router holds some, which others may need, and otherwise in random
// order, so that routers conflict less often. m.mu is held.
func (m *Manager) teamsToPlan() (teams []*team) {
	order := map[*team]int{}
	for name := range m.prepaidTotals {
		t := m.team(name)
		teams = append(teams, t)
		switch {
		case len(t.waiters) > 0:
			order[t] = 0
		case m.holdsScarceTokens(t) && rand.N(2) == 0:
			order[t] = 1
		default:
			order[t] = 2
		}
	}
	slices.SortStableFunc(teams, func(a, b *team) int { return cmp.Compare(order[a], order[b]) })
	return teams
}

// holdsScarceTokens reports whether this router holds some of a team's scarce tokens, which
// other routers may need. m.mu is held.
func (m *Manager) holdsScarceTokens(t *team) bool {
	return t.share.Available() > 0 && m.homeIsScarce(t)
}

// teamsPerTxn returns the number of totals after which a transaction takes no further team
// than t. The more routers change the same totals, the fewer, so that as few transactions
// fail; but not while requests wait or the router returns its shares. m.mu is held.
func (m *Manager) teamsPerTxn(t *team) int {
	switch {
	case m.stopping:
		return m.maxTeams()
	case m.draining, len(t.waiters) > 0:
		return maxServingTeamsPerTxn
	}
	uncontended := float64(uncontendedHolders)
	if m.holdsScarceTokens(t) {
		uncontended *= scarceContentionFactor
	}
	contention := max(float64(m.homeHolders())/uncontended, 1)
	return max(int(maxServingTeamsPerTxn/(contention*contention)), 1)
}
