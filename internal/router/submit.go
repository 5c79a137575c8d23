package router

import (
	"context"
	"errors"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/route"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Errors of runs that end without an End message.
var (
	errRunNotReceived  = errkind.New(errkind.Tombstoned, "the sidecar did not receive the run")
	errAnswerExpired   = errkind.New(errkind.OutcomeUnknown, "the answer is no longer kept at the sidecar")
	errSidecarReplaced = errkind.New(errkind.TargetCrashed, "the sidecar was replaced during the run")
)

// maxAttempts bounds the attempts per request, and those among them that are refused.
const maxAttempts = 4

// maxExplainedCrashes bounds the attempts that do not count towards maxAttempts
// because another, already suspected request crashed the target. It covers two
// such requests, each of which crashes at most 3 targets before it is
// quarantined.
const maxExplainedCrashes = 6

// suspectRetryDelay is the interval at which a suspect is tried again while
// each target refuses it because the target already runs another suspect. Such a
// refusal does not count as an attempt, since the target did no work.
const suspectRetryDelay = 20 * time.Millisecond

// request is a validated request of a caller.
type request struct {
	wire.StartRun                         // template; startRun sets the fields that differ per attempt
	pool                string            // scheduler pool
	parts               []quarantine.Part // of the prompt
	query               route.Query       // input of the target choice
	idempotent          bool
	timeout             time.Duration // bounds the wait until a run starts
	timeoutFromWorkload bool          // timeout is that of the workload, which is shorter than the preset's
	sink                sink
	// checkPermitted returns an error if a configuration does not permit the
	// request. It is called again at each start, because the configuration may
	// have changed while the request waited.
	checkPermitted func(*policy.Document) error
}

// sink passes the answer of a run to the caller.
type sink interface {
	// chunk passes on a part of the answer. An error means that the caller has
	// disconnected.
	chunk(c wire.RunChunk) error
	// finish completes the answer.
	finish(end wire.RunEnd) error
	// started reports whether the caller has received a part of the answer.
	started() bool
}

// attemptResult is the result of an attempt and tells how to continue.
type attemptResult struct {
	err          error // nil: the caller has received the answer
	retry        bool  // another attempt may follow
	retryCounted bool  // the retry is already deducted from the retry quota
	noCapacity   bool  // the sidecar temporarily has no room for the run
	allBusy      bool  // with noCapacity: all other usable targets have refused the request as well
	refused      bool  // the target accepted no connection
	// crashExplained means that the target crashed because of another request,
	// which was already a suspect.
	crashExplained bool
}

// submit runs a request and passes its answer to its sink. It retries failed
// attempts where that is safe and allowed. A returned error is the answer to
// the caller.
func (r *Router) submit(ctx context.Context, req *request) error {
	if err := r.quarantineError(req, errkind.RanNo); err != nil {
		return err
	}
	startCtx, cancel := startContext(ctx, req)
	defer cancel()
	tried := newTriedTargets()
	r.countRequestForRetries()
	var errs attemptErrors
	var count attemptCount
	for {
		result := r.attempt(ctx, startCtx, req, tried)
		if result.err == nil {
			return nil
		}
		if result.noCapacity && r.isSuspect(req) {
			if result.allBusy {
				_ = waitFor(startCtx, nil, suspectRetryDelay) // if startCtx ends, the next attempt fails
			}
			continue
		}
		errs.add(result.err)
		if !result.retry {
			return errs.callerError()
		}
		if err := r.quarantineError(req, errkind.RanYes); err != nil {
			return err
		}
		if !count.add(result) || !result.retryCounted && !r.mayRetry(req, result.err) {
			return errs.callerError()
		}
	}
}

// attemptCount counts the attempts of a request.
type attemptCount struct {
	counted   int // towards maxAttempts
	explained int // that ended with a crash because of another request
	refused   int // for which the target accepted no connection
}

// add counts an attempt and reports whether another one may follow. A crashed target
// accepts no connections until it has restarted, so that refused attempts must not use up
// those of a request that was beside the crashes.
func (c *attemptCount) add(result attemptResult) bool {
	switch {
	case result.crashExplained && c.explained < maxExplainedCrashes:
		c.explained++
	case result.refused && c.refused < maxAttempts:
		c.refused++
	default:
		c.counted++
	}
	return c.counted < maxAttempts
}

// attemptErrors collects the errors of a request's attempts.
type attemptErrors struct {
	lastErr       error
	mayHaveRunErr error // error of the latest attempt that may have run, or nil
}

func (a *attemptErrors) add(err error) {
	a.lastErr = err
	if !knownNotRun(err) {
		a.mayHaveRunErr = err
	}
}

// callerError returns the error with which the request is answered.
func (a attemptErrors) callerError() error { return combineErrors(a.mayHaveRunErr, a.lastErr) }

// combineErrors returns the error for the caller. lastErr is the error of the
// last attempt. mayHaveRunErr is the error of the latest attempt that may have
// run, or nil: after such an attempt the answer must not say that the request
// did not run.
func combineErrors(mayHaveRunErr, lastErr error) error {
	if mayHaveRunErr != nil && knownNotRun(lastErr) {
		return toCallerError(mayHaveRunErr)
	}
	return toCallerError(lastErr)
}

// knownNotRun reports whether an attempt's error guarantees that no target has
// run any part of the request.
func knownNotRun(err error) bool {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.Tombstoned, errkind.Fenced, errkind.StaleConfig:
		return true
	}
	return errkind.From(err).Response().Ran == errkind.RanNo
}

// toCallerError replaces kinds of errors that only processes of the system use
// by kinds for callers.
func toCallerError(err error) error {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.Tombstoned, errkind.Fenced, errkind.StaleConfig:
		return errkind.Wrap(err, errkind.NoTarget, "no target accepted the request")
	case errkind.Unreachable:
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the target became unreachable during the request")
	}
	return err
}

// errWorkloadTimeout is the cancellation cause of a start context that ended by
// the workload's own timeout.
var errWorkloadTimeout = errors.New("the workload's timeout expired")

// startContext returns a context that bounds the wait until a run starts.
func startContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if req.timeoutFromWorkload {
		return context.WithTimeoutCause(ctx, req.timeout, errWorkloadTimeout)
	}
	return context.WithTimeout(ctx, req.timeout)
}

// startError maps an error of the wait for budget or a target to the error for
// the caller. If the caller disconnected, that is Canceled. If the workload's
// own timeout, which is shorter than the preset's, expired, it is
// DeadlineExceeded. Any other error keeps the kind given by the component that
// the request waited for.
func startError(ctx, startCtx context.Context, err error) error {
	if ctx.Err() != nil {
		return &errkind.Error{Kind: errkind.Canceled, Detail: "the caller left before a run started", Ran: errkind.RanNo}
	}
	if errors.Is(context.Cause(startCtx), errWorkloadTimeout) {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "no run started within the workload's timeout: %s", errkind.From(err).Detail)
	}
	// An error with a kind may wrap the deadline of one call or of the wait. It
	// is more specific than the deadline, so it is kept.
	var kindErr *errkind.Error
	if !errors.As(err, &kindErr) && errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "no run started in time")
	}
	return err
}
