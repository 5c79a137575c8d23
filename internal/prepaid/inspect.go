package prepaid

// Coverage says whether the local share of a budget covers a request now.
type Coverage struct {
	Limited bool   // the team has a budget
	Covered bool   // a reservation would succeed without a wait
	Detail  string // the state of the budget, in tokens
}

// Inspect returns whether Reserve would succeed now without a wait. It reserves nothing
// and does not count as demand.
func (m *Manager) Inspect(team string, tokens int64) Coverage {
	name := teamName(team)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, limited := m.prepaidTotals[name]; !limited {
		return Coverage{Covered: true}
	}
	t := m.teams[name]
	if t == nil {
		return Coverage{Limited: true, Detail: "no share of the budget yet"}
	}
	return Coverage{Limited: true, Covered: len(t.waiters) == 0 && m.covers(t, tokens), Detail: m.describeBudget(t, tokens)}
}
