package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/httproute"
)

const (
	// overdueFactor is what noise may add to the time that an engine was expected to need
	// for a first event. After a longer time something else is wrong with it.
	overdueFactor = 2.5
	// elsewhereFactor is the time that another engine is given for the first event, in
	// multiples of what it is expected to need. Its load has changed since it was told.
	elsewhereFactor = 1.5
	// elsewhereMargin is the time for the choice of the other engine and for a connection.
	elsewhereMargin = 20 * time.Millisecond
	// minHurry is the least time after which a first event counts as overdue. The timing
	// of messages and of this host matters below.
	minHurry = 100 * time.Millisecond
)

// hurry gives an attempt up early because its first event is overdue. A nil hurry does
// not.
type hurry struct {
	timer      *time.Timer
	cancel     context.CancelFunc
	retryTaken atomic.Bool // the retry that follows was taken from the budget
}

// stop keeps the attempt from being given up.
func (h *hurry) stop() {
	if h != nil {
		h.timer.Stop()
	}
}

// end ends the attempt.
func (h *hurry) end() {
	if h != nil {
		h.timer.Stop()
		h.cancel()
	}
}

// takeRetry reports, once, whether the retry that follows the attempt is already taken.
func (h *hurry) takeRetry() bool { return h != nil && h.retryTaken.Swap(false) }

// hurryAfter returns the time after which another engine is tried because the first event
// is overdue and another engine could still bring it in time. It is 0 if there is none.
func (req *request) hurryAfter(now time.Time) time.Duration {
	e := req.expected
	if req.route.Kind != httproute.Streaming || !req.route.Repeatable() || req.runs+1 >= req.route.MaxAttempts || e.first == 0 || e.elsewhere == 0 {
		return 0
	}
	overdue := max(time.Duration(overdueFactor*float64(e.first)), minHurry)
	latest := req.arrived.Add(req.route.LatencyObjective - elsewhereMargin - time.Duration(elsewhereFactor*float64(e.elsewhere))).Sub(now)
	if latest < overdue {
		return 0
	}
	return latest
}

// moved reports whether the attempt was ended because its first event was overdue.
func (h *hurry) moved() bool { return h != nil && h.retryTaken.Load() }

// hurryAttempt returns a context for an attempt that ends when its first event is overdue,
// if the retry budget then has room for another attempt. It sets req.hurry.
func (g *Gateway) hurryAttempt(ctx context.Context, req *request, now time.Time) context.Context {
	req.hurry = nil
	after := req.hurryAfter(now)
	if after == 0 {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &hurry{cancel: cancel}
	h.timer = time.AfterFunc(after, func() {
		if !g.takeRetry(req) {
			g.opt.Metrics.hurried.WithLabelValues("no_retry").Inc()
			return
		}
		g.opt.Metrics.hurried.WithLabelValues("moved").Inc()
		h.retryTaken.Store(true)
		cancel()
	})
	req.hurry = h
	return ctx
}
