package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	coreplacement "tarragonridge.example/tarragonridge/internal/core/placement"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/explain"
	"tarragonridge.example/tarragonridge/internal/logqueue"
	"tarragonridge.example/tarragonridge/internal/netcount"
	"tarragonridge.example/tarragonridge/internal/placement"
	"tarragonridge.example/tarragonridge/internal/prepaid"
)

// request is a request of a caller and the state of its attempts.
type request struct {
	meta     RequestMeta
	config   *httproute.Config
	route    *httproute.Route
	team     httproute.Team
	service  httproute.Service
	arrived  time.Time
	deadline time.Time // the caller's or the route's, whichever is earlier
	path     string
	body     callers.Body
	prompt   coreplacement.Prompt
	content  quarantine.Part // identifies the request by its team, path and body
	parts    []quarantine.Part

	triedTargets []string      // IDs of targets that are not tried again
	runs         int           // attempts that may have run
	rejections   int           // attempts that targets stated not to have run
	targetWait   time.Duration // spent waiting until a target takes the request
	hasTurn      bool          // to choose a target
	ran          errkind.Ran   // whether any attempt has run, as far as is known

	run          runState
	brokenRuns   int             // runs so far that broke off, for another reason than a timeout
	verdict      <-chan struct{} // closed when it is known whether the target of the last of these has crashed
	presumed     *presumedAnswer // nil if there is none
	end          targets.End     // of the answer that was judged last
	headSent     bool            // the head of the answer was sent to the caller
	framed       bool            // the head of the target's answer says where the answer ends
	protocol     string          // the caller's version of HTTP
	chunks       bool            // which has chunks
	endsWithConn bool            // only the end of the connection ends the caller's answer

	callerFraming framing // of the answer to the caller
	targetFraming framing // of the answer to the attempt in progress, or the last one
	origin        streamOrigin
	sentFrom      *targets.Target    // whose events were sent last
	placed        *placement.Request // the attempt in progress, at the relay of its engine
	expected      expectation        // of the attempt in progress
	hurry         *hurry             // likewise
	delivery      delivery
	targetStart   int64         // of the attempt in progress: start of its target, Unix milliseconds
	answeredIn    time.Duration // from the start of the attempt in progress to the head of its answer
	lastEvent     int64         // ID of the last event that the caller has; -1 if none
	eventsSent    int64         // events that were sent to the caller
	firstAt       time.Time
	latestAt      time.Time     // of the events that were sent to the caller
	longestGap    time.Duration // between two of them

	conn  *netcount.Conn // of the caller; nil if its bytes are not counted
	place int64          // bytes of the place on the host's link; 0 if there is none

	status int            // of the answer to the caller; 0 if no head was sent
	err    *errkind.Error // why the request was not served; nil if it was
}

// bodyTimeout bounds the time in which a caller must send the body.
const bodyTimeout = 10 * time.Second

// defaultMaxBodyBytes bounds the body of a request if the configuration does not.
const defaultMaxBodyBytes = 16 << 20

// defaultDeadline is the time that a request has if it states none and no route
// matches it.
const defaultDeadline = 2 * time.Second

func newRequest(arrived time.Time) *request {
	return &request{arrived: arrived, deadline: arrived.Add(defaultDeadline), lastEvent: -1, ran: errkind.RanNo, callerFraming: framingNone, targetFraming: framingNone}
}

// ServeHTTP forwards a request to a target of its route's service.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	req := newRequest(time.Now())
	req.protocol, req.chunks = r.Proto, r.ProtoAtLeast(1, 1)
	begun := req.beginRequest(r)
	if errors.Is(begun, callers.ErrGone) {
		panic(http.ErrAbortHandler)
	}
	defer func() { g.finishRequest(req) }()
	if begun != nil {
		g.writeProblem(w, req, errkind.From(begun))
		return
	}
	if err := g.identify(r, req); err != nil {
		g.writeProblem(w, req, errkind.From(err))
		return
	}
	ctx, waits, end := g.openRequests.begin(r.Context(), req.deadline)
	defer end()
	if err := g.prepare(waits, w, r, req); err != nil {
		if errors.Is(err, callers.ErrGone) {
			panic(http.ErrAbortHandler)
		}
		g.writeProblem(w, req, errkind.From(err))
		return
	}
	reservation, err := g.reserveTokens(waits, req)
	if err != nil {
		g.writeProblem(w, req, errkind.From(endOfWait(waits, err)))
		return
	}
	err = g.endPresumed(r, req, g.forward(ctx, waits, w, r, req))
	err = g.awaitDelivery(req, g.flushLast(w, req, err))
	if err == nil {
		err = g.endWithoutReset(req)
	}
	reservation.Settle(req.chargedTokens())
	if err == nil {
		return
	}
	req.err = errkind.From(err)
	if req.headSent || r.Context().Err() != nil && g.phase.Load() != phaseClosing {
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	g.writeProblem(w, req, req.err)
}

// prepare reads the body of an identified request and finds the service. It fails with
// callers.ErrGone if the caller leaves before it has sent the whole body, or takes longer than
// bodyTimeout.
func (g *Gateway) prepare(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) error {
	// A place on the link for a long body that never comes would be kept from others.
	long := r.ContentLength > intake.SmallBytes
	var err error
	if long {
		err = g.checkHost(r, req)
	} else {
		err = g.enterHost(ctx, r, req)
	}
	if err != nil {
		return err
	}
	if err := req.readBody(w, r); err != nil {
		if g.phase.Load() == phaseClosing && errors.Is(err, callers.ErrGone) {
			return refusedByStop(errCutOff) // which ends the reads
		}
		return err
	}
	if long {
		if err := g.enterHost(ctx, r, req); err != nil {
			return err
		}
	}
	g.classify(r, req)
	return g.checkQuarantine(req)
}

// identify decodes the headers and finds the route and the team.
func (g *Gateway) identify(r *http.Request, req *request) error {
	var err error
	if req.meta, err = g.opt.Codec.ParseRequest(r.Header); err != nil {
		return err
	}
	req.lastEvent = req.meta.LastEventID
	req.prompt = describePrompt(req.meta)
	if req.meta.Deadline > 0 {
		req.deadline = req.arrived.Add(req.meta.Deadline)
	}
	if req.config = g.config.Load(); req.config == nil {
		return errkind.New(errkind.PlatformUnavailable, "no configuration yet")
	}
	req.path, _, _ = strings.Cut(r.RequestURI, "?")
	if req.route = req.config.Match(r.Host, req.path); req.route == nil {
		return errkind.New(errkind.NotFound, "no route")
	}
	req.deadline = req.arrived.Add(req.route.Timeout)
	if req.meta.Deadline > 0 {
		req.deadline = req.arrived.Add(min(req.meta.Deadline, req.route.Timeout))
	}
	var ok bool
	if req.team, ok = req.config.Authenticate(req.route, req.meta.TeamKey); !ok {
		return errkind.New(errkind.Unauthenticated, "unknown key")
	}
	if err := g.checkPassOn(req, req.arrived); err != nil {
		return refusedByStop(err)
	}
	return nil
}

// classify derives from an identified request and its body what the quarantine knows it
// by, and picks the service.
func (g *Gateway) classify(r *http.Request, req *request) {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.RequestURI) // never fails
	for _, block := range req.body {
		_, _ = hash.Write(block)
	}
	req.content = quarantine.NewRequest(req.team.Name, strconv.FormatUint(hash.Sum64(), 16))
	req.parts = promptParts(req.meta)
	point := float64(xxhash.Sum64String(req.meta.RequestID)>>11) / (1 << 53) // from 0 to less than 1
	req.service = req.config.Services[req.route.PickService(point)]
}

// readBody reads the body of a request. It fails with callers.ErrGone if the caller leaves
// before it has sent the whole body, or its connection is closed for others.
func (req *request) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	limit := req.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return errkind.New(errkind.BodyTooLarge, "%d bytes", r.ContentLength)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return errkind.Wrap(err, errkind.Internal, "read deadline")
	}
	body, err := callers.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, req.take)
	var tooLarge *http.MaxBytesError
	var noRoom *errkind.Error
	switch {
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.BodyTooLarge, "over %d bytes", tooLarge.Limit)
	case errors.As(err, &noRoom):
		w.Header().Set("Connection", "close")
		return noRoom
	case err != nil:
		return callers.ErrGone
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return errkind.Wrap(err, errkind.Internal, "read deadline")
	}
	req.body = body
	return req.received()
}

// budgetWaitDivisor gives the longest time that a request waits for tokens, as a fraction
// of its route's latency objective. The rest is left for its target.
const budgetWaitDivisor = 2

// reserveTokens reserves the largest number of tokens that the request may consume.
func (g *Gateway) reserveTokens(ctx context.Context, req *request) (*prepaid.Reservation, error) {
	need := prepaid.Need{
		Tokens: req.reservedTokens(), Rank: req.route.Priority, Wait: prepaid.MinMaxWait, Unlimited: req.team.Prepaid == httproute.Unlimited,
	}
	if need.Tokens == 0 {
		return g.opt.Budgets.ReserveWithin(ctx, "", prepaid.Need{Unlimited: true})
	}
	if req.route.LatencyObjective > 0 {
		need.Wait = req.route.LatencyObjective / budgetWaitDivisor
	}
	return g.opt.Budgets.ReserveWithin(ctx, req.team.Name, need)
}

// reservedTokens returns the largest number of tokens that the request may consume.
func (req *request) reservedTokens() int64 { return req.meta.PromptTokens + req.meta.OutputTokens }

// chargedTokens returns the tokens that the request is charged: those of its prompt
// once if any attempt may have run, and those of the output sent to the caller.
func (req *request) chargedTokens() int64 {
	if req.ran == errkind.RanNo {
		return 0
	}
	output := (req.eventsSent - req.delivery.missed) * max(req.service.TokensPerEvent, 1)
	return req.meta.PromptTokens + min(output, req.meta.OutputTokens)
}

// recordSent records that a part of the answer was sent to the caller.
func (req *request) recordSent(now time.Time) {
	if req.firstAt.IsZero() {
		req.firstAt = now
	} else {
		req.longestGap = max(req.longestGap, now.Sub(req.latestAt))
	}
	req.latestAt = now
}

// logLateAnswer logs a served request whose answer began later than the route's
// objective or paused for longer.
func (g *Gateway) logLateAnswer(req *request) {
	if req.route == nil || req.firstAt.IsZero() {
		return
	}
	phase, took, objective := "first event", req.firstAt.Sub(req.arrived), req.route.LatencyObjective
	if took <= objective {
		phase, took, objective = "pause", req.longestGap, req.route.GapObjective
	}
	if objective > 0 && took > objective {
		g.opt.Logger.Info(explain.MessageLate, "request", logqueue.Text(req.meta.RequestID), "route", req.route.Name, "team", req.team.Name, "phase", phase,
			"ms", took.Milliseconds(), "objective_ms", objective.Milliseconds(), "status", req.status, "runs", req.runs, "rejected", req.rejections)
	}
}

// finishRequest counts the end of a request, and logs it if the request was not
// served in time. Others are not logged individually.
func (g *Gateway) finishRequest(req *request) {
	g.leaveHost(req)
	g.opt.Metrics.observeRequest(req)
	if req.err == nil {
		g.logLateAnswer(req)
		return
	}
	route := ""
	if req.route != nil {
		route = req.route.Name
	}
	lines := &g.callerLines
	if req.route == nil || needsNoKey(req.err.Kind) {
		lines = &g.strangerLines
	}
	omitted, ok := lines.Allow(time.Now())
	if !ok {
		return
	}
	g.opt.Logger.Info(explain.MessageNotServed, "request", logqueue.Text(req.meta.RequestID), "route", route, "team", req.team.Name,
		"kind", req.err.Kind, "detail", req.err.Detail, "status", req.status, "ran", req.ran, "runs", req.runs, "rejected", req.rejections,
		"started", req.headSent, "protocol", req.protocol, "framing", req.callerFraming, "target_framing", req.targetFraming,
		"ms", time.Since(req.arrived).Milliseconds(), "cause", req.err.Cause, "omitted", omitted)
}

// Bounds of the log lines about requests that were not served: of those that need no key to
// fail, and of the others.
const (
	strangerLinesPerS  = 10
	strangerLinesBurst = 50
	callerLinesPerS    = 200
	callerLinesBurst   = 2000
)

// needsNoKey reports whether a request may fail with an error though its caller has no key.
func needsNoKey(kind errkind.Kind) bool {
	switch kind {
	case errkind.NotFound, errkind.Unauthenticated, errkind.InvalidRequest, errkind.BodyTooLarge:
		return true
	default:
		return false
	}
}
