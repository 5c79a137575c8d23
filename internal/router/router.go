// Package router is the entry host's process: it authenticates and admits
// callers' requests, reserves their budget, chooses targets and relays the
// answers.
package router

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/claims"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
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
	callTimeout   = 2 * time.Second        // of a call between processes
	lookupTimeout = 500 * time.Millisecond // of the search for an earlier run
	resumeTimeout = 8 * time.Second        // a lost connection is given this long to come back
	drainGrace    = 1 * time.Second        // new requests are still accepted this long after readiness has failed
	refuseGrace   = 1 * time.Second        // and then refused this long before the listener closes
)

// Options configures a router.
type Options struct {
	Settings settings.Router
	Table    platform.Table  // direct path to the platform's table
	Objects  archive.Objects // archived ledger segments; nil disables archiving
	Hosts    HostLister      // nil disables the host list
	Logger   *slog.Logger
	Timeline *timeline.Ring
	Clock    *hlc.Clock
}

// HostLister reads the platform's host list.
type HostLister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Router is the process.
type Router struct {
	opts      Options
	listeners Listeners
	config    *configstore.Store
	budgets   budgetKeeper
	escrow    *escrow.Manager
	claims    *claims.Store
	sched     *scheduler
	peers     *peerSet
	metrics   *metrics
	table     platform.Table // with relay through peers
	relay     *platform.RelayServer

	stopBreaker func()
	membersPoke chan struct{}
	configPoke  chan struct{}

	mu         sync.Mutex
	runs       map[string]*run
	byIdentity map[ledger.Identity]*run
	entered    map[ledger.Identity]chan struct{} // requests that have not registered a run yet
	durable    *recentRuns                       // runs whose records are stored
	crashes    *quarantine.Tracker
	retries    admit.RetryBudget
	teams      map[string]*teamLimits
	confirmed  map[string]confirmation
	unready    bool
	stopping   bool
	// closedHolders are the holders whose grants are closed. Every record of
	// theirs is stored.
	closedHolders map[string]bool
	closed        chan struct{} // closed when the process ends
	traffic       rpc.Traffic
	pushDue       atomic.Int64 // configuration version that every process should have by now
}

// budgetKeeper is the part of the escrow manager that requests use.
type budgetKeeper interface {
	Reserve(ctx context.Context, team string, tokens int64) (Reservation, error)
	GiveUp(holder string)
}

// escrowKeeper adapts the escrow manager to budgetKeeper.
type escrowKeeper struct{ *escrow.Manager }

// Reserve implements budgetKeeper.
func (k escrowKeeper) Reserve(ctx context.Context, team string, tokens int64) (Reservation, error) {
	res, err := k.Manager.Reserve(ctx, team, tokens)
	if err != nil {
		return nil, err
	}
	return res, nil
}

// timeNow is the wall and monotonic clock of the process.
func timeNow() time.Time { return time.Now() }

// header returns the header of an outgoing message.
func (r *Router) header() wire.Header {
	return wire.Header{ConfigVersion: r.config.Version(), Stamp: r.opts.Clock.Now(time.Now())}
}

// observe takes in the header of a received message. A higher configuration
// version than our own is fetched at once.
func (r *Router) observe(h wire.Header) {
	r.opts.Clock.Observe(time.Now(), h.Stamp)
	if h.ConfigVersion > r.config.Version() {
		r.pokeConfig()
	}
}

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

func (r *Router) preset() policy.Preset { return r.config.Current().CurrentPreset() }

func (r *Router) addRun(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run.id] = run
	run.target.open.Add(1)
	if !run.keepAll {
		return
	}
	r.byIdentity[run.identity] = run
	if wait := r.entered[run.identity]; wait != nil {
		delete(r.entered, run.identity)
		close(wait)
	}
}

func (r *Router) removeRun(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[run.id] == run {
		delete(r.runs, run.id)
		run.target.open.Add(-1)
	}
	if r.byIdentity[run.identity] == run {
		delete(r.byIdentity, run.identity)
	}
}

func (r *Router) runByID(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *Router) runOf(id ledger.Identity) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byIdentity[id]
}

func (r *Router) runsAt(t *target) []*run {
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

func (r *Router) openRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}
