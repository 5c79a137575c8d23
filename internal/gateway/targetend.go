package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
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

// leaveWatch notices that a target which leaves refuses connections while it goes on with an
// answer. It shows that the target did not end when it stopped to listen.
type leaveWatch struct {
	refused atomic.Bool
	stop    context.CancelFunc
}

// watchLeave watches the target of an answer that only the end of its connection ends, until
// the watch is stopped.
func (g *Gateway) watchLeave(ctx context.Context, answer *upstream.Response, t *targets.Target) *leaveWatch {
	if answer.Framed() {
		return &leaveWatch{stop: func() {}}
	}
	ctx, cancel := context.WithCancel(ctx)
	watch := &leaveWatch{stop: cancel}
	go func() {
		for timing.Sleep(ctx, leaveCheckInterval) {
			g.mu.Lock()
			leaving := t.Leaving()
			g.mu.Unlock()
			if !leaving {
				continue
			}
			// The start does not matter: what accepts connections has not stopped to listen.
			probe, _ := g.probeStart(ctx, t, 0, false)
			if probe == targets.ProbeRefused && timing.Sleep(ctx, endCheckDelay) && answer.Open() {
				watch.refused.Store(true)
				return
			}
		}
	}()
	return watch
}

// judgeEnd says whether an answer is whole that has come to its end. One that has ended with
// its connection is whole if the start of the target that sent it is still there.
func (g *Gateway) judgeEnd(ctx context.Context, req *request, answer *upstream.Response, t *targets.Target, watch *leaveWatch) (targets.End, error) {
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
	if probe == targets.ProbeUnidentified {
		probe, err = g.probeStart(checkCtx, t, req.targetStart, engine)
	}
	g.mu.Lock()
	othersBrokeOff := g.brokenRuns[t.ID] != nil
	end := t.JudgeEnd(req.targetStart, probe, watch.refused.Load() && !othersBrokeOff)
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
