package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
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
	// budget shares, a closeReserveDivisor-th at most.
	closeReserve        = 1200 * time.Millisecond
	closeReserveDivisor = 6
	// cutOffWait is how long, at most, the requests that are cut off at the end have to
	// answer by themselves, and as long again those whose callers have not sent all of
	// them.
	cutOffWait         = 100 * time.Millisecond
	cutOffPollInterval = 5 * time.Millisecond
)

// stopSchedule says what a stopping gateway does when.
type stopSchedule struct {
	acceptUntil time.Time // new connections, and requests that may not end in time
	end         time.Time // requests in progress are cut off
}

func newStopSchedule(start time.Time, grace time.Duration) stopSchedule {
	inProgress := grace - min(closeReserve, grace/closeReserveDivisor)
	// In a short grace period, what is accepted last still has a quarter of the time.
	return stopSchedule{acceptUntil: start.Add(min(acceptAfterStop, inProgress*3/4)), end: start.Add(inProgress)}
}

// checkPassOn returns errMayNotEnd if a request may no longer be passed on, because the
// gateway is stopping and the request's deadline lies beyond the grace period. A request that
// may have run before is passed on again until the end: its caller could not be told to
// repeat it elsewhere.
func (g *Gateway) checkPassOn(req *request, now time.Time) error {
	if g.phase.Load() == phaseServing || now.Before(g.stop.acceptUntil) {
		return nil
	}
	if now.Before(g.stop.end) && (req.ran != errkind.RanNo || !req.deadline.After(g.stop.end)) {
		return nil
	}
	return errMayNotEnd
}

// refusedByStop returns the error of a request that is not passed on because the gateway is
// stopping.
func refusedByStop(cause error) *errkind.Error {
	return errkind.Wrap(cause, errkind.Stopping, "the request may not end within the grace period")
}

// endOfWait returns the error of a request that has not run and whose wait has failed.
func endOfWait(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errMayNotEnd) || errors.Is(cause, errCutOff) {
		return refusedByStop(cause)
	}
	return err
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
	g.openRequests.refuseLate(g.stop.end)
	for g.inProgress.Load() > 0 || g.callers.CloseQuiet() > 0 {
		left := time.Until(g.stop.end)
		if left <= 0 {
			g.cutOffRest()
			break
		}
		time.Sleep(min(drainPollInterval, left))
	}
	g.phase.Store(phaseClosing)
	_ = server.Close() // the listener was closed before, which is the only error
}

// cutOffRest ends the requests in progress. Those whose head was not sent are answered.
func (g *Gateway) cutOffRest() {
	g.opt.Logger.Warn("grace period ended with requests in progress", "open", g.inProgress.Load())
	g.phase.Store(phaseClosing)
	g.openRequests.cutOffAll()
	await(func() bool { return g.inProgress.Load() == 0 })
	// What is left waits for its caller.
	g.callers.EndReads(cutOffWait)
	await(func() bool { return g.callers.CloseQuiet() == 0 })
}

// await waits until done returns true, at most for cutOffWait.
func await(done func() bool) {
	for deadline := time.Now().Add(cutOffWait); !done() && time.Now().Before(deadline); {
		time.Sleep(cutOffPollInterval)
	}
}
