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

func crash(run string, alone bool) quarantine.Crash {
	return quarantine.Crash{Key: key, ID: run, Alone: alone}
}

// Guards against a request crashing an unbounded number of targets.
func TestVerdictAfterBoundedCrashes(t *testing.T) {
	tr := quarantine.NewTracker()
	assert.Assert(t, !tr.Report(now, crash("1", false)))
	assert.Assert(t, !tr.Report(now, crash("2", false)))
	assert.Assert(t, tr.Report(now, crash("3", false)))
	assert.Assert(t, tr.Quarantined(now, key))
}

// Guards against one crash counting more than once, because several routers
// report it or several runs of the same content were in flight.
func TestSameCrashCountsOnce(t *testing.T) {
	tr := quarantine.NewTracker()
	for range 5 {
		tr.Report(now, crash("1", true))
	}
	assert.Assert(t, !tr.Quarantined(now, key))
	assert.Assert(t, tr.Report(now, crash("2", true)))
}

// Guards against an innocent request staying suspect after it ended well.
func TestClearForgetsSuspectButNotVerdict(t *testing.T) {
	tr := quarantine.NewTracker()
	tr.Report(now, crash("1", true))
	assert.Assert(t, tr.Clear(key))
	assert.Assert(t, !tr.Suspect(now, key))
	tr.Quarantine(now, key)
	assert.Assert(t, !tr.Clear(key))
	assert.Assert(t, tr.Quarantined(now, key))
	assert.Assert(t, !tr.Quarantined(now.Add(25*time.Hour), key))
}
