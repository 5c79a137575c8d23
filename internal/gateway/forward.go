package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/retry"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/explain"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

// outcome is what came of an attempt.
type outcome int

const (
	served    outcome = iota // the answer went to the caller
	notSent                  // nothing reached the target
	rejected                 // the target states that it did not run the request
	broken                   // the target may have run it and gave no whole answer
	abandoned                // the caller left, or the deadline passed
)

func (o outcome) String() string {
	return [...]string{"served", "not_sent", "rejected", "broken", "abandoned"}[o]
}

// Bounds of the attempts of one request.
const (
	maxUnsent   = 4 // connections that could not be opened
	maxRejected = 2 // refusals of targets
)

// forward tries targets until one has served the request or none may be tried.
func (g *Gateway) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, x *request) error {
	g.countRequest(x)
	unsent := 0
	if g.quarantined(x) {
		return errkind.New(errkind.RequestQuarantined, "it has crashed the targets that ran it")
	}
	for {
		if err := ctx.Err(); err != nil {
			return g.expired(r, x, err)
		}
		t := g.choose(x)
		if t == nil {
			return g.exhausted(x, errkind.New(errkind.NoTarget, "no target of %s takes work", x.service.Name))
		}
		result, cause := g.attempt(ctx, w, r, x, t)
		g.opt.Metrics.attempts.WithLabelValues(result.String()).Inc()
		if result != served {
			g.opt.Logger.Info(explain.MessageAttemptFailed, "request", x.meta.RequestID, "target", t.ID, "outcome", result,
				"event", x.lastEvent, "ms", time.Since(x.arrived).Milliseconds(), "cause", cause)
		}
		switch result {
		case served:
			return nil
		case abandoned:
			return g.expired(r, x, cause)
		case notSent:
			if unsent++; unsent > maxUnsent {
				return g.exhausted(x, errkind.Wrap(cause, errkind.NoTarget, "targets cannot be reached"))
			}
		case rejected:
			if x.rejected++; x.rejected > maxRejected || !g.mayRepeat(x) {
				return g.exhausted(x, errkind.Wrap(cause, errkind.Overloaded, "targets are full"))
			}
		case broken:
			if !x.mayGoOn() || x.runs >= x.route.MaxAttempts || !g.mayRepeat(x) {
				return g.exhausted(x, errkind.Wrap(cause, errkind.OutcomeUnknown, "target gave no whole answer"))
			}
		}
		x.tried = append(x.tried, t.ID)
	}
}

// mayGoOn reports whether another run may follow. Once a part of a plain answer
// has gone to the caller, nothing can.
func (x *request) mayGoOn() bool {
	return x.route.Repeatable() && (!x.started || x.route.Kind == httproute.Streaming)
}

// retryBudget returns the budget of a service. g.mu is held.
func (g *Gateway) retryBudget(service string) *retry.Budget {
	b := g.retries[service]
	if b == nil {
		b = retry.NewBudget(g.opt.Retries)
		g.retries[service] = b
	}
	return b
}

func (g *Gateway) countRequest(x *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(x.service.Name).RecordRequest(time.Now())
}

// mayRepeat takes one more attempt out of the service's budget.
func (g *Gateway) mayRepeat(x *request) bool {
	routers := g.opt.Budgets.Holders()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(x.service.Name).TakeRetry(time.Now(), routers)
}

// exhausted returns the error of a request that is tried no more. Only a
// request that has not run anywhere may be told so.
func (g *Gateway) exhausted(x *request, e *errkind.Error) error {
	if x.ran == errkind.RanNo {
		return e
	}
	unknown := errkind.Wrap(e, errkind.OutcomeUnknown, "%s", e.Detail)
	unknown.Ran = x.ran
	return unknown
}

// expired returns the error of a request whose caller has left or whose time is
// over.
func (g *Gateway) expired(r *http.Request, x *request, cause error) error {
	if r.Context().Err() != nil {
		e := errkind.Wrap(cause, errkind.Canceled, "the caller has left")
		e.Ran = x.ran
		return e
	}
	if x.ran == errkind.RanNo {
		return errkind.Wrap(cause, errkind.Overloaded, "not started before the deadline")
	}
	e := errkind.Wrap(cause, errkind.DeadlineExceeded, "no answer before the deadline")
	e.Ran = x.ran
	return e
}

// choose picks a target and counts the request there.
func (g *Gateway) choose(x *request) *targets.Target {
	q := targets.Query{Service: x.service.Name, Exclude: x.tried}
	if x.route.Affinity && len(x.meta.SharedPromptParts) > 0 {
		q.PrefixHash = xxhash.Sum64String(strings.Join(x.meta.SharedPromptParts, ","))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.view.Choose(time.Now(), q)
	if t != nil {
		t.BeginRequest()
	}
	return t
}

// attempt sends the request to one target.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, x *request, t *targets.Target) (outcome, error) {
	result, cause := g.exchange(ctx, w, r, x, t)
	g.mu.Lock()
	defer g.mu.Unlock()
	t.EndRequest()
	var failure *upstream.Failure
	switch {
	case result == served:
		t.RecordSuccess()
	case errors.Is(cause, upstream.ErrConnLimit), result == abandoned, errors.Is(cause, errFailedRun):
		t.RecordInconclusive()
	case result == rejected && !errors.Is(cause, errReplaced):
		t.RecordInconclusive()
	default:
		t.RecordFailure(time.Now())
		switch silent := errors.As(cause, &failure) && failure.TimedOut; {
		case silent:
			go g.pool.CloseIdleTo(t.Address)
		case result == broken:
			g.noteBreak(x, t)
		}
	}
	return result, cause
}

// connShare is the part of a target's connections that this router may use.
func (g *Gateway) connShare(s httproute.Service) int {
	if s.MaxConnections == 0 {
		return 0
	}
	return max(2, s.MaxConnections/max(g.opt.Budgets.Holders(), 1))
}

func (g *Gateway) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, x *request, t *targets.Target) (outcome, error) {
	now := time.Now()
	var verdict AnswerInfo
	head, err := g.head(r, x, t, now)
	if err != nil {
		return abandoned, err
	}
	answer, err := g.pool.Do(ctx, &upstream.Request{
		Address: t.Address, Method: r.Method, Head: head, Body: x.body,
		ResponseHeaderDeadline: earlier(x.deadline, x.patience(now)), MaxConns: g.connShare(x.service),
		Matches: func(resp *http.Response) bool {
			var own bool
			verdict, own = g.opt.Codec.ParseAnswer(resp, x.meta.RequestID)
			return own
		},
	})
	if err != nil {
		return g.failed(ctx, x, err)
	}
	defer answer.Close()
	if verdict.NotRun {
		drainBody(answer)
		if answer.StatusCode == http.StatusMisdirectedRequest {
			return rejected, errReplaced
		}
		return rejected, errkind.New(errkind.Overloaded, "target answered %d, not run", answer.StatusCode)
	}
	x.runs++
	x.ran = errkind.RanYes
	if answer.Header.Get("Content-Encoding") != "" || (answer.StatusCode < 300 && !verdict.Signed) {
		return broken, errForeign
	}
	if x.route.Kind == httproute.Streaming && answer.StatusCode == http.StatusOK {
		return g.sendStream(ctx, w, x, answer)
	}
	if x.started {
		return broken, errFailedRun // no other answer may follow a part of the first
	}
	return g.sendWhole(ctx, w, x, answer)
}

var (
	errForeign   = errors.New("answer is not the target's")
	errReplaced  = errors.New("another target has taken the address")
	errFailedRun = errors.New("target answered with a failure")
)

// failed classifies an exchange without an answer.
func (g *Gateway) failed(ctx context.Context, x *request, err error) (outcome, error) {
	var failure *upstream.Failure
	sent := errors.As(err, &failure) && failure.Sent
	if sent {
		x.runs++
		if x.ran == errkind.RanNo {
			x.ran = errkind.RanUnknown
		}
	}
	switch {
	case ctx.Err() != nil || !time.Now().Before(x.deadline):
		return abandoned, err
	case sent:
		return broken, err
	}
	return notSent, err
}

// Patience with a silent target, while another may still be tried.
const (
	plainPatience  = 4 // objectives until a plain answer
	leastPatience  = 500 * time.Millisecond
	streamPatience = 1.25 // objectives until the first event
)

// patience returns when a target that has not answered is given up for another,
// zero if there will be no other attempt.
func (x *request) patience(now time.Time) time.Time {
	if !x.route.Repeatable() || x.runs+1 >= x.route.MaxAttempts || x.route.LatencyObjective == 0 {
		return time.Time{}
	}
	factor := float64(plainPatience)
	if x.route.Kind == httproute.Streaming {
		factor = streamPatience
	}
	return now.Add(max(time.Duration(factor*float64(x.route.LatencyObjective)), leastPatience))
}

// earlier returns the earlier of two times; zero counts as never.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// head returns the request line and headers of an attempt.
func (g *Gateway) head(r *http.Request, x *request, t *targets.Target, now time.Time) ([]byte, error) {
	left := x.deadline.Sub(now)
	if left <= 0 {
		return nil, context.DeadlineExceeded
	}
	header := g.opt.Codec.AttemptHeaders(r.Header, AttemptInfo{
		Target: t.ID, Team: x.team.Name, Priority: x.priority(), TimeLeft: left, ResumeAfter: x.lastEvent,
	})
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(x.body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.body)) + "\r\n")
	}
	if err := header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// priority returns the urgency that an engine is told: the team's, or else the
// route's.
func (x *request) priority() int {
	if x.route.Kind != httproute.Streaming {
		return -1
	}
	p := x.route.Priority
	if x.team.HasPriority {
		p = x.team.Priority
	}
	return min(max(p, 0), 9)
}
