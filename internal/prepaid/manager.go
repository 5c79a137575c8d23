// Package prepaid keeps a router's shares of the teams' prepaid budgets on a
// platform whose table is the only witness of what was spent. A router spends
// only from shares that the table has set aside for it. What a router held when
// it ended without settling counts as spent.
package prepaid

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Times of the exchange with the table.
const (
	// settleEvery is the pause between two rounds without a waiting request.
	settleEvery = 500 * time.Millisecond
	// probeEvery is the pause between two calls while the table is out of reach.
	probeEvery = 300 * time.Millisecond
	// callTimeout bounds a call to the table after one that was answered.
	callTimeout = 900 * time.Millisecond
	// slowTimeout bounds a call after one that was not. A table that is 80 times
	// slower than usual takes 0.4 s for each write of any router.
	slowTimeout = 3 * time.Second
	// paceFactor is the pause between two rounds in multiples of the time that
	// the last call took, so that a slow table is not given more writes than it
	// can take.
	paceFactor = 5
	// conflictRetries bounds the attempts of one round after lost races.
	conflictRetries = 6
	// settleLeast is the least consumption that is worth a write of its own.
	settleLeast = 2000
	// closeRounds leaves room for an operation of unknown result and a lost race.
	closeRounds = 8
)

// accountPrefix is the prefix of the rows that hold accounts.
const accountPrefix = "account/"

// Options configures a Manager.
type Options struct {
	Table platform.Table
	// Host names the place of this process. One process runs there at a time, so
	// a new one may close what an earlier one has held.
	Host        string
	Incarnation string // of this process; unique
	Logger      *slog.Logger
	Clock       func() time.Time
	TableClock  TableClock
	Started     time.Time // of this process
}

// TableClock tells the time of the table's steady clock.
type TableClock interface {
	// Last returns a time that the table has stated, with the moments between
	// which it did so.
	Last() (ms int64, sent, received time.Time)
}

// Manager holds the shares. It is safe for concurrent use.
type Manager struct {
	opt  Options
	id   string
	kick chan struct{}

	mu       sync.Mutex
	diedMS   int64 // no earlier process of this host lived after it, on the table's clock
	prepaid  map[string]int64
	teams    map[string]*team
	loaded   bool
	reached  bool          // the last call to the table succeeded
	answered bool          // the last call to the table was answered in time
	took     time.Duration // the last call to the table
	draining bool // gives back what it does not need at once
	stopping bool
	pending  *operation
	holders  int
}

// team is one team's share.
type team struct {
	name    string
	holder  budget.Holder
	demand  budget.Average
	account budget.Account
	version int64
	waiters []*waiter
}

// operation is a transaction whose result may be unknown.
type operation struct {
	txn       platform.Txn
	teams     []*team
	after     map[string]budget.Account
	uncertain bool
}

type waiter struct {
	tokens int64
	done   chan error
	seen   bool // a round has taken it into account
}

// New returns a manager that holds nothing. Run must be running for
// reservations to succeed.
func New(o Options) *Manager {
	return &Manager{
		opt: o, id: o.Host + "/" + o.Incarnation, kick: make(chan struct{}, 1),
		prepaid: map[string]int64{}, teams: map[string]*team{}, holders: 1, answered: true,
	}
}

// SetPrepaid takes over the prepaid totals of a configuration.
func (m *Manager) SetPrepaid(totals map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, total := range totals {
		m.prepaid[name] = max(m.prepaid[name], total)
	}
	m.wake()
}

// Holders returns the number of routers that hold a share of any budget.
func (m *Manager) Holders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holders
}

func (m *Manager) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Run exchanges shares with the table until ctx ends. A call in flight then ends
// by itself, so that its result is known.
func (m *Manager) Run(ctx context.Context) {
	calls := context.WithoutCancel(ctx)
	timer := time.NewTimer(settleEvery)
	defer timer.Stop()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return
		case <-m.kick:
		case <-timer.C:
			tick = true
		}
		m.round(calls, tick)
		if !tick {
			continue
		}
		timer.Reset(m.pause())
	}
}

// pause returns the time until the next round.
func (m *Manager) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reached {
		return max(probeEvery, m.took)
	}
	return max(settleEvery, paceFactor*m.took)
}

// timeout returns the bound of the next call.
func (m *Manager) timeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answered {
		return callTimeout
	}
	return slowTimeout
}

// note records how a call to the table went. m.mu is held.
func (m *Manager) note(ctx context.Context, began time.Time, err error) {
	m.reached = err == nil
	m.answered = ctx.Err() == nil
	m.took = m.opt.Clock().Sub(began)
}

// Reached reports whether the last call to the table succeeded.
func (m *Manager) Reached() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reached
}

// Drain gives back all that the requests in progress do not need, long before
// Close: the table may be slow or out of reach by then.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
	m.wake()
}

// Close settles what was spent and gives the rest back. No reservation may be
// open.
func (m *Manager) Close(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	for range closeRounds {
		if ctx.Err() != nil {
			break
		}
		m.round(ctx, true)
		m.mu.Lock()
		open := slices.ContainsFunc(slices.Collect(maps.Values(m.teams)), func(t *team) bool {
			return t.account.Grants[m.id].Seq > 0
		})
		m.mu.Unlock()
		if !open {
			return
		}
	}
	m.opt.Logger.Warn("shares not returned; they count as spent")
}

// round resolves an operation of unknown result, then makes the changes that
// the shares need.
func (m *Manager) round(ctx context.Context, tick bool) {
	m.mu.Lock()
	for _, t := range m.teams {
		for _, w := range t.waiters {
			w.seen = true
		}
	}
	m.mu.Unlock()
	for range conflictRetries {
		if !m.load(ctx) {
			break
		}
		m.mu.Lock()
		if m.pending == nil {
			m.pending = m.plan(tick)
		}
		op := m.pending
		m.mu.Unlock()
		if op == nil {
			break
		}
		if !m.commit(ctx, op) {
			break
		}
	}
	m.answerWaiters()
}

// load reads the accounts, once and after each failure of the table. Without the
// second, a router that has nothing to write would not notice its return.
func (m *Manager) load(ctx context.Context) bool {
	m.mu.Lock()
	done := m.loaded && m.reached
	m.mu.Unlock()
	if done {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	began := m.opt.Clock()
	rows, err := platform.ScanAll(ctx, m.opt.Table, accountPrefix)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(ctx, began, err)
	if err != nil {
		m.opt.Logger.Warn("accounts not read", "err", err)
		return false
	}
	for _, row := range rows {
		m.take(row)
	}
	ms, sent, _ := m.opt.TableClock.Last()
	if !m.loaded {
		m.diedMS = ms - sent.Sub(m.opt.Started).Milliseconds()
		m.loaded = true
	}
	return true
}

// tableNow returns a time of the table's clock that has passed for certain.
func (m *Manager) tableNow() int64 {
	ms, _, received := m.opt.TableClock.Last()
	return ms + m.opt.Clock().Sub(received).Milliseconds()
}

// reserve takes tokens out of a share within its pledge.
func (m *Manager) reserve(t *team, tokens int64) bool {
	return t.holder.Within(tokens, m.tableNow()) && t.holder.Reserve(tokens)
}

// take adopts a stored account. m.mu is held.
func (m *Manager) take(row platform.Row) *team {
	t := m.team(strings.TrimPrefix(row.Key, accountPrefix))
	var a budget.Account
	if err := json.Unmarshal(row.Value, &a); err != nil {
		m.opt.Logger.Error("account not readable", "team", t.name, "err", err)
		return t
	}
	t.account, t.version = a, row.Version
	m.holders = max(1, len(a.Grants))
	return t
}

func (m *Manager) team(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{name: name}
		m.teams[name] = t
	}
	return t
}

// plan collects the changes of all teams in one transaction, nil if there are
// none. m.mu is held.
func (m *Manager) plan(tick bool) *operation {
	now := m.opt.Clock()
	op := &operation{after: map[string]budget.Account{}}
	for name, total := range m.prepaid {
		t := m.team(name)
		account := m.closePredecessors(t).Raise(total)
		delta, settle := m.change(t, account, now, tick)
		closing := m.stopping && account.Grants[m.id].Seq > 0
		// A share that suffices but not within its pledge needs a new pledge.
		renew := len(t.waiters) > 0 && !m.stopping && t.waiters[0].tokens <= t.holder.Available()
		if delta == 0 && settle == 0 && !closing && !renew && len(account.Grants) == len(t.account.Grants) {
			continue
		}
		var err error
		if closing {
			// Open reservations end with the process and count as spent.
			account, err = account.CloseGrant(m.id, t.holder.Consumed()+t.holder.Reserved()-t.holder.Stored().Settled)
		} else {
			pledge := t.holder.NewPledge(t.demand.PerSecond(now), t.waiting(), m.tableNow())
			account, err = account.Store(m.id, t.holder.BeginPledged(delta, settle, pledge))
		}
		if err != nil {
			m.opt.Logger.Error("share not changed", "team", name, "err", err)
			t.holder.Drop()
			continue
		}
		value, err := json.Marshal(account)
		if err != nil {
			m.opt.Logger.Error("account not encoded", "team", name, "err", err)
			t.holder.Drop()
			continue
		}
		key := accountPrefix + name
		op.txn.Conditions = append(op.txn.Conditions, platform.Condition{Key: key, Version: t.version})
		op.txn.Puts = append(op.txn.Puts, platform.Put{Key: key, Value: value})
		op.teams = append(op.teams, t)
		op.after[name] = account
	}
	if len(op.teams) == 0 {
		return nil
	}
	return op
}

// closePredecessors writes off what earlier processes of this host have held.
func (m *Manager) closePredecessors(t *team) budget.Account {
	account := t.account
	for holder := range t.account.Grants {
		if holder != m.id && strings.HasPrefix(holder, m.opt.Host+"/") {
			before := account.Lost
			account = account.WriteOff(holder, m.diedMS)
			m.opt.Logger.Info("share of an ended process written off", "team", t.name, "holder", holder,
				"held", t.account.Grants[holder].Held(), "lost", account.Lost-before,
				"pledged_ms", m.diedMS-t.account.Grants[holder].Pledge.AtMS)
		}
	}
	return account
}

// change returns the change of the grant and the consumption to settle.
func (m *Manager) change(t *team, account budget.Account, now time.Time, tick bool) (delta, settle int64) {
	if m.stopping {
		return 0, 0
	}
	var need int64
	if len(t.waiters) > 0 {
		need = t.waiting() - max(t.holder.Available(), 0)
		if left := account.Left(); need > left && t.waiters[0].tokens-t.holder.Available() <= left {
			need = t.waiters[0].tokens - t.holder.Available()
		}
		need = max(need, 0)
	}
	perSecond := t.demand.PerSecond(now)
	if m.draining {
		perSecond = 0
	}
	delta = t.holder.ShareChange(perSecond, need, account.Left())
	settle = t.holder.Consumed() - t.holder.Stored().Settled
	if delta == 0 && (!tick || settle < settleLeast && account.Left() > 0) {
		return 0, 0
	}
	return delta, settle
}

// commit sends the operation and reports whether another round may follow.
func (m *Manager) commit(ctx context.Context, op *operation) bool {
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	began := m.opt.Clock()
	res, err := m.opt.Table.Commit(ctx, op.txn)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(ctx, began, err)
	if err != nil {
		m.failed(op, err)
		return false
	}
	m.pending = nil
	if res.Committed {
		for _, t := range op.teams {
			t.holder.Confirm()
			t.account = op.after[t.name]
			t.version = res.Versions[accountPrefix+t.name]
			m.holders = max(1, len(t.account.Grants))
			m.admit(t)
		}
		return false
	}
	m.resolve(op, res.Current)
	return true
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
	for _, t := range op.teams {
		t.holder.Drop()
	}
}

// resolve adopts the rows that were changed meanwhile. An operation of unknown
// result that was applied shows in all of its rows, because it is atomic.
// m.mu is held.
func (m *Manager) resolve(op *operation, current []platform.Row) {
	for _, row := range current {
		m.take(row)
	}
	for _, t := range op.teams {
		pending, open := t.holder.Pending()
		if !open {
			continue
		}
		if op.uncertain && t.account.Grants[m.id] == pending {
			t.holder.Confirm()
			m.admit(t)
			continue
		}
		t.holder.Drop()
	}
}

// waiting returns the tokens that all waiters ask for.
func (t *team) waiting() int64 {
	var sum int64
	for _, w := range t.waiters {
		sum += w.tokens
	}
	return sum
}

// admit grants waiters in order as long as the share covers the first.
func (m *Manager) admit(t *team) {
	for len(t.waiters) > 0 && m.reserve(t, t.waiters[0].tokens) {
		t.waiters[0].done <- nil
		t.waiters = t.waiters[1:]
	}
}
