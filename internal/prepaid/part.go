package prepaid

import "time"

// spendSampleTime is the least time over which this router's part of the spending of all
// is measured. Routers report what they have spent about every second.
const spendSampleTime = 2 * time.Second

// spendPart measures this router's part of the spending of a team's budget.
type spendPart struct {
	at       time.Time
	spent    int64 // by all routers, as stored
	consumed int64 // by this one
	part     float64
	known    bool
}

// update returns the part, measured anew if the last measurement is old enough. It is at
// least one of the holders' equal parts, because demand moves between them.
func (s *spendPart) update(now time.Time, spent, consumed int64, holders int) float64 {
	equal := 1 / float64(max(holders, 1))
	switch {
	case s.at.IsZero():
		s.at, s.spent, s.consumed = now, spent, consumed
	case now.Sub(s.at) >= spendSampleTime && spent > s.spent:
		own := float64(consumed-s.consumed) / float64(spent-s.spent)
		*s = spendPart{at: now, spent: spent, consumed: consumed, part: min(max(own, 0), 1), known: true}
	}
	if !s.known {
		return equal
	}
	return max(s.part, equal)
}

// PartLeft returns the tokens of a team's budget on which the requests of this router can
// count: those free in its share, and of those that are left to all its part of what all
// spend. It reports false if the budget is unlimited or its state is not known.
func (m *Manager) PartLeft(name string) (tokens int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.teams[name]
	if _, limited := m.prepaidTotals[name]; !limited || t == nil || m.homeReadAt.IsZero() || !m.otherStripesReadable() {
		return 0, false
	}
	var left, spent int64
	for stripe := range m.stripes {
		total := m.stripeTotal(t, stripe)
		left += total.Left() + total.Reserve.Ready
		spent += total.Spent()
	}
	part := t.spendPart.update(m.opt.Clock(), spent, t.share.Consumed(), t.holderCount())
	return max(t.share.Available(), 0) + int64(part*float64(max(left, 0))), true
}
