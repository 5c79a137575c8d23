package router

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// attempt reserves budget and a target for the request and runs the request at
// the target. startCtx bounds the wait for budget and target. If the request may
// be tried again, the target is added to tried.
func (r *Router) attempt(ctx, startCtx context.Context, req *request, tried *triedTargets) attemptResult {
	reservation, err := r.budgets.Reserve(startCtx, req.Team, req.Reserved)
	if err != nil {
		return attemptResult{err: startError(ctx, startCtx, err)}
	}
	w := &waiter{
		Ticket: admit.Ticket{Team: req.Team, Route: req.Workload, Rank: rankOf(req.Priority), Pool: req.pool, Constrained: len(tried.avoid) > 0},
		query:  req.query,
		avoid:  tried.avoid,
		busy:   tried.busy,
	}
	if r.isSuspect(req) {
		w.query.Suspect = true
		w.Constrained = true
	}
	sl, err := r.sched.acquire(startCtx, w)
	if err != nil {
		reservation.Cancel()
		return attemptResult{err: startError(ctx, startCtx, err)}
	}
	run := r.registerRun(req, ulid.Make().String(), sl, reservation)
	result := r.startRun(ctx, req, run, sl)
	sl.release()
	switch {
	case result.noCapacity:
		result.allBusy = tried.recordBusy(sl.target.id)
	case result.retry && !targetNotAtFault(result):
		tried.avoid[sl.target.id] = true
	}
	return result
}

// triedTargets holds the targets that have failed or refused a request.
type triedTargets struct {
	avoid map[string]bool // must not be used again
	busy  map[string]bool // refused the request as busy
}

func newTriedTargets() *triedTargets {
	return &triedTargets{avoid: map[string]bool{}, busy: map[string]bool{}}
}

// recordBusy records that a target refused the request as busy. It returns true if
// the target had refused it before, which means that no other target could take the
// request, and forgets all such refusals.
func (t *triedTargets) recordBusy(id string) (allBusy bool) {
	if t.busy[id] {
		clear(t.busy)
		return true
	}
	t.busy[id] = true
	return false
}

// targetNotAtFault reports whether the result of an attempt is no evidence
// against its target: the sidecar never received the run, another request
// crashed the target, it accepts no connection and so gets no work until it has had time to
// restart (coolDown), or the run was refused for a reason that lies in the
// router or is temporary. The next attempt may then use the same target, which
// may be the only one.
func targetNotAtFault(result attemptResult) bool {
	switch errkind.Of(result.err) {
	case errkind.Tombstoned, errkind.Fenced, errkind.StaleConfig:
		return true
	}
	return result.noCapacity || result.crashExplained || result.refused
}

// registerRun creates and registers the run of an attempt.
func (r *Router) registerRun(req *request, runID string, sl *slot, reservation Reservation) *run {
	run := newRun(runID, req.Identity, sl.target)
	run.claimed = !req.idempotent && req.Resumable
	run.contentHash = req.ContentHash
	run.parts, run.partLevels = req.parts, r.partLevels(req.parts)
	run.sidecar = sl.sidecar
	run.reservation = reservation
	run.keepChunks = req.Resumable
	run.outputCap = req.OutputCap
	run.recordTemplate = ledger.Record{
		Identity:  req.Identity,
		RunID:     run.id,
		RequestID: req.RequestID,
		Holder:    reservation.Holder(),
		Target:    sl.target.id,
		Sidecar:   sl.sidecar,
		Model:     req.Model,
		Service:   req.Service,
		Workload:  req.Workload,
		Reserved:  reservation.Tokens(),
		StartedUS: time.Now().UnixMicro(),
	}
	r.addRun(run)
	r.recordEvent("attempt", req.RequestID, run.id, req.Team, slog.String("target", sl.target.id), slog.String("sidecar", sl.sidecar))
	return run
}

// maxStartCalls bounds how often a run is sent to its sidecar. The run is sent
// again at once if the sidecar refuses it and replies with a newer configuration.
const maxStartCalls = 3

// startRun sends the run to the sidecar and passes its answer to the caller.
func (r *Router) startRun(ctx context.Context, req *request, run *run, sl *slot) attemptResult {
	msg := req.StartRun
	msg.RunID = run.id
	msg.Holder = run.reservation.Holder()
	msg.Reserved = run.reservation.Tokens()
	msg.Suspect = sl.waiter.query.Suspect
	for range maxStartCalls {
		// The check comes after the header, so that it uses the configuration
		// version in the header or a later one.
		msg.Header = r.header()
		if err := req.checkPermitted(r.config.Current()); err != nil {
			r.discardRun(run)
			return attemptResult{err: err}
		}
		result, err := r.callRunStart(sl, msg)
		if err != nil {
			r.resolveUncertainStart(run, sl)
			return r.serve(ctx, req, run)
		}
		r.observeHeader(result.Header)
		r.sched.update(sl.target, func(t *target) { t.recordActive(result.Active) })
		if result.Refusal == nil {
			return r.serveAccepted(ctx, req, run, sl, result)
		}
		if result.Refusal.Kind == errkind.StaleConfig && result.Refusal.Document != nil {
			r.config.Adopt(*result.Refusal.Document)
			continue
		}
		r.discardRun(run)
		return r.handleRefusal(sl, msg.Holder, result.Refusal)
	}
	r.discardRun(run)
	return attemptResult{err: errkind.New(errkind.StaleConfig, "the configuration changed during the start"), retry: true}
}

// callRunStart sends the start message. It has its own timeout and is not cut
// off when the caller disconnects.
func (r *Router) callRunStart(sl *slot, msg wire.StartRun) (wire.StartRunResult, error) {
	var result wire.StartRunResult
	if sl.conn == nil {
		return result, errkind.New(errkind.Unreachable, "no connection to target %s", sl.target.id)
	}
	callCtx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	err := sl.conn.Call(callCtx, wire.MethodRunStart, msg, &result)
	return result, err
}

// resolveUncertainStart handles a start whose result was not received. It asks
// the sidecar whether the run has started there. If there is no connection, the
// router asks when the sidecar reconnects.
func (r *Router) resolveUncertainStart(run *run, sl *slot) {
	if c := sl.target.link.Conn(); c != nil {
		r.reattach(run, c)
		return
	}
	run.markLost(time.Now())
}

// serveAccepted serves the run that the sidecar accepted, or the earlier run of
// the same identity that the sidecar named instead.
func (r *Router) serveAccepted(ctx context.Context, req *request, run *run, sl *slot, result wire.StartRunResult) attemptResult {
	if !result.Existing || result.RunID == run.id || result.RunID == "" {
		return r.serve(ctx, req, run)
	}
	r.discardRun(run)
	return r.serveExternalRun(ctx, req, result.RunID, sl.target, sl.sidecar)
}

// handleRefusal decides how to continue after the sidecar refused to start a
// run.
func (r *Router) handleRefusal(sl *slot, holder string, refusal *wire.Refusal) attemptResult {
	err := errkind.New(refusal.Kind, "%s", refusal.Detail)
	switch refusal.Kind {
	case errkind.Draining:
		r.sched.update(sl.target, func(t *target) { t.draining = true })
	case errkind.Fenced:
		r.budgets.GiveUp(holder)
	case errkind.Overloaded:
		return attemptResult{err: err, retry: true, noCapacity: true}
	case errkind.Tombstoned, errkind.StaleConfig, errkind.NoTarget:
	default:
		return attemptResult{err: err}
	}
	return attemptResult{err: err, retry: true}
}
