package gateway

import (
	"net"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/httproute"
)

// Timing of a planned stop.
const (
	// drainPollInterval is the pause between two checks for requests in progress.
	drainPollInterval = 50 * time.Millisecond
	// acceptAfterStop is how long new connections are accepted after the stop signal.
	// The load balancer notices the stop within two readiness checks, which are one
	// second apart.
	acceptAfterStop = 2500 * time.Millisecond
	// closeReserve is the part of the grace period that is reserved for returning the
	// budget shares.
	closeReserve = 1200 * time.Millisecond
)

// stopSchedule says what a stopping gateway does when.
type stopSchedule struct {
	acceptUntil time.Time // new connections, and requests that may not end in time
	end         time.Time // requests in progress are cut off
}

func newStopSchedule(start time.Time, grace time.Duration) stopSchedule {
	return stopSchedule{acceptUntil: start.Add(acceptAfterStop), end: start.Add(grace - closeReserve)}
}

// cannotFinish reports whether the gateway is stopping and the timeout of a new
// request of a route lies beyond the grace period. It reports false as long as new
// connections are accepted.
func (g *Gateway) cannotFinish(route *httproute.Route, now time.Time) bool {
	if g.phase.Load() == phaseServing || now.Before(g.stop.acceptUntil) {
		return false
	}
	return now.Add(route.Timeout).After(g.stop.end)
}

// drain accepts connections until the load balancer sends no more, then waits for
// the requests in progress. accepted receives a value after the last connection was accepted.
func (g *Gateway) drain(server *http.Server, listener net.Listener, accepted <-chan error) {
	g.stop = newStopSchedule(time.Now(), g.opt.GracePeriod)
	g.phase.Store(phaseDraining)
	g.opt.Logger.Info("stopping", "open", g.inProgress.Load())
	g.opt.Budgets.Drain()
	time.Sleep(time.Until(g.stop.acceptUntil))
	_ = listener.Close() // the server notices this; nothing else uses the listener
	<-accepted
	for g.inProgress.Load() > 0 || g.callers.closeQuiet() > 0 {
		left := time.Until(g.stop.end)
		if left <= 0 {
			g.opt.Logger.Warn("grace period ended with requests in progress", "open", g.inProgress.Load())
			break
		}
		time.Sleep(min(drainPollInterval, left))
	}
	g.phase.Store(phaseClosing)
	_ = server.Close() // the listener was closed before, which is the only error
}
