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

// Timing of the checks of a target whose answer only the end of its connection ends.
const (
	endCheckDelay   = 10 * time.Millisecond // a process that ends closes its sockets one by one
	endCheckTimeout = 800 * time.Millisecond
	// registrationDelay is the time in which the registration of another start, which
	// accepts connections, comes.
	registrationDelay = 20 * time.Millisecond
	// leaveCheckInterval is the pause between two checks whether a target that leaves still
	// accepts connections.
	leaveCheckInterval = 20 * time.Millisecond
)

var (
	errTargetEnded    = errors.New("the target has ended an answer that may not be whole")
	errEndUnconfirmed = errors.New("the target has left and ended an answer that is probably whole")
)

// probeStart opens a new connection to a target and returns what it tells about the start that
// a request was sent to. Engines tell their start.
func (g *Gateway) probeStart(ctx context.Context, t *targets.Target, startedMS int64, engine bool) (targets.Probe, error) {
	var identity *upstream.Identity
	if engine && startedMS != 0 {
		identity = g.startIdentity(t, startedMS)
	}
	err := g.pool.Probe(ctx, t.Address, identity)
	var accepted *upstream.IdentityError
	switch {
	case err == nil && identity != nil:
		return targets.ProbeSameStart, nil
	case err == nil:
		return targets.ProbeAccepted, nil
	case errors.Is(err, upstream.ErrOtherStart):
		return targets.ProbeOtherStart, err
	case errors.As(err, &accepted):
		return targets.ProbeUnidentified, err
	case errors.Is(err, syscall.ECONNREFUSED):
		return targets.ProbeRefused, err
	}
	return targets.ProbeUnreachable, err
}

// leaveWatch notices that a target which leaves refuses connections while it goes on with its
// answers. It shows that the target did not end when it stopped listening.
type leaveWatch struct {
	target *targets.Target
	// answers are those in progress that only the end of their connection ends. The value
	// says that the target has refused connections while that of the answer was open.
	answers map[*upstream.Response]bool
	cancel  context.CancelFunc
}

// watchLeave watches the target of an answer that only the end of its connection ends, until
// stop is called. stop reports whether the target has refused connections while that of the
// answer was open.
func (g *Gateway) watchLeave(answer *upstream.Response, t *targets.Target) (stop func() bool) {
	if answer.Framed() {
		return func() bool { return false }
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.leaveWatches[t]
	if w == nil {
		ctx, cancel := context.WithCancel(context.Background())
		w = &leaveWatch{target: t, answers: map[*upstream.Response]bool{}, cancel: cancel}
		g.leaveWatches[t] = w
		go g.runLeaveWatch(ctx, w)
	}
	w.answers[answer] = false
	return func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		refused := w.answers[answer]
		delete(w.answers, answer)
		if len(w.answers) == 0 {
			w.cancel()
			delete(g.leaveWatches, t)
		}
		return refused
	}
}

// runLeaveWatch tries connections to a target that leaves until it refuses one, or no answer is
// in progress any more. A target that leaves without a word goes on serving after its
// registration is gone; one that refuses at once had ended before.
func (g *Gateway) runLeaveWatch(ctx context.Context, w *leaveWatch) {
	served := false
	for timing.Sleep(ctx, leaveCheckInterval) {
		g.mu.Lock()
		leaving, said := w.target.Leaving(), w.target.SaidLeaving()
		g.mu.Unlock()
		if !leaving {
			continue
		}
		err := g.pool.TryConnect(ctx, w.target.Address)
		served = served || err == nil
		if !errors.Is(err, syscall.ECONNREFUSED) || !timing.Sleep(ctx, endCheckDelay) {
			continue
		}
		if !said && !served {
			return
		}
		g.mu.Lock()
		for answer := range w.answers {
			w.answers[answer] = answer.Open()
		}
		g.mu.Unlock()
		return
	}
}

// judgeEnd says whether an answer is whole that has come to its end. One that has ended with
// its connection is whole if the start of the target that sent it is still there. refusedBefore
// is the result of the watch of the answer.
func (g *Gateway) judgeEnd(ctx context.Context, req *request, answer *upstream.Response, t *targets.Target, refusedBefore bool) (targets.End, error) {
	req.end = targets.EndWhole
	if answer.Framed() {
		return req.end, nil
	}
	if !timing.Sleep(ctx, endCheckDelay) {
		return targets.EndCutOff, ctx.Err()
	}
	checkCtx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	engine := req.service.Slots > 0
	probe, err := g.probeStart(checkCtx, t, req.targetStart, engine)
	switch probe {
	case targets.ProbeUnidentified:
		probe, err = g.probeStart(checkCtx, t, req.targetStart, engine)
	case targets.ProbeAccepted:
		timing.Sleep(checkCtx, registrationDelay)
	}
	g.mu.Lock()
	othersBrokeOff := g.brokenRuns[t.ID] != nil
	end := g.targetView.JudgeEnd(t, req.targetStart, probe, refusedBefore && !othersBrokeOff)
	req.end = end
	state := t.Availability(time.Now(), targets.Query{})
	g.mu.Unlock()
	g.opt.Logger.Info(explain.MessageUnframedEnd, "request", req.meta.RequestID, "target", t.ID, "state", state, "event", req.lastEvent,
		"protocol", req.protocol, "ms", time.Since(req.arrived).Milliseconds(), "end", end, "probe", probe, "err", err)
	if end == targets.EndCutOff {
		// The error of the probe is not wrapped: its timeout would pass for one of the answer.
		return end, fmt.Errorf("%w: probe %s: %v", errTargetEnded, probe, err)
	}
	return end, nil
}

// presumedAnswer is an answer that is probably whole, while another run is to confirm that. It
// stands as long as that run has sent the caller nothing.
type presumedAnswer struct {
	headSent bool  // to the caller, of this answer
	events   int64 // likewise
	end      func() error
}

// presume keeps an answer that is probably whole and reports whether another run may confirm
// that. If none may, or it brings nothing, the answer counts as whole; end sends its rest to
// the caller.
func (req *request) presume(end func() error) bool {
	if !req.canContinue() || req.runs >= req.route.MaxAttempts {
		return false
	}
	req.presumed = &presumedAnswer{headSent: req.headSent, events: req.eventsSent, end: end}
	return true
}

// presumedWhole reports whether an answer is presumed whole and stands.
func (req *request) presumedWhole() bool {
	return req.presumed != nil && req.presumed.headSent == req.headSent && req.presumed.events == req.eventsSent
}

// endPresumed ends an answer that is presumed whole, if no other run has shown that it is not.
// err is the error of the request, if any.
func (g *Gateway) endPresumed(r *http.Request, req *request, err error) error {
	if err == nil || !req.presumedWhole() || r.Context().Err() != nil {
		return err
	}
	g.opt.Logger.Info("answer presumed whole", "request", req.meta.RequestID, "event", req.lastEvent, "runs", req.runs, "err", err)
	req.end = targets.EndPresumed
	return req.presumed.end()
}
