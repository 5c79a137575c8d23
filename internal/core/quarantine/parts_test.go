package quarantine_test

import (
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

// Guards against repeats that each come after the crash before, but before that is known at
// the gateway which sends them, and that count as one crash; and against copies in flight
// together, as when targets fail together, that count as several.
func TestCrashesAreSuccessiveByTheirTimes(t *testing.T) {
	for name, c := range map[string]struct {
		sent  []int64
		level int
	}{
		"each after the crash before": {[]int64{100, 200, 300, 400}, 4},
		"together":                    {[]int64{100, 100, 110, 120}, 1},
		"two by two":                  {[]int64{100, 100, 200, 200}, 2},
		"not told":                    {[]int64{0, 0, 0, 0}, 1},
	} {
		tracker := quarantine.NewRequestTracker()
		for crash, sent := range c.sent {
			report := quarantine.PartReport{Part: first, Crash: uint64(crash), Level: 1, Strong: true}
			if sent != 0 {
				report.SentMS, report.BrokeMS = sent, sent+99
			}
			assert.Assert(t, tracker.Report(now, report))
		}
		assert.Equal(t, tracker.Level(first), c.level, name)
		assert.Equal(t, tracker.Find([]quarantine.Part{first}) == 0, c.level >= quarantine.MaxStrongCrashes, name)
	}
}
