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
	"tarragonridge.example/tarragonridge/internal/wire"
)

// service serves a call of a plain service.
func (r *Router) service(c *echo.Context) error {
	caller, err := r.admitCaller(c)
	if err != nil {
		return err
	}
	defer caller.done()
	body, err := r.readBody(c)
	if err != nil {
		return err
	}
	req, svc, err := r.serviceRequest(c, caller, body)
	if err != nil {
		return err
	}
	sink := &serviceSink{w: c.Response(), requestID: caller.requestID}
	req.sink = sink
	if req.idempotent {
		return r.run(c, caller, req)
	}
	if caller.key == "" {
		if svc.KeyRequired {
			return errkind.New(errkind.InvalidRequest, "this call needs an Idempotency-Key")
		}
		return r.fail(c, caller, req, r.submit(c.Request().Context(), req))
	}
	return r.fail(c, caller, req, r.submitOnce(c.Request().Context(), req, sink))
}

func (r *Router) serviceRequest(c *echo.Context, caller *caller, body []byte) (*request, policy.Service, error) {
	doc := r.config.Current()
	name := c.Param("name")
	svc := doc.Services[name]
	if err := caller.mayUseService(doc, name); err != nil {
		return nil, svc, err
	}
	in := c.Request()
	path := "/" + strings.TrimPrefix(in.URL.EscapedPath(), "/services/"+name+"/")
	if in.URL.RawQuery != "" {
		path += "?" + in.URL.RawQuery
	}
	req := caller.request(doc, doc.CurrentPreset())
	req.permitted = func(doc *policy.Document) error { return caller.mayUseService(doc, name) }
	req.Kind = wire.ServiceRun
	req.Service = name
	req.Method = in.Method
	req.Path = path
	req.ContentType = in.Header.Get("Content-Type")
	req.Body = body
	req.ContentHash = contentHash(in.Method+" "+path, body)
	req.Reserved = svc.PriceTokens
	req.pool = servicePool(name)
	req.idempotent = svc.Idempotent(in.Method, path)
	req.StartRun.Idempotent = req.idempotent
	return req, svc, nil
}

// submitOnce runs a non-idempotent call under a claim, so that it runs at most
// once whichever router the caller asks.
func (r *Router) submitOnce(ctx context.Context, req *request, sink *serviceSink) error {
	startCtx, cancel := startContext(ctx, req)
	defer cancel()
	call := &claimedCall{r: r, req: req, sink: sink, avoid: map[string]bool{}}
	var last error
	for range maxAttempts {
		res := call.attempt(ctx, startCtx)
		if res.err == nil || !res.retry {
			return finalError(res.err)
		}
		last = res.err
	}
	return finalError(last)
}

// claimedCall is a non-idempotent call on its way to a target.
type claimedCall struct {
	r     *Router
	req   *request
	sink  *serviceSink
	avoid map[string]bool
	spent *claims.StoredClaim // claim whose attempt is known not to have run
}

// attempt reserves budget and a target, claims the key for a run there and
// starts it.
func (c *claimedCall) attempt(ctx, startCtx context.Context) attemptResult {
	r, req := c.r, c.req
	res, err := r.budgets.Reserve(startCtx, req.Team, req.Reserved)
	if err != nil {
		return c.replayOr(ctx, startError(ctx, startCtx, err))
	}
	w := &waiter{
		Ticket: admit.Ticket{Team: req.Team, Priority: req.Priority, Pool: req.pool, Constrained: len(c.avoid) > 0},
		avoid:  c.avoid,
	}
	sl, err := r.sched.acquire(startCtx, w)
	if err != nil {
		res.Cancel()
		return c.replayOr(ctx, startError(ctx, startCtx, err))
	}
	defer sl.release()
	next := claim.Attempt{ID: ulid.Make().String(), Router: res.Holder(), Target: sl.target.id, Sidecar: sl.sidecar}
	held, err := c.claim(ctx, startCtx, next)
	if err != nil {
		res.Cancel()
		return attemptResult{err: err}
	}
	if held.Action != claim.Run {
		res.Cancel()
		return c.answer(ctx, held)
	}
	run := r.newAttempt(req, next.ID, sl, res)
	result := r.start(ctx, req, run, sl)
	return c.after(result, held)
}

// claim makes the call's claim name the attempt, or returns the claim that
// stands in the way.
func (c *claimedCall) claim(ctx, startCtx context.Context, next claim.Attempt) (claims.StoredClaim, error) {
	var held claims.StoredClaim
	var err error
	if c.spent != nil {
		held, err = c.r.claims.TakeOver(startCtx, *c.spent, next)
	} else {
		held, err = c.r.claims.Begin(startCtx, c.req.Team, c.req.Key, c.req.ContentHash, next)
	}
	if err != nil || held.Action != claim.Resolve {
		return held, err
	}
	return c.r.resolveClaim(ctx, startCtx, c.req, held, next)
}

// after notes an attempt that is known not to have run, so that the next one
// takes its claim over.
func (c *claimedCall) after(result attemptResult, held claims.StoredClaim) attemptResult {
	if result.retry {
		c.spent = &held
		if !blameless(result) {
			c.avoid[held.Attempt.Target] = true
		}
	}
	return result
}

// replayOr answers from an existing claim if there is one, because a repeat of
// a call that has run must not be refused for lack of budget or targets.
func (c *claimedCall) replayOr(ctx context.Context, cause error) attemptResult {
	held, err := c.r.claims.Get(ctx, c.req.Team, c.req.Key)
	if err != nil || held.ContentHash != c.req.ContentHash {
		return attemptResult{err: cause}
	}
	if held.Action, err = held.Decide(c.req.ContentHash, ""); err != nil {
		return attemptResult{err: cause}
	}
	return c.answer(ctx, held)
}

// storeClaimResult stores the result of a claimed run when its End arrives,
// also if the caller has gone.
func (r *Router) storeClaimResult(run *run, end wire.RunEnd) {
	if end.Kind == errkind.NoTarget {
		return
	}
	result := claim.Result{Status: end.HTTPStatus, ContentType: end.ContentType, Body: run.data(), Outcome: string(end.Record.Outcome)}
	for delay := 200 * time.Millisecond; ; delay = min(2*delay, 10*time.Second) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
		case <-r.closed:
			return
		}
	}
}

// resolveClaim asks the sidecar that an unfinished claim names. If it does not
// know the run it rejects it for ever, and this router takes the claim over.
func (r *Router) resolveClaim(ctx, startCtx context.Context, req *request, held claims.StoredClaim, next claim.Attempt) (claims.StoredClaim, error) {
	t := r.sched.target(held.Attempt.Target)
	if t == nil {
		return r.unknownClaim(startCtx, held)
	}
	c := t.link.Conn()
	if c == nil {
		return held, nil // the answer waits for the sidecar
	}
	if c.Peer().Incarnation != held.Attempt.Sidecar {
		return r.unknownClaim(startCtx, held)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg := wire.AttachRun{Header: r.header(), Identity: req.Identity, RunID: held.Attempt.ID, Probe: true, Tombstone: true}
	var res wire.AttachRunResult
	if err := c.Call(callCtx, wire.MethodRunAttach, msg, &res); err != nil {
		return held, nil
	}
	if res.Known {
		return held, nil
	}
	if res.Expired {
		return r.unknownClaim(startCtx, held)
	}
	return r.claims.TakeOver(startCtx, held, next)
}

// unknownClaim records that the sidecar of an unfinished claim is gone.
func (r *Router) unknownClaim(ctx context.Context, held claims.StoredClaim) (claims.StoredClaim, error) {
	marked, err := r.claims.MarkUnknown(ctx, held.Team, held.Key, held.Attempt.ID)
	if err != nil {
		return held, errkind.Wrap(err, errkind.OutcomeUnknown, "the sidecar that had the call is gone")
	}
	marked.Action = claim.Report
	if marked.State == claim.Done {
		marked.Action = claim.Replay
	}
	return marked, nil
}

// answer answers a repeated call from its claim.
func (c *claimedCall) answer(ctx context.Context, held claims.StoredClaim) attemptResult {
	switch held.Action {
	case claim.Replay:
		return c.replay(ctx, held)
	case claim.Resolve:
		return c.follow(ctx, held)
	default:
		return attemptResult{err: errkind.New(errkind.OutcomeUnknown, "the target that had the call is gone")}
	}
}

func (c *claimedCall) replay(ctx context.Context, held claims.StoredClaim) attemptResult {
	result := held.Result
	if result.BodyOmitted {
		return c.follow(ctx, held)
	}
	if err := c.sink.write(result.Status, result.ContentType, result.Body); err != nil {
		return attemptResult{err: errkind.New(errkind.Canceled, "the caller left")}
	}
	return attemptResult{}
}

// follow relays the run that the claim names.
func (c *claimedCall) follow(ctx context.Context, held claims.StoredClaim) attemptResult {
	t := c.r.sched.target(held.Attempt.Target)
	if t == nil {
		return attemptResult{err: errkind.New(errkind.OutcomeUnknown, "the target that had the call is gone")}
	}
	result := c.r.serveForeign(ctx, c.req, held.Attempt.ID, t, held.Attempt.Sidecar)
	if errors.Is(result.err, errReplaced) || errors.Is(result.err, errNotKnown) {
		// The claim was taken over after it was read, or its run is on its way;
		// the next attempt reads the claim and asks the sidecar again. Nothing is
		// known to have been rejected, so the claim is not spent.
		c.spent = nil
		return attemptResult{err: result.err, retry: true}
	}
	return c.after(result, held)
}

// serviceMethods are the methods that callers may use on services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}
