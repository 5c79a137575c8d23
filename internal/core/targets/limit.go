package targets

import (
	"math"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
)

// NoRequestLimit is the request limit of a target that names none.
var NoRequestLimit = math.Inf(1)

// requestLimit is the request limit of a target, and this router's use of it. Its sources
// are the target, which may name a limit, and its service's limit for cold targets.
type requestLimit struct {
	perSecond float64 // that the target names; NoRequestLimit if there is none
	share     float64 // of this router, requests per second
	coldShare float64 // of this router while the target is cold; at most that of either source
	bucket    admit.Bucket
}

var noLimit = requestLimit{perSecond: NoRequestLimit}

// burst returns the number of requests that may be saved up under a share.
func burst(share float64) float64 { return max(1, share*fleet.BurstTime.Seconds()) }

// Limited reports whether a limit on the target's requests is in force: it names one, or it
// is cold.
func (t *Target) Limited(now time.Time) bool {
	return t.limit.perSecond != NoRequestLimit || t.Cold(now)
}

// LimitShare returns this router's share of the target's limit in requests per second.
func (t *Target) LimitShare(now time.Time) float64 {
	if t.Cold(now) {
		return t.limit.coldShare
	}
	return t.limit.share
}

// limitWait returns the time until the limit permits a request, 0 if it does so now.
func (t *Target) limitWait(now time.Time) time.Duration {
	if !t.Limited(now) {
		return 0
	}
	wait := time.Duration(math.MaxInt64)
	if share := t.LimitShare(now); share > 0 {
		wait = t.limit.bucket.Wait(now, share, burst(share))
	}
	if t.Cold(now) {
		wait = min(wait, t.coldUntil().Sub(now))
	}
	return wait
}

func (t *Target) permits(now time.Time) bool { return t.limitWait(now) == 0 }

// SetShares sets how limits are divided among a number of routers, and divides those in
// force anew.
func (v *View) SetShares(share fleet.ShareFunc, routers int) {
	v.share, v.routers = share, routers
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
	t.limit.perSecond = perSecond
	v.divideLimit(t)
	return true
}

func (v *View) divideLimit(t *Target) {
	if v.share == nil {
		return
	}
	if t.limit.perSecond != NoRequestLimit {
		t.limit.share = v.share(t.ID, fleet.Rate{PerSecond: t.limit.perSecond})
	}
	if cold := v.coldLimits[t.Service]; cold.PerSecond > 0 {
		t.limit.coldShare = v.share(t.ID, fleet.Rate{PerSecond: t.limit.perSecond, InSecond: cold.PerSecond})
	}
}

// TakePermit counts a request that Choose chose the target for against its limit.
func (t *Target) TakePermit(now time.Time) {
	if t.Limited(now) {
		share := t.LimitShare(now)
		t.limit.bucket.Take(now, share, burst(share))
	}
}

// ReturnPermit undoes TakePermit for a request that was not sent.
func (t *Target) ReturnPermit(now time.Time) {
	if t.Limited(now) {
		t.limit.bucket.Return(burst(t.LimitShare(now)))
	}
}

// Limits returns the number of targets with a limit in force, of those that are cold among
// them, and this router's shares of all their limits in requests per second.
func (v *View) Limits(now time.Time) (targets, cold int, share float64) {
	for _, t := range v.byID {
		if t.Limited(now) {
			targets++
			share += t.LimitShare(now)
		}
		if t.Cold(now) {
			cold++
		}
	}
	return targets, cold, share
}

// returnTimes spreads the callers that were refused, because all targets are limited or
// turn this router away, over the time in which there is room for them.
type returnTimes struct {
	next    time.Time // when the next caller may return
	refused int       // callers for whom there was no room within their horizon
}

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
	return from + time.Duration(admit.EvenFraction(r.refused)*float64(to-from))
}

// permitInterval returns the mean time between two requests that the limits of a
// service permit this router, 0 if no limit is the reason.
func (v *View) permitInterval(now time.Time, q Query) time.Duration {
	var rate float64
	for _, t := range v.byService[q.Service] {
		if t.Availability(now, q).limited() {
			rate += t.LimitShare(now)
		}
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}
