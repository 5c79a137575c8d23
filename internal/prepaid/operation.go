package prepaid

import (
	"context"
	"maps"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// operation is a transaction whose result may be unknown. It changes this router's
// holding, takes over or writes off the holding of a predecessor, or transfers
// tokens between stripes.
type operation struct {
	txn         platform.Txn
	teams       []*team                 // with a pending grant
	totals      map[string]budget.Total // values after the operation, by row key
	holding     budget.Holding          // value after the operation
	fromReserve map[*team]int64         // tokens drawn from the reserve
	predecessor *predecessor            // whose holding is taken over or written off; nil if none is
	takesOver   bool                    // takes over the predecessor's grants instead of writing them off
	uncertain   bool                    // an earlier attempt may have been applied
}

// addTotal adds a change of one stripe of a team's budget to the transaction.
func (op *operation) addTotal(t *team, stripe int, total budget.Total) error {
	value, err := encodeRow(total)
	if err != nil {
		return err
	}
	key := totalKey(stripe, t.name)
	op.txn.Conditions = append(op.txn.Conditions, platform.Condition{Key: key, Version: t.stripes[stripe].version})
	op.txn.Puts = append(op.txn.Puts, platform.Put{Key: key, Value: value})
	op.totals[key] = total
	return nil
}

// addHolding adds a change of a holding to the transaction. A holding without
// grants is deleted.
func (op *operation) addHolding(key string, version platform.Version) error {
	op.txn.Conditions = append(op.txn.Conditions, platform.Condition{Key: key, Version: version})
	if len(op.holding.Grants) == 0 {
		op.txn.Deletes = append(op.txn.Deletes, key)
		return nil
	}
	value, err := encodeRow(op.holding)
	op.txn.Puts = append(op.txn.Puts, platform.Put{Key: key, Value: value})
	return err
}

// planOperation collects the changes that are due, nil if there are none. It also
// returns the tokens that the home stripe lacks for them, by team. m.mu is held.
func (m *Manager) planOperation(tick bool) (*operation, map[*team]int64) {
	if m.fenced || m.ownRowUnknown {
		return nil, nil
	}
	if len(m.predecessors) > 0 {
		if m.holdingVersion.IsZero() && len(m.predecessors[0].holding.Grants) > 0 {
			return m.planTakeover(&m.predecessors[0]), nil
		}
		return m.planWriteOff(&m.predecessors[0]), nil
	}
	shortfalls := map[*team]int64{}
	op := &operation{totals: map[string]budget.Total{}, fromReserve: map[*team]int64{}, holding: budget.Holding{
		Seq: m.holding.Seq + 1, Grants: maps.Clone(m.holding.Grants), Era: m.era,
	}}
	changed := m.holding.Era != m.era && len(m.holding.Grants) > 0 // renews the pledges
	for _, t := range m.teamsToPlan() {
		limit := m.teamsPerTxn(t) // before the plan, which may return all that is held
		due, shortfall, err := m.planTeam(op, t, tick)
		if err != nil {
			m.opt.Logger.Error("failed to change a share", "team", t.name, "err", err)
			t.share.Drop()
		}
		if shortfall > 0 {
			shortfalls[t] = shortfall
		}
		changed = changed || due
		if len(op.totals) >= limit {
			break
		}
	}
	if !changed {
		return nil, shortfalls
	}
	m.renewOtherPledges(op)
	if err := op.addHolding(m.holdingKey(), m.holdingVersion); err != nil {
		m.opt.Logger.Error("failed to encode the holding", "err", err)
		m.dropPendingGrants(op)
		return nil, nil
	}
	return op, shortfalls
}

// planTeam adds the change of one team's share to the operation. It reports whether
// a change is due, and how many tokens the home stripe lacks for it.
func (m *Manager) planTeam(op *operation, t *team, tick bool) (due bool, shortfall int64, err error) {
	now := m.opt.Clock()
	total := m.stripeTotal(t, m.home)
	old := m.holding.Grants[t.name]
	if m.stopping {
		if old.Seq == 0 {
			return false, 0, nil
		}
		// Reservations that are still open count as spent, because the process ends.
		spent := t.share.Used()
		delete(op.holding.Grants, t.name)
		return true, 0, op.addTotal(t, m.home, total.CloseGrant(old, spent, spent-old.Lost))
	}
	delta, settle := m.grantChange(t, now, tick)
	fromReserve := m.reserveDraw(t, total)
	if fromReserve > 0 {
		total, delta = total.TakeReserve(fromReserve), max(delta, fromReserve)
	}
	if shortfall = delta - total.Left(); delta > 0 && shortfall > 0 {
		delta = max(total.Left(), 0)
	}
	if len(t.waiters) == 0 && t.share.Available()+delta >= m.minCover(t, now) {
		shortfall = 0 // not worth a transfer
	}
	// A new pledge is due if the share covers the first waiter, so that only the old
	// pledge makes it wait, or if the old pledge is nearly used up.
	renew := len(t.waiters) > 0 && t.waiters[0].tokens <= t.share.Available() ||
		tick && t.share.PledgeNeedsRenewal(t.demand.Demand(now), m.tableNowMS()) || m.pledgeRunsDry(t, now)
	report := tick && delta == 0 && m.reportsEnd(t, old, now)
	if delta == 0 && settle == 0 && !renew && !report {
		return false, shortfall, nil
	}
	if settle == 0 {
		settle = t.share.Consumed() - t.share.Stored().Settled
	}
	next := m.beginGrant(t, old, delta, settle, fromReserve)
	if delta != 0 || report {
		next.Demand = int64(t.demand.Average(now).TokensPerSecond)
		updated, err := total.ChangeGrant(old, next)
		if err != nil {
			return false, 0, err
		}
		next.Reported, next.Lost = next.Settled, 0
		if err := op.addTotal(t, m.home, updated); err != nil {
			return false, 0, err
		}
	}
	op.holding.Grants[t.name] = next
	op.teams = append(op.teams, t)
	if fromReserve > 0 {
		op.fromReserve[t] = fromReserve
	}
	return true, shortfall, nil
}

// adoptTotals records the totals that an applied operation has stored. m.mu is held.
func (m *Manager) adoptTotals(op *operation, versions map[string]platform.Version) {
	for key, total := range op.totals {
		if stripe, name, ok := parseTotalKey(key); ok {
			m.setStripeRow(m.team(name), stripe, stripeRow{total, versions[key]})
		}
	}
}

// beginGrant begins the change of a team's grant by delta tokens, of which fromReserve
// come from the reserve, and settles the given consumption. It returns the grant to
// store, which follows old. m.mu is held.
func (m *Manager) beginGrant(t *team, old budget.Grant, delta, settle, fromReserve int64) budget.Grant {
	next := t.share.BeginPledged(delta, settle, m.newPledge(t, m.opt.Clock()))
	next.Reported, next.Lost, next.Demand = old.Reported, old.Lost, old.Demand
	next.Young, next.YoungAtMS = m.youngAfter(old, delta, fromReserve)
	return next
}

// renewOtherPledges settles the teams that the operation does not change yet and
// renews their pledges. The row of the holding is written anyway, and an old pledge
// causes a large loss if this router dies: the limit of a pledge grows with time.
// m.mu is held.
func (m *Manager) renewOtherPledges(op *operation) {
	for name, old := range op.holding.Grants {
		t := m.team(name)
		if _, pending := t.share.Pending(); pending || m.stopping && m.holding.Era == m.era {
			continue
		}
		op.holding.Grants[name] = m.beginGrant(t, old, 0, t.share.Consumed()-t.share.Stored().Settled, 0)
		op.teams = append(op.teams, t)
	}
}

// grantChange returns the tokens to add to a team's grant, negative for a return,
// and the consumption to settle, both 0 if they do not justify a write. Only those of
// the waiters are considered that the budget can cover.
// m.mu is held.
func (m *Manager) grantChange(t *team, now time.Time, tick bool) (delta, settle int64) {
	runsDry := m.runsDry(t, now)
	if !tick && len(t.waiters) == 0 && !m.draining && !runsDry {
		return -m.scarceExcess(t, now), 0
	}
	var need int64
	left := m.drawableTokens(t)
	if len(t.waiters) > 0 {
		available := max(t.share.Available(), 0)
		need = max(t.coveredWaiters(available+left)-available, 0)
	}
	switch {
	case tick || need > 0 || m.draining || runsDry:
		demand := t.demand.Demand(now)
		horizon, returnsRest := m.horizon(t, left, now)
		delta = t.share.GrantChange(demand, horizon, need, m.pool(t, left, demand))
		if idle := m.idleTokens(t, demand, horizon); returnsRest && need == 0 && (idle > 0 || demand.TokensPerSecond == 0) {
			delta = -idle
		}
	}
	settle = t.share.Consumed() - t.share.Stored().Settled
	if delta == 0 && (!tick || settle < minSettleTokens) {
		return 0, 0
	}
	return delta, settle
}

// scarceExcess returns the scarce tokens that a round returns although the timer did not
// start it: rounds for requests postpone the timed one. It is 0 unless most of the share is
// idle, so that a share that shrinks is not written in each round, and where many holders
// contend for the totals. m.mu is held.
func (m *Manager) scarceExcess(t *team, now time.Time) int64 {
	if !m.holdsScarceTokens(t) || m.homeHolders() > uncontendedHolders*scarceContentionFactor {
		return 0
	}
	demand := t.demand.Demand(now)
	horizon, returnsRest := m.horizon(t, m.drawableTokens(t), now)
	if idle := m.idleTokens(t, demand, horizon); returnsRest && idle > t.share.Available()/2 {
		return idle
	}
	return 0
}

// planTakeover returns the operation that moves the grants of an earlier process of
// this host to this router's holding, which has none yet. It changes no total,
// because after a power failure all routers take over holdings at the same moment.
func (m *Manager) planTakeover(p *predecessor) *operation {
	op := &operation{predecessor: p, takesOver: true, totals: map[string]budget.Total{}, holding: budget.Holding{
		Seq: m.holding.Seq + 1, Grants: map[string]budget.Grant{}, Era: m.era,
	}}
	for name, old := range p.holding.Grants {
		grant := old.ForSuccessor(m.predecessorEndMS)
		grant.Pledge = grant.PledgeOfSuccessor(m.team(name).waitingTokens(), m.tableNowMS())
		op.holding.Grants[name] = grant
	}
	if err := op.addHolding(m.holdingKey(), platform.Version{}); err != nil {
		m.opt.Logger.Error("failed to encode the holding", "err", err)
		return nil
	}
	op.txn.Conditions = append(op.txn.Conditions, platform.Condition{Key: p.key, Version: p.version})
	op.txn.Deletes = append(op.txn.Deletes, p.key)
	return op
}

// planWriteOff returns the operation that closes grants of an earlier process of this
// host. The tokens that the process may have spent without settling are written off.
func (m *Manager) planWriteOff(p *predecessor) *operation {
	op := &operation{predecessor: p, totals: map[string]budget.Total{}, holding: budget.Holding{
		Seq: p.holding.Seq + 1, Grants: maps.Clone(p.holding.Grants), Era: p.holding.Era, Closing: true,
	}}
	for _, name := range slices.Sorted(maps.Keys(p.holding.Grants)) {
		if len(op.totals) >= m.maxTeams() {
			break
		}
		t, grant := m.team(name), p.holding.Grants[name]
		if err := op.addTotal(t, m.home, m.stripeTotal(t, m.home).WriteOff(grant, m.predecessorEndMS)); err != nil {
			m.opt.Logger.Error("failed to encode a total", "team", name, "err", err)
			return nil
		}
		delete(op.holding.Grants, name)
	}
	if err := op.addHolding(p.key, p.version); err != nil {
		m.opt.Logger.Error("failed to encode the holding of an earlier process", "key", p.key, "err", err)
		return nil
	}
	return op
}

// exchangeResult is the result of an exchange. It decides whether the round goes on.
type exchangeResult int

const (
	exchangeDone   exchangeResult = iota // nothing else is due
	exchangeAgain                        // a write conflict, or more changes are due
	exchangeFailed                       // the table did not answer, or refused the call
)

func (r exchangeResult) String() string {
	return [...]string{"done", "again", "failed"}[r]
}

// commit sends an operation to the table and records the result.
func (m *Manager) commit(parent context.Context, op *operation) exchangeResult {
	ctx, cancel := context.WithTimeout(parent, m.nextCallTimeout())
	defer cancel()
	start := m.startCall()
	res, err := m.opt.Table.Commit(ctx, op.txn)
	refused := errkind.Is(err, errkind.PlatformRefused)
	if refused {
		m.opt.Logger.Error("the table refuses a change of shares", "teams", len(op.teams), "entries", len(op.txn.Puts)+len(op.txn.Deletes), "err", err)
		res, err = platform.TxnResult{}, nil
	}
	var ownRow *platform.Row
	if err == nil && !res.Committed && (op.predecessor == nil || op.takesOver) && (op.uncertain || len(res.Current) == 0) {
		// Only this router's holding shows whether an earlier attempt was applied.
		readCtx, cancelRead := context.WithTimeout(parent, m.nextCallTimeout())
		defer cancelRead()
		ownRow, err = m.readOwnHolding(readCtx)
		op.uncertain = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordCall(ctx, start, err)
	if m.beginEra() {
		return exchangeAgain
	}
	if err != nil {
		m.handleCommitError(op, err)
		return exchangeFailed
	}
	m.confirmEra(start)
	m.pendingOp = nil
	if !res.Committed {
		m.resolveConflict(op, res.Current, ownRow)
		if refused {
			return exchangeFailed // the same change would be planned again at once
		}
		return exchangeAgain
	}
	m.adoptTotals(op, res.Versions)
	if op.takesOver {
		m.adoptTakeover(op, res.Versions[m.holdingKey()])
		return exchangeAgain
	}
	if op.predecessor != nil {
		m.recordWriteOff(op, res.Versions[op.predecessor.key])
		return exchangeAgain
	}
	var version platform.Version
	if len(op.holding.Grants) > 0 {
		version = res.Versions[m.holdingKey()]
	}
	m.adoptHolding(op, version)
	if m.stopping {
		return exchangeAgain
	}
	return exchangeDone
}

// readOwnHolding reads the row of this router's holding, nil if there is none.
func (m *Manager) readOwnHolding(ctx context.Context) (*platform.Row, error) {
	row, err := m.opt.Table.Get(ctx, m.holdingKey())
	if errkind.Is(err, errkind.NotFound) {
		return nil, nil
	}
	return &row, err
}

// adoptHolding records this router's holding after an operation on it was applied.
// m.mu is held.
func (m *Manager) adoptHolding(op *operation, version platform.Version) {
	m.holding, m.holdingVersion = op.holding, version
	now := m.opt.Clock()
	for _, t := range op.teams {
		t.share.Confirm()
		t.history.Record(now, t.share.Stored().Granted, op.fromReserve[t])
		m.grantWaiters(t)
	}
}

// adoptTakeover creates the shares for the grants of a predecessor after these were
// moved to this router's holding. m.mu is held.
func (m *Manager) adoptTakeover(op *operation, version platform.Version) {
	m.holding, m.holdingVersion = op.holding, version
	for name, grant := range op.holding.Grants {
		t := m.team(name)
		t.share.Restore(grant)
		t.demand.Inherit(m.opt.Clock(), float64(grant.Demand))
		t.history.RecordInherited(m.inheritedAt(grant), grant)
		m.grantWaiters(t)
		m.opt.Metrics.lostTokens.Add(float64(grant.Lost - op.predecessor.holding.Grants[name].Lost))
		m.opt.Logger.Info("share of an ended process taken over", "team", name, "holding", op.predecessor.key,
			"held", grant.Held(), "lost", grant.Lost, "pledged_ms", m.predecessorEndMS-op.predecessor.holding.Grants[name].Pledge.AtMS,
			"grows_after_ms", op.predecessor.holding.Grants[name].Pledge.GrowsAfterMS)
	}
	m.predecessors = slices.DeleteFunc(m.predecessors, func(p predecessor) bool { return p.key == op.predecessor.key })
}

// recordWriteOff records that grants of a predecessor were written off. m.mu is held.
func (m *Manager) recordWriteOff(op *operation, version platform.Version) {
	for name, grant := range op.predecessor.holding.Grants {
		if _, remains := op.holding.Grants[name]; !remains {
			m.opt.Metrics.lostTokens.Add(float64(grant.ForSuccessor(m.predecessorEndMS).Lost - grant.Lost))
			m.opt.Logger.Info("share of an ended process written off", "team", name, "holding", op.predecessor.key,
				"held", grant.Held(), "lost_in_all", m.teamTotal(m.team(name)).Lost, "pledged_ms", m.predecessorEndMS-grant.Pledge.AtMS,
				"grows_after_ms", grant.Pledge.GrowsAfterMS)
		}
	}
	if len(op.holding.Grants) == 0 {
		m.predecessors = slices.DeleteFunc(m.predecessors, func(p predecessor) bool { return p.key == op.predecessor.key })
		return
	}
	op.predecessor.holding, op.predecessor.version = op.holding, version
}

// handleCommitError keeps an operation whose result is unknown and drops one that
// is known not to have been applied. m.mu is held.
func (m *Manager) handleCommitError(op *operation, err error) {
	m.opt.Logger.Warn("failed to store shares", "teams", len(op.teams), "err", err)
	op.uncertain = op.uncertain || !errkind.Is(err, errkind.PlatformUnavailable)
	if op.uncertain {
		return
	}
	m.pendingOp = nil
	m.dropPendingGrants(op)
}

// dropPendingGrants discards the pending grants of an operation. m.mu is held.
func (m *Manager) dropPendingGrants(op *operation) {
	for _, t := range op.teams {
		t.share.Drop()
	}
}

// resolveConflict handles an operation whose conditions failed. It records the rows
// that others have changed and finds out whether an earlier attempt was applied.
// No other process changes this holding, except a successor on this host, which
// takes it over or closes it. So an operation was applied if the stored holding has
// the operation's sequence number, or if the operation was to delete the holding and
// its row is gone. If the row is gone otherwise, or the holding is marked as closing,
// a successor is the cause. An operation that was not applied never will be, because
// a row in its conditions has changed. m.mu is held.
func (m *Manager) resolveConflict(op *operation, current []platform.Row, ownRow *platform.Row) {
	for _, row := range current {
		m.adoptTotal(row)
	}
	stored := m.decodeHolding(ownRow)
	changedElsewhere := func(row platform.Row) bool { return row.Key == m.holdingKey() && row.Version != m.holdingVersion }
	switch {
	case m.restorable() && op.predecessor == nil && !op.uncertain && slices.ContainsFunc(current, changedElsewhere):
		// An operation that was given up at a restore has taken effect since.
		m.dropPendingGrants(op)
		m.ownRowUnknown, m.reloadNeeded = true, true
	case stored.Closing:
		m.dropPendingGrants(op)
		m.fence()
	case op.takesOver && ownRow != nil && stored.Seq == op.holding.Seq:
		m.adoptTakeover(op, ownRow.Version)
	case op.predecessor != nil:
		m.reloadNeeded = true // the next read shows which predecessors are left
	case !op.uncertain:
		m.dropPendingGrants(op)
	case ownRow == nil && !m.holdingVersion.IsZero() && len(op.holding.Grants) == 0:
		m.adoptHolding(op, platform.Version{})
	case ownRow == nil && !m.holdingVersion.IsZero():
		m.dropPendingGrants(op)
		m.fence()
	case ownRow != nil && stored.Seq == op.holding.Seq:
		m.adoptHolding(op, ownRow.Version)
		m.reloadNeeded = true // the operation has also changed the totals
	default:
		m.dropPendingGrants(op)
	}
}

// fence stops spending because a successor on this host has closed the holding. m.mu
// is held.
func (m *Manager) fence() {
	m.fenced = true
	m.opt.Logger.Error("another process has closed this holding", "key", m.holdingKey())
}

// decodeHolding returns the stored holding of this router, the zero value if it has
// none or the row cannot be decoded.
func (m *Manager) decodeHolding(ownRow *platform.Row) budget.Holding {
	if ownRow == nil {
		return budget.Holding{}
	}
	var stored budget.Holding
	if err := decodeRow(ownRow.Value, &stored); err != nil {
		m.opt.Logger.Error("failed to decode this router's holding", "key", ownRow.Key, "err", err)
		return budget.Holding{}
	}
	return stored
}
