package targets

import (
	"math"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/robust"
)

// Targets of a service may differ in speed, and some run into noise for some hundred
// milliseconds. A router sees 0.1 to 2 answers a second of each: too few to see noise in
// time, enough to see which targets are slow for longer.
const (
	// paceMemory is the time constant with which answers are forgotten, so that a target
	// that was slow counts as before soon, also without answers.
	paceMemory = 10 * time.Second
	// paceSamples is the number of answers that the pace of a target reflects, and
	// usualSamples that of the usual time of a route. maxPaceStep bounds what an answer
	// counts, as a difference of logarithms.
	paceSamples  = 8
	usualSamples = 64
	maxPaceStep  = 1
	// pacePrior is the number of answers with which a target counts as fast as all others.
	pacePrior = 2
	// maxSlowness bounds how much less a slow target gets than the others. What it gets
	// shows when it has recovered.
	maxSlowness = 8
	// paceSpread is the spread of the choice in requests in flight. Targets without
	// requests of this router are chosen in proportion to their speed; one more request
	// counts more than chance.
	paceSpread = 0.25
	// maxPaceRoutes bounds the routes whose usual times are known.
	maxPaceRoutes = 1024
)

// pace is how long a target's answers take, relative to those of all targets on the same
// routes.
type pace struct {
	ratio robust.Mean
	at    time.Time // of the latest answer
}

func newPace() pace { return pace{ratio: robust.NewMean(paceSamples, maxPaceStep)} }

func (p *pace) forget(now time.Time) {
	if age := now.Sub(p.at); age > 0 {
		p.ratio.Forget(math.Exp(-age.Seconds() / paceMemory.Seconds()))
		p.at = now
	}
}

// slowness returns how many times as long an answer takes as at other targets.
func (p *pace) slowness(now time.Time) float64 {
	p.forget(now)
	return min(max(p.ratio.Towards(1, pacePrior), 1.0/maxSlowness), maxSlowness)
}

// Slowness returns how many times as long as at other targets an answer of the target
// takes, as far as this router knows.
func (t *Target) Slowness(now time.Time) float64 { return t.pace.slowness(now) }

// RecordAnswer records how long a target took to answer a request of a route.
func (v *View) RecordAnswer(now time.Time, t *Target, route string, took time.Duration) {
	usual := v.usualTimes[route]
	if usual == nil {
		if len(v.usualTimes) >= maxPaceRoutes {
			clear(v.usualTimes)
		}
		mean := robust.NewMean(usualSamples, maxPaceStep)
		usual = &mean
		v.usualTimes[route] = usual
	}
	if usual.Known() {
		t.pace.forget(now)
		t.pace.at = now
		t.pace.ratio.Add(took.Seconds() / usual.Value())
	}
	usual.Add(took.Seconds())
}

// soonest returns the target that is expected to answer soonest: the least requests of
// this router in flight, times what each takes there. Among targets without requests the
// choice is random, in proportion to their speed.
func (v *View) soonest(now time.Time, candidates []*Target) (best *Target) {
	least := math.Inf(1)
	for _, t := range candidates {
		if cost := (float64(t.InFlight) + paceSpread*v.random.ExpFloat64()) * t.pace.slowness(now); cost < least {
			best, least = t, cost
		}
	}
	return best
}
