package quarantine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

var (
	now = time.Unix(1000, 0)
	key = quarantine.Key{Team: "a", ContentHash: "h"}
)

func crash(id string, alone bool) quarantine.Crash {
	return quarantine.Crash{Key: key, ID: id, Alone: alone}
}

// Guards against a request that may crash any number of targets, because each of
// its crashes could also be explained by another request in flight.
func TestQuarantineAfterBoundedCrashes(t *testing.T) {
	tracker := quarantine.NewTracker()
	assert.Assert(t, !tracker.Report(now, crash("1", false)))
	assert.Assert(t, !tracker.Report(now, crash("2", false)))
	assert.Assert(t, tracker.Report(now, crash("3", false)))
	assert.Assert(t, tracker.Quarantined(now, key))
}

// Guards against counting a crash more than once when several routers report it
// or several runs of the same content were in flight.
func TestSameCrashCountsOnce(t *testing.T) {
	tracker := quarantine.NewTracker()
	for range 5 {
		tracker.Report(now, crash("1", true))
	}
	assert.Assert(t, !tracker.Quarantined(now, key))
	assert.Assert(t, tracker.Report(now, crash("2", true)))
}

// Guards against a request that stays a suspect although it has since run without
// a crash, and against lifting a quarantine because one run did not crash.
func TestClearForgetsSuspectButNotQuarantine(t *testing.T) {
	tracker := quarantine.NewTracker()
	tracker.Report(now, crash("1", true))
	assert.Assert(t, tracker.Clear(key))
	assert.Assert(t, !tracker.Suspect(now, key))
	tracker.Quarantine(now, key)
	assert.Assert(t, !tracker.Clear(key))
	assert.Assert(t, tracker.Quarantined(now, key))
	assert.Assert(t, !tracker.Quarantined(now.Add(25*time.Hour), key))
}
