package router

import (
	"context"
	"errors"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// serve passes a run's answer to the caller until it ends.
func (r *Router) serve(ctx context.Context, req *request, run *run) attemptResult {
	rd := &reader{run: run}
	for {
		chunk, end, err := rd.next(ctx)
		switch {
		case ctx.Err() != nil:
			return r.handleCallerDisconnect(req, run)
		case err != nil:
			return r.handleRunError(req, run, err)
		case end != nil:
			return r.handleEnd(req, rd, end)
		}
		if err := req.sink.chunk(*chunk); err != nil {
			return r.handleCallerDisconnect(req, run)
		}
	}
}

// handleCallerDisconnect handles a caller that has disconnected. A run that no
// other request can resume is cancelled; its record is settled when the sidecar
// reports it.
func (r *Router) handleCallerDisconnect(req *request, run *run) attemptResult {
	if !req.Resumable {
		if c := run.target.link.Conn(); c != nil {
			_ = c.Notify(context.Background(), wire.MethodRunCancel, wire.CancelRun{Header: r.header(), RunID: run.id})
		}
	}
	return attemptResult{err: errkind.New(errkind.Canceled, "the caller left")}
}

// handleRunError handles a run that ended without an End message. Another
// attempt may follow if the sidecar has permanently rejected the run (Tombstoned)
// or if the request is idempotent and the caller has received no part of the
// answer.
func (r *Router) handleRunError(req *request, run *run, err error) attemptResult {
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

// handleEnd handles the End message of a run.
func (r *Router) handleEnd(req *request, rd *reader, end *wire.RunEnd) attemptResult {
	if end.Kind == errkind.NoTarget {
		r.coolDown(rd.run.target)
		return attemptResult{err: errkind.New(errkind.NoTarget, "target %s refused the connection", rd.run.target.id), retry: true, refused: true}
	}
	if end.Record.Billable() && int64(rd.pos) != end.Chunks {
		return attemptResult{err: errkind.New(errkind.TargetFailed, "the answer is incomplete: %d of %d parts", rd.pos, end.Chunks)}
	}
	switch end.Record.Outcome {
	case ledger.Complete, ledger.Capped:
		r.clearSuspect(req)
		return completeAnswer(req, end)
	case ledger.Crashed:
		return r.handleCrash(req, end)
	case ledger.Canceled:
		return attemptResult{err: errkind.New(errkind.Canceled, "the run was canceled")}
	default:
		return r.handleTargetError(req, end)
	}
}

// handleCrash handles a run during which the target crashed. Only an idempotent
// request of which the caller has received no part of the answer may be retried.
func (r *Router) handleCrash(req *request, end *wire.RunEnd) attemptResult {
	if !req.idempotent {
		return attemptResult{err: errkind.New(errkind.OutcomeUnknown, "target crashed during the call")}
	}
	err := &errkind.Error{Kind: errkind.TargetCrashed, Detail: "target crashed during the answer", Billed: end.Record.Charged}
	return attemptResult{err: err, retry: !req.sink.started(), crashExplained: end.Explained}
}

// completeAnswer completes the caller's answer. An error without a kind comes
// from the caller's connection.
func completeAnswer(req *request, end *wire.RunEnd) attemptResult {
	err := req.sink.finish(*end)
	var kindErr *errkind.Error
	switch {
	case err == nil:
		return attemptResult{}
	case errors.As(err, &kindErr):
		kindErr.Billed = end.Record.Charged
		return attemptResult{err: kindErr}
	}
	return attemptResult{err: errkind.New(errkind.Canceled, "the caller left")}
}

// handleTargetError handles a run that the target ended with an error. Kinds that
// are not listed here are answered as TargetFailed.
func (r *Router) handleTargetError(req *request, end *wire.RunEnd) attemptResult {
	mayRetry := req.idempotent && !req.sink.started()
	if req.Kind == wire.ServiceRun && end.HTTPStatus > 0 {
		return r.handleServiceError(req, end)
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
	return attemptResult{err: err, retry: mayRetry}
}

// handleServiceError handles an error response of a service. An idempotent call
// is retried if the retry quota allows it; otherwise the response is passed to
// the caller.
func (r *Router) handleServiceError(req *request, end *wire.RunEnd) attemptResult {
	if req.idempotent && r.takeRetry() {
		err := &errkind.Error{Kind: errkind.TargetFailed, Detail: end.Detail, Billed: end.Record.Charged}
		return attemptResult{err: err, retry: true, retryCounted: true}
	}
	return completeAnswer(req, end)
}

// targetCoolDown covers one period of the load reports.
const targetCoolDown = 500 * time.Millisecond

// coolDown keeps new work from a target that refused a connection, long enough
// for its sidecar to report whether the target is healthy.
func (r *Router) coolDown(t *target) {
	until := time.Now().Add(targetCoolDown)
	r.sched.update(t, func(t *target) { t.coolDownUntil = until })
}
