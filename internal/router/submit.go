package router

import (
	"context"
	"errors"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/route"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Outcomes of a run that no target has seen or whose sidecar is gone.
var (
	errNotRun      = errkind.New(errkind.Tombstoned, "the sidecar did not receive the run")
	errAnswerGone  = errkind.New(errkind.OutcomeUnknown, "the answer is no longer kept at the sidecar")
	errSidecarGone = errkind.New(errkind.TargetCrashed, "the sidecar was replaced during the run")
)

// maxAttempts bounds the targets that one request tries.
const maxAttempts = 4

// maxExplained bounds the attempts that do not count because the crash of
// another request ended them. It covers two such requests, which crash at most 3
// targets each.
const maxExplained = 6

// suspectWait is the distance of a suspect's attempts while each target runs
// another suspect. Such a refusal is no attempt: it has cost the target nothing.
const suspectWait = 20 * time.Millisecond

// request is a validated request of a caller.
type request struct {
	wire.StartRun             // template; run id, attempt and holder are set per attempt
	pool          string      // scheduler pool
	query         route.Query // for target choice
	idempotent    bool
	timeout       time.Duration // until a run starts
	ownTimeout    bool          // timeout is the one of the workload, shorter than that of the preset
	sink          sink
	// permitted reports whether a configuration lets the request run. It is
	// asked again at each start, because the configuration may have changed
	// while the request waited.
	permitted func(*policy.Document) error
}

// sink passes an answer on to the caller.
type sink interface {
	// chunk passes on a part of the answer. An error means that the caller
	// has gone.
	chunk(c wire.RunChunk) error
	// finish completes the answer.
	finish(end wire.RunEnd) error
	// started reports whether the caller has received a part of the answer.
	started() bool
}

// attemptResult tells what to do after an attempt.
type attemptResult struct {
	err   error // nil: the caller has the answer
	retry bool  // another target may be tried
	paid  bool  // the retry has been taken from the share already
	full  bool  // the sidecar has no room for the run at the moment
	// explained says that the target crashed because of another request, which is
	// a suspect already.
	explained bool
}

// submit runs a request and passes its answer to its sink. The error, if any,
// is the answer to the caller.
func (r *Router) submit(ctx context.Context, req *request) error {
	if r.quarantined(req) {
		return errkind.New(errkind.RequestQuarantined, "the request crashed the targets that ran it")
	}
	startCtx, cancel := startContext(ctx, req)
	defer cancel()
	avoid := map[string]bool{}
	r.countRequest()
	var errs attemptErrors
	explained := 0
	for tries := 0; tries < maxAttempts; tries++ {
		res := r.attempt(ctx, startCtx, req, avoid)
		if res.err == nil {
			return nil
		}
		if res.full && r.suspected(req) {
			tries--
			_ = waitFor(startCtx, nil, suspectWait) // the next attempt sees the end of startCtx
			continue
		}
		errs.add(res.err)
		if !res.retry {
			return errs.answer()
		}
		if r.quarantined(req) {
			return &errkind.Error{Kind: errkind.RequestQuarantined, Detail: "the request crashed the targets that ran it", Ran: errkind.RanYes}
		}
		if res.explained && explained < maxExplained {
			explained++
			tries--
			continue
		}
		if !res.paid && !r.mayRetry(req, res.err) {
			break
		}
	}
	return errs.answer()
}

// attemptErrors holds the errors of a request's attempts.
type attemptErrors struct {
	last  error
	spent error // of the latest attempt that may have run, or nil
}

func (a *attemptErrors) add(err error) {
	a.last = err
	if !knownNotRun(err) {
		a.spent = err
	}
}

// answer returns the answer to the caller.
func (a attemptErrors) answer() error { return finalAnswer(a.spent, a.last) }

// finalAnswer turns the last attempt's error into the answer to the caller.
// spent is the error of an earlier attempt that may have run, or nil: after
// such an attempt the answer must not say that the request did not run.
func finalAnswer(spent, last error) error {
	if spent != nil && knownNotRun(last) {
		return finalError(spent)
	}
	return finalError(last)
}

// knownNotRun reports whether an attempt's error means that no target has run
// any part of it.
func knownNotRun(err error) bool {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.Tombstoned, errkind.Fenced, errkind.StaleConfig:
		return true
	}
	return errkind.From(err).Response().Ran == errkind.RanNo
}

// finalError turns the last attempt's error into the answer to the caller.
func finalError(err error) error {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.Tombstoned, errkind.Fenced, errkind.StaleConfig:
		return errkind.Wrap(err, errkind.NoTarget, "no target accepted the request")
	case errkind.Unreachable:
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the target became unreachable during the request")
	}
	return err
}

// errWorkloadTimeout is the cause of a start context that the workload's own
// timeout ended.
var errWorkloadTimeout = errors.New("the workload's timeout has passed")

// startContext bounds the wait until a run starts.
func startContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if req.ownTimeout {
		return context.WithTimeoutCause(ctx, req.timeout, errWorkloadTimeout)
	}
	return context.WithTimeout(ctx, req.timeout)
}

// startError maps the end of a wait for budget or target to an answer. A
// caller that left gets Canceled, a workload whose timeout is shorter than the
// preset's gets DeadlineExceeded, and any other wait that took too long keeps
// the kind that the waiting component gave.
func startError(ctx, startCtx context.Context, err error) error {
	if ctx.Err() != nil {
		return &errkind.Error{Kind: errkind.Canceled, Detail: "the caller left before a run started", Ran: errkind.RanNo}
	}
	if errors.Is(context.Cause(startCtx), errWorkloadTimeout) {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "no run started within the workload's timeout: %s", errkind.From(err).Detail)
	}
	// An error with a kind may wrap the deadline of one call or of the wait; it
	// says more than the deadline.
	var kinded *errkind.Error
	if !errors.As(err, &kinded) && errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "no run started in time")
	}
	return err
}
