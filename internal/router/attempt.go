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

// attempt tries one target.
func (r *Router) attempt(ctx, startCtx context.Context, req *request, avoid map[string]bool) attemptResult {
	res, err := r.budgets.Reserve(startCtx, req.Team, req.Reserved)
	if err != nil {
		return attemptResult{err: startError(ctx, startCtx, err)}
	}
	w := &waiter{
		Ticket: admit.Ticket{Team: req.Team, Priority: req.Priority, Pool: req.pool, Constrained: len(avoid) > 0},
		query:  req.query,
		avoid:  avoid,
	}
	if r.suspected(req) {
		w.query.Suspect = true
		w.Constrained = true
	}
	sl, err := r.sched.acquire(startCtx, w)
	if err != nil {
		res.Cancel()
		return attemptResult{err: startError(ctx, startCtx, err)}
	}
	run := r.newAttempt(req, ulid.Make().String(), sl, res)
	result := r.start(ctx, req, run, sl)
	sl.release()
	if result.retry && !blameless(result) {
		avoid[sl.target.id] = true
	}
	return result
}

// blameless reports whether an attempt says nothing against its target: the run
// was lost with the connection, another request has crashed the target, or the
// refusal concerns the router or the moment.
// The next attempt may go to the same target, which may be the only one.
func blameless(res attemptResult) bool {
	switch errkind.Of(res.err) {
	case errkind.Tombstoned, errkind.Fenced, errkind.StaleConfig:
		return true
	}
	return res.full || res.explained
}

func (r *Router) newAttempt(req *request, runID string, sl *slot, res Reservation) *run {
	run := newRun(runID, req.Identity, sl.target)
	run.claimed = !req.idempotent && req.Resumable
	run.hash = req.ContentHash
	run.sidecar = sl.sidecar
	run.res = res
	run.keepAll = req.Resumable
	run.outCap = req.OutputCap
	run.template = ledger.Record{
		Identity:  req.Identity,
		RunID:     run.id,
		RequestID: req.RequestID,
		Holder:    res.Holder(),
		Target:    sl.target.id,
		Sidecar:   sl.sidecar,
		Model:     req.Model,
		Service:   req.Service,
		Workload:  req.Workload,
		Reserved:  res.Tokens(),
		StartedUS: time.Now().UnixMicro(),
	}
	r.addRun(run)
	r.event("attempt", req.RequestID, run.id, req.Team, slog.String("target", sl.target.id), slog.String("sidecar", sl.sidecar))
	return run
}

// maxStaleRetries bounds the immediate repeats after the sidecar has sent a
// newer configuration.
const maxStaleRetries = 3

// start sends the run to the sidecar and serves its answer.
func (r *Router) start(ctx context.Context, req *request, run *run, sl *slot) attemptResult {
	msg := req.StartRun
	msg.RunID = run.id
	msg.Holder = run.res.Holder()
	msg.Reserved = run.res.Tokens()
	msg.Suspect = sl.w.query.Suspect
	for range maxStaleRetries {
		// The check follows the header, so that it uses the version that the
		// header names or a later one.
		msg.Header = r.header()
		if err := req.permitted(r.config.Current()); err != nil {
			r.cancelRun(run)
			return attemptResult{err: err}
		}
		result, err := r.callStart(sl, msg)
		if err != nil {
			r.resolveStart(run, sl)
			return r.serve(ctx, req, run)
		}
		r.observe(result.Header)
		r.sched.update(sl.target, func(t *target) { t.noteActive(result.Active) })
		if result.Refusal == nil {
			return r.accepted(ctx, req, run, sl, result)
		}
		if result.Refusal.Kind == errkind.StaleConfig && result.Refusal.Document != nil {
			r.config.Adopt(*result.Refusal.Document)
			continue
		}
		r.cancelRun(run)
		return r.refused(sl, msg.Holder, result.Refusal)
	}
	r.cancelRun(run)
	return attemptResult{err: errkind.New(errkind.StaleConfig, "the configuration changed during the start"), retry: true}
}

func (r *Router) callStart(sl *slot, msg wire.StartRun) (wire.StartRunResult, error) {
	var result wire.StartRunResult
	if sl.conn == nil {
		return result, errkind.New(errkind.Unreachable, "no connection to target %s", sl.target.id)
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := sl.conn.Call(callCtx, wire.MethodRunStart, msg, &result)
	return result, err
}

// resolveStart finds out whether a run has started whose acceptance was not
// received. Without a connection the next one resolves it.
func (r *Router) resolveStart(run *run, sl *slot) {
	if c := sl.target.link.Conn(); c != nil {
		r.reattach(run, c)
		return
	}
	run.lost(time.Now())
}

// accepted serves the run, or the earlier run of the same identity that the
// sidecar named.
func (r *Router) accepted(ctx context.Context, req *request, run *run, sl *slot, result wire.StartRunResult) attemptResult {
	if !result.Existing || result.RunID == run.id || result.RunID == "" {
		return r.serve(ctx, req, run)
	}
	r.cancelRun(run)
	return r.serveForeign(ctx, req, result.RunID, sl.target, sl.sidecar)
}

func (r *Router) refused(sl *slot, holder string, refusal *wire.Refusal) attemptResult {
	err := errkind.New(refusal.Kind, "%s", refusal.Detail)
	switch refusal.Kind {
	case errkind.Draining:
		r.sched.update(sl.target, func(t *target) { t.draining = true })
	case errkind.Fenced:
		r.budgets.GiveUp(holder)
	case errkind.Overloaded:
		return attemptResult{err: err, retry: true, full: true}
	case errkind.Tombstoned, errkind.StaleConfig, errkind.NoTarget:
	default:
		return attemptResult{err: err}
	}
	return attemptResult{err: err, retry: true}
}
