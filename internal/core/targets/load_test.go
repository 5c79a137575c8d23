package targets

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load of a service that is not an engine: a few targets with a few slots each, one of
// which is slow, noise that makes a seventh of them slower by 2.5 for some hundred
// milliseconds, and routers that each see a few answers a second.
const (
	simTargets   = 4
	simSlots     = 6
	simWork      = 15 * time.Millisecond // mean, at a target of speed 1
	simNoise     = 2.5
	simNoiseTime = 600 * time.Millisecond
	simObjective = 120 * time.Millisecond
	simTime      = 40 * time.Second
)

type simTarget struct {
	speed func(time.Duration) float64
	busy  [simSlots]time.Duration // until when each slot is
}

// end returns when a request that arrives now would be answered, and the slot.
func (s *simTarget) end(now, work time.Duration) (end time.Duration, slot int) {
	for i, until := range s.busy {
		if until < s.busy[slot] {
			slot = i
		}
	}
	begin := max(now, s.busy[slot])
	return begin + time.Duration(float64(work)/s.speed(begin)), slot
}

// simChoice returns the target for a request of a router.
type simChoice func(v *View, now time.Time, work time.Duration, random *rand.Rand) int

// play returns the part of the answers that take longer than the objective, the mean of
// all in milliseconds, and the part of each target.
func play(routers int, perSecond float64, targets []*simTarget, choose simChoice) (late, mean float64, share []float64) {
	random := rand.New(rand.NewPCG(1, 1))
	views := make([]*View, routers)
	for i := range views {
		views[i] = NewView(uint64(i))
		for j := range simTargets {
			views[i].Put(Registration{ID: strconv.Itoa(j), Service: "app"})
		}
	}
	type answer struct {
		at, took time.Duration
		view     *View
		target   *Target
	}
	var answers []answer // in the order of their time
	share = make([]float64, simTargets)
	requests := 0.0
	start := time.Unix(1000, 0)
	for now := time.Duration(0); now < simTime; requests++ {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		for len(answers) > 0 && answers[0].at <= now {
			a := answers[0]
			a.target.EndRequest()
			a.view.RecordAnswer(start.Add(a.at), a.target, "route", a.took)
			answers = answers[1:]
		}
		work := time.Duration(math.Exp(random.NormFloat64()*0.5-0.125) * float64(simWork))
		v := views[random.IntN(routers)]
		i := choose(v, start.Add(now), work, random)
		end, slot := targets[i].end(now, work)
		targets[i].busy[slot] = end
		t := v.Target(strconv.Itoa(i))
		t.BeginRequest()
		at := len(answers)
		for at > 0 && answers[at-1].at > end {
			at--
		}
		answers = append(answers, answer{})
		copy(answers[at+1:], answers[at:])
		answers[at] = answer{end, end - now, v, t}
		share[i]++
		mean += (end - now).Seconds() * 1000
		if end-now > simObjective {
			late++
		}
	}
	for i := range share {
		share[i] /= requests
	}
	return late / requests, mean / requests, share
}

func simTargetsOf(speed func(target int, at time.Duration) float64) (targets []*simTarget) {
	for i := range simTargets {
		targets = append(targets, &simTarget{speed: func(at time.Duration) float64 {
			noise := rand.New(rand.NewPCG(uint64(i), uint64(at/simNoiseTime)))
			if noise.Float64() < 0.15 {
				return speed(i, at) / simNoise
			}
			return speed(i, at)
		}})
	}
	return targets
}

func soonest(v *View, now time.Time, _ time.Duration, _ *rand.Rand) int {
	t := v.Choose(now, Query{Service: "app"})
	i, _ := strconv.Atoi(t.ID)
	return i
}

// fewest is the choice of before: the fewest requests of this router.
func fewest(v *View, _ time.Time, _ time.Duration, random *rand.Rand) (best int) {
	least := math.Inf(1)
	for i := range simTargets {
		if n := float64(v.Target(strconv.Itoa(i)).InFlight) + random.Float64()/2; n < least {
			best, least = i, n
		}
	}
	return best
}

// oracle sees all requests of all routers, and the speed at this moment.
func oracle(targets []*simTarget) simChoice {
	return func(_ *View, now time.Time, work time.Duration, _ *rand.Rand) (best int) {
		var least time.Duration
		for i, t := range targets {
			if end, _ := t.end(now.Sub(time.Unix(1000, 0)), work); i == 0 || end < least {
				best, least = i, end
			}
		}
		return best
	}
}

// Guards against a slow target that gets as much as a fast one, so that its queue grows
// while others are idle, and against targets of one speed that are served worse.
func TestSlowTargetGetsItsShare(t *testing.T) {
	uneven := func(target int, _ time.Duration) float64 { return []float64{0.4, 1.2, 1.2, 1.2}[target] }
	even := func(int, time.Duration) float64 { return 1 }
	for _, routers := range []int{3, 23, 103} {
		for _, load := range []float64{130, 700, 1000} {
			for name, speed := range map[string]func(int, time.Duration) float64{"uneven": uneven, "even": even} {
				report := func(policy string, choose simChoice, targets []*simTarget) (late, mean float64, share []float64) {
					late, mean, share = play(routers, load, targets, choose)
					t.Logf("%3d routers, %4.0f a second, %s, %s: %.4f late, %.1f ms, shares %.2f", routers, load, name, policy, late, mean, share)
					return late, mean, share
				}
				before, meanBefore, _ := report("fewest own requests", fewest, simTargetsOf(speed))
				late, mean, share := report("soonest", soonest, simTargetsOf(speed))
				targets := simTargetsOf(speed)
				report("oracle", oracle(targets), targets)
				if name == "uneven" {
					assert.Assert(t, late <= before && mean <= meanBefore, "%.4f late instead of %.4f, %.1f ms instead of %.1f", late, before, mean, meanBefore)
					assert.Assert(t, share[0] >= 0.04 && share[0] <= 0.2)
				} else {
					assert.Assert(t, mean <= 1.05*meanBefore && late <= before+0.005, "%.4f late instead of %.4f, %.1f ms instead of %.1f", late, before, mean, meanBefore)
				}
			}
		}
	}
}

// Guards against a target that gets nothing any more after it was slow, and against one
// that gets as much as before while it is slow.
func TestTargetThatTurnsSlowAndRecovers(t *testing.T) {
	const slowFrom, slowUntil = 10 * time.Second, 20 * time.Second
	speed := func(target int, at time.Duration) float64 {
		if target == 0 && at >= slowFrom && at < slowUntil {
			return 0.2
		}
		return 1
	}
	var placed, all [simTime / time.Second]float64
	count := func(v *View, now time.Time, work time.Duration, random *rand.Rand) int {
		i, second := soonest(v, now, work, random), min(int(now.Unix()-1000), len(all)-1)
		all[second]++
		if i == 0 {
			placed[second]++
		}
		return i
	}
	play(23, 300, simTargetsOf(speed), count)
	share := func(from, to int) (share float64) {
		var n, of float64
		for i := from; i < to; i++ {
			n, of = n+placed[i], of+all[i]
		}
		return n / of
	}
	before, slow, after := share(2, 10), share(13, 20), share(30, 39)
	t.Logf("share %.2f before, %.2f while it is slow, %.2f ten seconds after", before, slow, after)
	assert.Assert(t, slow >= 0.02 && slow <= 0.15 && after >= 0.8*before)
}
