package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/claims"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/escrow"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// Listeners are the open listening sockets of a router.
type Listeners struct {
	Callers net.Listener // HTTP for callers and operators
	Peers   net.Listener // RPC for other routers
	Metrics net.Listener // HTTP for metrics and health checks; if nil, Callers serves them
}

// New returns a router that is not running yet; see Run.
func New(opts Options, ln Listeners) *Router {
	r := &Router{
		opts:                 opts,
		listeners:            ln,
		runs:                 map[string]*run{},
		runsByIdentity:       map[ledger.Identity]*run{},
		identityLocks:        map[ledger.Identity]chan struct{}{},
		durableRuns:          newRecentRuns(),
		crashTracker:         quarantine.NewTracker(),
		parts:                quarantine.NewPartTracker(),
		limitsByTeam:         map[string]*teamLimits{},
		processes:            map[string]processState{},
		memberScanTrigger:    make(chan struct{}, 1),
		configRefreshTrigger: make(chan struct{}, 1),
		stopped:              make(chan struct{}),
	}
	breaker := platform.NewBreaker(opts.Table, platform.BreakerOptions{})
	health := platform.NewDirectTable(breaker, nil)
	r.relayServer = platform.NewRelayServer(health, r.header)
	r.table = platform.NewRelay(platform.RelayOptions{Direct: health, Peers: r.relayPeers, Header: r.header})
	r.stopBreaker = breaker.Close
	r.config = configstore.New(configstore.Options{Table: r.table, Logger: opts.Logger, Operators: opts.operators()})
	r.claims = claims.NewStore(r.table, time.Now)
	r.sched = newScheduler(uint64(time.Now().UnixNano()), r.activePreset, time.Now)
	r.metrics = newMetrics(r)
	r.callers = callers.NewPool(r.callerOptions())
	r.metrics.registry.MustRegister(r.callers)
	return r
}

// operators returns the operators named in the settings.
func (o Options) operators() []policy.Operator {
	var out []policy.Operator
	for _, op := range o.Settings.Operators {
		out = append(out, policy.Operator{Name: op.Name, KeySHA256: op.KeySHA256})
	}
	return out
}

// Run serves until ctx is done and then stops gracefully: it finishes requests
// in progress, stores their records and returns the grants.
func (r *Router) Run(ctx context.Context) error {
	// The background loops outlive ctx, because the graceful stop needs them.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	defer close(r.stopped)
	defer r.stopBreaker()
	r.peers = newPeerSet(loopCtx, r)
	r.escrow = escrow.New(r.escrowOptions())
	r.budgets = escrowBudgets{r.escrow}
	r.config.OnChange(func(doc *policy.Document) { r.onConfigAdopted(doc.Version) })
	for _, addr := range r.opts.Settings.Peers {
		if addr != r.listeners.Peers.Addr().String() {
			r.peers.connect(addr, true)
		}
	}
	srv := r.newServer()
	group, groupCtx := errgroup.WithContext(loopCtx)
	group.Go(func() error { return ignoreAfterDone(loopCtx, r.escrow.Run(groupCtx)) })
	group.Go(func() error { return ignoreAfterDone(loopCtx, r.config.Run(groupCtx)) })
	group.Go(func() error { return rpc.Serve(groupCtx, r.listeners.Peers, r.rpcOptions(), peerHandler{r}) })
	group.Go(func() error { r.watchMembers(groupCtx); return nil })
	group.Go(func() error { r.refreshConfigOnTrigger(groupCtx); return nil })
	group.Go(func() error { r.loadQuarantineWithRetry(groupCtx); return nil })
	group.Go(func() error { r.archiveLedger(groupCtx); return nil })
	group.Go(func() error { return serveHTTP(srv, r.callers.Listener(r.listeners.Callers)) })
	group.Go(func() error { r.fetchConfigFromPeers(groupCtx); return nil })
	if r.listeners.Metrics != nil {
		group.Go(func() error { return r.serveMetrics(groupCtx) })
	}
	group.Go(func() error {
		defer stopLoops()
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
			return srv.Close() // another goroutine of the group failed; Wait returns its error
		}
		return r.shutdown(srv)
	})
	return group.Wait()
}

// ignoreAfterDone returns err unless ctx is done.
func ignoreAfterDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveHTTP serves on ln until the server is closed, which is not an error.
func serveHTTP(srv *http.Server, ln net.Listener) error {
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (r *Router) escrowOptions() escrow.Options {
	return escrow.Options{
		Table: r.table,
		Registration: escrow.Registration{
			Host:     r.opts.Settings.Host,
			Domain:   r.opts.Settings.FailureDomain,
			RPCAddr:  r.listeners.Peers.Addr().String(),
			HTTPAddr: r.listeners.Callers.Addr().String(),
		},
		Logger:    r.opts.Logger,
		Peers:     r.peers,
		OnDurable: r.onRecordsDurable,
		Fencer:    fencer{r},
		Objects:   r.opts.Objects,
	}
}

// archiveLedger moves old ledger segments from the table to the object store
// until ctx is done.
func (r *Router) archiveLedger(ctx context.Context) {
	if r.opts.Objects == nil {
		return
	}
	archive.New(archive.Options{
		Table: r.table, Objects: r.opts.Objects, OwnHolder: r.escrow.LastStored,
		Age: r.opts.Settings.ArchiveAfter(), Logger: r.opts.Logger,
	}).Run(ctx)
}

// shutdownTimeout bounds the graceful stop. It is longer than the longest
// answers, so that only callers that have stopped reading are cut off.
const shutdownTimeout = 10 * time.Minute

// partialHeadPoll is the pause between two checks for heads that were read in part.
const partialHeadPoll = 20 * time.Millisecond

// shutdown stops the router without interrupting requests in progress.
func (r *Router) shutdown(srv *http.Server) error {
	r.opts.Logger.Info("stopping", "runs", r.openRunCount())
	r.setUnready()
	time.Sleep(unreadyPeriod)
	r.setStopping()
	time.Sleep(rejectPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// Shutdown closes these connections without an answer.
	headsCtx, cancelHeads := context.WithTimeout(ctx, r.requestLimits().HeaderTimeout)
	defer cancelHeads()
	for r.callers.PartialHeads() > 0 && timing.Sleep(headsCtx, partialHeadPoll) {
	}
	err := srv.Shutdown(ctx)
	r.waitForRuns(ctx)
	if drainErr := r.drainBudgets(); drainErr != nil {
		r.opts.Logger.Error("drain failed", "err", drainErr)
		err = errors.Join(err, drainErr)
	}
	r.opts.Logger.Info("stopped")
	return err
}

// drainTimeout bounds how long the router tries to store the last records and
// return its grants. Another router recovers the grants that are left.
const drainTimeout = 30 * time.Second

// drainBudgets stores the last records and returns the grants.
func (r *Router) drainBudgets() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return r.escrow.Drain(ctx)
}

// runSettleTimeout is how long a stopping router waits for the records of runs
// that have no reader any more. Runs that are still open then are left to
// recovery.
const runSettleTimeout = 10 * time.Second

// waitForRuns waits until no run is open, at most for runSettleTimeout.
func (r *Router) waitForRuns(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, runSettleTimeout)
	defer cancel()
	for r.openRunCount() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// setUnready makes /readyz fail, so that load balancers stop sending requests.
func (r *Router) setUnready() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unready = true
}

// setStopping makes the router reject new requests.
func (r *Router) setStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

func (r *Router) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

func (r *Router) isUnready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unready
}

// refreshConfigOnTrigger refreshes the configuration from the table each time
// that a message shows that a newer version exists.
func (r *Router) refreshConfigOnTrigger(ctx context.Context) {
	for {
		select {
		case <-r.configRefreshTrigger:
		case <-ctx.Done():
			return
		}
		if err := r.config.Refresh(ctx); err != nil {
			r.opts.Logger.Debug("cannot refresh configuration", "err", err)
		}
	}
}

// triggerConfigRefresh requests a refresh unless one is already pending.
func (r *Router) triggerConfigRefresh() {
	select {
	case r.configRefreshTrigger <- struct{}{}:
	default:
	}
}

// loadQuarantineWithRetry loads the stored quarantined requests and retries
// until it succeeds once. Requests that are quarantined later are reported by
// peers.
func (r *Router) loadQuarantineWithRetry(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.loadQuarantine(ctx); err == nil {
			return
		}
		select {
		case <-time.After(memberPollInterval):
		case <-ctx.Done():
		}
	}
}

// relayPeers returns the peers that can relay table calls. There are none
// before Run has started.
func (r *Router) relayPeers() []platform.Peer {
	if r.peers == nil {
		return nil
	}
	return r.peers.relayPeers()
}
