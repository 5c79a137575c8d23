package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

const (
	first  = quarantine.Part(1)
	middle = quarantine.Part(2)
	last   = quarantine.Part(3)
)

// prompts reports crashes of prompts to a tracker.
type prompts struct {
	*quarantine.PartTracker
	crashes uint64
}

func newPrompts() *prompts { return &prompts{PartTracker: quarantine.NewPartTracker()} }

// crash reports a crash with a prompt in flight that was sent when the crashes before
// were known.
func (p *prompts) crash(begun bool, parts ...quarantine.Part) {
	p.crashes++
	for depth, part := range parts {
		level := p.NextLevel(part, p.Level(part))
		p.Report(now, quarantine.PartReport{Part: part, Crash: p.crashes, Level: level, Depth: depth, Strong: begun})
	}
}

// Guards against prompts that crash targets without end because no two are alike.
func TestPartIsQuarantinedAfterBoundedCrashes(t *testing.T) {
	p := newPrompts()
	for i := range quarantine.MaxStrongCrashes {
		assert.Equal(t, p.Find([]quarantine.Part{middle}), -1)
		p.crash(true, first, middle, quarantine.Part(10+i))
	}
	assert.Equal(t, p.Find([]quarantine.Part{first, middle}), 1)
	p = newPrompts()
	for range quarantine.MaxPartCrashes {
		assert.Equal(t, p.Find([]quarantine.Part{middle}), -1)
		p.crash(false, middle)
	}
	assert.Equal(t, p.Find([]quarantine.Part{middle}), 0)
}

// Guards against refusing sound prompts that share a part with those that crash targets.
func TestCommonPartIsNotQuarantinedWithTheCulprit(t *testing.T) {
	p := newPrompts()
	for range 2 * quarantine.MaxPartCrashes {
		p.crash(true, first, last)
	}
	assert.DeepEqual(t, p.Quarantined(), []quarantine.Part{last})
}

// Guards against a part that stays quarantined although another one explains its crashes.
func TestQuarantineEndsWhenAnotherPartExplainsTheCrashes(t *testing.T) {
	p := newPrompts()
	for range quarantine.MaxStrongCrashes {
		p.crash(true, middle, last)
	}
	assert.DeepEqual(t, p.Quarantined(), []quarantine.Part{last})
	for i := range quarantine.MaxStrongCrashes {
		p.crash(true, middle, quarantine.Part(10+i))
	}
	assert.DeepEqual(t, p.Quarantined(), []quarantine.Part{middle})
}

// Guards against a part that is quarantined although runs with it make progress.
func TestSoundRunClearsAPart(t *testing.T) {
	p := newPrompts()
	for range quarantine.MaxStrongCrashes - 1 {
		p.crash(true, first)
	}
	sentAt := p.Level(first)
	assert.Equal(t, len(p.Clear(first)), quarantine.MaxStrongCrashes-1)
	assert.Equal(t, p.NextLevel(first, sentAt), 1)
	for range quarantine.MaxStrongCrashes {
		p.crash(true, first)
	}
	assert.Equal(t, p.Find([]quarantine.Part{first}), 0)
	p.Clear(first)
	assert.Equal(t, p.Find([]quarantine.Part{first}), -1)
	assert.Assert(t, !p.Reported())
}

// Guards against counting targets that fail together, as in a power loss, as successive.
func TestTargetsThatFailTogetherCountOnce(t *testing.T) {
	p := newPrompts()
	for crash := range uint64(100) {
		p.Report(now, quarantine.PartReport{Part: first, Crash: crash, Level: 1, Strong: true})
	}
	assert.Equal(t, p.Find([]quarantine.Part{first}), -1)
	assert.Equal(t, p.Level(first), 1)
}

// Guards against a request that crashes targets after a while and counts as sound because
// each of its runs gets that far, and against a sound one that does not.
func TestOnlyRunsThatGetPastACrashClearIt(t *testing.T) {
	tracker := quarantine.NewRequestTracker()
	for crash, progress := range []time.Duration{0, time.Second, 3 * time.Second} {
		assert.Assert(t, tracker.Report(now, quarantine.PartReport{Part: first, Crash: uint64(crash), Level: crash + 1, Progress: progress}))
	}
	assert.Equal(t, len(tracker.ClearPassed(first, quarantine.ProgressTime-1)), 0)
	assert.Equal(t, len(tracker.ClearPassed(first, time.Second+quarantine.ProgressTime-1)), 1)
	assert.Equal(t, tracker.Level(first), 3)
	assert.Equal(t, len(tracker.ClearPassed(first, 3*time.Second+quarantine.ProgressTime)), 2)
	assert.Assert(t, !tracker.Reported())
	for crash := range uint64(quarantine.MaxPartCrashes) {
		tracker.Report(now, quarantine.PartReport{Part: first, Crash: crash, Level: int(crash) + 1, Progress: time.Second})
		tracker.ClearPassed(first, time.Second)
	}
	assert.Equal(t, tracker.Find([]quarantine.Part{first}), 0)
}

// Guards against runs of one content at one crash that count as several successive crashes.
func TestRunsAtOneCrashAreOneLevel(t *testing.T) {
	tracker := quarantine.NewRequestTracker()
	for range 3 {
		level := tracker.NextLevelBeside(first, 7, 2)
		assert.Equal(t, level, 1)
		tracker.Report(now, quarantine.PartReport{Part: first, Crash: 7, Level: level, Strong: true})
	}
	assert.Equal(t, tracker.NextLevelBeside(first, 8, 2), 2)
	assert.Equal(t, tracker.NextLevelBeside(first, 8, 0), 1)
}

// Guards against a request that crashes targets again every hour, as nothing but time can
// clear it, and against a suspect that is remembered as long.
func TestQuarantinedRequestStaysSoForADay(t *testing.T) {
	tracker := quarantine.NewRequestTracker()
	tracker.Report(now, quarantine.PartReport{Part: last, Crash: 1, Level: 1, Strong: true})
	for crash := range uint64(quarantine.MaxStrongCrashes) {
		tracker.Report(now, quarantine.PartReport{Part: first, Crash: crash, Level: int(crash) + 1, Strong: true})
	}
	assert.DeepEqual(t, tracker.Expired(now.Add(time.Hour+1)), []quarantine.Part{last})
	assert.Equal(t, len(tracker.Expired(now.Add(24*time.Hour+1))), 2)
}

// Guards against reports that outlive their row, or that are never forgotten.
func TestReportsAreWithdrawnAndExpire(t *testing.T) {
	p := newPrompts()
	for range quarantine.MaxStrongCrashes {
		p.crash(true, first)
	}
	p.Withdraw(first, 2, 2)
	assert.Equal(t, p.Find([]quarantine.Part{first}), -1)
	assert.Equal(t, p.Level(first), 3)
	assert.Equal(t, len(p.Expired(now.Add(time.Hour))), 0)
	assert.Equal(t, len(p.Expired(now.Add(time.Hour+1))), 1)
	p.Withdraw(first, 1, 1)
	p.Withdraw(first, 3, 3)
	assert.Assert(t, p.Put(now, quarantine.PartReport{Part: last, Crash: 1, Level: 1}))
	assert.Assert(t, !p.Put(now, quarantine.PartReport{Part: last, Crash: 1, Level: 1, Strong: true}), "in place of the first")
	assert.Assert(t, p.Reports(last)[0].Strong && len(p.Reports(last)) == 1)
	assert.Equal(t, p.Level(first), 0)
	assert.Equal(t, p.Level(last), 1)
}

// Guards against memory that grows with each crash.
func TestReportsAreBounded(t *testing.T) {
	tracker := quarantine.NewPartTracker()
	recorded := 0
	for crash := range uint64(1000) {
		for level := range 50 {
			if tracker.Report(now, quarantine.PartReport{Part: first, Crash: crash, Level: level}) {
				recorded++
			}
		}
	}
	assert.Assert(t, recorded < 200, "%d reports", recorded)
	for i := range 10_100 {
		tracker.Report(now.Add(time.Duration(i)), quarantine.PartReport{Part: quarantine.Part(i), Crash: 1, Level: 1})
	}
	assert.Equal(t, tracker.Level(5), 0)
	assert.Equal(t, tracker.Level(10_099), 1)
}

// load is a load of prompts, one part of which crashes engines.
type load struct {
	gateways, engines int
	soundRate         float64 // prompts a second
	badRate           float64 // of prompts with the crashing part
	badAt             int     // place of the crashing part: 0, 1 or 2
	rareFirst         bool    // only one sound prompt in a hundred shares the first part
	waves             bool    // a fifth of the engines fails every 5 s for another reason
}

// simRun is a run in progress.
type simRun struct {
	gateway, engine        int
	parts                  []quarantine.Part
	levels                 []int
	beginsAt, progressesAt time.Duration
	bad                    bool
}

// simulation plays a load on trackers of gateways that learn of each other's reports
// after a delay.
type simulation struct {
	load
	random   *rand.Rand
	now      time.Duration
	trackers []*quarantine.PartTracker
	runs     []*simRun
	downTo   []time.Duration // of engines
	crashes  uint64
	messages []message

	badCrashes []time.Duration
	badSent    []time.Duration
	sound      int // prompts sent after the last crash that the crashing part caused
	refused    int // of them
}

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
)

func simulate(l load, seed uint64) *simulation {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(seed, 1)), downTo: make([]time.Duration, l.engines)}
	for range l.gateways {
		s.trackers = append(s.trackers, quarantine.NewPartTracker())
	}
	nextWave := 5 * time.Second
	for ; s.now < simTime; s.now += simStep {
		s.deliver()
		for range s.arrivals(l.soundRate) {
			s.send(s.soundPrompt(), false)
		}
		for range s.arrivals(l.badRate) {
			s.send(s.badPrompt(), true)
		}
		s.progress()
		if l.waves && s.now >= nextWave {
			nextWave += 5 * time.Second
			for engine := range l.engines / 5 {
				s.crash((engine*7 + int(s.now/time.Second)) % l.engines)
			}
		}
	}
	return s
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
	return []quarantine.Part{firstPart, quarantine.Part(200 + int(60*second*second))}
}

// badPrompt returns the parts of a sound prompt with the crashing part among them.
func (s *simulation) badPrompt() []quarantine.Part {
	parts := s.soundPrompt()
	if s.rareFirst {
		parts[0] = 100
	}
	return slices.Insert(parts, s.badAt, badPart)
}

func (s *simulation) send(parts []quarantine.Part, bad bool) {
	gateway := s.random.IntN(s.gateways)
	tracker := s.trackers[gateway]
	refused := tracker.Find(parts) >= 0
	if !bad && len(s.badCrashes) > 0 {
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
	r := &simRun{gateway: gateway, engine: engine, parts: parts, bad: bad}
	r.beginsAt = s.now + time.Duration(50+s.random.IntN(300))*time.Millisecond
	r.progressesAt = r.beginsAt + time.Duration(250+s.random.IntN(250))*time.Millisecond
	for _, part := range parts {
		r.levels = append(r.levels, tracker.Level(part))
	}
	if bad {
		s.badSent = append(s.badSent, s.now)
	}
	s.runs = append(s.runs, r)
}

// progress crashes the engines of bad runs that begin, and ends sound ones.
func (s *simulation) progress() {
	for _, r := range slices.Clone(s.runs) {
		if r.bad && s.now >= r.beginsAt && s.downTo[r.engine] <= s.now {
			s.badCrashes = append(s.badCrashes, s.now)
			s.sound, s.refused = 0, 0
			s.crash(r.engine)
		}
	}
	s.runs = slices.DeleteFunc(s.runs, func(r *simRun) bool {
		if s.now < r.progressesAt {
			return false
		}
		for _, part := range r.parts {
			for _, report := range s.trackers[r.gateway].Clear(part) {
				s.tell(r.gateway, func(t *quarantine.PartTracker) { t.Withdraw(part, report.Crash, report.Level) })
			}
		}
		return true
	})
}

// crash ends an engine. The gateways report its runs a little later.
func (s *simulation) crash(engine int) {
	s.crashes++
	crash := s.crashes
	s.downTo[engine] = s.now + restartTime
	s.runs = slices.DeleteFunc(s.runs, func(r *simRun) bool {
		if r.engine != engine {
			return false
		}
		begun := s.now >= r.beginsAt
		s.messages = append(s.messages, message{s.now + detectTime, r.gateway, func(t *quarantine.PartTracker) {
			for depth, part := range r.parts {
				report := quarantine.PartReport{Part: part, Crash: crash, Level: t.NextLevel(part, r.levels[depth]), Depth: depth, Strong: begun}
				if t.Report(now.Add(s.now), report) {
					s.tell(r.gateway, func(t *quarantine.PartTracker) { t.Report(now.Add(s.now), report) })
				}
			}
		}})
		return true
	})
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
	} {
		t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := simulate(l, seed)
				late := 0
				if len(s.badCrashes) >= 5 {
					for _, at := range s.badSent {
						if at > s.badCrashes[4]+stableTime {
							late++
						}
					}
				}
				t.Logf("seed %d: %d crashes by the part, %d late, %d of %d sound prompts refused", seed, len(s.badCrashes), late, s.refused, s.sound)
				assert.Check(t, late <= 3, "seed %d: %d prompts with the part sent later than %v after the fifth crash", seed, late, stableTime)
				assert.Check(t, 100*s.refused <= s.sound, "seed %d: %d of %d sound prompts refused", seed, s.refused, s.sound)
				assert.Check(t, l.badRate > 0 == slices.Equal(s.trackers[0].Quarantined(), []quarantine.Part{badPart}),
					"seed %d: quarantined %v", seed, s.trackers[0].Quarantined())
			}
		})
	}
}
