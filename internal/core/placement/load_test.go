package placement

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/route"
)

// The load of the largest site on a heavy day, for each engine: prompts of three kinds,
// most of which share their beginning with others, some subjects more than others, in
// clumps, and some prompts ten times as long as the mean.
const (
	simEngines     = 60
	simPerSecond   = 9.5 // prompts for each engine
	simClump       = 3   // prompts that arrive together
	simTokensPerMS = 40.8
	simStartTokens = 400 // what an engine needs for a first event besides reading, as tokens
	simMemory      = 355_000
	simSubjects    = 12                   // shared beginnings for each engine and kind
	simLinkDelay   = 3 * time.Millisecond // of a question and its answer, and of a message
	simSeconds     = 20
	simNoiseTime   = 600 * time.Millisecond // after which it is drawn anew which engines run into noise
	// simPause is the longest pause of a stream that callers accept. While that much is
	// waiting to be read, each stream of the engine pauses for longer.
	simPause = 600 * time.Millisecond
)

// simEngine reads prompts one after another.
type simEngine struct {
	speed     func(time.Duration) float64 // relative to simTokensPerMS
	busyUntil time.Duration
	queue     *Queue // what the relay beside it knows
	held      *Queue // what it holds in memory
	inFlight  []int  // by router
}

// simulation plays prompts against a policy and counts those that wait behind more than
// simPause, and the tokens that are read although another engine holds them.
type simulation struct {
	engines []*simEngine
	ids     []string
	random  *rand.Rand
	chooser *route.Chooser
	known   Known      // of all routers
	events  []simEvent // messages under way, in the order of their time
}

type simEvent struct {
	at    time.Duration
	apply func()
}

// choosePolicy returns the engine for a prompt of a router.
type choosePolicy func(s *simulation, now time.Duration, router int, p Prompt) int

func (s *simulation) ranked(p Prompt) []int {
	return route.Ranked(p.Parts[len(p.Parts)-1].Hash, s.ids, 2*Candidates)
}

// Baselines by name, and the policy under test.
var choosePolicies = map[string]choosePolicy{
	"affinity within twice a router's own mean load": func(s *simulation, _ time.Duration, router int, p Prompt) int {
		candidates := make([]route.Candidate, len(s.engines))
		for i, e := range s.engines {
			candidates[i] = route.Candidate{Target: s.ids[i], InFlight: e.inFlight[router]}
		}
		return s.chooser.Choose(route.Query{PrefixHash: p.Parts[len(p.Parts)-1].Hash}, route.Settings{Choice: policy.Affinity, AffinityLoadBound: 2, AffinitySlack: 3}, candidates)
	},
	"least own requests": func(s *simulation, _ time.Duration, router int, _ Prompt) int {
		candidates := make([]route.Candidate, len(s.engines))
		for i, e := range s.engines {
			candidates[i] = route.Candidate{Target: s.ids[i], InFlight: e.inFlight[router]}
		}
		return s.chooser.Choose(route.Query{}, route.Settings{Choice: policy.LeastLoad}, candidates)
	},
	"tokens that wait": func(s *simulation, now time.Duration, _ int, p Prompt) int {
		ranked, loads := s.loads(now, p)
		for _, l := range loads {
			l.Wait, l.Pace = 0, Pace{}
		}
		return ranked[Choose(Request{Prompt: p}, loads[:Candidates])]
	},
	"placement": func(s *simulation, now time.Duration, _ int, p Prompt) int {
		ranked, loads := s.loads(now, p)
		for i, l := range loads {
			s.known.Add(start.Add(now), s.ids[ranked[i]], l.Pace)
		}
		r := Request{Prompt: p, Usual: s.known.Median(start.Add(now)), Objective: simPause}
		i := Choose(r, loads[:Candidates])
		if r.Late(loads[i]) {
			i = r.Wider(loads, i)
		}
		return ranked[i]
	},
	"oracle": func(s *simulation, now time.Duration, _ int, p Prompt) int {
		best, bestEnd := 0, time.Duration(0)
		for i, e := range s.engines {
			uncached := p.Tokens - e.held.Load(start.Add(now), p).CachedTokens
			end := e.readAt(now, 2*uncached+simStartTokens)
			if i == 0 || end < bestEnd {
				best, bestEnd = i, end
			}
		}
		return best
	},
}

// loads returns the engines with most affinity and what their relays tell.
func (s *simulation) loads(now time.Duration, p Prompt) (ranked []int, loads []*Load) {
	ranked = s.ranked(p)
	for _, engine := range ranked {
		load := s.engines[engine].queue.Load(start.Add(now), p)
		loads = append(loads, &load)
	}
	return ranked, loads
}

// readAt returns when the engine will have read a prompt that arrives now. Its speed
// changes at multiples of simNoiseTime only.
func (e *simEngine) readAt(now time.Duration, tokens int64) time.Duration {
	at, left := max(e.busyUntil, now), float64(tokens)
	for {
		speed := simTokensPerMS * e.speed(at) / float64(time.Millisecond)
		change := (at/simNoiseTime + 1) * simNoiseTime
		if readable := speed * float64(change-at); readable < left {
			at, left = change, left-readable
			continue
		}
		return at + time.Duration(left/speed)
	}
}

// randomPrompt returns a prompt of one of the kinds of the site.
func (s *simulation) randomPrompt() Prompt {
	spread := func(mean float64) int64 { // log-normal with this mean
		return int64(min(mean*math.Exp(s.random.NormFloat64()-0.5), 14*mean))
	}
	kind, shared, own := uint64(1), []float64{2520, 3780}, 2890.0
	switch n := s.random.Float64(); {
	case n < 0.41:
		kind, shared, own = 2, []float64{341, 227}, 1800
	case n < 0.65:
		kind, shared, own = 3, []float64{103, 69}, 543
	}
	subject := uint64(simSubjects * simEngines * math.Pow(s.random.Float64(), 1.5))
	first := kind<<32 | subject%4
	second := kind<<40 | subject
	p := Prompt{Parts: []Part{{first, int64(shared[0])}, {second, int64(shared[0] + shared[1])}}}
	p.Tokens = p.Parts[1].Tokens + spread(own)
	return p
}

// even are engines that are equally fast.
func even(*rand.Rand, int) func(time.Duration) float64 {
	return func(time.Duration) float64 { return 1 }
}

// play plays the load with a number of routers before engines of some speeds. delayed is the fraction of prompts that
// wait longer than simPause, reread that of the tokens which an engine reads again.
func play(routers int, speeds func(r *rand.Rand, engine int) func(time.Duration) float64, choose choosePolicy) (delayed, reread float64) {
	s := &simulation{random: rand.New(rand.NewPCG(1, 1)), chooser: route.NewChooser(1)}
	for i := range simEngines {
		e := &simEngine{speed: speeds(s.random, i), queue: NewQueue(), held: NewQueue(), inFlight: make([]int, routers)}
		e.queue.SetMemory(simMemory)
		e.held.SetMemory(2 * simMemory) // all of it
		s.engines, s.ids = append(s.engines, e), append(s.ids, "engine"+strconv.Itoa(i))
	}
	seen := map[uint64]bool{}
	var prompts, late int
	var tokens, again int64
	for now, id := time.Duration(0), uint64(0); now < simSeconds*time.Second; id++ {
		if id%simClump == 0 {
			now += time.Duration(s.random.ExpFloat64() * simClump / (simPerSecond * simEngines) * float64(time.Second))
		}
		for len(s.events) > 0 && s.events[0].at <= now {
			s.events[0].apply()
			s.events = s.events[1:]
		}
		router, p := s.random.IntN(routers), s.randomPrompt()
		e := s.engines[choose(s, now, router, p)]
		uncached := p.Tokens - e.held.Load(start.Add(now), p).CachedTokens
		held := p.Tokens - uncached
		for _, part := range p.Parts {
			if seen[part.Hash] && part.Tokens > held {
				again += part.Tokens - held
				held = part.Tokens
			}
			seen[part.Hash] = true
		}
		e.held.Begin(start.Add(now), id, p)
		e.held.End(id)
		e.busyUntil = e.readAt(now, uncached+simStartTokens)
		first := e.busyUntil
		e.inFlight[router]++
		s.after(now+simLinkDelay, func() { e.queue.Begin(start.Add(now), id, p) })
		s.after(first+simLinkDelay, func() { e.queue.FirstEvent(start.Add(first), id) })
		s.after(first+500*time.Millisecond, func() { e.queue.End(id); e.inFlight[router]-- })
		prompts++
		tokens += p.Tokens
		if first-now > simPause {
			late++
		}
	}
	return float64(late) / float64(prompts), float64(again) / float64(tokens)
}

// after adds a message that arrives at a time.
func (s *simulation) after(at time.Duration, apply func()) {
	i := len(s.events)
	for i > 0 && s.events[i-1].at > at {
		i--
	}
	s.events = append(s.events, simEvent{})
	copy(s.events[i+1:], s.events[i:])
	s.events[i] = simEvent{at, apply}
}

// Guards against prompts that queue at one engine while others are idle, with few routers
// and with many, and against prompts that are spread so much that engines read again what
// others hold. At most 1 in 100 prompts may wait behind more than callers accept as a
// pause of a stream, and at most 1 in 20 tokens may be read again.
func TestPromptsDoNotQueueBehindEachOther(t *testing.T) {
	for _, routers := range []int{3, 23, 103, 300} {
		for name, choose := range choosePolicies {
			delayed, reread := play(routers, even, choose)
			t.Logf("%3d routers, %s: %.4f delayed, %.3f read again", routers, name, delayed, reread)
			if name == "placement" {
				assert.Assert(t, delayed <= 0.01, "%d routers: %.4f of the prompts are delayed", routers, delayed)
				assert.Assert(t, reread <= 0.05, "%d routers: %.3f of the tokens are read again", routers, reread)
			}
		}
	}
}

// uneven are engines a quarter of which is slow, and a seventh of which runs into noise.
func uneven(r *rand.Rand, engine int) func(time.Duration) float64 {
	speed, seed := []float64{0.55, 1.2, 1.2, 1.2}[engine%4], r.Uint64()
	return func(at time.Duration) float64 {
		if rand.New(rand.NewPCG(seed, uint64(at/simNoiseTime))).Float64() < 0.15 {
			return speed / 2.5
		}
		return speed
	}
}

// Guards against prompts that wait at a slow engine, or at one that runs into noise, while
// a fast one could read them, and against ones that leave theirs without need.
func TestPromptsGoToEnginesThatReadThemSoon(t *testing.T) {
	for _, routers := range []int{3, 23, 103} {
		delays, rereads := map[string]float64{}, map[string]float64{}
		for name, choose := range choosePolicies {
			delays[name], rereads[name] = play(routers, uneven, choose)
			t.Logf("%3d routers, %s: %.4f delayed, %.3f read again", routers, name, delays[name], rereads[name])
		}
		assert.Assert(t, delays["placement"] <= 0.01 && delays["placement"] < delays["tokens that wait"], "%d routers: %v", routers, delays)
		assert.Assert(t, rereads["placement"] <= 0.05, "%d routers: %v", routers, rereads)
	}
}

// Guards against prompts that keep going to an engine which has turned slow, and against an
// engine that gets nothing any more after it was slow.
func TestEngineThatTurnsSlowAndRecovers(t *testing.T) {
	const slowFrom, slowUntil, simEnd = 6 * time.Second, 12 * time.Second, simSeconds * time.Second
	speeds := func(_ *rand.Rand, engine int) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if engine == 0 && at >= slowFrom && at < slowUntil {
				return 0.2
			}
			return 1
		}
	}
	var placed, ofAll [simSeconds]float64 // prompts at the engine and at all, by second
	count := func(s *simulation, now time.Duration, router int, p Prompt) int {
		engine := choosePolicies["placement"](s, now, router, p)
		if now < simEnd {
			ofAll[now/time.Second]++
			if engine == 0 {
				placed[now/time.Second]++
			}
		}
		return engine
	}
	delayed, _ := play(23, speeds, count)
	share := func(from, to int) (share float64) {
		var n, all float64
		for i := from; i < to; i++ {
			n, all = n+placed[i], all+ofAll[i]
		}
		return n / all * simEngines
	}
	before, slow, after := share(2, 6), share(7, 12), share(14, 20)
	t.Logf("share of an even one: %.2f before, %.2f while it is slow, %.2f after; %.4f delayed", before, slow, after, delayed)
	assert.Assert(t, slow <= 0.4 && after >= 0.75*before && delayed <= 0.01)
}

// Guards against a choice by times of which some are lost: all relays start again.
func TestEstimatesOfARestartedRelayAreLost(t *testing.T) {
	restarted := false
	delayed, _ := play(23, uneven, func(s *simulation, now time.Duration, router int, p Prompt) int {
		if !restarted && now > simSeconds*time.Second/2 {
			restarted = true
			for i, e := range s.engines {
				if i%2 == 0 {
					e.queue = NewQueue()
					e.queue.SetMemory(simMemory)
				}
			}
		}
		return choosePolicies["placement"](s, now, router, p)
	})
	t.Logf("%.4f delayed", delayed)
	assert.Assert(t, restarted && delayed <= 0.01)
}
