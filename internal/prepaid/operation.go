package prepaid

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// operation is a transaction whose result may be unknown. It changes this router's
// holding, closes a predecessor's or makes that its own.
type operation struct {
	txn       platform.Txn
	teams     []*team                 // with a pending grant
	totals    map[string]budget.Total // after it, by key of their rows
	holding   budget.Holding          // after it
	closes    *predecessor            // nil for the own holding
	inherits  bool                    // the grants of closes go to the own holding
	uncertain bool
}

// putTotal adds the change of a stripe of a team's budget.
func (op *operation) putTotal(t *team, stripe int, total budget.Total) error {
	value, err := json.Marshal(total)
	if err != nil {
		return err
	}
	key := totalKey(stripe, t.name)
	op.txn.Conditions = append(op.txn.Conditions, platform.Condition{Key: key, Version: t.stripes[stripe].version})
	op.txn.Puts = append(op.txn.Puts, platform.Put{Key: key, Value: value})
	op.totals[key] = total
	return nil
}

// putHolding adds the change of a holding. One without grants is removed.
func (op *operation) putHolding(key string, version int64) error {
	op.txn.Conditions = append(op.txn.Conditions, platform.Condition{Key: key, Version: version})
	if len(op.holding.Grants) == 0 {
		op.txn.Deletes = append(op.txn.Deletes, key)
		return nil
	}
	value, err := json.Marshal(op.holding)
	op.txn.Puts = append(op.txn.Puts, platform.Put{Key: key, Value: value})
	return err
}

// plan collects the changes that are due, nil if there are none, and the tokens
// that the home stripe lacks for them by team. m.mu is held.
func (m *Manager) plan(tick bool) (*operation, map[*team]int64) {
	if m.fenced {
		return nil, nil
	}
	if len(m.predecessors) > 0 {
		if m.version == 0 && len(m.predecessors[0].holding.Grants) > 0 {
			return m.planInherit(&m.predecessors[0]), nil
		}
		return m.planClose(&m.predecessors[0]), nil
	}
	short := map[*team]int64{}
	op := &operation{totals: map[string]budget.Total{}, holding: budget.Holding{
		Seq: m.holding.Seq + 1, Grants: maps.Clone(m.holding.Grants),
	}}
	limit := calmTeams
	if m.stopping {
		limit = maxTeams
	}
	changed := false
	for name := range m.prepaid { // in random order, so that routers meet less
		t := m.team(name)
		due, lacks, err := m.planTeam(op, t, tick)
		if err != nil {
			m.opt.Logger.Error("share not changed", "team", name, "err", err)
			t.holder.Drop()
		}
		if lacks > 0 {
			short[t] = lacks
		}
		changed = changed || due
		if len(op.totals) >= limit {
			break
		}
	}
	if !changed {
		return nil, short
	}
	m.renewOthers(op)
	if err := op.putHolding(m.key(), m.version); err != nil {
		m.opt.Logger.Error("holding not encoded", "err", err)
		m.drop(op)
		return nil, nil
	}
	return op, short
}

// planTeam adds the change of one team and reports whether there is one, and how
// many tokens the home stripe lacks for it.
func (m *Manager) planTeam(op *operation, t *team, tick bool) (due bool, lacks int64, err error) {
	now := m.opt.Clock()
	total := m.stripe(t, m.home)
	old := m.holding.Grants[t.name]
	if m.stopping {
		if old.Seq == 0 {
			return false, 0, nil
		}
		// Open reservations end with the process and count as spent.
		spent := t.holder.Consumed() + t.holder.Reserved()
		delete(op.holding.Grants, t.name)
		return true, 0, op.putTotal(t, m.home, total.CloseGrant(old, spent, spent-old.Lost))
	}
	delta, settle := m.change(t, now, tick)
	if lacks = delta - total.Left(); delta > 0 && lacks > 0 {
		delta = max(total.Left(), 0)
	}
	// A share that suffices but not within its pledge needs a new pledge.
	renew := len(t.waiters) > 0 && t.waiters[0].tokens <= t.holder.Available() ||
		tick && t.holder.PledgeNeedsRenewal(t.demand.Demand(now), m.tableNow())
	if delta == 0 && settle == 0 && !renew {
		return false, lacks, nil
	}
	if settle == 0 {
		settle = t.holder.Consumed() - t.holder.Stored().Settled
	}
	next := t.holder.BeginPledged(delta, settle, m.newPledge(t, now))
	next.Reported, next.Lost = old.Reported, old.Lost
	if delta != 0 {
		changed, err := total.ChangeGrant(old, next)
		if err != nil {
			return false, 0, err
		}
		next.Reported, next.Lost = next.Settled, 0
		if err := op.putTotal(t, m.home, changed); err != nil {
			return false, 0, err
		}
	}
	op.holding.Grants[t.name] = next
	op.teams = append(op.teams, t)
	return true, lacks, nil
}

// storedTotals adopts the totals of an operation that was applied. m.mu is held.
func (m *Manager) storedTotals(op *operation, versions map[string]int64) {
	for key, total := range op.totals {
		if stripe, name, ok := parseTotalKey(key); ok {
			m.team(name).stripes[stripe] = account{total, versions[key]}
		}
	}
}

// newPledge returns the pledge for an operation. While the table is slow,
// sparse requests are not bounded: each beyond the pledge would wait for it.
func (m *Manager) newPledge(t *team, now time.Time) budget.Pledge {
	limit := int64(math.MaxInt64)
	if m.took <= calmCall {
		limit = budget.SparsePledgeLimit(m.prepaid[t.name], t.holders())
	}
	return t.holder.NewPledge(t.demand.Demand(now), limit, t.waiting(), m.tableNow())
}

// renewOthers settles the other teams and renews their pledges: the row is
// written anyway, and an old pledge is a large loss if this router dies.
func (m *Manager) renewOthers(op *operation) {
	now := m.opt.Clock()
	for name, old := range op.holding.Grants {
		t := m.team(name)
		if _, open := t.holder.Pending(); open || m.stopping {
			continue
		}
		next := t.holder.BeginPledged(0, t.holder.Consumed()-t.holder.Stored().Settled,
			m.newPledge(t, now))
		next.Reported, next.Lost = old.Reported, old.Lost
		op.holding.Grants[name] = next
		op.teams = append(op.teams, t)
	}
}

// change returns the change of the grant and the consumption to settle.
func (m *Manager) change(t *team, now time.Time, tick bool) (delta, settle int64) {
	var need int64
	left := m.left(t)
	if len(t.waiters) > 0 {
		need = t.waiting() - max(t.holder.Available(), 0)
		if first := t.waiters[0].tokens - t.holder.Available(); need > left && first <= left {
			need = first
		}
		need = max(need, 0)
	}
	switch {
	case m.draining && need == 0:
		delta = -max(t.holder.Available(), 0)
	case m.draining && need <= left:
		delta = need
	case tick || need > 0:
		delta = t.holder.GrantChange(t.demand.Demand(now), need, left, t.holders())
	}
	settle = t.holder.Consumed() - t.holder.Stored().Settled
	if delta == 0 && (!tick || settle < settleLeast) {
		return 0, 0
	}
	return delta, settle
}

// planInherit makes the holding of an earlier process of this host the own one,
// which has no grants yet. It changes no total: after a loss of power all
// routers do this at the same moment.
func (m *Manager) planInherit(p *predecessor) *operation {
	op := &operation{closes: p, inherits: true, totals: map[string]budget.Total{}, holding: budget.Holding{
		Seq: m.holding.Seq + 1, Grants: map[string]budget.Grant{},
	}}
	for name, old := range p.holding.Grants {
		grant := old.ForSuccessor(m.diedMS)
		grant.Pledge = budget.Pledge{Base: grant.Settled + m.team(name).waiting(), AtMS: m.tableNow()}
		op.holding.Grants[name] = grant
	}
	if err := op.putHolding(m.key(), 0); err != nil {
		m.opt.Logger.Error("holding not encoded", "err", err)
		return nil
	}
	op.txn.Conditions = append(op.txn.Conditions, platform.Condition{Key: p.key, Version: p.version})
	op.txn.Deletes = append(op.txn.Deletes, p.key)
	return op
}

// planClose writes off what an earlier process of this host has held.
func (m *Manager) planClose(p *predecessor) *operation {
	op := &operation{closes: p, totals: map[string]budget.Total{}, holding: budget.Holding{
		Seq: p.holding.Seq + 1, Grants: maps.Clone(p.holding.Grants),
	}}
	for _, name := range slices.Sorted(maps.Keys(p.holding.Grants)) {
		if len(op.totals) >= maxTeams {
			break
		}
		t, grant := m.team(name), p.holding.Grants[name]
		if err := op.putTotal(t, m.home, m.stripe(t, m.home).WriteOff(grant, m.diedMS)); err != nil {
			m.opt.Logger.Error("total not encoded", "team", name, "err", err)
			return nil
		}
		delete(op.holding.Grants, name)
	}
	if err := op.putHolding(p.key, p.version); err != nil {
		m.opt.Logger.Error("holding not encoded", "key", p.key, "err", err)
		return nil
	}
	return op
}

// commitResult says how a round goes on.
type commitResult int

const (
	commitDone   commitResult = iota // nothing else is due
	commitAgain                      // a lost race, or more is to be written
	commitFailed                     // the table did not answer, or refused the call
)

func (r commitResult) String() string {
	return [...]string{"done", "again", "failed"}[r]
}

// commit sends the operation.
func (m *Manager) commit(ctx context.Context, op *operation) commitResult {
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	began := m.begin()
	res, err := m.opt.Table.Commit(ctx, op.txn)
	var own *platform.Row
	if err == nil && !res.Committed && (op.closes == nil || op.inherits) && (op.uncertain || len(res.Current) == 0) {
		// Only the holding shows whether an earlier attempt was applied.
		own, err = m.readHolding(ctx)
		op.uncertain = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(ctx, began, err)
	if err != nil {
		m.failed(op, err)
		return commitFailed
	}
	m.pending = nil
	if !res.Committed {
		m.resolve(op, res.Current, own)
		return commitAgain
	}
	m.storedTotals(op, res.Versions)
	if op.inherits {
		m.inherited(op, res.Versions[m.key()])
		return commitAgain
	}
	if op.closes != nil {
		m.closed(op, res.Versions[op.closes.key])
		return commitAgain
	}
	var version int64
	if len(op.holding.Grants) > 0 {
		version = res.Versions[m.key()]
	}
	m.applied(op, version)
	if m.stopping {
		return commitAgain
	}
	return commitDone
}

// readHolding reads the own holding, nil if there is none.
func (m *Manager) readHolding(ctx context.Context) (*platform.Row, error) {
	row, err := m.opt.Table.Get(ctx, m.key())
	if errkind.Is(err, errkind.NotFound) {
		return nil, nil
	}
	return &row, err
}

// applied adopts the own holding after an operation. m.mu is held.
func (m *Manager) applied(op *operation, version int64) {
	m.holding, m.version = op.holding, version
	for _, t := range op.teams {
		t.holder.Confirm()
		m.admit(t)
	}
}

// inherited adopts the holding of a predecessor. m.mu is held.
func (m *Manager) inherited(op *operation, version int64) {
	m.holding, m.version = op.holding, version
	for name, grant := range op.holding.Grants {
		t := m.team(name)
		t.holder.Restore(grant)
		m.admit(t)
		m.opt.Metrics.unaccounted.Add(float64(grant.Lost - op.closes.holding.Grants[name].Lost))
		m.opt.Logger.Info("share of an ended process taken over", "team", name, "holding", op.closes.key,
			"held", grant.Held(), "lost", grant.Lost, "pledged_ms", m.diedMS-op.closes.holding.Grants[name].Pledge.AtMS)
	}
	m.predecessors = slices.DeleteFunc(m.predecessors, func(p predecessor) bool { return p.key == op.closes.key })
}

// closed notes that grants of a predecessor are written off. m.mu is held.
func (m *Manager) closed(op *operation, version int64) {
	for name, grant := range op.closes.holding.Grants {
		if _, open := op.holding.Grants[name]; !open {
			m.opt.Metrics.unaccounted.Add(float64(grant.ForSuccessor(m.diedMS).Lost - grant.Lost))
			m.opt.Logger.Info("share of an ended process written off", "team", name, "holding", op.closes.key,
				"held", grant.Held(), "lost_in_all", m.sum(m.team(name)).Lost, "pledged_ms", m.diedMS-grant.Pledge.AtMS)
		}
	}
	if len(op.holding.Grants) == 0 {
		m.predecessors = slices.DeleteFunc(m.predecessors, func(p predecessor) bool { return p.key == op.closes.key })
		return
	}
	op.closes.holding, op.closes.version = op.holding, version
}

// failed keeps an operation whose result is unknown and gives up one that is
// known not to have taken effect. m.mu is held.
func (m *Manager) failed(op *operation, err error) {
	m.opt.Logger.Warn("shares not stored", "teams", len(op.teams), "err", err)
	op.uncertain = op.uncertain || !errkind.Is(err, errkind.PlatformUnavailable)
	if op.uncertain {
		return
	}
	m.pending = nil
	m.drop(op)
}

// drop gives up the pending grants of an operation. m.mu is held.
func (m *Manager) drop(op *operation) {
	for _, t := range op.teams {
		t.holder.Drop()
	}
}

// resolve adopts the rows that were changed meanwhile. Only this process writes
// its holding, so an operation of unknown result was applied if the stored
// holding has its number. If it was not, it never will be: a row of its
// conditions has changed. m.mu is held.
func (m *Manager) resolve(op *operation, current []platform.Row, own *platform.Row) {
	for _, row := range current {
		m.takeTotal(row)
	}
	switch {
	case op.inherits && own != nil && m.storedSeq(own) == op.holding.Seq:
		m.inherited(op, own.Version)
	case op.closes != nil:
		m.stale = true // the next reading shows which predecessors are left
	case !op.uncertain:
		m.drop(op)
	case own == nil && m.version > 0 && len(op.holding.Grants) == 0:
		m.applied(op, 0)
	case own == nil && m.version > 0:
		m.drop(op)
		m.fenced = true
		m.opt.Logger.Error("another process has closed this holding", "key", m.key())
	case own != nil && m.storedSeq(own) == op.holding.Seq:
		m.applied(op, own.Version)
		m.stale = true // the totals have changed with it
	default:
		m.drop(op)
	}
}

// storedSeq returns the number of a holding's last operation, 0 if the row
// cannot be read.
func (m *Manager) storedSeq(own *platform.Row) int64 {
	var stored budget.Holding
	if err := json.Unmarshal(own.Value, &stored); err != nil {
		m.opt.Logger.Error("holding not readable", "key", own.Key, "err", err)
		return 0
	}
	return stored.Seq
}
