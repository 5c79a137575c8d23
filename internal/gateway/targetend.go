package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/explain"
	"tarragonridge.example/tarragonridge/internal/timing"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

// Timing of the check of a target that has ended an answer with its connection.
const (
	endCheckDelay   = 10 * time.Millisecond // a process that ends closes its sockets one by one
	endCheckTimeout = 800 * time.Millisecond
)

var (
	errTargetEnded    = errors.New("the target has ended an answer that may not be whole")
	errEndUnconfirmed = errors.New("the target leaves and has ended an answer that is probably whole")
)

// connect opens a new connection to a target and returns what it tells about the start that
// a request was sent to.
func (g *Gateway) connect(ctx context.Context, t *targets.Target, startedMS int64, engine bool) (targets.Conn, error) {
	var identity *upstream.Identity
	if engine && startedMS != 0 {
		identity = g.startIdentity(t, startedMS)
	}
	err := g.pool.Probe(ctx, t.Address, identity)
	var accepted *upstream.IdentityError
	switch {
	case err == nil && identity != nil:
		return targets.ConnSameStart, nil
	case err == nil:
		return targets.ConnAccepted, nil
	case errors.Is(err, upstream.ErrOtherStart):
		return targets.ConnOtherStart, err
	case errors.As(err, &accepted):
		return targets.ConnUnidentified, err
	case errors.Is(err, syscall.ECONNREFUSED):
		return targets.ConnRefused, err
	}
	return targets.ConnUnreachable, err
}

// judgeEnd says whether an answer is whole that has come to its end. One that has ended with
// its connection is whole if its target is still there.
func (g *Gateway) judgeEnd(ctx context.Context, req *request, answer *upstream.Response, t *targets.Target) (targets.End, error) {
	if answer.Framed() {
		return targets.EndWhole, nil
	}
	if !timing.Sleep(ctx, endCheckDelay) {
		return targets.EndCutOff, ctx.Err()
	}
	checkCtx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	conn, err := g.connect(checkCtx, t, req.targetStart, req.service.Slots > 0)
	g.mu.Lock()
	end := g.targetView.JudgeEnd(t, req.targetStart, conn, g.brokenRuns[t.ID] != nil)
	state := t.Availability(time.Now(), targets.Query{})
	g.mu.Unlock()
	g.opt.Logger.Info(explain.MessageUnframedEnd, "request", req.meta.RequestID, "target", t.ID, "state", state, "event", req.lastEvent,
		"protocol", req.protocol, "ms", time.Since(req.arrived).Milliseconds(), "end", end, "conn", conn, "err", err)
	if end == targets.EndCutOff {
		return end, fmt.Errorf("%w: connection %s: %w", errTargetEnded, conn, err)
	}
	return end, nil
}

// presumedAnswer is an answer that is probably whole, while another run is to confirm that.
type presumedAnswer struct {
	events int64        // that were sent to the caller
	end    func() error // sends the rest of the answer to the caller
}

// presume keeps an answer that is probably whole and reports whether another run may confirm
// that. If none may, or it brings nothing, the answer counts as whole.
func (req *request) presume(end func() error) bool {
	if !req.canContinue() || req.runs >= req.route.MaxAttempts {
		return false
	}
	req.presumed = &presumedAnswer{events: req.eventsSent, end: end}
	return true
}

// presumedWhole reports whether nothing has come after an answer that is probably whole.
func (req *request) presumedWhole() bool {
	return req.presumed != nil && req.presumed.events == req.eventsSent
}

// endPresumed ends an answer that is probably whole, if no other run has shown that it is not.
// err is the error of the request, if any.
func (g *Gateway) endPresumed(r *http.Request, req *request, err error) error {
	if err == nil || !req.presumedWhole() || r.Context().Err() != nil {
		return err
	}
	g.opt.Logger.Info("answer presumed whole", "request", req.meta.RequestID, "event", req.lastEvent, "runs", req.runs, "err", err)
	return req.presumed.end()
}
