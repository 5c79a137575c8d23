// Package prepaid manages a router's shares of the teams' prepaid budgets. The
// platform's table holds the only durable record of what was spent. A router
// spends only tokens that the table has granted to it. If it ends without
// settling, the tokens that it may have spent since its last write count as
// spent.
//
// The rows of a budget are divided into stripes. A router draws tokens from the
// stripe of its host, the home stripe, to which tokens of the other stripes can be
// transferred. A grant is the part of a budget that the table has assigned to one
// router; all grants of a router form its holding, which is one row. A share is the
// router's own account of a grant. To settle is to store how much of a grant was
// consumed. A pledge bounds what the router spends before its next write, and
// thereby what is written off if the router dies.
package prepaid

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Timing and limits of the exchange with the table.
const (
	// settleInterval is the least pause between two rounds while no request waits.
	settleInterval = 500 * time.Millisecond
	// settleIntervalPerHolder bounds the timed rounds of all routers of a stripe to 17 a
	// second, a twelfth of what its part of the table can execute.
	settleIntervalPerHolder = 60 * time.Millisecond
	// uncontendedHolders is the number of holders of a stripe up to which transactions that
	// change many totals rarely fail.
	uncontendedHolders = 6
	// scarceContentionFactor is how many times as many holders may contend to return scarce
	// tokens: requests of others wait for these.
	scarceContentionFactor = 2
	// outageProbeInterval is the least pause between two calls while the table is
	// unreachable.
	outageProbeInterval = 300 * time.Millisecond
	// minCallTimeout is the least timeout of a call to the table. Calls usually take
	// about 10 ms, more if a host gets no processor time for a tenth of a second. A call
	// on a path that gives no answer must end before waiting requests are refused.
	minCallTimeout = 150 * time.Millisecond
	// recentLatencyFactor is the least timeout in multiples of the longest call lately,
	// which loses its weight by recentDurationDecay with each call. Calls of a host whose
	// link or processor is full take much longer now and then.
	recentLatencyFactor = 3
	recentDurationDecay = 0.95
	// secondCallTimeout is the least timeout after a call that has timed out. Requests that
	// wait leave by their own time limits; a table that has turned slow must answer some
	// call, or the pledges run out.
	secondCallTimeout = time.Second
	// refreshLatencyFactor is the least age at which totals are read again, in
	// multiples of the duration of the last successful call: a slow table should
	// spend its capacity on new pledges rather than on reads.
	refreshLatencyFactor = 10
	// timeoutLatencyFactor is the least timeout in multiples of the duration of the
	// last successful call. Otherwise each successful call to a slow table would be
	// followed by one that times out.
	timeoutLatencyFactor = 3
	// maxCallTimeout is the largest timeout, which is used after two timeouts in a
	// row. A table that is 80 times slower than usual takes 0.4 s for each write of
	// any router.
	maxCallTimeout = 3 * time.Second
	// latencyValidFor is how long the duration of the last call predicts that of the
	// next. A slow table is called rarely, so the last duration may be outdated.
	latencyValidFor = time.Second
	// maxNormalLatency is the longest duration of a call to a table that is neither
	// slow nor under heavy load.
	maxNormalLatency = 50 * time.Millisecond
	// pauseLatencyFactor is the least pause between two rounds in multiples of the
	// duration of the last call, so that a slow table does not get more writes than
	// it can process.
	pauseLatencyFactor = 5
	// maxRoundAttempts bounds the exchanges of one round. Another one follows after a
	// write conflict, if more changes are due, if a waiting request can still get its
	// tokens, and after the first failures (maxRoundFailures).
	maxRoundAttempts = 6
	// maxRoundFailures is the number of failed exchanges after which a round still
	// tries again. The second exchange takes another path to the table, if there is
	// one.
	maxRoundFailures = 1
	// minSettleTokens is the least consumption that justifies a write of its own.
	minSettleTokens = 2000
	// maxCloseRounds bounds the rounds of Close. It leaves room for an operation with
	// an unknown result and for a write conflict.
	maxCloseRounds = 8
	// maxTeamsPerTxn bounds the teams whose totals one transaction changes. The table
	// accepts 100 entries: two for each team and two for the holding.
	maxTeamsPerTxn = 40
	// maxMarkedTeamsPerTxn is the limit for a table whose rows have companions
	// (platform.ContentGuard), which make five entries of each changed row.
	maxMarkedTeamsPerTxn = 18
	// maxServingTeamsPerTxn is the lower limit that applies until the router stops. A
	// transaction fails if another router has changed any of its totals in the
	// meantime, so larger transactions conflict more often.
	maxServingTeamsPerTxn = 12
	// firstConflictBackoff is the longest pause after the first write conflict of a round.
	// It doubles with each further one, up to maxConflictBackoff. The pause is random, so
	// that the same routers do not conflict again.
	firstConflictBackoff = 25 * time.Millisecond
	maxConflictBackoff   = 200 * time.Millisecond
	// homeRefreshInterval is the least age at which the totals of the home stripe are
	// read again. A router whose share suffices does not write them. Without reading
	// them it would keep its share when other routers need the tokens.
	homeRefreshInterval = time.Second
	// otherRefreshInterval is the least age at which the totals of the other stripes
	// are read again while no request needs their tokens. Their sums give the number
	// of routers and the figures in refusals.
	otherRefreshInterval = 5 * time.Second
	// maxAgeForWrite is the largest age of totals on which a write may be based. A
	// call takes about 10 ms. With older totals nearly every transaction of two dozen
	// routers would conflict, and the conflicts would use up the capacity of the stripe.
	maxAgeForWrite = 15 * time.Millisecond
	// slowWriteAgeFactor is that age in multiples of the duration of the last successful
	// call. A slow table answers each read later than maxAgeForWrite.
	slowWriteAgeFactor = 2
	// holdingsScanInterval is the pause between two scans for holdings of earlier
	// processes of this host. Their last writes may take effect seconds late.
	holdingsScanInterval = 15 * time.Second
)

// Options configures a Manager.
type Options struct {
	Table platform.Table
	// Host is the host of this process. Only one process runs there at a time, so a
	// new process may take over or close the holding of an earlier one.
	Host        string
	Incarnation string // unique ID of this process
	// Stripes is the number of stripes with which a table that holds no budgets yet
	// begins, from 1 to budget.MaxStripes. Each stripe is a part of the table, so it
	// should be the number of parts that the table's rate of writes can keep busy.
	Stripes    int
	Logger     *slog.Logger
	Clock      func() time.Time
	TableClock TableClock
	Eras       EraSource           // nil if the table is never restored from an older copy
	OldestCopy time.Duration       // greatest age of a copy from which the table may be restored
	Started    time.Time           // start of this process
	Sleep      func(time.Duration) // waits after a write conflict; nil means no wait
	Metrics    *Metrics
}

// TableClock gives the time of the table's monotonic clock.
type TableClock interface {
	// LastReading returns the last time that the table reported, in milliseconds. The
	// table read its clock between the local times sent and received.
	LastReading() (ms int64, sent, received time.Time)
}

// EraSource tells the era of the table's latest answer, 0 if the table reports none.
type EraSource interface {
	Era() int64
}

// Manager holds this router's shares and exchanges them with the table. It is
// safe for concurrent use.
type Manager struct {
	opt    Options
	wakeup chan struct{} // starts a round

	mu                  sync.Mutex
	stripes             int              // of each budget; 0 until it is read from the table
	home                int              // stripe of this host
	prepaidTotals       map[string]int64 // tokens, by team
	teams               map[string]*team
	holding             budget.Holding   // as stored
	holdingVersion      platform.Version // of the holding's row; zero if there is none
	predecessors        []predecessor
	predecessorEndMS    int64         // time of the table's clock at which no earlier process of this host ran any more
	homeReadAt          time.Time     // start of the last successful read of the home stripe's totals
	others              []otherStripe // by stripe; the one of the home stripe is not used
	holdingsReadAt      time.Time     // start of the last successful read of the holdings of this host
	reloadNeeded        bool          // the home totals and the holdings must be read again
	era                 int64         // of the table's rows that are known here
	ownRowUnknown       bool          // this router's holding must be read again after a restore
	eraConfirmedAt      time.Time     // start of the last call that was answered in confirmedEra
	confirmedEra        int64         // last era of which this router has read its own holding
	tableReachable      bool          // the last call to the table succeeded
	triesAgain          bool          // after a failed call, on another path if there is one
	consecutiveTimeouts int           // of calls to the table
	lastCallDuration    time.Duration
	lastSuccessDuration time.Duration // of the last call that succeeded
	recentDuration      time.Duration // of the longest call lately
	lastCallEnd         time.Time
	lastFailureAt       time.Time  // end of the last call that failed
	callStart           time.Time  // start of the call in flight; zero if there is none
	draining            bool       // tokens that no request needs are returned at once
	stopping            bool       // Close was called
	fenced              bool       // another process has closed the holding
	pendingOp           *operation // sent with an unknown result, or about to be sent; nil if there is none
}

// New returns a manager that holds no shares. Reservations from limited budgets
// succeed only while Run is running.
func New(o Options) *Manager {
	return &Manager{
		opt: o, wakeup: make(chan struct{}, 1),
		prepaidTotals: map[string]int64{}, teams: map[string]*team{},
		holding: budget.Holding{Grants: map[string]budget.Grant{}},
	}
}

// SetPrepaid sets the teams' prepaid totals from a configuration. Totals never
// fall.
func (m *Manager) SetPrepaid(totals map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for team, total := range totals {
		name := teamName(team)
		m.prepaidTotals[name] = max(m.prepaidTotals[name], total)
	}
	m.wake()
}

// Holders returns the number of routers that hold a share of the most widely held
// budget, at least 1.
func (m *Manager) Holders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	holders := 1
	for _, t := range m.teams {
		holders = max(holders, t.holderCount())
	}
	return holders
}

// wake starts a round, or another one after a round that is running.
func (m *Manager) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// Run exchanges shares with the table until ctx ends. It does not cancel a call in
// flight, so that the result of the call is known.
func (m *Manager) Run(ctx context.Context) {
	callCtx := context.WithoutCancel(ctx)
	timer := time.NewTimer(settleInterval)
	defer timer.Stop()
	lastTick := m.opt.Clock()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return
		case <-m.wakeup:
		case <-timer.C:
			tick = true
		}
		m.round(callCtx, tick)
		now := m.opt.Clock()
		if tick {
			lastTick = now
		}
		// A round for a waiting request settles all teams as well, so it postpones
		// the timed round unless that is overdue.
		if pause := m.roundPause(); tick || now.Sub(lastTick) < pause {
			timer.Reset(pause)
		}
	}
}

// Drain makes the manager return all tokens that the requests in progress do not
// need. It is called long before Close, because the table may be slow or
// unreachable when Close runs.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
	m.wake()
}

// Close settles what was spent and returns the remaining tokens. All reservations
// should have been settled; open ones count as spent.
func (m *Manager) Close(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	for range maxCloseRounds {
		if ctx.Err() != nil {
			break
		}
		m.round(ctx, true)
		m.mu.Lock()
		unfinished := !m.holdingVersion.IsZero() || m.pendingOp != nil || m.ownRowUnknown
		m.mu.Unlock()
		if !unfinished {
			return
		}
	}
	m.opt.Logger.Warn("shares not returned; they count as spent")
}

// round first resolves an operation with an unknown result, then writes the
// changes that the shares need, and answers the requests that wait for them. tick
// says that the timer or Close started the round, which then also changes shares
// that no request waits for.
func (m *Manager) round(ctx context.Context, tick bool) {
	m.mu.Lock()
	for _, t := range m.teams {
		for _, w := range t.waiters {
			w.inRound = true
		}
	}
	wasReachable := m.tableReachable
	m.mu.Unlock()
	failures := 0
	for attempt := range maxRoundAttempts {
		if attempt > 0 && m.opt.Sleep != nil {
			m.opt.Sleep(rand.N(min(firstConflictBackoff<<(attempt-1), maxConflictBackoff)))
		}
		result := m.exchangeOnce(ctx, tick)
		m.opt.Metrics.exchanges.WithLabelValues(result.String()).Inc()
		if result == exchangeFailed {
			failures++
			// Later rounds of an outage hold no requests: the refusal is already known.
			m.setTriesAgain(wasReachable && failures <= maxRoundFailures)
		}
		if result == exchangeDone && !m.hasServableWaiter() || failures > maxRoundFailures {
			break
		}
	}
	m.setTriesAgain(false)
	m.resolveWaiters()
}

// setTriesAgain records whether a round goes on after a failed call, so that requests that
// arrive wait for it.
func (m *Manager) setTriesAgain(again bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.triesAgain = again
}

// hasServableWaiter reports whether a waiting request of this round could still
// get its tokens, for instance because a transfer from another stripe failed with a
// write conflict, or because stripes were not read since they may have got tokens back.
func (m *Manager) hasServableWaiter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasUncoveredWaiter() && !m.totalsShowShortage() {
		return true
	}
	for _, t := range m.teams {
		first := slices.IndexFunc(t.waiters, func(w *waiter) bool { return w.inRound })
		if first >= 0 && t.waiters[first].tokens <= min(m.coverableTokens(t), m.spendableSoon(t)) {
			return true
		}
	}
	return false
}

// exchangeOnce makes one exchange with the table. Tokens that the home stripe
// lacks are transferred from other stripes first. An operation that would change
// outdated totals is planned again after the totals were read again.
func (m *Manager) exchangeOnce(ctx context.Context, tick bool) exchangeResult {
	if !m.readLayout(ctx) || !m.refreshHome(ctx, m.homeAge()) {
		return exchangeFailed
	}
	m.refreshStripes(ctx, m.stripesToRefresh())
	op, shortfalls, stale := m.nextOperation(tick, false)
	if len(shortfalls) > 0 {
		m.refreshStripes(ctx, m.likelySenders(shortfalls))
		m.transferToHome(ctx, shortfalls)
		op, _, stale = m.nextOperation(tick, true)
	}
	if stale {
		if !m.refreshHome(ctx, 0) {
			return exchangeFailed
		}
		if op, _, stale = m.nextOperation(tick, true); stale {
			return exchangeAgain
		}
	}
	if op == nil {
		return exchangeDone
	}
	return m.commit(ctx, op)
}

// nextOperation returns the operation to send, nil if there is none. An operation
// whose result is unknown is sent again before any other is planned. It drops an
// operation that would change outdated totals (stale), and one for which the home
// stripe lacks tokens, unless a transfer was attempted already (transferred).
// shortfalls are the tokens that the home stripe lacks, by team.
func (m *Manager) nextOperation(tick, transferred bool) (op *operation, shortfalls map[*team]int64, stale bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pendingOp != nil {
		return m.pendingOp, nil, false
	}
	op, shortfalls = m.planOperation(tick)
	stale = op != nil && len(op.totals) > 0 && m.opt.Clock().Sub(m.homeReadAt) > m.maxWriteAge()
	if transferred {
		shortfalls = nil
	}
	if stale || len(shortfalls) > 0 {
		if op != nil {
			m.dropPendingGrants(op)
		}
		return nil, shortfalls, stale
	}
	m.pendingOp = op
	return op, nil, false
}

// maxWriteAge returns the largest age of totals on which a write may be based, counted from
// the start of their read. m.mu is held.
func (m *Manager) maxWriteAge() time.Duration {
	return max(maxAgeForWrite, slowWriteAgeFactor*m.lastSuccessDuration)
}

// holdingKey returns the key of the row of this router's holding.
func (m *Manager) holdingKey() string { return HoldingKey(m.home, m.opt.Host, m.opt.Incarnation) }

// hostHoldingsPrefix returns the key prefix of all holdings of this host.
func (m *Manager) hostHoldingsPrefix() string {
	return hostHoldings(m.home, m.opt.Host)
}

// tableNowMS returns a lower bound of the present time on the table's clock.
func (m *Manager) tableNowMS() int64 {
	ms, _, received := m.opt.TableClock.LastReading()
	return ms + m.opt.Clock().Sub(received).Milliseconds()
}

// tryReserve reserves tokens of a share if its spendable tokens and its pledge cover
// them and no other process has closed the holding. m.mu is held.
func (m *Manager) tryReserve(t *team, tokens int64) bool {
	return m.covers(t, tokens) && t.share.Reserve(tokens)
}

// covers reports whether tryReserve would succeed. m.mu is held.
func (m *Manager) covers(t *team, tokens int64) bool {
	return !m.fenced && tokens <= m.spendable(t) && t.share.WithinPledges(tokens, m.tableNowMS()) && tokens <= t.share.Available()
}

// team returns the state of a team's budget, which is created if needed. m.mu is
// held.
func (m *Manager) team(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{name: name, stripes: make([]stripeRow, m.stripes), sent: make([]budget.GrantHistory, m.stripes)}
		m.teams[name] = t
	}
	return t
}

// grantWaiters reserves the tokens of waiters in order as long as the share covers
// the first. m.mu is held.
func (m *Manager) grantWaiters(t *team) {
	for len(t.waiters) > 0 && m.tryReserve(t, t.waiters[0].tokens) {
		t.waiters[0].done <- nil
		t.waiters = t.waiters[1:]
	}
}
