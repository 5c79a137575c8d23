package router

import (
	"context"
	"log/slog"
	"sync"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// found is an earlier run of a request's identity.
type found struct {
	runID   string
	hash    string
	target  *target
	sidecar string
}

// resume serves a request from an earlier run of the same identity, if one is
// known to this router or to a sidecar of the pool. handled is false if none
// was found.
func (r *Router) resume(ctx context.Context, req *request) (handled bool, err error) {
	if run := r.runOf(req.Identity); run != nil {
		return r.join(ctx, req, run)
	}
	f := r.lookup(ctx, req)
	if f == nil {
		return false, nil
	}
	if f.hash != req.ContentHash {
		return true, errReusedKey
	}
	r.event("resume", req.RequestID, f.runID, req.Team, slog.String("target", f.target.id))
	res := r.serveForeign(ctx, req, f.runID, f.target, f.sidecar)
	if res.retry {
		return false, nil
	}
	return true, finalError(res.err)
}

var errReusedKey = errkind.New(errkind.IdempotencyConflict, "the key was used with another request")

// join serves a request from a run that this router has.
func (r *Router) join(ctx context.Context, req *request, run *run) (handled bool, err error) {
	if run.hash != req.ContentHash {
		return true, errReusedKey
	}
	res := r.serve(ctx, req, run)
	if res.retry {
		r.dropIdentity(run)
		return false, nil
	}
	return true, finalError(res.err)
}

// dropIdentity lets a new run of the identity start beside one that cannot be
// served any more. The old run stays until its record has arrived.
func (r *Router) dropIdentity(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byIdentity[run.identity] == run {
		delete(r.byIdentity, run.identity)
	}
}

// enter admits one request per identity at a time, so that two requests with
// the same key do not start two runs. A request that finds another one joins
// its run, or takes its place if it ended without one.
func (r *Router) enter(ctx context.Context, id ledger.Identity) (leave func(), running *run, err error) {
	for {
		r.mu.Lock()
		if run := r.byIdentity[id]; run != nil {
			r.mu.Unlock()
			return nil, run, nil
		}
		wait := r.entered[id]
		if wait == nil {
			wait = make(chan struct{})
			r.entered[id] = wait
			r.mu.Unlock()
			return func() { r.leave(id, wait) }, nil, nil
		}
		r.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, nil, &errkind.Error{Kind: errkind.Canceled, Detail: "the caller left before a run started", Ran: errkind.RanNo}
		}
	}
}

// leave lets requests that wait for the identity go on. It is called when the
// run is registered and again at the end of the request.
func (r *Router) leave(id ledger.Identity, entered chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entered[id] == entered {
		delete(r.entered, id)
		close(entered)
	}
}

// lookup asks all connected sidecars of the pool in parallel whether they know
// the identity.
func (r *Router) lookup(ctx context.Context, req *request) *found {
	targets := r.sched.list(func(t *target) bool { return t.pool == req.pool && t.conn != nil })
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	results := make(chan *found, len(targets))
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results <- r.probe(ctx, t, req.Identity)
		}()
	}
	go func() { wg.Wait(); close(results) }()
	for f := range results {
		if f != nil {
			return f
		}
	}
	return nil
}

func (r *Router) probe(ctx context.Context, t *target, id ledger.Identity) *found {
	c := t.link.Conn()
	if c == nil {
		return nil
	}
	var res wire.AttachRunResult
	req := wire.AttachRun{Header: r.header(), Identity: id, Probe: true}
	if err := c.Call(ctx, wire.MethodRunAttach, req, &res); err != nil || !res.Known {
		return nil
	}
	return &found{runID: res.RunID, hash: res.ContentHash, target: t, sidecar: res.Sidecar}
}

// Ends of the wait for a run that another router has started, or that the
// claim of a call names.
var (
	// errNotKnown: the run has not reached the sidecar, or is forgotten there.
	errNotKnown = errkind.New(errkind.OutcomeUnknown, "the earlier run of this key is not known any more")
	// errReplaced: the run did not start, or the sidecar knows another run of
	// the identity instead, whose chunks carry the other run's id.
	errReplaced = errkind.New(errkind.OutcomeUnknown, "another run of this key may have taken the place of the one that was asked for")
)

// serveForeign serves a run that was started under another reservation. This
// router relays it and books nothing.
func (r *Router) serveForeign(ctx context.Context, req *request, runID string, t *target, sidecar string) attemptResult {
	run, isNew := r.joinRun(runID, req, t, sidecar)
	if isNew {
		if c := t.link.Conn(); c != nil {
			r.attachForeign(run, c)
		} else {
			run.lost(timeNow())
		}
	}
	return r.serve(ctx, req, run)
}

func (r *Router) attachForeign(run *run, c *rpc.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var res wire.AttachRunResult
	req := wire.AttachRun{Header: r.header(), Identity: run.identity, RunID: run.id}
	if err := c.Call(ctx, wire.MethodRunAttach, req, &res); err != nil {
		run.lost(timeNow())
		return
	}
	var gone *errkind.Error
	switch {
	case !res.Known:
		gone = errNotKnown
	case res.Expired:
		gone = errkind.New(errkind.OutcomeUnknown, "the earlier run of this key has ended and its answer is no longer kept")
		gone.Ran = errkind.RanYes
	case res.RunID != run.id:
		gone = errReplaced
	default:
		return
	}
	if run.fail(gone) {
		r.removeRun(run)
	}
}

// joinRun returns the run with the id, or registers it.
func (r *Router) joinRun(runID string, req *request, t *target, sidecar string) (joined *run, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.runs[runID]; known != nil {
		return known, false
	}
	joined = newRun(runID, req.Identity, t)
	joined.hash = req.ContentHash
	joined.sidecar = sidecar
	joined.keepAll = true
	r.runs[runID] = joined
	t.open.Add(1)
	r.byIdentity[req.Identity] = joined
	return joined, true
}
