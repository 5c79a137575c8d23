package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a short grace period in which requests are cut off at once, or have hardly any
// time after the last connection was accepted.
func TestStopScheduleOfShortGracePeriods(t *testing.T) {
	start := time.Now()
	for _, grace := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second, time.Minute} {
		s := newStopSchedule(start, grace)
		accepts, inProgress := s.acceptUntil.Sub(start), s.end.Sub(start)
		assert.Assert(t, accepts >= 0 && accepts <= inProgress*3/4 && accepts <= acceptAfterStop, "%v: %v", grace, accepts)
		assert.Assert(t, inProgress <= grace && grace-inProgress <= min(closeReserve, grace/6), "%v: %v", grace, inProgress)
	}
}
