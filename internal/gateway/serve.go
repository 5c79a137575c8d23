package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/explain"
	"tarragonridge.example/tarragonridge/internal/prepaid"
)

// request is one request of a caller.
type request struct {
	meta     RequestMeta
	route    *httproute.Route
	team     httproute.Team
	service  httproute.Service
	arrived  time.Time
	deadline time.Time // the caller's or the route's, whichever is first
	path     string
	body     []byte
	crashKey quarantine.Key

	tried    []string    // targets that are not tried again
	runs     int         // attempts that may have run
	rejected int         // attempts that a target has refused
	ran      errkind.Ran // what is known of all attempts together

	started   bool  // the head of the answer has gone to the caller
	framed    bool  // that head says where the answer ends
	lastEvent int64 // id of the last event that the caller has; -1 if none
	events    int64 // events that went to the caller

	status int
	err    *errkind.Error
}

// bodyTimeout bounds the wait for a caller's body.
const bodyTimeout = 10 * time.Second

// assumedDeadline is the deadline of a request without route and deadline.
const assumedDeadline = 2 * time.Second

// ServeHTTP forwards a request to a target of its route's service.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	x := &request{arrived: time.Now(), lastEvent: -1, ran: errkind.RanNo}
	x.deadline = x.arrived.Add(assumedDeadline)
	defer func() { g.finished(x) }()
	if err := g.prepare(w, r, x); err != nil {
		if errors.Is(err, errCallerGone) {
			panic(http.ErrAbortHandler)
		}
		g.refuse(w, x, errkind.From(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	reservation, err := g.reserve(ctx, x)
	if err != nil {
		g.refuse(w, x, errkind.From(err))
		return
	}
	err = g.forward(ctx, w, r, x)
	reservation.Settle(x.charge())
	if err == nil {
		return
	}
	x.err = errkind.From(err)
	if x.started || r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	g.refuse(w, x, x.err)
}

var errCallerGone = errors.New("caller left while sending")

// prepare finds the route and the team, and reads the body.
func (g *Gateway) prepare(w http.ResponseWriter, r *http.Request, x *request) error {
	var err error
	if x.meta, err = g.opt.Codec.ParseRequest(r.Header); err != nil {
		return err
	}
	x.lastEvent = x.meta.LastEventID
	if x.meta.Deadline > 0 {
		x.deadline = x.arrived.Add(x.meta.Deadline)
	}
	doc := g.config.Load()
	if doc == nil {
		return errkind.New(errkind.PlatformUnavailable, "no configuration yet")
	}
	x.path, _, _ = strings.Cut(r.RequestURI, "?")
	if x.route = doc.Match(r.Host, x.path); x.route == nil {
		return errkind.New(errkind.NotFound, "no route")
	}
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.meta.Deadline > 0 {
		x.deadline = x.arrived.Add(min(x.meta.Deadline, x.route.Timeout))
	}
	var ok bool
	if x.team, ok = doc.Authenticate(x.route, x.meta.TeamKey); !ok {
		return errkind.New(errkind.Unauthenticated, "unknown key")
	}
	if g.tooLate(x.route, x.arrived) {
		e := errkind.New(errkind.Stopping, "taken on a kept connection")
		e.RetryAfter = leastRetryAfter
		return e
	}
	if x.body, err = readBody(w, r, doc.Limits.MaxBodyBytes); err != nil {
		return err
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(r.RequestURI) // never fails
	_, _ = hash.Write(x.body)
	x.crashKey = quarantine.Key{Team: x.team.Name, ContentHash: strconv.FormatUint(hash.Sum64(), 16)}
	point := float64(xxhash.Sum64String(x.meta.RequestID)>>11) / (1 << 53)
	x.service = doc.Services[x.route.PickService(point)]
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.BodyTooLarge, "%d bytes", r.ContentLength)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "read deadline")
	}
	src := r.Body
	if limit > 0 {
		src = http.MaxBytesReader(w, r.Body, limit)
	}
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(src, body)
		if err == nil {
			// Reading to the end lets the server watch for the caller's leaving.
			_, err = io.Copy(io.Discard, src)
		}
	} else {
		body, err = io.ReadAll(src)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.BodyTooLarge, "over %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, errCallerGone
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "read deadline")
	}
	return body, nil
}

// reserve sets aside what the request may consume at its most.
func (g *Gateway) reserve(ctx context.Context, x *request) (*prepaid.Reservation, error) {
	if x.meta.PromptTokens+x.meta.OutputTokens == 0 {
		return g.opt.Budgets.Reserve(ctx, "", 0)
	}
	return g.opt.Budgets.Reserve(ctx, x.team.Name, x.meta.PromptTokens+x.meta.OutputTokens)
}

// charge returns the tokens that the request has consumed: its prompt once if
// any attempt may have run, and the output that went to the caller.
func (x *request) charge() int64 {
	if x.ran == errkind.RanNo {
		return 0
	}
	output := x.events * max(x.service.TokensPerEvent, 1)
	return x.meta.PromptTokens + min(output, x.meta.OutputTokens)
}

// finished counts and logs the end of a request. Ordinary answers are not
// logged one by one.
func (g *Gateway) finished(x *request) {
	g.opt.Metrics.finished(x)
	if x.err == nil {
		return
	}
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	g.opt.Logger.Info(explain.MessageNotServed, "request", x.meta.RequestID, "route", route, "team", x.team.Name,
		"kind", x.err.Kind, "detail", x.err.Detail, "status", x.status, "ran", x.ran, "runs", x.runs, "rejected", x.rejected,
		"started", x.started, "ms", time.Since(x.arrived).Milliseconds(), "cause", x.err.Cause)
}
