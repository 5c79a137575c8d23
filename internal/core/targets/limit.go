package targets

import (
	"math"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
)

// NoRequestLimit is the request limit of a target that names none.
var NoRequestLimit = math.Inf(1)

// burstTime is the time for which a router may save up its share of a limit. It always
// saves up one request.
const burstTime = 250 * time.Millisecond

// requestLimit is the request limit that a target names, and this router's use of it.
type requestLimit struct {
	perSecond float64 // from all routers together; NoRequestLimit if there is none
	share     float64 // of this router, requests per second
	bucket    admit.Bucket
}

var noLimit = requestLimit{perSecond: NoRequestLimit}

func (l *requestLimit) inForce() bool { return l.perSecond != NoRequestLimit }

// burst returns the number of requests that may be saved up.
func (l *requestLimit) burst() float64 { return max(1, l.share*burstTime.Seconds()) }

// wait returns the time until the limit permits a request, 0 if it does so now.
func (l *requestLimit) wait(now time.Time) time.Duration {
	switch {
	case !l.inForce():
		return 0
	case l.share <= 0:
		return math.MaxInt64
	}
	return l.bucket.Wait(now, l.share, l.burst())
}

func (l *requestLimit) permits(now time.Time) bool { return l.wait(now) == 0 }

// LimitShare returns this router's share of the target's limit in requests per second.
func (t *Target) LimitShare() float64 { return t.limit.share }

// SetShares sets how limits are divided among routers, and divides those in force anew.
func (v *View) SetShares(share fleet.ShareFunc) {
	v.share = share
	for _, t := range v.byID {
		v.divideLimit(t)
	}
}

// SetLimit records the request limit that a target names, and reports whether it
// differs from the one before.
func (v *View) SetLimit(t *Target, perSecond float64) (changed bool) {
	if t.limit.perSecond == perSecond {
		return false
	}
	if !t.limit.inForce() || perSecond == NoRequestLimit {
		t.limit = noLimit // with a full bucket
	}
	t.limit.perSecond = perSecond
	v.divideLimit(t)
	return true
}

func (v *View) divideLimit(t *Target) {
	if t.limit.inForce() && v.share != nil {
		t.limit.share = v.share(t.ID, t.limit.perSecond)
	}
}

// Limited reports whether the target names a request limit.
func (t *Target) Limited() bool { return t.limit.inForce() }

// TakePermit counts a request that Choose chose the target for against its limit.
func (t *Target) TakePermit(now time.Time) {
	if t.Limited() {
		t.limit.bucket.Take(now, t.limit.share, t.limit.burst())
	}
}

// ReturnPermit undoes TakePermit for a request that was not sent.
func (t *Target) ReturnPermit() { t.limit.bucket.Return(t.limit.burst()) }

// Limits returns the number of targets that name a request limit, and this router's
// shares of all their limits in requests per second.
func (v *View) Limits() (targets int, share float64) {
	for _, t := range v.byID {
		if t.Limited() {
			targets++
			share += t.limit.share
		}
	}
	return targets, share
}

// returnTimes spreads the callers that were refused, because all targets are limited or
// turn this router away, over the time in which there is room for them.
type returnTimes struct {
	next    time.Time // when the next caller may return
	refused int       // callers for whom there was no room within their horizon
}

// goldenRatio spreads consecutive multiples evenly over the unit interval.
const goldenRatio = 0.6180339887498949

// ReturnAfter returns when a caller that was refused because Wait was too long should
// return: at the next time that no other caller was given and at which a target takes a
// request, or, if that lies beyond horizon, at some time within it.
func (v *View) ReturnAfter(now time.Time, q Query, horizon time.Duration) time.Duration {
	times := v.returns[q.Service]
	if times == nil {
		times = &returnTimes{}
		v.returns[q.Service] = times
	}
	wait, _ := v.Wait(now, q)
	if wait >= horizon {
		return times.spread(0, horizon)
	}
	interval := v.permitInterval(now, q)
	if interval == 0 {
		return times.spread(wait, horizon)
	}
	if earliest := now.Add(wait); times.next.Before(earliest) {
		times.next = earliest
	}
	after := times.next.Sub(now)
	if after >= horizon {
		return times.spread(wait, horizon)
	}
	times.next = times.next.Add(interval)
	return after
}

// spread returns times between two others that lie evenly over consecutive calls.
func (r *returnTimes) spread(from, to time.Duration) time.Duration {
	r.refused++
	_, fraction := math.Modf(float64(r.refused) * goldenRatio)
	return from + time.Duration(fraction*float64(to-from))
}

// permitInterval returns the mean time between two requests that the limits of a
// service permit this router, 0 if no limit is the reason.
func (v *View) permitInterval(now time.Time, q Query) time.Duration {
	var rate float64
	for _, t := range v.byService[q.Service] {
		if t.Availability(now, q) == ReasonLimited {
			rate += t.limit.share
		}
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}
