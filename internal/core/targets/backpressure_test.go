package targets

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against backpressure that is lost with the target's registration, that outlasts a new
// start, or that a mistaken time makes last for good.
func TestBackpressureLastsAsLongAsTheStart(t *testing.T) {
	v := newTestView("1")
	assert.Assert(t, v.SetDraining(v.Target("1")))
	assert.Assert(t, !v.SetDraining(v.Target("1")))
	v.TurnAway(now, v.Target("1"), time.Second)
	v.TurnAway(now, v.Target("1"), time.Millisecond) // does not shorten the first
	v.Remove("1")
	moved := registration("1")
	moved.Version = "v2"
	v.Put(moved)
	reason := func(at time.Time) Reason { return v.Target("1").Availability(at, Query{}) }
	assert.Equal(t, reason(now), ReasonDraining)
	moved.StartedMS = 2
	v.Put(moved)
	assert.Equal(t, reason(now), ReasonNone)
	v.TurnAway(now, v.Target("1"), 365*24*time.Hour)
	assert.Equal(t, reason(now.Add(MaxTurnAway-1)), ReasonTurnedAway)
	assert.Equal(t, reason(now.Add(MaxTurnAway)), ReasonNone)
}

// Guards against the backpressure of targets that are gone for good and fills the memory.
func TestBackpressureOfGoneTargetsIsForgotten(t *testing.T) {
	v := newTestView("1", "2")
	v.SetDraining(v.Target("1"))
	v.Remove("1")
	v.MarkMissing(now, "2")
	v.MarkMissing(now.Add(backpressureRetention-1), "2")
	assert.Equal(t, len(v.backpressure), 2)
	v.MarkMissing(now.Add(backpressureRetention), "2")
	assert.Equal(t, len(v.backpressure), 1)
}

// Guards against requests beyond the connections that this router may open, and against
// callers who all return at the same moment after all targets turned this router away.
func TestFullAndTurnedAwayTargets(t *testing.T) {
	v := newTestView("1", "2")
	v.Target("1").InFlight = 3
	q := Query{Service: "s", MaxInFlight: 3}
	for range 10 {
		assert.Equal(t, v.Choose(now, q).ID, "2")
	}
	v.TurnAway(now, v.Target("2"), 100*time.Millisecond)
	assert.Assert(t, v.Choose(now, q) == nil)
	assert.Equal(t, v.Reasons(now, q).String(), "1 full, 1 turned_away")
	wait, ok := v.Wait(now, q)
	assert.Assert(t, ok && wait == 100*time.Millisecond)
	seen := map[time.Duration]bool{}
	for range 50 {
		after := v.ReturnAfter(now, q, time.Second)
		assert.Assert(t, after >= wait && after < time.Second, "%v", after)
		seen[after] = true
	}
	assert.Equal(t, len(seen), 50)
}
