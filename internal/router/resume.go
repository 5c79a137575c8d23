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

// earlierRun is a run that a sidecar knows for a request's identity.
type earlierRun struct {
	runID       string
	contentHash string
	target      *target
	sidecar     string
}

// resume serves a request from an earlier run of the same identity that this
// router has registered or that a sidecar of the pool knows. handled is false
// if there is none, or if it cannot be served.
func (r *Router) resume(ctx context.Context, req *request) (handled bool, err error) {
	if run := r.runByIdentity(req.Identity); run != nil {
		return r.serveKnownRun(ctx, req, run)
	}
	earlier := r.findEarlierRun(ctx, req)
	if earlier == nil {
		return false, nil
	}
	if earlier.contentHash != req.ContentHash {
		return true, errReusedKey
	}
	r.recordEvent("resume", req.RequestID, earlier.runID, req.Team, slog.String("target", earlier.target.id))
	result := r.serveExternalRun(ctx, req, earlier.runID, earlier.target, earlier.sidecar)
	if result.retry {
		return false, nil
	}
	return true, toCallerError(result.err)
}

var errReusedKey = errkind.New(errkind.IdempotencyConflict, "the idempotency key was used with another request")

// serveKnownRun serves a request from a run that this router has registered.
// handled is false if the run cannot be served; the request then needs another
// run.
func (r *Router) serveKnownRun(ctx context.Context, req *request, run *run) (handled bool, err error) {
	if run.contentHash != req.ContentHash {
		return true, errReusedKey
	}
	result := r.serve(ctx, req, run)
	if result.retry {
		r.dropIdentity(run)
		return false, nil
	}
	return true, toCallerError(result.err)
}

// dropIdentity lets a new run of the identity start although an earlier one,
// which can no longer be served, is still registered. The earlier run stays
// registered until its record arrives.
func (r *Router) dropIdentity(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runsByIdentity[run.identity] == run {
		delete(r.runsByIdentity, run.identity)
	}
}

// lockIdentity admits one request per identity at a time, so that two requests
// with the same idempotency key do not start two runs. It returns either the
// registered run of the identity or a function that releases the lock. It waits
// while another request holds the lock.
func (r *Router) lockIdentity(ctx context.Context, id ledger.Identity) (unlock func(), known *run, err error) {
	for {
		r.mu.Lock()
		if run := r.runsByIdentity[id]; run != nil {
			r.mu.Unlock()
			return nil, run, nil
		}
		lock := r.identityLocks[id]
		if lock == nil {
			lock = make(chan struct{})
			r.identityLocks[id] = lock
			r.mu.Unlock()
			return func() { r.unlockIdentity(id, lock) }, nil, nil
		}
		r.mu.Unlock()
		select {
		case <-lock:
		case <-ctx.Done():
			return nil, nil, &errkind.Error{Kind: errkind.Canceled, Detail: "the caller disconnected before a run started", Ran: errkind.RanNo}
		}
	}
}

// unlockIdentity releases the lock on an identity at the end of a request,
// unless addRun has released it already. Requests that wait for it continue.
func (r *Router) unlockIdentity(id ledger.Identity, lock chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.identityLocks[id] == lock {
		delete(r.identityLocks, id)
		close(lock)
	}
}

// findEarlierRun asks all connected sidecars of the pool in parallel for a run
// of the identity. It returns the first one found, or nil.
func (r *Router) findEarlierRun(ctx context.Context, req *request) *earlierRun {
	targets := r.sched.targetsWhere(func(t *target) bool { return t.pool == req.pool && t.conn != nil })
	ctx, cancel := context.WithTimeout(ctx, runLookupTimeout)
	defer cancel()
	results := make(chan *earlierRun, len(targets))
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results <- r.probeTarget(ctx, t, req.Identity)
		}()
	}
	go func() { wg.Wait(); close(results) }()
	for earlier := range results {
		if earlier != nil {
			return earlier
		}
	}
	return nil
}

// probeTarget asks a target's sidecar for a run of the identity, without
// receiving its chunks.
func (r *Router) probeTarget(ctx context.Context, t *target, id ledger.Identity) *earlierRun {
	c := t.link.Conn()
	if c == nil {
		return nil
	}
	var res wire.AttachRunResult
	req := wire.AttachRun{Header: r.header(), Identity: id, Probe: true}
	if err := c.Call(ctx, wire.MethodRunAttach, req, &res); err != nil || !res.Known {
		return nil
	}
	return &earlierRun{runID: res.RunID, contentHash: res.ContentHash, target: t, sidecar: res.Sidecar}
}

// Errors that end the wait for a run that another router has started or that
// the claim of a call names.
var (
	// errRunUnknown means that the run has not reached the sidecar or that the
	// sidecar has forgotten it.
	errRunUnknown = errkind.New(errkind.OutcomeUnknown, "the earlier run of this idempotency key is not known")
	// errRunReplaced means that the run did not start, or that the sidecar has
	// another run of the identity, whose chunks carry the other run's id.
	errRunReplaced = errkind.New(errkind.OutcomeUnknown, "another run of this idempotency key may have replaced the expected one")
)

// serveExternalRun serves a run that was started under another reservation.
// This router relays its answer and settles nothing.
func (r *Router) serveExternalRun(ctx context.Context, req *request, runID string, t *target, sidecar string) attemptResult {
	run, isNew := r.findOrAddRun(runID, req, t, sidecar)
	if isNew {
		if c := t.link.Conn(); c != nil {
			r.attachExternalRun(run, c)
		} else {
			run.markLost(timeNow())
		}
	}
	return r.serve(ctx, req, run)
}

// attachExternalRun asks the sidecar to send the run's chunks to this router.
// If the sidecar does not have the run or its answer any more, the run fails
// for its readers. If the call fails, the run counts as disconnected.
func (r *Router) attachExternalRun(run *run, c *rpc.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	var res wire.AttachRunResult
	req := wire.AttachRun{Header: r.header(), Identity: run.identity, RunID: run.id}
	if err := c.Call(ctx, wire.MethodRunAttach, req, &res); err != nil {
		run.markLost(timeNow())
		return
	}
	var failure *errkind.Error
	switch {
	case !res.Known:
		failure = errRunUnknown
	case res.Expired:
		failure = errkind.New(errkind.OutcomeUnknown, "the earlier run of this idempotency key has ended and its answer is no longer kept")
		failure.Ran = errkind.RanYes
	case res.RunID != run.id:
		failure = errRunReplaced
	default:
		return
	}
	if run.fail(failure) {
		r.removeRun(run)
	}
}

// findOrAddRun returns the registered run with the id, or registers it.
func (r *Router) findOrAddRun(runID string, req *request, t *target, sidecar string) (joined *run, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.runs[runID]; known != nil {
		return known, false
	}
	joined = newRun(runID, req.Identity, t)
	joined.contentHash = req.ContentHash
	joined.sidecar = sidecar
	joined.keepChunks = true
	r.runs[runID] = joined
	t.openRuns.Add(1)
	r.runsByIdentity[req.Identity] = joined
	return joined, true
}
