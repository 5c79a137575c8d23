// Package router implements the entry host's process. It authenticates and
// admits callers' requests, reserves budget for them, chooses targets and
// relays the answers.
package router

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/claims"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/escrow"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/settings"
	"tarragonridge.example/tarragonridge/internal/timeline"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	rpcTimeout       = 2 * time.Second        // of one call to another process
	runLookupTimeout = 500 * time.Millisecond // of the search for an earlier run with the same identity
	reconnectTimeout = 8 * time.Second        // how long a run waits for its lost sidecar connection to be re-established
	unreadyPeriod    = 1 * time.Second        // at shutdown: /readyz fails, new requests are still accepted
	rejectPeriod     = 1 * time.Second        // after that: new requests are rejected, the listener stays open
)

// Options configures a router.
type Options struct {
	Settings settings.Router
	Table    platform.Table  // direct client of the platform's table
	Objects  archive.Objects // archived ledger segments; nil disables archiving
	Hosts    HostLister      // nil: the host list is not read
	Logger   *slog.Logger
	Timeline *timeline.Ring
	Clock    *hlc.Clock
	// Descriptors that the process may open; the zero value stands for no limit.
	Descriptors intake.Descriptors
}

// HostLister reads the platform's host list.
type HostLister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Router is one router process.
type Router struct {
	opts        Options
	listeners   Listeners
	config      *configstore.Store
	budgets     budgetManager
	escrow      *escrow.Manager
	claims      *claims.Store
	sched       *scheduler
	peers       *peerSet
	metrics     *metrics
	table       platform.Table // the table, relayed through peers when the direct path fails
	relayServer *platform.RelayServer

	callers              *callers.Pool
	stopBreaker          func()
	memberScanTrigger    chan struct{}
	configRefreshTrigger chan struct{}

	mu             sync.Mutex
	runs           map[string]*run                   // by run id
	runsByIdentity map[ledger.Identity]*run          // runs that later requests with the same identity (team and idempotency key) may join
	identityLocks  map[ledger.Identity]chan struct{} // held by requests that have not registered a run yet
	durableRuns    *recentRuns                       // latest runs whose records are stored
	crashTracker   *quarantine.Tracker
	parts          *quarantine.PartTracker
	retryQuota     admit.RetryBudget       // retries allowed as a share of the requests
	limitsByTeam   map[string]*teamLimits  // by team name
	processes      map[string]processState // the other processes, by name
	unready        bool                    // /readyz fails
	stopping       bool                    // new requests are rejected
	// closedHolders are the holders (router incarnations to which grants were
	// given) whose registration is closed. All of their records are stored.
	closedHolders         map[string]bool
	stopped               chan struct{} // closed when Run returns
	traffic               rpc.Traffic
	expectedConfigVersion atomic.Int64 // version that every process should have by now; see pingUnconfirmed
	membersKnown          atomic.Bool  // the registrations of targets and routers were read
}

// budgetManager is the part of escrow.Manager that serves requests.
type budgetManager interface {
	Reserve(ctx context.Context, team string, tokens int64) (Reservation, error)
	GiveUp(holder string)
}

// escrowBudgets adapts escrow.Manager to budgetManager.
type escrowBudgets struct{ *escrow.Manager }

// Reserve implements budgetManager.
func (b escrowBudgets) Reserve(ctx context.Context, team string, tokens int64) (Reservation, error) {
	res, err := b.Manager.Reserve(ctx, team, tokens)
	if err != nil {
		return nil, err
	}
	return res, nil
}

// timeNow returns the current time with a monotonic clock reading.
func timeNow() time.Time { return time.Now() }

// header returns the header of an outgoing message.
func (r *Router) header() wire.Header {
	return wire.Header{ConfigVersion: r.config.Version(), Stamp: r.opts.Clock.Now(time.Now())}
}

// observeHeader processes the header of a received message. If the sender has a
// newer configuration version, it triggers a configuration refresh.
func (r *Router) observeHeader(h wire.Header) {
	r.opts.Clock.Observe(time.Now(), h.Stamp)
	if h.ConfigVersion > r.config.Version() {
		r.triggerConfigRefresh()
	}
}

// hello returns the message with which this router introduces itself on a new
// connection.
func (r *Router) hello() wire.Hello {
	return wire.Hello{
		Header:      r.header(),
		Role:        "router",
		Incarnation: r.escrow.Incarnation(),
		Host:        r.opts.Settings.Host,
		Domain:      r.opts.Settings.FailureDomain,
	}
}

func (r *Router) rpcOptions() rpc.Options {
	return rpc.Options{Hello: r.hello, Logger: r.opts.Logger, Traffic: &r.traffic}
}

func (r *Router) activePreset() policy.Preset { return r.config.Current().CurrentPreset() }

// addRun registers a run. A run that further readers may join also becomes the
// run of its identity, and requests that wait for the identity are woken.
func (r *Router) addRun(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if joined := r.runs[run.id]; joined != nil {
		// A repeat has read the run's id from its claim before the run was registered here.
		// What the sidecar sends goes to the run from now on.
		joined.target.openRuns.Add(-1)
		defer joined.fail(errRunReplaced)
	}
	r.runs[run.id] = run
	run.target.openRuns.Add(1)
	if !run.keepChunks {
		return
	}
	r.runsByIdentity[run.identity] = run
	if lock := r.identityLocks[run.identity]; lock != nil {
		delete(r.identityLocks, run.identity)
		close(lock)
	}
}

func (r *Router) removeRun(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[run.id] == run {
		delete(r.runs, run.id)
		run.target.openRuns.Add(-1)
	}
	if r.runsByIdentity[run.identity] == run {
		delete(r.runsByIdentity, run.identity)
	}
}

func (r *Router) runByID(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// runByIdentity returns the run that serves an identity, or nil.
func (r *Router) runByIdentity(id ledger.Identity) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runsByIdentity[id]
}

func (r *Router) runsOnTarget(t *target) []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*run
	for _, run := range r.runs {
		if run.target == t {
			out = append(out, run)
		}
	}
	return out
}

// openRunCount returns the number of registered runs, including those of other
// reservations that this router relays.
func (r *Router) openRunCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}
