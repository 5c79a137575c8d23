// Package escrow manages a router's local shares of the teams' prepaid budgets.
// It draws tokens from the stored accounts and returns them, stores run records
// in the same transactions as the accounts that they change, renews the
// router's lease, and recovers the grants of routers that are gone.
//
// A holder is one registration of a router in the table. Its grants are the
// tokens that it has drawn from the accounts and not returned, and renewals of its
// holder row show that its lease is live. The local share of a team's budget is
// the part of the grant that runs have not consumed yet. Idle share is the part of
// the local share that is neither reserved nor needed for recent demand. When
// another router asks, everything that is not reserved counts as idle.
package escrow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
)

const (
	defaultFlushInterval = 500 * time.Millisecond
	defaultLeaseTimeout  = 10 * time.Second

	// callTimeout bounds one call to the table. The result of a Commit that
	// exceeds it is uncertain. It leaves time to relay the call through a peer
	// after the direct path has timed out, which takes 2 s with the default
	// settings.
	callTimeout = 5 * time.Second
	// maxAccountsPerTxn bounds the size of a transaction.
	maxAccountsPerTxn = 100
	// maxWaitersPerTeam bounds the queue of requests that wait for one team's budget.
	maxWaitersPerTeam = 1000
	// renewalsPerLease is the number of renewals, and scansPerLease the number
	// of scans of the holder rows, per lease timeout. Several may fail before a
	// lease times out or a dead router is overlooked.
	renewalsPerLease = 4
	scansPerLease    = 5
)

// Registration is what the holder row tells other processes about this router.
type Registration struct {
	Host     string
	Domain   string // failure domain
	RPCAddr  string // IP address and port
	HTTPAddr string
}

// Peers sends requests to other routers.
type Peers interface {
	// ReleaseAll asks the given holders to return their idle share of a team's
	// budget. It returns when they have answered or the context ends.
	ReleaseAll(ctx context.Context, team string, holders []string)
}

// Fencer fences holders at the sidecars.
type Fencer interface {
	// FenceEverywhere asks every registered sidecar to promise that it accepts
	// no more work from a holder.
	FenceEverywhere(ctx context.Context, holder member.HolderRow) (FenceResult, error)
}

// FenceResult combines the answers of the sidecars about a fenced holder.
type FenceResult struct {
	Records          []ledger.Record // finished runs of the holder whose records sidecars keep
	ActiveRuns       int             // runs of the holder in progress
	FencedEverywhere bool            // every registered sidecar has promised to refuse the holder
	// RecordsMayBeMissing is true if a sidecar incarnation that may have run
	// work of the holder has ended without handing over its records.
	RecordsMayBeMissing bool
}

// Options configures a Manager. Table is required.
type Options struct {
	Table         platform.Table
	Registration  Registration
	Logger        *slog.Logger          // default: slog.Default()
	FlushInterval time.Duration         // default: 500 ms
	LeaseTimeout  time.Duration         // default: 10 s
	Clock         func() time.Time      // default: time.Now
	Peers         Peers                 // nil: other routers are not asked
	OnDurable     func([]ledger.Record) // called with records once they are stored; may be nil
	Fencer        Fencer                // nil: this router does not recover other routers
	Objects       archive.Objects       // store of archived segments; may be nil if nothing is archived
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.FlushInterval <= 0 {
		o.FlushInterval = defaultFlushInterval
	}
	if o.LeaseTimeout <= 0 {
		o.LeaseTimeout = defaultLeaseTimeout
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.OnDurable == nil {
		o.OnDurable = func([]ledger.Record) {}
	}
	return o
}

// Manager manages the budgets on the side of a router. It is safe for
// concurrent use. Reservations succeed only while Run is running.
type Manager struct {
	opt  Options
	ctx  context.Context // ends when Run returns
	stop context.CancelFunc
	wake chan struct{} // makes Run start a round immediately

	flushMu sync.Mutex // held during a flush round and while draining

	mu       sync.Mutex // guards the fields below except observer, and all incarnations and teams
	inc      *incarnation
	draining bool
	stopped  bool
	wg       sync.WaitGroup
	topUps   map[string]topUpCount // top-ups by this router, by team

	lastReadAt time.Time // when the table last answered a read

	observer observer // used only by the observation loop
}

// incarnation is one registration of this router as a holder. Once it has
// ended, its state is never written again.
type incarnation struct {
	id                string
	ctx               context.Context // ends when the incarnation is given up
	cancel            context.CancelFunc
	registrationTried chan struct{}    // closed once the first attempt to register or the incarnation has ended
	rowVersion        platform.Version // latest known version of the holder row; zero unless registered
	renewedAt         time.Time
	ended             bool
	teams             map[string]*team
	queuedRecords     []ledger.Record // settled records that are not part of a flush
	lastSegment       int64           // sequence number of the last stored segment
	pendingFlush      *flush          // flush whose result is unknown; nil if none
}

// team is the local state of one team under one incarnation.
type team struct {
	name          string
	inc           *incarnation
	share         budget.LocalShare
	opLock        chan struct{}  // operation lock: full while an operation on the account is in flight
	waiters       []*waiter      // in order of arrival
	serving       bool           // a goroutine is serving the waiters
	unresolved    bool           // the result of an operation is unknown and cannot be read back
	unresolvedAt  time.Time      // when unresolved was last set
	deadlineKind  errkind.Kind   // error kind for waiters that reach their deadline
	cachedAccount *storedAccount // nil if unknown
	idleSince     time.Time      // zero unless idle share waits to be returned
}

// storedAccount is an account together with the version of its row.
type storedAccount struct {
	account budget.Account
	version platform.Version // zero if the row does not exist
}

// New returns a Manager, which does nothing until Run is called.
func New(opt Options) *Manager {
	m := &Manager{opt: opt.withDefaults(), wake: make(chan struct{}, 1), topUps: map[string]topUpCount{}}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.inc = m.newIncarnation()
	m.observer.init()
	return m
}

func (m *Manager) newIncarnation() *incarnation {
	inc := &incarnation{id: ulid.Make().String(), registrationTried: make(chan struct{}), teams: map[string]*team{}}
	inc.ctx, inc.cancel = context.WithCancel(m.ctx)
	return inc
}

// Incarnation returns the id of the current incarnation of this router.
func (m *Manager) Incarnation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inc.id
}

// LastStored returns the id of the current incarnation and the sequence number
// of its last segment that is known to be stored.
func (m *Manager) LastStored() (holder string, lastSeq int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inc.id, m.inc.lastSegment
}

// Ready reports whether the current incarnation is registered and accepts
// reservations.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.inc.rowVersion.IsZero() && !m.draining && !m.stopped
}

// Run registers the router. Until the context ends it stores records, renews
// the lease, returns idle share and observes the leases of other routers.
func (m *Manager) Run(ctx context.Context) error {
	defer m.shutdown()
	observeDone := make(chan struct{})
	go func() {
		defer close(observeDone)
		m.observeLoop(ctx)
	}()
	defer func() { <-observeDone }()
	ticker := time.NewTicker(m.opt.FlushInterval)
	defer ticker.Stop()
	for {
		m.runRound(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// runRound registers the incarnation if needed, flushes its records, renews its
// lease and returns idle share.
func (m *Manager) runRound(ctx context.Context) {
	m.flushMu.Lock()
	defer m.flushMu.Unlock()
	inc := m.activeIncarnation()
	if inc == nil {
		return
	}
	err := m.register(ctx, inc)
	m.markRegistrationTried(inc)
	if err != nil {
		m.opt.Logger.Warn("registering holder failed", "holder", inc.id, "err", err)
		return
	}
	if err := m.flushWithTimeout(ctx, inc); err != nil {
		m.opt.Logger.Warn("flush postponed", "holder", inc.id, "err", err)
	}
	if err := m.renew(ctx, inc); err != nil {
		m.opt.Logger.Warn("renewing lease failed", "holder", inc.id, "err", err)
	}
	m.returnIdleShares(inc)
}

// flushWithTimeout flushes all records with a time limit, so that a slow table
// does not delay the renewal of the lease.
func (m *Manager) flushWithTimeout(ctx context.Context, inc *incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, m.opt.LeaseTimeout/renewalsPerLease)
	defer cancel()
	return m.flushAll(ctx, inc)
}

// activeIncarnation returns the current incarnation, or nil while draining.
func (m *Manager) activeIncarnation() *incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		return nil
	}
	return m.inc
}

func (m *Manager) shutdown() {
	m.mu.Lock()
	m.stopped = true
	m.failAllWaiters(m.inc, errkind.New(errkind.Stopping, "router is stopping"))
	m.mu.Unlock()
	m.stop()
	m.wg.Wait()
}

// spawn starts a goroutine that Run waits for. It returns false if the manager
// has stopped. m.mu is held.
func (m *Manager) spawn(f func()) bool {
	if m.stopped {
		return false
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		f()
	}()
	return true
}

// GiveUpCurrent gives up the current incarnation because a sidecar refused its
// work as fenced. Calls on reservations of the old incarnation have no effect
// any more; recovery accounts for their runs.
func (m *Manager) GiveUpCurrent() { m.GiveUp(m.Incarnation()) }

// GiveUp does the same as GiveUpCurrent if the holder is still the current
// incarnation and is registered. A refusal that arrives late thus does not affect
// the next incarnation.
func (m *Manager) GiveUp(holder string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inc.id == holder && !m.inc.rowVersion.IsZero() {
		m.giveUpIncarnation(m.inc)
	}
}

// giveUpIncarnation ends an incarnation and, unless the manager is stopping,
// starts a new one, which registers in the next round. m.mu is held.
func (m *Manager) giveUpIncarnation(old *incarnation) {
	if old.ended {
		return
	}
	m.endIncarnation(old)
	if !m.draining && !m.stopped {
		m.inc = m.newIncarnation()
	}
	m.opt.Logger.Warn("holder incarnation given up", "holder", old.id, "next", m.inc.id, "records", len(old.queuedRecords))
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// markRegistrationTried wakes the requests that wait for the first attempt to
// register.
func (m *Manager) markRegistrationTried(inc *incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inc.markRegistrationTried()
}

func (inc *incarnation) markRegistrationTried() {
	select {
	case <-inc.registrationTried:
	default:
		close(inc.registrationTried)
	}
}

// endIncarnation marks an incarnation as ended. Its waiters try again with the
// next one. m.mu is held.
func (m *Manager) endIncarnation(inc *incarnation) {
	inc.ended = true
	inc.markRegistrationTried()
	inc.rowVersion = platform.Version{}
	inc.cancel()
	m.failAllWaiters(inc, errReregistering)
}

// team returns the state of a team and creates it if needed. m.mu is held.
func (inc *incarnation) team(name string) *team {
	t, ok := inc.teams[name]
	if !ok {
		t = &team{name: name, inc: inc, opLock: make(chan struct{}, 1), deadlineKind: errkind.PlatformUnavailable}
		inc.teams[name] = t
	}
	return t
}

// lock waits for the operation in flight on the team's account and takes the
// operation lock.
func (t *team) lock(ctx context.Context) error {
	select {
	case t.opLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.PlatformUnavailable, "an earlier operation on the account is unresolved")
	}
}

// tryLock takes the operation lock if no operation is in flight.
func (t *team) tryLock() bool {
	select {
	case t.opLock <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t *team) unlock() { <-t.opLock }
