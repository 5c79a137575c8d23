package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/claims"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/escrow"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
)

// Listeners are the open sockets of a router.
type Listeners struct {
	Callers net.Listener // HTTP for callers and operators
	Peers   net.Listener // rpc for other routers
	Metrics net.Listener // HTTP for metrics and health; nil serves them to callers
}

// New returns a router. Run starts it.
func New(opts Options, ln Listeners) *Router {
	r := &Router{
		opts:        opts,
		listeners:   ln,
		runs:        map[string]*run{},
		byIdentity:  map[ledger.Identity]*run{},
		entered:     map[ledger.Identity]chan struct{}{},
		durable:     newRecentRuns(),
		crashes:     quarantine.NewTracker(),
		teams:       map[string]*teamLimits{},
		confirmed:   map[string]confirmation{},
		membersPoke: make(chan struct{}, 1),
		configPoke:  make(chan struct{}, 1),
		closed:      make(chan struct{}),
	}
	breaker := platform.NewBreaker(opts.Table, platform.BreakerOptions{})
	health := platform.NewDirectTable(breaker, nil)
	r.relay = platform.NewRelayServer(health, r.header)
	r.table = platform.NewRelay(platform.RelayOptions{Direct: health, Peers: r.relayPeers, Header: r.header})
	r.stopBreaker = breaker.Close
	r.config = configstore.New(configstore.Options{Table: r.table, Logger: opts.Logger, Operators: opts.operators()})
	r.claims = claims.NewStore(r.table, time.Now)
	r.sched = newScheduler(uint64(time.Now().UnixNano()), r.preset, time.Now)
	r.metrics = newMetrics(r)
	return r
}

func (o Options) operators() []policy.Operator {
	var out []policy.Operator
	for _, op := range o.Settings.Operators {
		out = append(out, policy.Operator{Name: op.Name, KeySHA256: op.KeySHA256})
	}
	return out
}

// Run serves until ctx is done and then stops gracefully: requests in progress
// are finished, records flushed and grants returned.
func (r *Router) Run(ctx context.Context) error {
	// The loops outlive ctx, because a graceful stop still needs them.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	defer close(r.closed)
	defer r.stopBreaker()
	r.peers = newPeerSet(loopCtx, r)
	r.escrow = escrow.New(r.escrowOptions())
	r.budgets = escrowKeeper{r.escrow}
	r.config.OnChange(func(doc *policy.Document) { r.noteAdopted(doc.Version) })
	for _, addr := range r.opts.Settings.Peers {
		if addr != r.listeners.Peers.Addr().String() {
			r.peers.connect(addr, true)
		}
	}
	srv := r.server()
	group, groupCtx := errgroup.WithContext(loopCtx)
	group.Go(func() error { return ignoreDone(loopCtx, r.escrow.Run(groupCtx)) })
	group.Go(func() error { return ignoreDone(loopCtx, r.config.Run(groupCtx)) })
	group.Go(func() error { return rpc.Serve(groupCtx, r.listeners.Peers, r.rpcOptions(), peerHandler{r}) })
	group.Go(func() error { r.watchMembers(groupCtx); return nil })
	group.Go(func() error { r.refreshOnHint(groupCtx); return nil })
	group.Go(func() error { r.keepVerdicts(groupCtx); return nil })
	group.Go(func() error { r.archiveLedger(groupCtx); return nil })
	group.Go(func() error { return serveHTTP(srv, r.limited(r.listeners.Callers)) })
	group.Go(func() error { r.adoptFromPeers(groupCtx); return nil })
	if r.listeners.Metrics != nil {
		group.Go(func() error { return r.serveMetrics(groupCtx) })
	}
	group.Go(func() error {
		defer stopLoops()
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
			return srv.Close() // another part has failed; its error is the result
		}
		return r.shutdown(srv)
	})
	return group.Wait()
}

func ignoreDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

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
		OnDurable: r.recordsDurable,
		Fencer:    fencer{r},
		Objects:   r.opts.Objects,
	}
}

// archiveLedger moves old segments to the object store.
func (r *Router) archiveLedger(ctx context.Context) {
	if r.opts.Objects == nil {
		return
	}
	archive.New(archive.Options{
		Table: r.table, Objects: r.opts.Objects, OwnHolder: r.escrow.LastStored,
		Age: r.opts.Settings.ArchiveAfter(), Logger: r.opts.Logger,
	}).Run(ctx)
}

// stopTimeout bounds a graceful stop. It exceeds the longest answers, so that
// only a caller that has stopped reading is cut off.
const stopTimeout = 10 * time.Minute

// shutdown ends the service without cutting requests.
func (r *Router) shutdown(srv *http.Server) error {
	r.opts.Logger.Info("stopping", "runs", r.openRuns())
	r.setNotReady()
	time.Sleep(drainGrace)
	r.setStopping()
	time.Sleep(refuseGrace)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	r.waitRuns(ctx)
	if drainErr := r.drainBudgets(); drainErr != nil {
		r.opts.Logger.Error("drain failed", "err", drainErr)
		err = errors.Join(err, drainErr)
	}
	r.opts.Logger.Info("stopped")
	return err
}

// drainTimeout bounds the attempts to store the last records and to return the
// grants. Grants that stay behind are recovered by another router.
const drainTimeout = 30 * time.Second

func (r *Router) drainBudgets() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return r.escrow.Drain(ctx)
}

// runsGrace is how long a stopping router waits for the records of runs that
// nobody reads any more. Runs that are open after it are left to recovery.
const runsGrace = 10 * time.Second

func (r *Router) waitRuns(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, runsGrace)
	defer cancel()
	for r.openRuns() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (r *Router) setNotReady() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unready = true
}

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

// refreshOnHint reads the configuration when a message has shown that a newer
// version exists.
func (r *Router) refreshOnHint(ctx context.Context) {
	for {
		select {
		case <-r.configPoke:
		case <-ctx.Done():
			return
		}
		if err := r.config.Refresh(ctx); err != nil {
			r.opts.Logger.Debug("configuration not refreshed", "err", err)
		}
	}
}

func (r *Router) pokeConfig() {
	select {
	case r.configPoke <- struct{}{}:
	default:
	}
}

// keepVerdicts reads the stored quarantine verdicts until that has succeeded
// once; later verdicts arrive from peers.
func (r *Router) keepVerdicts(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.loadVerdicts(ctx); err == nil {
			return
		}
		select {
		case <-time.After(memberPoll):
		case <-ctx.Done():
		}
	}
}

func (r *Router) relayPeers() []platform.Peer {
	if r.peers == nil {
		return nil
	}
	return r.peers.relayPeers()
}
