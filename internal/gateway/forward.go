package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/answer"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/retry"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/explain"
	"tarragonridge.example/tarragonridge/internal/logqueue"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

// outcome is the result of an attempt.
type outcome int

const (
	outcomeServed    outcome = iota // the answer went to the caller
	outcomeNotSent                  // nothing reached the target
	outcomeRejected                 // the target states that it did not run the request
	outcomeBroken                   // the target may have run it and gave no complete answer
	outcomeAbandoned                // the caller left, or the deadline passed
)

func (o outcome) String() string {
	return [...]string{"served", "not_sent", "rejected", "broken", "abandoned"}[o]
}

// Bounds of the attempts of one request.
const (
	maxUnsentAttempts = 4 // attempts that sent nothing and may be followed by another
	maxRejections     = 2 // rejections by targets that may be followed by another attempt
)

// forward sends the request to one target after another until one has served it
// or no further attempt is allowed. While nothing has run, it waits only until waits ends.
func (g *Gateway) forward(ctx, waits context.Context, w http.ResponseWriter, r *http.Request, req *request) error {
	if req.meta.LastEventID >= 0 && req.route.Resumable {
		if err := g.continueStream(waits, req); err != nil {
			return endOfWait(waits, err)
		}
	}
	g.countForRetries(req)
	defer g.returnTurn(req)
	unsent := 0
	for {
		if err := ctx.Err(); err != nil {
			return g.endedError(ctx, r, req, err)
		}
		if err := g.checkPassOn(req, time.Now()); err != nil {
			return g.finalError(req, refusedByStop(err))
		}
		if err := g.checkQuarantine(req); err != nil {
			return g.finalError(req, errkind.From(err))
		}
		if req.ran != errkind.RanNo {
			waits = ctx
		}
		t := g.chooseTarget(waits, req)
		if t == nil {
			awaited := !req.presumedWhole() && (g.awaitWrittenVersion(waits, req) || g.awaitTarget(waits, req))
			if awaited || errors.Is(waits.Err(), context.Canceled) {
				continue
			}
			return g.finalError(req, g.noTargetError(req))
		}
		result, cause := g.attempt(ctx, w, r, req, t)
		g.opt.Metrics.attempts.WithLabelValues(result.String()).Inc()
		if result != outcomeServed {
			if fault := (*answer.Fault)(nil); errors.As(cause, &fault) {
				g.opt.Metrics.noAnswers.WithLabelValues(string(fault.Reason)).Inc()
			}
			g.opt.Logger.Info(explain.MessageAttemptFailed, "request", logqueue.Text(req.meta.RequestID), "target", t.ID, "version", t.Version, "outcome", result,
				"event", req.lastEvent, "ms", time.Since(req.arrived).Milliseconds(), "framing", req.targetFraming, "cause", cause)
		}
		switch result {
		case outcomeServed:
			g.recordWholeAnswer(req)
			return nil
		case outcomeAbandoned:
			return g.endedError(ctx, r, req, cause)
		case outcomeNotSent:
			if unsent++; unsent > maxUnsentAttempts {
				return g.finalError(req, errkind.Wrap(cause, errkind.NoTarget, "targets cannot be reached"))
			}
		case outcomeRejected:
			if req.rejections++; req.rejections > maxRejections || !g.takeRetry(req) {
				return g.finalError(req, errkind.Wrap(cause, errkind.Overloaded, "targets are full"))
			}
		case outcomeBroken:
			if !req.canContinue() || req.runs >= req.route.MaxAttempts || !(req.hurry.takeRetry() || g.takeRetry(req)) {
				return g.finalError(req, errkind.Wrap(cause, errkind.OutcomeUnknown, "target gave no whole answer"))
			}
			g.awaitVerdict(ctx, req)
		}
		req.triedTargets = append(req.triedTargets, t.ID)
	}
}

// canContinue reports whether another run may follow. After a part of a plain
// answer has been sent to the caller, none may.
func (req *request) canContinue() bool {
	return req.route.Repeatable() && (!req.headSent || req.route.Kind == httproute.Streaming)
}

// retryBudget returns the retry budget of a service. g.mu is held.
func (g *Gateway) retryBudget(service string) *retry.Budget {
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(g.opt.Retries)
		g.retryBudgets[service] = budget
	}
	return budget
}

// countForRetries counts a request in the retry budget of its service.
func (g *Gateway) countForRetries(req *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(req.service.Name).RecordRequest(time.Now())
}

// takeRetry takes one attempt from the service's retry budget and reports whether
// the budget allowed it.
func (g *Gateway) takeRetry(req *request) bool {
	routers := g.opt.Budgets.Holders()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(req.service.Name).TakeRetry(time.Now(), routers)
}

// finalError returns the error of a request for which no further attempt is made.
// The caller is told that the request did not run only if no target can have run
// it.
func (g *Gateway) finalError(req *request, e *errkind.Error) error {
	if req.ran == errkind.RanNo {
		return e
	}
	unknown := errkind.Wrap(e, errkind.OutcomeUnknown, "%s", e.Detail)
	unknown.Ran = req.ran
	return unknown
}

// endedError returns the error of a request that was cut off, whose caller has left or
// whose deadline has passed.
func (g *Gateway) endedError(ctx context.Context, r *http.Request, req *request, cause error) error {
	callerGone := r.Context().Err() != nil || errors.Is(cause, callers.ErrGone)
	if errors.Is(context.Cause(ctx), errCutOff) || callerGone && g.phase.Load() == phaseClosing {
		e := errkind.Wrap(cause, errkind.Stopping, "cut off at the end of the grace period")
		e.Ran = req.ran
		return e
	}
	if callerGone {
		e := errkind.Wrap(cause, errkind.Canceled, "the caller has left")
		e.Ran = req.ran
		return e
	}
	if req.ran == errkind.RanNo {
		return errkind.Wrap(cause, errkind.Overloaded, "not started before the deadline")
	}
	e := errkind.Wrap(cause, errkind.DeadlineExceeded, "no answer before the deadline")
	e.Ran = req.ran
	return e
}

// targetQuery returns the query for the target of the next attempt.
func (g *Gateway) targetQuery(req *request) targets.Query {
	q := targets.Query{Service: req.service.Name, Exclude: req.triedTargets, MaxInFlight: g.maxTargetConns(req.service)}
	switch {
	case req.origin.source != "":
		q.Version = &req.origin.Version
	case req.route.Resumable:
		q.Written = g.fleet.KnowsVersion
	}
	if parts := req.prompt.Parts; req.route.Affinity && len(parts) > 0 {
		q.PrefixHash = parts[len(parts)-1].Hash
	}
	return q
}

// chooseTarget chooses a target and counts the request as in flight there. It
// returns nil if there is none or it is not the request's turn.
func (g *Gateway) chooseTarget(ctx context.Context, req *request) *targets.Target {
	q := g.targetQuery(req)
	placed := g.placePrompt(ctx, req, q)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !req.hasTurn && g.turns.needed(req.service.Name) {
		return nil
	}
	defer g.endTurn(req)
	t := placed
	if t == nil || !g.targetView.Take(now, t, q) {
		req.expected = expectation{}
		t = g.targetView.Choose(now, q)
	}
	if t != nil {
		req.targetStart = t.StartedMS
		t.BeginRequest()
		t.TakePermit(now)
		g.beginRun(req)
		if t.Limited(now) {
			g.opt.Metrics.limited.Inc()
		}
	}
	return t
}

// attempt sends the request to one target and records what the outcome says about
// the target. An attempt is inconclusive if it was abandoned, rejected or not wanted
// any more, got an answer with a failure, or would have exceeded the limit of
// connections. But a rejection by another target that now uses the address counts as a
// failure.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request, t *targets.Target) (outcome, error) {
	req.placed = g.beginPlacement(req, t)
	result, cause := g.exchange(ctx, w, r, req, t)
	req.placed.End()
	g.mu.Lock()
	defer g.mu.Unlock()
	t.EndRequest()
	if result == outcomeNotSent {
		t.ReturnPermit(time.Now())
	}
	var failure *upstream.Failure
	switch {
	case result == outcomeServed:
		t.RecordSuccess()
		g.recordAnswerTime(req, t)
	case errors.Is(cause, upstream.ErrConnLimit), errors.Is(cause, errDeclined), errors.Is(cause, errQuarantined), errors.Is(cause, errMayNotEnd),
		errors.Is(cause, errFailedAnswer), errors.Is(cause, errEndUnconfirmed), result == outcomeAbandoned:
		t.RecordInconclusive()
	case result == outcomeRejected && !errors.Is(cause, errTargetReplaced):
		t.RecordInconclusive()
	case result == outcomeBroken && req.hurry.moved():
		t.RecordInconclusive() // its relay tells whether the engine stands still
	default:
		t.RecordFailure(time.Now())
		switch silent := errors.As(cause, &failure) && failure.TimedOut; {
		case silent:
			go g.pool.CloseIdleTo(t.Address)
		case result == outcomeBroken:
			g.recordBrokenRun(req, t)
		}
	}
	return result, cause
}

// recordAnswerTime records how long a target that is not an engine took to answer. An
// answer that says that the target failed tells nothing. g.mu is held.
func (g *Gateway) recordAnswerTime(req *request, t *targets.Target) {
	if req.service.Slots == 0 && req.status < http.StatusInternalServerError {
		g.targetView.RecordAnswer(time.Now(), t, req.route.Name, req.answeredIn)
	}
}

// maxTargetConns returns the number of connections that this router may open to a
// target: its share of the service's limit, at least 2, or 0 if there is no limit.
func (g *Gateway) maxTargetConns(service httproute.Service) int {
	if service.MaxConnections == 0 {
		return 0
	}
	return max(2, service.MaxConnections/max(g.opt.Budgets.Holders(), 1))
}

// exchange sends the request to a target and forwards the answer to the caller.
func (g *Gateway) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request, t *targets.Target) (outcome, error) {
	now := time.Now()
	req.targetFraming = framingNone
	var info AnswerInfo
	head, err := g.requestHead(r, req, t, now)
	if err != nil {
		return outcomeAbandoned, err
	}
	attemptCtx := g.hurryAttempt(ctx, req, now)
	defer req.hurry.end()
	answer, err := g.pool.Do(attemptCtx, &upstream.Request{
		Address: t.Address, Method: r.Method, Head: head, Body: req.body,
		ResponseHeaderDeadline: earlier(req.deadline, req.answerBy(now)), MaxConns: g.maxTargetConns(req.service),
		Identity: g.targetIdentity(req, t),
		Matches: func(resp *http.Response) bool {
			var matches bool
			info, matches = g.opt.Codec.ParseAnswer(resp, req.meta.RequestID)
			g.recordBackpressure(t, req.targetStart, resp.StatusCode, info)
			return matches
		},
		BeforeSend: func() error {
			return cmp.Or(callers.CheckGone(r.Context()), g.checkPassOn(req, time.Now()), g.checkBackpressure(t), g.checkQuarantineBeforeSend(req))
		},
	})
	if err != nil {
		return g.classifyFailure(ctx, req, err)
	}
	defer answer.Close()
	if info.Unnamed {
		answer.EndConnection()
	}
	req.answeredIn, req.targetFraming = time.Since(now), framingOf(answer)
	g.hearLimit(t, answer.StatusCode, info)
	if info.NotRun {
		drainBody(answer)
		if answer.StatusCode == http.StatusMisdirectedRequest {
			return outcomeRejected, errTargetReplaced
		}
		return outcomeRejected, errkind.New(errkind.Overloaded, "target answered %d, not run", answer.StatusCode)
	}
	req.runs++
	req.ran, req.run.begun = errkind.RanYes, true
	if answer.Header.Get("Content-Encoding") != "" || (answer.StatusCode < 300 && !info.Signed) {
		return outcomeBroken, errForeignAnswer
	}
	if req.headSent && isOtherType(w.Header().Get("Content-Type"), answer.Header.Get("Content-Type")) {
		return outcomeBroken, errFailedAnswer
	}
	if req.route.Kind == httproute.Streaming && answer.StatusCode == http.StatusOK {
		return g.sendStream(ctx, w, req, answer, t)
	}
	if req.headSent {
		return outcomeBroken, errFailedAnswer // a different answer must not follow a part of the first
	}
	if promisesNoRun(answer.StatusCode) && !req.route.Repeatable() {
		return outcomeBroken, errFalsePromise
	}
	return g.sendPlain(ctx, w, req, answer, t)
}

var (
	errForeignAnswer  = errors.New("answer does not come from the target")
	errTargetReplaced = errors.New("another target now uses the address")
	errFailedAnswer   = errors.New("target answered with a failure")
	errFalsePromise   = fmt.Errorf("%w that promises its caller that the request has not run", errFailedAnswer)
)

// isOtherType reports whether a Content-Type names another media type than that of the
// stream that it would go on.
func isOtherType(begun, rest string) bool {
	begun, _, _ = strings.Cut(begun, ";")
	rest, _, _ = strings.Cut(rest, ";")
	begun, rest = strings.TrimSpace(begun), strings.TrimSpace(rest)
	return begun != "" && rest != "" && !strings.EqualFold(begun, rest)
}

// promisesNoRun reports whether a status tells a caller that its request has not run and
// never will.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// classifyFailure returns the outcome of an exchange that failed without an answer.
// It counts a run if the request may have reached the target.
func (g *Gateway) classifyFailure(ctx context.Context, req *request, err error) (outcome, error) {
	var failure *upstream.Failure
	sent := errors.As(err, &failure) && failure.Sent
	if sent {
		req.runs++
		if req.ran == errkind.RanNo {
			req.ran = errkind.RanUnknown
		}
	}
	switch {
	case ctx.Err() != nil || !time.Now().Before(req.deadline) || errors.Is(err, callers.ErrGone):
		return outcomeAbandoned, err
	case sent:
		return outcomeBroken, err
	}
	return outcomeNotSent, err
}

// Time that a target has for its answer while another target may still be tried,
// at least minAnswerWait.
const (
	plainAnswerFactor = 4 // for a plain answer, in multiples of the route's latency objective
	minAnswerWait     = 500 * time.Millisecond
	firstEventFactor  = 1.25 // for the first event of a stream, in the same multiples
)

// answerBy returns the time until which a target must answer before another one is
// tried, zero if there will be no other attempt.
func (req *request) answerBy(now time.Time) time.Time {
	if !req.route.Repeatable() || req.route.LatencyObjective == 0 || req.runs+1 >= req.route.MaxAttempts && !req.presumedWhole() {
		return time.Time{}
	}
	waitFactor := float64(plainAnswerFactor)
	if req.route.Kind == httproute.Streaming {
		waitFactor = firstEventFactor
	}
	return now.Add(max(time.Duration(waitFactor*float64(req.route.LatencyObjective)), minAnswerWait))
}

// earlier returns the earlier of two times. A zero b means never.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// requestHead returns the request line and the headers of an attempt, or an error
// if the deadline has passed.
func (g *Gateway) requestHead(r *http.Request, req *request, t *targets.Target, now time.Time) ([]byte, error) {
	timeLeft := req.deadline.Sub(now)
	if timeLeft <= 0 {
		return nil, context.DeadlineExceeded
	}
	header := g.opt.Codec.AttemptHeaders(r.Header, AttemptInfo{
		Target: t.ID, Team: req.team.Name, Priority: req.enginePriority(), TimeLeft: timeLeft, ResumeAfter: req.lastEvent,
	})
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(req.body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.FormatInt(req.body.Len(), 10) + "\r\n")
	}
	if err := header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// enginePriority returns the priority that an engine is told: the team's if it has
// one, else the route's. It is -1 for routes that do not stream, which have none.
func (req *request) enginePriority() int {
	if req.route.Kind != httproute.Streaming {
		return -1
	}
	return min(max(req.rank(), 0), 9)
}
