package router

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/route"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Outcomes of a run that no target has seen or whose sidecar is gone.
var (
	errNotRun      = errkind.New(errkind.Tombstoned, "the sidecar did not receive the run")
	errAnswerGone  = errkind.New(errkind.OutcomeUnknown, "the answer is no longer kept at the sidecar")
	errSidecarGone = errkind.New(errkind.TargetCrashed, "the sidecar was replaced during the run")
)

// targetCoolDown covers a period of load reports.
const targetCoolDown = 500 * time.Millisecond

// maxAttempts bounds the targets that one request tries.
const maxAttempts = 4

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
	chunk(c wire.Chunk) error
	// finish completes the answer.
	finish(end wire.End) error
	// started reports whether the caller has received a part of the answer.
	started() bool
}

// attemptResult tells what to do after an attempt.
type attemptResult struct {
	err   error // nil: the caller has the answer
	retry bool  // another target may be tried
	paid  bool  // the retry has been taken from the share already
	full  bool  // the sidecar has no room for the run at the moment
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
	return errkind.From(err).Answer().Ran == errkind.RanNo
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

// attempt tries one target.
func (r *Router) attempt(ctx, startCtx context.Context, req *request, avoid map[string]bool) attemptResult {
	res, err := r.budgets.Reserve(startCtx, req.Team, req.Reserved)
	if err != nil {
		return attemptResult{err: startError(ctx, startCtx, err)}
	}
	w := &waiter{
		Ticket: admit.Ticket{Team: req.Team, Priority: req.Priority, Pool: req.pool, Pinned: len(avoid) > 0},
		query:  req.query,
		avoid:  avoid,
	}
	if r.suspected(req) {
		w.query.Suspect = true
		w.Pinned = true
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
// was lost with the connection, or the refusal concerns the router or the moment.
// The next attempt may go to the same target, which may be the only one.
func blameless(res attemptResult) bool {
	switch errkind.Of(res.err) {
	case errkind.Tombstoned, errkind.Fenced, errkind.StaleConfig:
		return true
	}
	return res.full
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
			break
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
	return r.serve(ctx, req, run)
}

// maxStaleRetries bounds the immediate repeats after the sidecar has sent a
// newer configuration.
const maxStaleRetries = 3

func (r *Router) callStart(sl *slot, msg wire.StartRun) (wire.StartResult, error) {
	var result wire.StartResult
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
func (r *Router) accepted(ctx context.Context, req *request, run *run, sl *slot, result wire.StartResult) attemptResult {
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
			_ = c.Notify(context.Background(), wire.MethodRunCancel, wire.RunRef{Header: r.header(), RunID: run.id})
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
func (r *Router) ended(req *request, rd *reader, end *wire.End) attemptResult {
	if end.Kind == errkind.NoTarget {
		r.coolDown(rd.run.target)
		return attemptResult{err: errkind.New(errkind.NoTarget, "target %s refused the connection", rd.run.target.id), retry: true}
	}
	if end.Record.Billable() && int64(rd.pos) != end.Chunks {
		return attemptResult{err: errkind.New(errkind.TargetFailed, "the answer is incomplete: %d of %d parts", rd.pos, end.Chunks)}
	}
	switch end.Record.Outcome {
	case ledger.Whole, ledger.Capped:
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

func (r *Router) crashed(req *request, end *wire.End) attemptResult {
	if !req.idempotent {
		return attemptResult{err: errkind.New(errkind.OutcomeUnknown, "target crashed during the call")}
	}
	err := &errkind.Error{Kind: errkind.TargetCrashed, Detail: "target crashed during the answer", Billed: 0}
	return attemptResult{err: err, retry: !req.sink.started()}
}

// finish completes the caller's answer. An error without a kind comes from the
// caller's connection.
func finish(req *request, end *wire.End) attemptResult {
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
func (r *Router) failed(req *request, end *wire.End) attemptResult {
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
func (r *Router) serviceError(req *request, end *wire.End) attemptResult {
	if req.idempotent && r.takeRetry() {
		err := &errkind.Error{Kind: errkind.TargetFailed, Detail: end.Detail, Billed: end.Record.Charged}
		return attemptResult{err: err, retry: true, paid: true}
	}
	return finish(req, end)
}

// coolDown keeps new work from a target that refuses connections, until its
// sidecar has reported whether it is healthy.
func (r *Router) coolDown(t *target) {
	until := time.Now().Add(targetCoolDown)
	r.sched.update(t, func(t *target) { t.coolUntil = until })
}

func crashKey(req *request) quarantine.Key {
	return quarantine.Key{Team: req.Team, Hash: req.ContentHash}
}

func (r *Router) quarantined(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.Quarantined(time.Now(), crashKey(req))
}

func (r *Router) suspected(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.Suspect(time.Now(), crashKey(req))
}

// clearSuspect forgets a suspect that has run well, here and at the peers: they
// would otherwise add up the crashes of other requests against it.
func (r *Router) clearSuspect(req *request) {
	r.mu.Lock()
	cleared := r.crashes.Clear(crashKey(req))
	r.mu.Unlock()
	if cleared {
		r.notifyPeers(wire.MethodQuarantineReport, wire.QuarantineReport{
			Header: r.header(), Team: req.Team, ContentHash: req.ContentHash, Cleared: true,
		})
	}
}

func (r *Router) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries.Request(r.config.Current().Active().RetryShare)
}

// mayRetry reports whether another attempt is allowed. A target that refused
// the run has done no work, so that attempt costs nothing, and attempts after
// a crash are bounded by the quarantine; the rest is a share of the requests.
func (r *Router) mayRetry(req *request, err error) bool {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.Fenced, errkind.Tombstoned, errkind.StaleConfig, errkind.TargetCrashed:
		return true
	}
	return r.suspected(req) || r.takeRetry()
}

func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retries.Retry()
}
