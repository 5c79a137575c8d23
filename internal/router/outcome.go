package router

import (
	"context"
	"errors"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// serve passes a run's answer to the caller.
func (r *Router) serve(ctx context.Context, req *request, run *run) attemptResult {
	rd := &reader{run: run}
	for {
		chunk, end, err := rd.next(ctx)
		switch {
		case ctx.Err() != nil:
			return r.callerGone(req, run)
		case err != nil:
			return r.runFailed(req, run, err)
		case end != nil:
			return r.ended(req, rd, end)
		}
		if err := req.sink.chunk(*chunk); err != nil {
			return r.callerGone(req, run)
		}
	}
}

// callerGone ends the service of a caller that has left. A run that nobody can
// resume is cancelled; its record is booked when the sidecar reports it.
func (r *Router) callerGone(req *request, run *run) attemptResult {
	if !req.Resumable {
		if c := run.target.link.Conn(); c != nil {
			_ = c.Notify(context.Background(), wire.MethodRunCancel, wire.CancelRun{Header: r.header(), RunID: run.id})
		}
	}
	return attemptResult{err: errkind.New(errkind.Canceled, "the caller left")}
}

// runFailed handles a run that ended without an End.
func (r *Router) runFailed(req *request, run *run, err error) attemptResult {
	if errkind.Is(err, errkind.Tombstoned) {
		return attemptResult{err: err, retry: true}
	}
	if req.idempotent && !req.sink.started() {
		return attemptResult{err: err, retry: true}
	}
	if !req.idempotent {
		return attemptResult{err: errkind.Wrap(err, errkind.OutcomeUnknown, "the target or its sidecar went away during the call")}
	}
	return attemptResult{err: errkind.Wrap(err, errkind.TargetCrashed, "the answer was interrupted")}
}

// ended handles the End of a run.
func (r *Router) ended(req *request, rd *reader, end *wire.RunEnd) attemptResult {
	if end.Kind == errkind.NoTarget {
		r.coolDown(rd.run.target)
		return attemptResult{err: errkind.New(errkind.NoTarget, "target %s refused the connection", rd.run.target.id), retry: true}
	}
	if end.Record.Billable() && int64(rd.pos) != end.Chunks {
		return attemptResult{err: errkind.New(errkind.TargetFailed, "the answer is incomplete: %d of %d parts", rd.pos, end.Chunks)}
	}
	switch end.Record.Outcome {
	case ledger.Complete, ledger.Capped:
		r.clearSuspect(req)
		return finish(req, end)
	case ledger.Crashed:
		return r.crashed(req, end)
	case ledger.Canceled:
		return attemptResult{err: errkind.New(errkind.Canceled, "the run was canceled")}
	default:
		return r.failed(req, end)
	}
}

func (r *Router) crashed(req *request, end *wire.RunEnd) attemptResult {
	if !req.idempotent {
		return attemptResult{err: errkind.New(errkind.OutcomeUnknown, "target crashed during the call")}
	}
	err := &errkind.Error{Kind: errkind.TargetCrashed, Detail: "target crashed during the answer", Billed: end.Record.Charged}
	return attemptResult{err: err, retry: !req.sink.started(), explained: end.Explained}
}

// finish completes the caller's answer. An error without a kind comes from the
// caller's connection.
func finish(req *request, end *wire.RunEnd) attemptResult {
	err := req.sink.finish(*end)
	var kinded *errkind.Error
	switch {
	case err == nil:
		return attemptResult{}
	case errors.As(err, &kinded):
		kinded.Billed = end.Record.Charged
		return attemptResult{err: kinded}
	}
	return attemptResult{err: errkind.New(errkind.Canceled, "the caller left")}
}

// failed handles a run that the target ended with an error.
func (r *Router) failed(req *request, end *wire.RunEnd) attemptResult {
	mayRepeat := req.idempotent && !req.sink.started()
	if req.Kind == wire.ServiceRun && end.HTTPStatus > 0 {
		return r.serviceError(req, end)
	}
	err := &errkind.Error{Kind: end.Kind, Detail: end.Detail, Billed: end.Record.Charged}
	switch end.Kind {
	case errkind.Overloaded:
		err.Ran = errkind.RanNo
		return attemptResult{err: err, retry: true}
	case errkind.InvalidRequest, errkind.UnknownModel:
		err.Ran = errkind.RanNo
		return attemptResult{err: err}
	case errkind.OutcomeUnknown:
		return attemptResult{err: err}
	}
	err.Kind = errkind.TargetFailed
	return attemptResult{err: err, retry: mayRepeat}
}

// serviceError passes a service's own error answer on. An idempotent call is
// tried elsewhere first, as far as the share of retries allows.
func (r *Router) serviceError(req *request, end *wire.RunEnd) attemptResult {
	if req.idempotent && r.takeRetry() {
		err := &errkind.Error{Kind: errkind.TargetFailed, Detail: end.Detail, Billed: end.Record.Charged}
		return attemptResult{err: err, retry: true, paid: true}
	}
	return finish(req, end)
}

// targetCoolDown covers a period of load reports.
const targetCoolDown = 500 * time.Millisecond

// coolDown keeps new work from a target that refuses connections, until its
// sidecar has reported whether it is healthy.
func (r *Router) coolDown(t *target) {
	until := time.Now().Add(targetCoolDown)
	r.sched.update(t, func(t *target) { t.coolUntil = until })
}
