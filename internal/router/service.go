package router

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/claims"
	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/claim"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/timing"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// serveService handles a call of a plain (non-model) service.
func (r *Router) serveService(c *echo.Context) error {
	caller, err := r.admitCaller(c)
	if err != nil {
		return err
	}
	defer caller.release()
	body, err := r.readBody(c)
	if err != nil {
		return err
	}
	req, svc, err := r.newServiceRequest(c, caller, body)
	if err != nil {
		return err
	}
	sink := &serviceSink{w: c.Response(), requestID: caller.requestID}
	req.sink = sink
	if req.idempotent {
		return r.serveRequest(c, caller, req)
	}
	if caller.idempotencyKey == "" {
		if svc.KeyRequired {
			return errkind.New(errkind.InvalidRequest, "this call needs an Idempotency-Key")
		}
		return r.finishRequest(c, caller, req, r.submit(c.Request().Context(), req))
	}
	return r.finishRequest(c, caller, req, r.submitOnce(c.Request().Context(), req, sink))
}

// newServiceRequest validates a service call and builds its request.
func (r *Router) newServiceRequest(c *echo.Context, caller *caller, body []byte) (*request, policy.Service, error) {
	doc := r.config.Current()
	name := c.Param("name")
	svc := doc.Services[name]
	if err := caller.checkServiceAllowed(doc, name); err != nil {
		return nil, svc, err
	}
	httpReq := c.Request()
	path := "/" + strings.TrimPrefix(httpReq.URL.EscapedPath(), "/services/"+name+"/")
	if httpReq.URL.RawQuery != "" {
		path += "?" + httpReq.URL.RawQuery
	}
	req := caller.newRequest(doc, doc.CurrentPreset())
	req.checkPermitted = func(doc *policy.Document) error { return caller.checkServiceAllowed(doc, name) }
	req.Kind = wire.ServiceRun
	req.Service = name
	req.Method = httpReq.Method
	req.Path = path
	req.ContentType = httpReq.Header.Get("Content-Type")
	req.Body = body
	req.ContentHash = contentHash(httpReq.Method+" "+path, body)
	req.Reserved = svc.PriceTokens
	req.pool = servicePool(name)
	req.idempotent = svc.Idempotent(httpReq.Method, path)
	req.StartRun.Idempotent = req.idempotent
	return req, svc, nil
}

// submitOnce runs a non-idempotent call under a claim on its idempotency key,
// so that it runs at most once, whichever router the caller uses.
func (r *Router) submitOnce(ctx context.Context, req *request, sink *serviceSink) error {
	startCtx, cancel := startContext(ctx, req)
	defer cancel()
	call := &claimedCall{r: r, req: req, sink: sink, avoid: map[string]bool{}}
	var lastErr error
	for range maxAttempts {
		res := call.attempt(ctx, startCtx)
		if res.err == nil || !res.retry {
			return toCallerError(res.err)
		}
		lastErr = res.err
	}
	return toCallerError(lastErr)
}

// claimedCall is a non-idempotent call that runs under a claim.
type claimedCall struct {
	r             *Router
	req           *request
	sink          *serviceSink
	avoid         map[string]bool
	rejectedClaim *claims.StoredClaim // claim whose attempt is known not to have run; the next attempt takes it over
}

// attempt reserves budget and a target, claims the key for a run there and
// starts the run.
func (c *claimedCall) attempt(ctx, startCtx context.Context) attemptResult {
	r, req := c.r, c.req
	reservation, err := r.budgets.Reserve(startCtx, req.Team, req.Reserved)
	if err != nil {
		return c.replayOrFail(ctx, startError(ctx, startCtx, err))
	}
	w := &waiter{
		Ticket: admit.Ticket{Team: req.Team, Route: req.Workload, Rank: rankOf(req.Priority), Pool: req.pool, Constrained: len(c.avoid) > 0},
		avoid:  c.avoid,
	}
	sl, err := r.sched.acquire(startCtx, w)
	if err != nil {
		reservation.Cancel()
		return c.replayOrFail(ctx, startError(ctx, startCtx, err))
	}
	defer sl.release()
	next := claim.Attempt{ID: ulid.Make().String(), Router: reservation.Holder(), Target: sl.target.id, Sidecar: sl.sidecar}
	stored, err := c.claim(ctx, startCtx, next)
	if err != nil {
		reservation.Cancel()
		return attemptResult{err: err}
	}
	if stored.Action != claim.Run {
		reservation.Cancel()
		return c.answerFromClaim(ctx, stored)
	}
	run := r.registerRun(req, next.ID, sl, reservation)
	result := r.startRun(ctx, req, run, sl)
	return c.recordResult(result, stored)
}

// claim records the attempt as the one that the claim permits. If another
// attempt holds the claim, that claim is returned.
func (c *claimedCall) claim(ctx, startCtx context.Context, next claim.Attempt) (claims.StoredClaim, error) {
	var stored claims.StoredClaim
	var err error
	if c.rejectedClaim != nil {
		stored, err = c.r.claims.TakeOver(startCtx, *c.rejectedClaim, next)
	} else {
		stored, err = c.r.claims.Begin(startCtx, c.req.Team, c.req.Key, c.req.ContentHash, next)
	}
	if err != nil || stored.Action != claim.Resolve {
		return stored, err
	}
	return c.r.resolveClaim(ctx, startCtx, c.req, stored, next)
}

// recordResult remembers the claim of an attempt that is known not to have run,
// so that the next attempt can take the claim over. A call that is not idempotent
// gets a result with retry set only after such an attempt.
func (c *claimedCall) recordResult(result attemptResult, stored claims.StoredClaim) attemptResult {
	if result.retry {
		c.rejectedClaim = &stored
		if !targetNotAtFault(result) {
			c.avoid[stored.Attempt.Target] = true
		}
	}
	return result
}

// replayOrFail answers from an existing claim, if there is one, and fails with
// cause otherwise. A repeat of a call that has run must not be refused for lack
// of budget or targets.
func (c *claimedCall) replayOrFail(ctx context.Context, cause error) attemptResult {
	stored, err := c.r.claims.Get(ctx, c.req.Team, c.req.Key)
	if err != nil || stored.ContentHash != c.req.ContentHash {
		return attemptResult{err: cause}
	}
	if stored.Action, err = stored.Decide(c.req.ContentHash, ""); err != nil {
		return attemptResult{err: cause}
	}
	return c.answerFromClaim(ctx, stored)
}

// storeClaimResult stores the result of a claimed run when its End message
// arrives, even if the caller has disconnected. A run without an HTTP status is
// stored as having an unknown outcome. Nothing is stored for a run whose target
// refused the connection. Storing is retried until the table has answered or the
// process ends.
func (r *Router) storeClaimResult(run *run, end wire.RunEnd) {
	if end.Kind == errkind.NoTarget {
		return
	}
	result := claim.Result{Status: end.HTTPStatus, ContentType: end.ContentType, Body: run.body(), Outcome: string(end.Record.Outcome)}
	for delay := 200 * time.Millisecond; ; delay = min(2*delay, 10*time.Second) {
		ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
		var err error
		if end.HTTPStatus > 0 {
			_, err = r.claims.Finish(ctx, run.identity.Team, run.identity.Key, run.id, result)
		} else {
			_, err = r.claims.MarkUnknown(ctx, run.identity.Team, run.identity.Key, run.id)
		}
		cancel()
		if !errkind.Is(err, errkind.PlatformUnavailable) && !errkind.Is(err, errkind.PlatformUncertain) {
			return
		}
		select {
		case <-time.After(delay):
		case <-r.stopped:
			return
		}
	}
}

// Timing of the wait for an attempt that another request has claimed.
const (
	// attemptStartGrace is how long an attempt may take from its claim to its sidecar.
	attemptStartGrace = 250 * time.Millisecond
	// attemptProbeInterval is the interval at which the sidecar is asked for it.
	attemptProbeInterval = 20 * time.Millisecond
)

// resolveClaim asks the sidecar that an unfinished claim names whether it has
// the run. A sidecar that still does not have the run after attemptStartGrace
// rejects it permanently, and this router then takes over the claim for its own
// attempt, next. If the sidecar has the run or cannot be asked, the claim is
// returned as it is.
func (r *Router) resolveClaim(ctx, startCtx context.Context, req *request, stored claims.StoredClaim, next claim.Attempt) (claims.StoredClaim, error) {
	t := r.sched.target(stored.Attempt.Target)
	if t == nil {
		return r.markClaimUnknown(startCtx, stored)
	}
	c := t.link.Conn()
	if c == nil {
		return stored, nil // relayClaimedRun waits for the sidecar to reconnect
	}
	if c.Peer().Incarnation != stored.Attempt.Sidecar {
		return r.markClaimUnknown(startCtx, stored)
	}
	res, err := awaitAttempt(startCtx, attemptStartGrace, func(reject bool) (wire.AttachRunResult, error) {
		callCtx, cancel := context.WithTimeout(ctx, rpcTimeout)
		defer cancel()
		msg := wire.AttachRun{Header: r.header(), Identity: req.Identity, RunID: stored.Attempt.ID, Probe: true, Tombstone: reject}
		var res wire.AttachRunResult
		err := c.Call(callCtx, wire.MethodRunAttach, msg, &res)
		return res, err
	})
	if err != nil || res.Known {
		return stored, nil
	}
	if res.Expired {
		return r.markClaimUnknown(startCtx, stored)
	}
	return r.claims.TakeOver(startCtx, stored, next)
}

// awaitAttempt probes a sidecar for an attempt until the sidecar knows it. Only after
// the grace period does the probe have the sidecar reject the attempt: routers with
// repeats of one call would otherwise reject each other's attempts before they start.
func awaitAttempt(ctx context.Context, grace time.Duration, probe func(reject bool) (wire.AttachRunResult, error)) (wire.AttachRunResult, error) {
	for start := time.Now(); ; {
		reject := time.Since(start) >= grace
		res, err := probe(reject)
		if err != nil || res.Known || res.Expired || reject {
			return res, err
		}
		if !timing.Sleep(ctx, attemptProbeInterval) {
			return res, ctx.Err()
		}
	}
}

// markClaimUnknown records that the outcome of a call with an unfinished claim is
// unknown, because the claim's sidecar no longer exists or no longer keeps the
// run's answer.
func (r *Router) markClaimUnknown(ctx context.Context, stored claims.StoredClaim) (claims.StoredClaim, error) {
	marked, err := r.claims.MarkUnknown(ctx, stored.Team, stored.Key, stored.Attempt.ID)
	if err != nil {
		return stored, errkind.Wrap(err, errkind.OutcomeUnknown, "the sidecar that had the call is gone")
	}
	marked.Action = claim.Report
	if marked.State == claim.Done {
		marked.Action = claim.Replay
	}
	return marked, nil
}

// answerFromClaim answers a repeated call from its claim.
func (c *claimedCall) answerFromClaim(ctx context.Context, stored claims.StoredClaim) attemptResult {
	switch stored.Action {
	case claim.Replay:
		return c.replayResult(ctx, stored)
	case claim.Resolve:
		return c.relayClaimedRun(ctx, stored)
	default:
		return attemptResult{err: errkind.New(errkind.OutcomeUnknown, "the target that had the call is gone")}
	}
}

// replayResult answers with the stored result. A result whose body was too
// large to store is relayed from the sidecar.
func (c *claimedCall) replayResult(ctx context.Context, stored claims.StoredClaim) attemptResult {
	result := stored.Result
	if result.BodyOmitted {
		return c.relayClaimedRun(ctx, stored)
	}
	if err := c.sink.write(result.Status, result.ContentType, result.Body); err != nil {
		return attemptResult{err: errkind.New(errkind.Canceled, "the caller left")}
	}
	return attemptResult{}
}

// relayClaimedRun relays the run that the claim names.
func (c *claimedCall) relayClaimedRun(ctx context.Context, stored claims.StoredClaim) attemptResult {
	t := c.r.sched.target(stored.Attempt.Target)
	if t == nil {
		return attemptResult{err: errkind.New(errkind.OutcomeUnknown, "the target that had the call is gone")}
	}
	result := c.r.serveExternalRun(ctx, c.req, stored.Attempt.ID, t, stored.Attempt.Sidecar)
	if errors.Is(result.err, errRunReplaced) || errors.Is(result.err, errRunUnknown) {
		// The claim was taken over after it was read, or its run has not reached
		// the sidecar yet; the next attempt reads the claim and asks the sidecar
		// again. The run is not known to be rejected, so the claim must not be
		// taken over.
		c.rejectedClaim = nil
		return attemptResult{err: result.err, retry: true}
	}
	return c.recordResult(result, stored)
}

// serviceMethods are the HTTP methods that callers may use on services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}
