package targets

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
)

// Guards against a router that sends more or less than its share of a limit.
func TestChooseKeepsTheRequestLimit(t *testing.T) {
	v := newTestView("1", "2")
	v.SetShares(func(string, fleet.Rate) float64 { return 2 }, 1)
	assert.Assert(t, v.SetLimit(v.Target("1"), 4))
	assert.Assert(t, !v.SetLimit(v.Target("1"), 4))
	limited := 0
	for i := range 100 { // in 10 s
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		target := v.Choose(at, Query{Service: "s"})
		target.TakePermit(at)
		target.BeginRequest()
		if target.ID == "1" {
			limited++
			target.EndRequest()
		}
	}
	assert.Assert(t, limited >= 19 && limited <= 21, "%d requests in 10 s under a share of 2 a second", limited)
}

// Guards against a limit that outlasts its withdrawal or a new start of the target.
func TestRequestLimitEnds(t *testing.T) {
	v := newTestView("1")
	v.SetShares(func(string, fleet.Rate) float64 { return 0 }, 1)
	v.SetLimit(v.Target("1"), 1)
	assert.Assert(t, v.Choose(now, Query{Service: "s"}) == nil)
	v.SetLimit(v.Target("1"), NoRequestLimit)
	assert.Assert(t, v.Choose(now, Query{Service: "s"}) != nil)
	v.SetLimit(v.Target("1"), 1)
	r := registration("1")
	r.StartedMS = 2
	v.Put(r)
	assert.Assert(t, v.Choose(now, Query{Service: "s"}) != nil)
}

// Guards against a share that is used up by attempts that did not reach the target.
func TestPermitOfAnUnsentAttemptIsReturned(t *testing.T) {
	v := newTestView("1")
	v.SetShares(func(string, fleet.Rate) float64 { return 1 }, 1)
	target := v.Target("1")
	v.SetLimit(target, 1)
	assert.Equal(t, v.Choose(now, Query{Service: "s"}), target)
	target.TakePermit(now)
	assert.Assert(t, v.Choose(now, Query{Service: "s"}) == nil)
	target.ReturnPermit(now)
	assert.Equal(t, v.Choose(now, Query{Service: "s"}), target)
}

// Guards against refused callers who return together, before there is room or too late.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	v := newTestView("1")
	v.SetShares(func(string, fleet.Rate) float64 { return 10 }, 1)
	v.SetLimit(v.Target("1"), 10)
	q := Query{Service: "s"}
	for v.Choose(now, q) != nil {
		v.Target("1").TakePermit(now)
	}
	const horizon = time.Second
	var returns []time.Duration
	for range 30 {
		after := v.ReturnAfter(now, q, horizon)
		assert.Assert(t, after > 0 && after < horizon, "%v", after)
		returns = append(returns, after)
	}
	assert.Assert(t, slices.IsSorted(returns[:9]))
	assert.Assert(t, returns[8]-returns[0] >= 750*time.Millisecond, "nine callers return within %v", returns[8]-returns[0])
	slices.Sort(returns)
	assert.Equal(t, len(slices.Compact(returns)), 30)
}

// fleetLoad is a load on routers whose targets all name the same request limit. The
// first router that a target answers learns of its limit and tells the others.
type fleetLoad struct {
	routers, targets int
	perTarget        float64 // limit, requests per second
	demand           float64 // requests per second at all routers together, which arrive at random
}

func (l fleetLoad) String() string {
	return fmt.Sprintf("%d routers, %d targets, limit %g", l.routers, l.targets, l.perTarget)
}

// tellDelay is how long a limit takes from one router to the others.
const tellDelay = 200 * time.Millisecond

// play plays the load for a time and returns the times of the requests by target, and
// the number of requests that were refused.
func (l fleetLoad) play(duration time.Duration) (sent map[string][]time.Time, refused int) {
	random := rand.New(rand.NewPCG(1, 2))
	var names []string
	for i := range l.routers {
		names = append(names, fmt.Sprint("router-", i))
	}
	var views []*View
	for i := range l.routers {
		v := NewView(uint64(i))
		for j := range l.targets {
			v.Put(registration(fmt.Sprint(j)))
		}
		v.SetShares(func(target string, rate fleet.Rate) float64 {
			return fleet.Share(rate, target, names, names[i])
		}, l.routers)
		views = append(views, v)
	}
	type telling struct {
		at     time.Duration
		target string
	}
	var tellings []telling
	known := make([]int, l.routers) // number of tellings that each router has got
	sent = map[string][]time.Time{}
	for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() / l.demand * float64(time.Second)) {
		router := random.IntN(l.routers)
		v := views[router]
		for ; known[router] < len(tellings) && tellings[known[router]].at+tellDelay <= at; known[router]++ {
			v.SetLimit(v.Target(tellings[known[router]].target), l.perTarget)
		}
		target := v.Choose(now.Add(at), Query{Service: "s"})
		if target == nil {
			refused++
			continue
		}
		target.TakePermit(now.Add(at))
		if v.SetLimit(target, l.perTarget) {
			tellings = append(tellings, telling{at, target.ID})
		}
		sent[target.ID] = append(sent[target.ID], now.Add(at))
	}
	return sent, refused
}

// Guards against limits that are exceeded, or not used, under twice the load that they allow.
func TestFleetUnderTwiceItsLimits(t *testing.T) {
	const (
		duration = 30 * time.Second
		window   = 4 * time.Second
		told     = 3 * time.Second // the users' rule binds from then on
	)
	for _, l := range []fleetLoad{
		{routers: 3, targets: 12, perTarget: 0.5},
		{routers: 3, targets: 12, perTarget: 1},
		{routers: 3, targets: 3, perTarget: 100},
		{routers: 23, targets: 60, perTarget: 1},
		{routers: 23, targets: 12, perTarget: 10},
		{routers: 300, targets: 350, perTarget: 4},
	} {
		l.demand = 2 * l.perTarget * float64(l.targets)
		sent, _ := l.play(duration)
		total := 0
		for target, times := range sent {
			times = slices.DeleteFunc(times, func(at time.Time) bool { return at.Before(now.Add(told)) })
			total += len(times)
			for first := range times {
				n := first
				for n < len(times) && times[n].Sub(times[first]) < window {
					n++
				}
				assert.Assert(t, float64(n-first) <= 1.5*window.Seconds()*l.perTarget+5, "%v: target %s gets %d requests in 4 s", l, target, n-first)
			}
		}
		allowed := l.perTarget * float64(l.targets) * (duration - told).Seconds()
		assert.Assert(t, float64(total) >= 0.75*allowed, "%v: %d requests served, the limits allow %.0f", l, total, allowed)
	}
}
