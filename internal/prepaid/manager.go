// Package prepaid keeps a router's shares of the teams' prepaid budgets on a
// platform whose table is the only witness of what was spent. A router spends
// only from shares that the table has set aside for it. What a router held when
// it ended without settling counts as spent.
package prepaid

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Times of the exchange with the table.
const (
	// settleEvery is the pause between two rounds without a waiting request.
	settleEvery = 500 * time.Millisecond
	// probeEvery is the pause between two calls while the table is out of reach.
	probeEvery = 300 * time.Millisecond
	// callTimeout bounds a call to the table after one that was answered. Calls
	// take some 10 ms; a silent path has to be left before waiting requests are
	// refused.
	callTimeout = 250 * time.Millisecond
	// readingFactor is the least age of a reading in multiples of the last answer's
	// time: a slow table is better used for new pledges.
	readingFactor = 10
	// timeoutFactor is the least timeout in multiples of the last answer's time. A
	// slow table would otherwise be given up after each call that it has answered.
	timeoutFactor = 3
	// slowTimeout bounds a call after two that were not answered. A table that is
	// 80 times slower than usual takes 0.4 s for each write of any router.
	slowTimeout = 3 * time.Second
	// delayKnownFor is how long the time of a call says what the next one takes. A
	// slow table is called rarely.
	delayKnownFor = time.Second
	// calmCall is the longest call to a table that is neither slow nor pressed.
	calmCall = 50 * time.Millisecond
	// paceFactor is the pause between two rounds in multiples of the time that
	// the last call took, so that a slow table is not given more writes than it
	// can take.
	paceFactor = 5
	// conflictRetries bounds the attempts of one round after lost races.
	conflictRetries = 6
	// maxFailures is the number of failed calls after which a round still tries
	// again: the second attempt takes another path to the table, if there is one.
	maxFailures = 1
	// settleLeast is the least consumption that is worth a write of its own.
	settleLeast = 2000
	// closeRounds leaves room for an operation of unknown result and a lost race.
	closeRounds = 8
	// maxTeams bounds the teams whose totals one transaction changes. The table
	// takes 100 entries, two for each team and two for the holding.
	maxTeams = 40
	// calmTeams bounds the same outside of a stop. An operation loses its race if
	// another router changes any of its totals meanwhile.
	calmTeams = 12
	// raceDelay is the longest pause after a lost race. It differs between
	// routers, so that they do not meet again.
	raceDelay = 25 * time.Millisecond
	// refreshEvery is the age at which the totals are read again. A router whose
	// share suffices does not touch them, and would keep it when others need it.
	refreshEvery = time.Second
	// surveyEvery is the age at which the totals of the other stripes are read
	// again without need. Their sums say how many routers there are and what a
	// refusal states.
	surveyEvery = 5 * time.Second
	// freshFor is the age up to which the totals are good for a change. A call
	// takes some 10 ms. With older ones nearly every transaction of two dozen
	// routers would lose its race, and the table's part would do nothing else.
	freshFor = 15 * time.Millisecond
	// scanEvery is the pause between two looks for holdings of earlier processes
	// of this host. Their last writes may take effect seconds late.
	scanEvery = 15 * time.Second
)

// Keys of the rows: stripeN/total/TEAM and stripeN/holding/HOST/INCARNATION.
const (
	totalPrefix   = "total/"
	holdingPrefix = "holding/"
)

func stripePrefix(stripe int) string { return "stripe" + strconv.Itoa(stripe) + "/" }

func totalKey(stripe int, team string) string { return stripePrefix(stripe) + totalPrefix + team }

// parseTotalKey reports false for the key of another row.
func parseTotalKey(key string) (stripe int, team string, ok bool) {
	for stripe = range budget.Stripes {
		if team, ok = strings.CutPrefix(key, totalKey(stripe, "")); ok {
			return stripe, team, true
		}
	}
	return 0, "", false
}

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
	Started     time.Time           // of this process
	Sleep       func(time.Duration) // waits after a lost race; nil does not wait
	Metrics     *Metrics
}

// TableClock tells the time of the table's steady clock.
type TableClock interface {
	// LastReading returns a time that the table has stated, with the moments between
	// which it did so.
	LastReading() (ms int64, sent, received time.Time)
}

// Manager holds the shares. It is safe for concurrent use.
type Manager struct {
	opt  Options
	id   string
	home int // stripe of this host
	kick chan struct{}

	mu           sync.Mutex
	prepaid      map[string]int64
	teams        map[string]*team
	holding      budget.Holding // as stored
	version      int64          // of the holding's row; 0 if there is none
	predecessors []predecessor
	diedMS       int64                     // no earlier process of this host lived after it, on the table's clock
	refreshed    time.Time                 // last reading of the home stripe's totals
	surveyed     [budget.Stripes]time.Time // last attempt to read another stripe's totals
	readable     [budget.Stripes]bool      // that attempt succeeded
	scanned      time.Time                 // last reading of the holdings of this host
	stale        bool                      // both are to be read again
	reached      bool                      // the last call to the table succeeded
	silent       int                       // calls to the table in a row that were not answered in time
	took         time.Duration             // by the last call
	answered     time.Duration             // by the last call that was answered
	ended        time.Time                 // of the last call
	calling      time.Time                 // start of the call in flight; zero if there is none
	draining     bool                      // gives back what it does not need at once
	stopping     bool
	fenced       bool // another process has closed the holding
	pending      *operation
}

// team is one team's share.
type team struct {
	name    string
	holder  budget.LocalShare
	demand  budget.DemandAverage
	stripes [budget.Stripes]account
	waiters []*waiter
}

// holders returns the number of routers with a share. Callers ask for it at each
// attempt, so it does not go through the sums.
func (t *team) holders() (n int) {
	for _, stripe := range t.stripes {
		n += stripe.total.Holders
	}
	return n
}

// account is a stripe of a team's budget as it was last read.
type account struct {
	total   budget.Total
	version int64 // of its row; 0 if there is none
}

// predecessor is the holding of an earlier process of this host.
type predecessor struct {
	key     string
	version int64
	holding budget.Holding
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
		home:    int(xxhash.Sum64String(o.Host) % budget.Stripes),
		prepaid: map[string]int64{}, teams: map[string]*team{},
		holding: budget.Holding{Grants: map[string]budget.Grant{}},
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
	holders := 1
	for _, t := range m.teams {
		holders = max(holders, t.holders())
	}
	return holders
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
	ticked := m.opt.Clock()
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
		now := m.opt.Clock()
		if tick {
			ticked = now
		}
		// A round for a waiting request has settled all teams as well.
		if pause := m.pause(); tick || now.Sub(ticked) < pause {
			timer.Reset(pause)
		}
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
	if m.silent >= 2 {
		return slowTimeout
	}
	return min(max(callTimeout, timeoutFactor*m.answered), slowTimeout)
}

// note records how a call to the table went. m.mu is held.
func (m *Manager) note(ctx context.Context, began time.Time, err error) {
	m.reached = err == nil
	m.silent++
	if ctx.Err() == nil {
		m.silent = 0
	}
	if err == nil {
		m.answered = m.opt.Clock().Sub(began)
	}
	m.ended = m.opt.Clock()
	m.took, m.calling = m.ended.Sub(began), time.Time{}
}

// begin notes the start of a call to the table.
func (m *Manager) begin() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calling = m.opt.Clock()
	return m.calling
}

// delay returns how long an exchange with the table takes at least, as far as is
// known. m.mu is held.
func (m *Manager) delay() (d time.Duration) {
	now := m.opt.Clock()
	if now.Sub(m.ended) < delayKnownFor {
		d = m.took
	}
	if !m.calling.IsZero() {
		d = max(d, now.Sub(m.calling))
	}
	return d
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
		open := m.version > 0 || m.pending != nil
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
	failures := 0
	for try := range conflictRetries {
		if try > 0 && m.opt.Sleep != nil {
			m.opt.Sleep(time.Duration(rand.Int64N(int64(raceDelay))))
		}
		result := m.step(ctx, tick)
		m.opt.Metrics.rounds.WithLabelValues(result.String()).Inc()
		if result == commitFailed {
			failures++
		}
		if result == commitDone && !m.unmet() || failures > maxFailures {
			break
		}
	}
	m.answerWaiters()
}

// unmet reports whether a waiting request of this round could still be covered: a
// race for tokens of another stripe was lost.
func (m *Manager) unmet() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.teams {
		if len(t.waiters) > 0 && t.waiters[0].seen && t.waiters[0].tokens <= m.coverable(t) {
			return true
		}
	}
	return false
}

// step makes one exchange with the table. Tokens that the home stripe lacks are
// fetched first. A change of totals is planned again on fresh ones.
func (m *Manager) step(ctx context.Context, tick bool) commitResult {
	if !m.load(ctx, m.readingAge()) {
		return commitFailed
	}
	m.survey(ctx, m.outdated())
	op, short, stale := m.next(tick, false)
	if len(short) > 0 {
		m.survey(ctx, m.others())
		m.fetch(ctx, short)
		op, _, stale = m.next(tick, true)
	}
	if stale {
		if !m.load(ctx, freshFor) {
			return commitFailed
		}
		if op, _, stale = m.next(tick, true); stale {
			return commitAgain
		}
	}
	if op == nil {
		return commitDone
	}
	return m.commit(ctx, op)
}

// next returns the operation to send, nil if there is none. It gives up one that
// would change totals that are not fresh, and one for which the home stripe lacks
// tokens unless they were fetched; short is what it lacks by team.
func (m *Manager) next(tick, fetched bool) (op *operation, short map[*team]int64, stale bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending != nil {
		return m.pending, nil, false
	}
	op, short = m.plan(tick)
	stale = op != nil && len(op.totals) > 0 && m.opt.Clock().Sub(m.refreshed) > freshFor
	if fetched {
		short = nil
	}
	if stale || len(short) > 0 {
		if op != nil {
			m.drop(op)
		}
		return nil, short, stale
	}
	m.pending = op
	return op, nil, false
}

// key returns the key of the holding's row.
func (m *Manager) key() string { return stripePrefix(m.home) + holdingPrefix + m.id }

// holdingsKey returns the prefix of all holdings of this host.
func (m *Manager) holdingsKey() string {
	return stripePrefix(m.home) + holdingPrefix + m.opt.Host + "/"
}

// tableNow returns a time of the table's clock that has passed for certain.
func (m *Manager) tableNow() int64 {
	ms, _, received := m.opt.TableClock.LastReading()
	return ms + m.opt.Clock().Sub(received).Milliseconds()
}

// reserve takes tokens out of a share within its pledge.
func (m *Manager) reserve(t *team, tokens int64) bool {
	return !m.fenced && t.holder.WithinPledges(tokens, m.tableNow()) && t.holder.Reserve(tokens)
}

func (m *Manager) team(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{name: name}
		m.teams[name] = t
	}
	return t
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
