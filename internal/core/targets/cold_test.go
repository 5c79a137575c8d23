package targets

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
)

// coldRate is the limit of the tests, in requests per second. allowedCold is the users'
// bound on what comes in any second: half as much more, and five.
const (
	coldRate    = 11
	allowedCold = coldRate*1.5 + 5
)

// newColdView returns the view of one of the routers on target 1, which is cold for 3 s.
func newColdView(self string, routers []string) *View {
	v := newTestView("1")
	v.SetColdLimits(map[string]ColdLimit{"s": {PerSecond: coldRate, For: 3 * time.Second}})
	v.SetShares(func(target string, rate fleet.Rate) float64 {
		return fleet.Share(rate, target, routers, self)
	}, len(routers))
	v.SetRegisteredCold(now, v.Target("1"), 3*time.Second)
	return v
}

// busiestSecond returns the most requests that routers send to the target in any second, if
// there are 40 times as many as it takes; and the mean rate.
func busiestSecond(views []*View) (most int, mean float64) {
	random := rand.New(rand.NewPCG(1, 2))
	var sent []time.Duration
	for at := time.Duration(0); at < 3*time.Second; at += time.Second / (40 * coldRate) {
		v := views[random.IntN(len(views))]
		if at < time.Second/2 { // all routers use what they have saved up
			for _, v := range views {
				sent = v.sendAt(sent, at)
			}
		}
		sent = v.sendAt(sent, at)
	}
	for i := range sent {
		j := i
		for j < len(sent) && sent[j]-sent[i] <= time.Second {
			j++
		}
		most = max(most, j-i)
	}
	return most, float64(len(sent)) / 3
}

func (v *View) sendAt(sent []time.Duration, at time.Duration) []time.Duration {
	if t := v.Choose(now.Add(at), Query{Service: "s"}); t != nil {
		t.TakePermit(now.Add(at))
		return append(sent, at)
	}
	return sent
}

// Guards against routers that together send a cold target more than it takes in some
// second, also if some of them do not see all others, or that leave it unused.
func TestColdTargetOfManyRouters(t *testing.T) {
	for _, routers := range []int{1, 3, 23, 103} {
		var names []string
		for i := range routers {
			names = append(names, fmt.Sprint("router-", i))
		}
		var views, differing []*View
		for i, self := range names {
			views = append(views, newColdView(self, names))
			seen := names[:i+1]
			if i < routers-routers/10 {
				seen = names[:routers-routers/10]
			}
			differing = append(differing, newColdView(self, seen))
		}
		most, mean := busiestSecond(views)
		assert.Assert(t, most <= coldRate, "%d routers send %d requests in a second", routers, most)
		assert.Assert(t, mean >= coldRate/2., "%d routers send %g requests a second", routers, mean)
		most, _ = busiestSecond(differing)
		assert.Assert(t, float64(most) <= allowedCold, "%d routers of which some are not seen send %d requests in a second", routers, most)
	}
}

// Guards against a cold target that stays limited for good, that is limited without need,
// or whose state is lost with its registration.
func TestColdEnds(t *testing.T) {
	v := newColdView("r", []string{"r"})
	target := v.Target("1")
	end := now.Add(3 * time.Second)
	assert.Assert(t, target.Limited(end.Add(-1)) && !target.Limited(end))
	assert.Assert(t, !v.SetRegisteredCold(now.Add(time.Second), target, 1900*time.Millisecond), "only counted down")
	v.Remove("1")
	target = v.Put(registration("1"))
	assert.Assert(t, target.Cold(now.Add(2*time.Second)))
	assert.Assert(t, v.HearCold(end, target, time.Hour), "cold again")
	assert.Assert(t, !target.Cold(end.Add(MaxCold)))
	assert.Assert(t, v.HearCold(end, target, 0))
	assert.Assert(t, !target.Cold(end))
	v.SetRegisteredCold(end, target, ColdUnknown)
	assert.Assert(t, !target.Cold(end))
	r := registration("1")
	r.StartedMS = 2
	v.SetRegisteredCold(end, target, time.Second)
	assert.Assert(t, !v.Put(r).Cold(end), "a new start")
	v.AssumeCold(end, v.Target("1"))
	assert.Equal(t, v.Target("1").ColdLeft(end), 3*time.Second)
	v.SetColdLimits(nil)
	assert.Assert(t, !v.Target("1").Limited(end), "the service does not limit cold targets")
}

// Guards against a target that is cold and names a limit, and gets more than the lower one.
func TestLowerOfTwoLimitsIsInForce(t *testing.T) {
	v := newColdView("r", []string{"r"})
	target := v.Target("1")
	assert.Equal(t, target.LimitShare(now), 0.8*coldRate)
	v.SetLimit(target, 2)
	assert.Equal(t, target.LimitShare(now), 2.)
	v.SetLimit(target, 100)
	assert.Equal(t, target.LimitShare(now), 0.8*coldRate)
	assert.Equal(t, target.LimitShare(now.Add(3*time.Second)), 100.)
	target.TakePermit(now)
	for range 20 {
		target.TakePermit(now)
	}
	assert.Equal(t, v.Reasons(now, Query{Service: "s"}).String(), "1 cold")
	v.SetLimit(target, NoRequestLimit)
	assert.Equal(t, v.Reasons(now, Query{Service: "s"}).String(), "1 cold", "what was used counts on")
	wait, ok := v.Wait(now, Query{Service: "s"})
	assert.Assert(t, ok && wait > 0 && wait < time.Second)
}

// Guards against cold targets that are preferred because they are idle, and against warm
// ones that must take more than they have room for.
func TestWarmTargetsArePreferred(t *testing.T) {
	v := newColdView("r", []string{"r"})
	warm := registration("2")
	warm.Slots = 4
	v.Put(warm)
	for _, q := range []Query{{Service: "s"}, {Service: "s", PrefixHash: 7}} {
		v.Target("2").InFlight = 3
		for range 10 {
			assert.Equal(t, v.Choose(now, q).ID, "2")
			assert.Equal(t, len(v.Ranked(now, q, 3)), 1)
		}
		v.Target("2").InFlight = 4
		assert.Equal(t, len(v.Ranked(now, q, 3)), 2)
	}
	assert.Equal(t, v.Choose(now, Query{Service: "s"}).ID, "1")
}
