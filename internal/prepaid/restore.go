package prepaid

import (
	"math"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// beginEra discards what is known of the table's rows if the table reports a new era,
// that is, after its restore from an older copy. The shares stay, and are compared with
// this router's holding when that is read again. An operation with an unknown result
// is given up: if it still takes effect, the holding shows it. beginEra reports whether
// there is a new era. m.mu is held.
func (m *Manager) beginEra() bool {
	if m.opt.Eras == nil {
		return false
	}
	previous, latest := m.era, m.opt.Eras.Era()
	if latest == previous {
		return false
	}
	m.era = latest
	if m.pendingOp != nil {
		m.holding.Seq = max(m.holding.Seq, m.pendingOp.holding.Seq)
		m.pendingOp = nil
	}
	for _, t := range m.teams {
		if pending, ok := t.share.Pending(); ok && pending.Granted < t.share.Stored().Granted {
			t.history.Record(m.opt.Clock(), pending.Granted, 0) // the return may still take effect
		}
		t.share.Drop()
		t.stripes, t.sent = make([]stripeRow, m.stripes), make([]budget.GrantHistory, m.stripes)
	}
	m.predecessors = nil
	m.homeReadAt, m.others = time.Time{}, make([]otherStripe, m.stripes)
	m.reloadNeeded, m.ownRowUnknown = true, true
	if previous == 0 && m.holdingVersion.IsZero() {
		return true // the first answer of the table
	}
	m.opt.Metrics.restores.Inc()
	m.opt.Logger.Warn("the table was restored from an older copy", "era", m.era, "previous_era", previous,
		"oldest_copy", m.opt.OldestCopy, "holding", m.holdingKey(), "seq", m.holding.Seq)
	return true
}

// adoptOwnRow adopts this router's holding as it is stored after a restore, nil if it
// has none. The next operation writes it again. m.mu is held.
func (m *Manager) adoptOwnRow(row *platform.Row) {
	stored := m.decodeHolding(row)
	m.ownRowUnknown = false
	if stored.Closing {
		m.fence()
		return
	}
	if stored.Seq != m.holding.Seq || len(m.holding.Grants) > 0 {
		m.opt.Logger.Warn("holding read again after a restore", "key", m.holdingKey(), "stored_seq", stored.Seq, "seq", m.holding.Seq,
			"stored_teams", len(stored.Grants), "teams", len(m.holding.Grants))
	}
	stored.Seq = max(stored.Seq, m.holding.Seq)
	if stored.Grants == nil {
		stored.Grants = map[string]budget.Grant{}
	}
	m.holding, m.holdingVersion = stored, platform.Version{}
	if row != nil {
		m.holdingVersion = row.Version
	}
	now := m.opt.Clock()
	// A copy of an era of which nothing is known here may lack the whole holding.
	erasMissed := m.era > m.confirmedEra+1
	for name, t := range m.teams {
		grant := stored.Grants[name]
		if erasMissed {
			t.history = budget.GrantHistory{}
			grant.Young, grant.YoungAtMS = grant.Granted, m.tableNowMS()
			if grant.Seq > 0 {
				stored.Grants[name] = grant
			}
		}
		t.share.AdoptRestored(grant)
		t.history.RecordRestored(now, grant.Granted)
	}
}

// confirmEra records that a call was answered in the present era. Tokens do not become
// spendable by time alone: a router that cannot reach the table does not learn that a
// restore has undone their draw. m.mu is held.
func (m *Manager) confirmEra(callStart time.Time) {
	if !m.ownRowUnknown {
		m.eraConfirmedAt, m.confirmedEra = callStart, m.era
	}
}

// restorable reports whether the table may be restored from an older copy. m.mu is held.
func (m *Manager) restorable() bool { return m.era > 0 }

// setStripeRow records a row as it is stored. m.mu is held.
func (m *Manager) setStripeRow(t *team, stripe int, row stripeRow) {
	t.stripes[stripe] = row
	if m.restorable() {
		t.sent[stripe].Record(m.opt.Clock(), row.total.Sent.Of(m.home), 0)
	}
}

// restorableTotal returns what stripeTotal does for a table that reports eras. Tokens
// that another stripe has sent are taken only once every copy from which the table may
// be restored includes that they are gone there: the rows of two stripes do not change
// in one transaction, so the home stripe could keep tokens that a restore gives back to
// the other one. m.mu is held.
func (m *Manager) restorableTotal(t *team, stripe int, total budget.Total) budget.Total {
	total = total.Restored(m.era)
	if stripe == m.home {
		for sender := range m.stripes {
			total = total.Take(sender, t.sent[sender].Limit(m.eraConfirmedAt, m.opt.OldestCopy))
		}
	}
	return total.FillReserve(m.tableNowMS(), m.opt.OldestCopy)
}

// inTransit returns the tokens of a team that other stripes have sent to the home stripe
// and that it has not taken yet. m.mu is held.
func (m *Manager) inTransit(t *team) (tokens int64) {
	home := m.stripeTotal(t, m.home)
	for sender := range m.stripes {
		tokens += max(t.stripes[sender].total.Sent.Of(m.home)-home.Taken.Of(sender), 0)
	}
	return tokens
}

// maxTeams returns the number of teams whose totals one transaction may change. m.mu is
// held.
func (m *Manager) maxTeams() int {
	if m.restorable() {
		return maxMarkedTeamsPerTxn
	}
	return maxTeamsPerTxn
}

// shareHorizon returns how long a share should cover the demand. In a table that may be
// restored, tokens have to be drawn that much earlier. m.mu is held.
func (m *Manager) shareHorizon() time.Duration {
	if !m.restorable() {
		return budget.ShareHorizon
	}
	return max(budget.ShareHorizon, 2*m.opt.OldestCopy)
}

// spendable returns the tokens of a share that may be spent now, as far as the age of
// their draws is concerned. m.mu is held.
func (m *Manager) spendable(t *team) int64 {
	if !m.restorable() {
		return math.MaxInt64
	}
	return t.history.Limit(m.eraConfirmedAt, m.opt.OldestCopy) - t.share.Used()
}

// spendableSoon returns the tokens that may be spent after a draw from the reserve of
// the home stripe. m.mu is held.
func (m *Manager) spendableSoon(t *team) int64 {
	if !m.restorable() {
		return math.MaxInt64
	}
	return max(m.spendable(t), 0) + m.readyReserve(t)
}

// readyReserve returns the tokens that may be drawn from the reserve of the home stripe.
// m.mu is held.
func (m *Manager) readyReserve(t *team) int64 {
	if !m.restorable() {
		return 0
	}
	return m.stripeTotal(t, m.home).Reserve.Ready
}

// reserveDraw returns the tokens that the waiters need from the reserve, because the
// share's own tokens may not be spent yet. If the reserve cannot cover all of them, the
// first waiter alone is considered. m.mu is held.
func (m *Manager) reserveDraw(t *team, total budget.Total) int64 {
	if !m.restorable() || len(t.waiters) == 0 {
		return 0
	}
	spendable := max(m.spendable(t), 0)
	need := t.waitingTokens() - spendable
	if need > total.Reserve.Ready {
		need = t.waiters[0].tokens - spendable
	}
	if need <= 0 || need > total.Reserve.Ready {
		return 0
	}
	return need
}

// youngAfter returns the tokens of a grant that are young after a draw, and the time of
// the table's clock to store with them. m.mu is held.
func (m *Manager) youngAfter(old budget.Grant, drawn, fromReserve int64) (young, atMS int64) {
	if !m.restorable() || drawn <= 0 {
		return max(old.Young+min(drawn, 0), 0), old.YoungAtMS
	}
	nowMS := m.tableNowMS()
	young = drawn - fromReserve
	if nowMS-old.YoungAtMS < (m.opt.OldestCopy + budget.LateWriteMargin).Milliseconds() {
		young += old.Young
	}
	return young, nowMS
}

// inheritedAt returns the local time from which the young tokens of a predecessor's
// grant were stored at the latest. m.mu is held.
func (m *Manager) inheritedAt(g budget.Grant) time.Time {
	age := time.Duration(m.tableNowMS()-g.YoungAtMS) * time.Millisecond
	return m.opt.Clock().Add(budget.LateWriteMargin - age)
}

// withoutPledges returns a holding whose pledges bound nothing.
func withoutPledges(h budget.Holding) budget.Holding {
	grants := make(map[string]budget.Grant, len(h.Grants))
	for name, g := range h.Grants {
		g.Pledge = budget.Pledge{}
		grants[name] = g
	}
	h.Grants = grants
	return h
}
