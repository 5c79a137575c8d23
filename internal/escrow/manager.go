// Package escrow keeps a router's shares of the teams' prepaid budgets. It
// draws and returns tokens, stores run records together with the accounts that
// they change, renews the router's lease and recovers the grants of routers
// that are gone.
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
	defaultFlushEvery   = 500 * time.Millisecond
	defaultLeaseTimeout = 10 * time.Second

	// callTimeout bounds one call to the table. A Commit that exceeds it counts
	// as uncertain. It leaves time for a relay through a peer after the direct
	// path has timed out, which takes 2 s with the default settings.
	callTimeout = 5 * time.Second
	// maxAccountsPerTxn bounds the size of a transaction.
	maxAccountsPerTxn = 100
	// maxWaiters bounds the queue of requests that wait for one team's budget.
	maxWaiters = 1000
	// renewalsPerLease and scansPerLease leave room for several failures before
	// a lease times out or a dead router is overlooked.
	renewalsPerLease = 4
	scansPerLease    = 5
)

// Registration is what other processes learn about this router.
type Registration struct {
	Host     string
	Domain   string // failure domain
	RPCAddr  string // IP address and port
	HTTPAddr string
}

// Peers asks other routers to return their idle share of a team's budget. It
// returns when they have answered or the context ends.
type Peers interface {
	ReleaseAll(ctx context.Context, team string, holders []string)
}

// Fencer makes every sidecar promise to accept no more work from a holder.
type Fencer interface {
	FenceEverywhere(ctx context.Context, holder member.HolderRow) (FenceResult, error)
}

// FenceResult is what the sidecars have answered about a fenced holder.
type FenceResult struct {
	Records    []ledger.Record // runs of the holder that sidecars keep
	ActiveRuns int             // runs of the holder in progress
	Complete   bool            // every registered sidecar has promised
	// Unaccounted says that a sidecar incarnation which may have run work of
	// the holder has ended without handing over its records.
	Unaccounted bool
}

// Options configures a Manager. Table is required.
type Options struct {
	Table         platform.Table
	Registration  Registration
	Logger        *slog.Logger          // default: slog.Default()
	FlushInterval time.Duration         // default: 500 ms
	LeaseTimeout  time.Duration         // default: 10 s
	Clock         func() time.Time      // default: time.Now
	Peers         Peers                 // nil: no router is asked
	OnDurable     func([]ledger.Record) // called with records that are stored; may be nil
	Fencer        Fencer                // nil: this router recovers no others
	Objects       archive.Objects       // archived segments; may be nil if nothing is archived
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.FlushInterval <= 0 {
		o.FlushInterval = defaultFlushEvery
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

// Manager is the router-side end of the budgets. It is safe for concurrent
// use. Run must be running for reservations to succeed.
type Manager struct {
	opt  Options
	ctx  context.Context // ends when Run returns
	stop context.CancelFunc
	kick chan struct{} // asks Run for a round at once

	flushMu sync.Mutex // held during a flush round and while draining

	mu       sync.Mutex // guards everything below, and incarnations and teams
	inc      *incarnation
	draining bool
	stopped  bool
	wg       sync.WaitGroup

	observer observer // used only by the observation loop
}

// incarnation is one registration of this router. Once dead, its state is
// never written again.
type incarnation struct {
	id      string
	ctx     context.Context // ends when the incarnation is given up
	end     context.CancelFunc
	tried   chan struct{} // closed when the first attempt to register has ended or inc is dead
	version int64         // latest known version of the holder row; 0 until registered
	renewed time.Time
	dead    bool
	teams   map[string]*team
	records []ledger.Record // settled and not part of a flush
	segment int64           // number of the last stored segment
	flush   *flush          // result unknown
}

// team is the local state of one team under one incarnation.
type team struct {
	name       string
	inc        *incarnation
	holder     budget.LocalShare
	op         chan struct{} // holds a token while an operation on the account is in flight
	waiters    []*waiter     // first in, first out
	serving    bool          // a goroutine serves the waiters
	unresolved bool          // an operation's result cannot be read back
	waitKind   errkind.Kind  // what a waiter is told at its deadline
	cached     *stored       // account as last seen; nil if unknown
	idleSince  time.Time     // zero unless share waits to be returned
}

// stored is an account as read from the table.
type stored struct {
	account budget.Account
	version int64 // 0 if the row does not exist
}

// New returns a Manager. It does nothing until Run.
func New(opt Options) *Manager {
	m := &Manager{opt: opt.withDefaults(), kick: make(chan struct{}, 1)}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.inc = m.newIncarnation()
	m.observer.init()
	return m
}

func (m *Manager) newIncarnation() *incarnation {
	inc := &incarnation{id: ulid.Make().String(), tried: make(chan struct{}), teams: map[string]*team{}}
	inc.ctx, inc.end = context.WithCancel(m.ctx)
	return inc
}

// Incarnation returns the current incarnation of this router.
func (m *Manager) Incarnation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inc.id
}

// LastStored returns the current incarnation and the number of its last segment
// that is known to be stored.
func (m *Manager) LastStored() (holder string, lastSeq int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inc.id, m.inc.segment
}

// Ready reports whether the incarnation is registered and serves.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inc.version > 0 && !m.draining && !m.stopped
}

// Run registers the router and keeps flushing, renewing, returning idle share
// and observing other routers until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.shutdown()
	observed := make(chan struct{})
	go func() {
		defer close(observed)
		m.observeLoop(ctx)
	}()
	defer func() { <-observed }()
	tick := time.NewTicker(m.opt.FlushInterval)
	defer tick.Stop()
	for {
		m.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-m.kick:
		}
	}
}

// round is one pass of the flush loop.
func (m *Manager) round(ctx context.Context) {
	m.flushMu.Lock()
	defer m.flushMu.Unlock()
	inc := m.current()
	if inc == nil {
		return
	}
	err := m.register(ctx, inc)
	m.noteTried(inc)
	if err != nil {
		m.opt.Logger.Warn("holder not registered", "holder", inc.id, "err", err)
		return
	}
	if err := m.flushInTime(ctx, inc); err != nil {
		m.opt.Logger.Warn("flush postponed", "holder", inc.id, "err", err)
	}
	if err := m.renew(ctx, inc); err != nil {
		m.opt.Logger.Warn("lease not renewed", "holder", inc.id, "err", err)
	}
	m.returnIdle(inc)
}

// flushInTime limits a flush, so that a slow table does not hold up the
// renewal of the lease.
func (m *Manager) flushInTime(ctx context.Context, inc *incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, m.opt.LeaseTimeout/renewalsPerLease)
	defer cancel()
	return m.flushAll(ctx, inc)
}

// current returns the incarnation to work for, or nil while draining.
func (m *Manager) current() *incarnation {
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
	m.failAll(m.inc, errkind.New(errkind.Stopping, "router is stopping"))
	m.mu.Unlock()
	m.stop()
	m.wg.Wait()
}

// spawn starts a goroutine that Run waits for. m.mu is held. It reports false
// if the manager has stopped.
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

// GiveUpCurrent gives up the current incarnation because a sidecar refused its work
// as fenced. Reservations of the old incarnation become inert; recovery
// accounts for their runs.
func (m *Manager) GiveUpCurrent() { m.GiveUp(m.Incarnation()) }

// GiveUp does what Fenced does, unless the holder is not the current
// incarnation any more. A refusal that arrives late thus leaves the next
// incarnation alone.
func (m *Manager) GiveUp(holder string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inc.id == holder && m.inc.version > 0 {
		m.giveUp(m.inc)
	}
}

// giveUp replaces an incarnation. m.mu is held.
func (m *Manager) giveUp(old *incarnation) {
	if old.dead {
		return
	}
	m.bury(old)
	if !m.draining && !m.stopped {
		m.inc = m.newIncarnation()
	}
	m.opt.Logger.Warn("holder given up", "holder", old.id, "next", m.inc.id, "records", len(old.records))
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// noteTried lets requests go on that wait for the registration.
func (m *Manager) noteTried(inc *incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inc.noteTried()
}

func (inc *incarnation) noteTried() {
	select {
	case <-inc.tried:
	default:
		close(inc.tried)
	}
}

// bury ends an incarnation. m.mu is held.
func (m *Manager) bury(inc *incarnation) {
	inc.dead = true
	inc.noteTried()
	inc.version = 0
	inc.end()
	m.failAll(inc, errRegistersAgain)
}

// team returns the state of a team and creates it if needed. m.mu is held.
func (inc *incarnation) team(name string) *team {
	t, ok := inc.teams[name]
	if !ok {
		t = &team{name: name, inc: inc, op: make(chan struct{}, 1), waitKind: errkind.PlatformUnavailable}
		inc.teams[name] = t
	}
	return t
}

// lock starts an operation on the team's account, after the one in flight.
func (t *team) lock(ctx context.Context) error {
	select {
	case t.op <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.PlatformUnavailable, "an earlier operation on the account is unresolved")
	}
}

func (t *team) tryLock() bool {
	select {
	case t.op <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t *team) unlock() { <-t.op }
