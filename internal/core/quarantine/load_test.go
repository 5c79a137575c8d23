package quarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

// load is a load of prompts, one part of which crashes engines.
type load struct {
	gateways, engines int
	soundRate         float64 // prompts a second
	badRate           float64 // of prompts with the crashing part
	badAt             int     // place of the crashing part: 0, 1 or 2
	rareFirst         bool    // only one sound prompt in a hundred shares the first part
	waves             bool    // a fifth of the engines fails every 5 s for another reason
	storm             storm
	documents         int  // second parts; 0 for 60
	attempts          int  // runs of a request, each sent when the one before is known to be broken; 0 for 1
	slow              bool // engines take twice as long to begin an answer
	repeats           int  // further times that a caller sends a request whose runs were all broken
}

// storm is a time in which engines crash again and again for another reason.
type storm struct {
	share           float64 // of the engines, at each time
	every, down     time.Duration
	begins, ends    time.Duration
	withoutRequests bool // reports do not tell the request
	withoutChance   bool // reports do not tell how often crashes break runs without the part
}

// simRun is a run in progress.
type simRun struct {
	*prompt
	gateway, engine        int
	levels                 []int
	beginsAt, progressesAt time.Duration
}

// prompt is a request.
type prompt struct {
	content quarantine.Part
	parts   []quarantine.Part
	bad     bool
	sent    int // runs
}

// simulation plays a load on trackers of gateways that learn of each other's reports
// after a delay.
type simulation struct {
	load
	random     *rand.Rand
	now        time.Duration
	trackers   []*quarantine.PartTracker
	background []*quarantine.Background // of the gateways
	runs       []*simRun
	contents   quarantine.Part
	downTo     []time.Duration // of engines
	crashes    uint64
	messages   []message

	badCrashes []time.Duration
	badSent    []time.Duration
	sound      int // prompts sent after the last crash that the crashing part caused
	refused    int // of them
}

// maxRequestCrashes is the number of crashes after which a request is refused by itself.
const maxRequestCrashes = 3

// message is a change that a gateway learns of later.
type message struct {
	at      time.Duration
	gateway int
	apply   func(*quarantine.PartTracker)
}

const (
	badPart     = quarantine.Part(1 << 40)
	simStep     = 5 * time.Millisecond
	simTime     = 30 * time.Second
	restartTime = 4 * time.Second
	detectTime  = 45 * time.Millisecond
	stableTime  = 3 * time.Second
	repeatTime  = 200 * time.Millisecond // after which a caller sends a request again
)

func simulate(l load, seed uint64) *simulation {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(seed, 1)), downTo: make([]time.Duration, l.engines)}
	for range l.gateways {
		s.trackers = append(s.trackers, quarantine.NewPartTracker())
		s.background = append(s.background, &quarantine.Background{})
	}
	nextWave, nextStorm := 5*time.Second, l.storm.begins
	for ; s.now < simTime; s.now += simStep {
		s.deliver()
		for range s.arrivals(l.soundRate) {
			s.send(s.newPrompt(s.soundPrompt(), false))
		}
		for range s.arrivals(l.badRate) {
			s.send(s.newPrompt(s.badPrompt(), true))
		}
		s.progress()
		if l.waves && s.now >= nextWave {
			nextWave += 5 * time.Second
			for engine := range l.engines / 5 {
				s.crash((engine*7+int(s.now/time.Second))%l.engines, restartTime)
			}
		}
		if l.storm.every > 0 && s.now >= nextStorm && s.now < l.storm.ends {
			nextStorm += l.storm.every
			for _, engine := range s.random.Perm(l.engines)[:int(l.storm.share*float64(l.engines))] {
				s.crash(engine, l.storm.down)
			}
		}
	}
	return s
}

func (s *simulation) newPrompt(parts []quarantine.Part, bad bool) *prompt {
	s.contents++
	return &prompt{content: s.contents, parts: parts, bad: bad}
}

func (s *simulation) arrivals(rate float64) (n int) {
	expected := rate * simStep.Seconds()
	n = int(expected)
	if s.random.Float64() < expected-float64(n) {
		n++
	}
	return n
}

// soundPrompt returns one of three first parts and one of 60 second ones, some more common.
func (s *simulation) soundPrompt() []quarantine.Part {
	firstPart := quarantine.Part(100 + s.random.IntN(3))
	if s.rareFirst && s.random.IntN(100) != 0 {
		firstPart = 103
	}
	second := s.random.Float64()
	return []quarantine.Part{firstPart, quarantine.Part(200 + int(float64(cmp.Or(s.documents, 60))*second*second))}
}

// badPrompt returns the parts of a sound prompt with the crashing part among them.
func (s *simulation) badPrompt() []quarantine.Part {
	parts := s.soundPrompt()
	if s.rareFirst {
		parts[0] = 100
	}
	return slices.Insert(parts, s.badAt, badPart)
}

func (s *simulation) send(p *prompt) {
	gateway := s.random.IntN(s.gateways)
	tracker := s.trackers[gateway]
	refused := tracker.Find(p.parts) >= 0
	if first := p.sent == 0; first && !p.bad && (s.storm.every > 0 || len(s.badCrashes) > 0) {
		s.sound++
		if refused {
			s.refused++
		}
	}
	engine := s.random.IntN(s.engines)
	for range s.engines {
		if s.downTo[engine] <= s.now {
			break
		}
		engine = (engine + 1) % s.engines
	}
	if refused || s.downTo[engine] > s.now {
		return
	}
	p.sent++
	r := &simRun{gateway: gateway, engine: engine, prompt: p}
	beginsAfter := time.Duration(50+s.random.IntN(300)) * time.Millisecond
	if s.slow {
		beginsAfter *= 2
	}
	r.beginsAt = s.now + beginsAfter
	r.progressesAt = r.beginsAt + time.Duration(250+s.random.IntN(250))*time.Millisecond
	for _, part := range p.parts {
		r.levels = append(r.levels, tracker.Level(part))
	}
	if p.bad {
		s.badSent = append(s.badSent, s.now)
	}
	s.runs = append(s.runs, r)
}

// progress crashes the engines of bad runs that begin, and ends sound ones.
func (s *simulation) progress() {
	for _, r := range slices.Clone(s.runs) {
		if r.bad && s.now >= r.beginsAt && s.downTo[r.engine] <= s.now {
			s.badCrashes = append(s.badCrashes, s.now)
			if s.storm.every == 0 {
				s.sound, s.refused = 0, 0
			}
			s.crash(r.engine, restartTime)
		}
	}
	s.runs = slices.DeleteFunc(s.runs, func(r *simRun) bool {
		if s.now < r.progressesAt {
			return false
		}
		s.background[r.gateway].Sound(now.Add(s.now))
		for _, part := range r.parts {
			for _, report := range s.trackers[r.gateway].Clear(part) {
				s.tell(r.gateway, func(t *quarantine.PartTracker) { t.Withdraw(part, report.Crash, report.Level) })
			}
		}
		return true
	})
}

// crash ends an engine. The gateways report its runs a little later.
func (s *simulation) crash(engine int, down time.Duration) {
	s.crashes++
	crash := s.crashes
	s.downTo[engine] = s.now + down
	s.runs = slices.DeleteFunc(s.runs, func(r *simRun) bool {
		if r.engine != engine {
			return false
		}
		begun := s.now >= r.beginsAt
		s.messages = append(s.messages, message{s.now + detectTime, r.gateway, func(t *quarantine.PartTracker) {
			s.report(r, t, crash, begun)
			s.sendAgain(r.prompt)
		}})
		return true
	})
}

// report reports a run that was in flight at a crash.
func (s *simulation) report(r *simRun, t *quarantine.PartTracker, crash uint64, begun bool) {
	at := now.Add(s.now)
	s.background[r.gateway].Broken(at, crash)
	for depth, part := range r.parts {
		report := quarantine.PartReport{Part: part, Crash: crash, Level: t.NextLevel(part, r.levels[depth]), Depth: depth, Strong: begun}
		if !s.storm.withoutRequests {
			report.Request = r.content
		}
		if !s.storm.withoutChance {
			report.Chance = s.background[r.gateway].Share(at, t.CrashesOf(part, crash))
		}
		if t.Report(at, report) {
			s.tell(r.gateway, func(t *quarantine.PartTracker) { t.Report(at, report) })
		}
	}
}

// sendAgain sends a request whose run was broken, as often as it may be.
func (s *simulation) sendAgain(p *prompt) {
	attempts := max(s.attempts, 1)
	if p.sent >= min(attempts*(s.repeats+1), maxRequestCrashes) {
		return
	}
	if p.sent%attempts != 0 {
		s.send(p)
		return
	}
	s.messages = append(s.messages, message{s.now + repeatTime, 0, func(*quarantine.PartTracker) { s.send(p) }})
}

// tell applies a change of one gateway at the others after the time that the table takes.
func (s *simulation) tell(from int, apply func(*quarantine.PartTracker)) {
	for gateway := range s.trackers {
		if gateway != from {
			delay := time.Duration(15+s.random.IntN(60)) * time.Millisecond
			s.messages = append(s.messages, message{s.now + delay, gateway, apply})
		}
	}
}

func (s *simulation) deliver() {
	pending := s.messages
	s.messages = nil
	for _, m := range pending {
		if m.at > s.now {
			s.messages = append(s.messages, m)
			continue
		}
		m.apply(s.trackers[m.gateway])
	}
}

// late returns the number of prompts with the crashing part that were sent long after the
// fifth crash.
func (s *simulation) late() (n int) {
	for _, at := range s.badSent {
		if len(s.badCrashes) >= 5 && at > s.badCrashes[4]+stableTime {
			n++
		}
	}
	return n
}

// Guards against a crashing part that is recognised too late, and against sound prompts
// that are refused, for loads of different sizes, places of the part and other crashes.
func TestCrashingPartUnderLoad(t *testing.T) {
	for _, l := range []load{
		{gateways: 3, engines: 12, soundRate: 60, badRate: 1, badAt: 1},
		{gateways: 3, engines: 12, soundRate: 60, badRate: 0.4, badAt: 1},
		{gateways: 3, engines: 12, soundRate: 60, badRate: 10, badAt: 1},
		{gateways: 3, engines: 12, soundRate: 60, badRate: 2, badAt: 0},
		{gateways: 3, engines: 12, soundRate: 60, badRate: 2, badAt: 2},
		{gateways: 3, engines: 12, soundRate: 60, badRate: 2, badAt: 1, rareFirst: true},
		{gateways: 3, engines: 12, soundRate: 60, badRate: 2, badAt: 1, waves: true},
		{gateways: 3, engines: 12, soundRate: 5, badRate: 2, badAt: 1, waves: true},
		{gateways: 23, engines: 43, soundRate: 300, badRate: 5, badAt: 1, waves: true},
		{gateways: 23, engines: 43, soundRate: 300, badRate: 5, badAt: 1, rareFirst: true, waves: true},
		{gateways: 23, engines: 43, soundRate: 300, waves: true},
		{gateways: 103, engines: 180, soundRate: 300, badRate: 5, badAt: 1, waves: true},
		{gateways: 3, engines: 12, soundRate: 60, badRate: 2, badAt: 1, attempts: 2, repeats: 1},
		{gateways: 3, engines: 12, soundRate: 60, badRate: 0.4, badAt: 2, attempts: 2, repeats: 1},
		{gateways: 23, engines: 43, soundRate: 300, badRate: 5, badAt: 1, waves: true, attempts: 2, repeats: 1},
	} {
		t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := simulate(l, seed)
				t.Logf("seed %d: %d crashes by the part, %d late, %d of %d sound prompts refused", seed, len(s.badCrashes), s.late(), s.refused, s.sound)
				assert.Check(t, s.late() <= maxLate, "seed %d: %d prompts with the part sent later than %v after the fifth crash", seed, s.late(), stableTime)
				assert.Check(t, 100*s.refused <= s.sound, "seed %d: %d of %d sound prompts refused", seed, s.refused, s.sound)
				assert.Check(t, l.badRate > 0 == slices.Equal(s.trackers[0].Quarantined(), []quarantine.Part{badPart}),
					"seed %d: quarantined %v", seed, s.trackers[0].Quarantined())
			}
		})
	}
}

// engineStorm is a quarter of the engines that crash every 0.7 s for 25 s.
var engineStorm = storm{share: 0.25, every: 700 * time.Millisecond, down: 600 * time.Millisecond, begins: time.Second, ends: 26 * time.Second}

// Shares of proper requests that may be refused, and requests with a crashing part that may
// reach engines late.
const (
	refusedAlways = 5
	refusedShare  = 1.0 / 500
	maxLate       = 3
)

// Guards against both errors while engines crash again and again for reasons of their own:
// proper requests that are refused, and crashes by a part that is not found out. The other
// rules show which facts it takes.
func TestStormOfCrashes(t *testing.T) {
	const asItIs, withoutRequests, withoutChance, withoutBoth = "as it is", "without requests", "without chance", "without both"
	const seeds = 6
	var mu sync.Mutex
	refusedBy := map[string]int{}
	t.Run("rules", func(t *testing.T) {
		for _, l := range []load{
			{gateways: 3, engines: 12, soundRate: 78, documents: 139, attempts: 2, repeats: 1},
			{gateways: 3, engines: 12, soundRate: 25, documents: 139, attempts: 2, repeats: 1},
			{gateways: 3, engines: 12, soundRate: 78, documents: 400, attempts: 2, repeats: 1},
			{gateways: 23, engines: 43, soundRate: 300, documents: 139, attempts: 2, repeats: 1},
			{gateways: 3, engines: 12, soundRate: 78, documents: 139, attempts: 2, repeats: 1, slow: true},
			{gateways: 3, engines: 12, soundRate: 78, documents: 400, attempts: 2, repeats: 1, slow: true},
			{gateways: 3, engines: 12, soundRate: 78, documents: 139, attempts: 2, repeats: 1, badRate: 2, badAt: 2, slow: true},
			{gateways: 3, engines: 12, soundRate: 78, documents: 139, attempts: 2, repeats: 1, badRate: 2, badAt: 2},
			{gateways: 3, engines: 12, soundRate: 78, documents: 139, attempts: 1, badRate: 0.5, badAt: 1},
			{gateways: 23, engines: 43, soundRate: 300, documents: 139, attempts: 2, repeats: 1, badRate: 5, badAt: 2},
		} {
			for _, rule := range []string{asItIs, withoutRequests, withoutChance, withoutBoth} {
				l := l
				l.storm = engineStorm
				l.storm.withoutRequests = rule == withoutRequests || rule == withoutBoth
				l.storm.withoutChance = rule == withoutChance || rule == withoutBoth
				t.Run(fmt.Sprintf("%s/%d engines, %g and %g prompts a second, %d documents, slow %t", rule, l.engines, l.soundRate, l.badRate, l.documents, l.slow), func(t *testing.T) {
					t.Parallel()
					sound, refused, crashes, late := 0, 0, 0, 0
					for seed := range uint64(seeds) {
						s := simulate(l, seed)
						sound, refused, crashes, late = sound+s.sound, refused+s.refused, crashes+len(s.badCrashes), late+s.late()
						if rule != asItIs {
							continue
						}
						assert.Check(t, float64(s.refused) <= refusedAlways+refusedShare*float64(s.sound), "seed %d: %d of %d sound prompts refused", seed, s.refused, s.sound)
						assert.Check(t, s.late() <= maxLate, "seed %d: %d prompts with the part sent later than %v after the fifth crash", seed, s.late(), stableTime)
						assert.Check(t, l.badRate == 0 || slices.Contains(s.trackers[0].Quarantined(), badPart), "seed %d: %d crashes and no quarantine", seed, len(s.badCrashes))
					}
					t.Logf("%d of %d sound prompts refused; %d crashes by the part, %d prompts with it late, in %d seeds", refused, sound, crashes, late, seeds)
					mu.Lock()
					defer mu.Unlock()
					refusedBy[rule] += refused
				})
			}
		}
	})
	t.Logf("sound prompts refused: %v", refusedBy)
	for _, rule := range []string{withoutRequests, withoutChance, withoutBoth} {
		assert.Check(t, refusedBy[asItIs] <= refusedBy[rule], "%s: %v", rule, refusedBy)
	}
	assert.Check(t, 10*refusedBy[asItIs] < refusedBy[withoutBoth], "%v", refusedBy)
}

// Guards against a part that passes for the cause of crashes that one request explains, and
// against one that is never found out because its requests are repeated.
func TestOneRequestIsNoEvidenceAgainstItsParts(t *testing.T) {
	p := newPrompts()
	crash := func(request quarantine.Part) {
		p.crashes++
		p.Report(now, quarantine.PartReport{Part: last, Crash: p.crashes, Level: p.NextLevel(last, p.Level(last)), Strong: true, Request: request})
	}
	for range quarantine.MaxPartCrashes {
		crash(1)
	}
	assert.Equal(t, len(p.Quarantined()), 0)
	crash(2)
	assert.Equal(t, p.Requests(last), 2)
	assert.Equal(t, len(p.Quarantined()), 0)
	crash(3)
	assert.DeepEqual(t, p.Quarantined(), []quarantine.Part{last})
}

// Guards against a share of broken runs that counts the part's own crashes, or old ones.
func TestBackgroundLeavesOutThePartsOwnCrashes(t *testing.T) {
	var b quarantine.Background
	for range 300 {
		b.Sound(now)
	}
	for range 100 {
		b.Broken(now, 1)
		b.Broken(now, 2)
	}
	none := func(uint64) bool { return false }
	own := func(crash uint64) bool { return crash == 1 }
	assert.Assert(t, b.Share(now, none) > 0.35, "%g", b.Share(now, none))
	assert.Assert(t, b.Share(now, own) > 0.2 && b.Share(now, own) < 0.3, "%g", b.Share(now, own))
	later := now.Add(time.Minute)
	assert.Assert(t, b.Share(later, none) <= 0.02, "%g", b.Share(later, none))
}
