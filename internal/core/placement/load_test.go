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
	simMemory      = 355_000
	simSubjects    = 12                   // shared beginnings for each engine and kind
	simLinkDelay   = 3 * time.Millisecond // of a question and its answer, and of a message
	simSeconds     = 20
	// simPause is the longest pause of a stream that callers accept. While that much is
	// waiting to be read, each stream of the engine pauses for longer.
	simPause = 600 * time.Millisecond
)

// simEngine reads prompts one after another.
type simEngine struct {
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
	events  []simEvent // messages under way, in the order of their time
}

type simEvent struct {
	at    time.Duration
	apply func()
}

// choosePolicy returns the engine for a prompt of a router.
type choosePolicy func(s *simulation, now time.Duration, router int, p Prompt) int

func (s *simulation) ranked(p Prompt) []int {
	return route.Ranked(p.Parts[len(p.Parts)-1].Hash, s.ids, Candidates)
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
	"placement": func(s *simulation, now time.Duration, _ int, p Prompt) int {
		ranked := s.ranked(p)
		loads := make([]*Load, len(ranked))
		for i, engine := range ranked {
			load := s.engines[engine].queue.Load(start.Add(now), p)
			loads[i] = &load
		}
		return ranked[Choose(p, 0, loads)]
	},
	"oracle": func(s *simulation, now time.Duration, _ int, p Prompt) int {
		best, bestEnd := 0, time.Duration(0)
		for i, e := range s.engines {
			uncached := p.Tokens - e.held.Load(start.Add(now), p).CachedTokens
			end := max(e.busyUntil, now) + 2*readTime(uncached)
			if i == 0 || end < bestEnd {
				best, bestEnd = i, end
			}
		}
		return best
	},
}

func readTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / simTokensPerMS * float64(time.Millisecond))
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

// play plays the load with a number of routers. delayed is the fraction of prompts that
// wait longer than simPause, reread that of the tokens which an engine reads again.
func play(routers int, choose choosePolicy) (delayed, reread float64) {
	s := &simulation{random: rand.New(rand.NewPCG(1, 1)), chooser: route.NewChooser(1)}
	for i := range simEngines {
		e := &simEngine{queue: NewQueue(), held: NewQueue(), inFlight: make([]int, routers)}
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
		e.busyUntil = max(e.busyUntil, now) + readTime(uncached)
		first := e.busyUntil
		e.inFlight[router]++
		s.after(now+simLinkDelay, func() { e.queue.Begin(start.Add(now), id, p) })
		s.after(first+simLinkDelay, func() { e.queue.FirstEvent(id) })
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
			delayed, reread := play(routers, choose)
			t.Logf("%3d routers, %s: %.4f delayed, %.3f read again", routers, name, delayed, reread)
			if name == "placement" {
				assert.Assert(t, delayed <= 0.01, "%d routers: %.4f of the prompts are delayed", routers, delayed)
				assert.Assert(t, reread <= 0.05, "%d routers: %.3f of the tokens are read again", routers, reread)
			}
		}
	}
}
