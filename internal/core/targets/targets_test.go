package targets

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
)

func registration(id string) Registration {
	return Registration{ID: id, Service: "s", Address: "10.0.0.1:1" + id, StartedMS: 1}
}

func newTestView(ids ...string) *View {
	v := NewView(1)
	for _, id := range ids {
		v.Put(registration(id))
	}
	return v
}

var now = time.Unix(1000, 0)

// Guards against sending a request to a target that is draining, or to one that
// the same request has already tried.
func TestChooseLeavesOutDrainingAndTried(t *testing.T) {
	v := newTestView("1", "2", "3")
	r := registration("1")
	r.Draining = true
	v.Put(r)
	for range 20 {
		got := v.Choose(now, Query{Service: "s", Exclude: []string{"2"}})
		assert.Equal(t, got.ID, "3")
	}
	assert.Assert(t, v.Choose(now, Query{Service: "s", Exclude: []string{"2", "3"}}) == nil)
	assert.Assert(t, v.Choose(now, Query{Service: "other"}) == nil)
}

// Guards against a failing target that attracts requests because it looks idle, and
// against one that is never tried again because nothing ends its avoidance.
func TestFailedTargetIsAvoidedThenProbed(t *testing.T) {
	v := newTestView("1", "2")
	bad := v.byID["1"]
	bad.RecordFailure(now)
	for range 20 {
		assert.Equal(t, v.Choose(now, Query{Service: "s"}).ID, "2")
	}
	later := now.Add(firstAvoidance)
	v.byID["2"].InFlight = 5
	assert.Equal(t, v.Choose(later, Query{Service: "s"}).ID, "1", "one request probes the target")
	assert.Equal(t, v.Choose(later, Query{Service: "s"}).ID, "2", "a second request must not probe it")
	bad.RecordSuccess()
	assert.Equal(t, v.Choose(later, Query{Service: "s"}).ID, "1")
}

// Guards against refusing every request because every target has failed once and
// all of them are avoided.
func TestAllFailedTargetsStillTakeWork(t *testing.T) {
	v := newTestView("1")
	v.byID["1"].RecordFailure(now)
	assert.Equal(t, v.Choose(now, Query{Service: "s"}).ID, "1")
}

// Guards against counting requests that fail together as several failures in a
// row. The target would then be avoided for the longest time at once.
func TestFailuresOfOneMomentCountOnce(t *testing.T) {
	v := newTestView("1", "2")
	bad := v.byID["1"]
	for range 10 {
		bad.RecordFailure(now)
	}
	assert.Equal(t, bad.consecutiveFailures, 1)
}

// Guards against removing a target as soon as its registration is gone, since that
// may have expired in an outage of the store, and against never removing it.
func TestMissingTargetGoesAfterTheGrace(t *testing.T) {
	v := newTestView("1", "2")
	v.MarkMissing(now, "1")
	assert.Equal(t, v.Choose(now, Query{Service: "s"}).ID, "2")
	v.SweepMissing(now.Add(-time.Second))
	assert.Equal(t, len(v.IDs()), 2)
	v.Put(registration("1"))
	v.SweepMissing(now)
	assert.Equal(t, len(v.IDs()), 2, "the registration is back")
	v.MarkMissing(now, "1")
	v.SweepMissing(now)
	assert.DeepEqual(t, v.IDs(), []string{"2"})
}

// Guards against counting failures of an earlier start under the same id against a
// new target, and against keeping the earlier target in the list of its service
// when the id returns with another address.
func TestNewStartHasNoHistory(t *testing.T) {
	v := newTestView("1", "2")
	v.byID["1"].RecordFailure(now)
	r := registration("1")
	r.StartedMS = 2
	assert.Equal(t, v.Put(r).consecutiveFailures, 0)
	r.Address = "10.0.0.9:1"
	v.Put(r)
	assert.Equal(t, len(v.byService["s"]), 2)
}

// Guards against requests to targets that have ended and whose registrations remain, while
// others have started at their addresses; in whatever order the registrations come.
func TestReplacedTargetIsALastResort(t *testing.T) {
	old, started := registration("1"), registration("2")
	started.Address, started.StartedMS = old.Address, 2
	for _, order := range [][]Registration{{old, started}, {started, old}} {
		v := NewView(1)
		for _, r := range order {
			v.Put(r)
		}
		q := Query{Service: "s"}
		v.Target("2").InFlight = 9
		assert.Equal(t, v.Choose(now, q).ID, "2")
		assert.Equal(t, len(v.Ranked(now, q, 2)), 1)
		v.TurnAway(now, v.Target("2"), time.Second)
		assert.Assert(t, v.Choose(now, q) == nil, "the one that has started takes it later")
		v.Remove("2")
		assert.Equal(t, v.Choose(now, q).ID, "1", "rather than none")
		again := old
		again.StartedMS = 3
		v.Put(again)
		assert.Equal(t, v.Target("1").Availability(now, q), ReasonNone)
	}
}

// Sends requests with 48 prefixes in equal numbers through five independent
// routers. Guards against a choice that spreads a prefix over all targets, each of
// which would have to process it, or that loads one target beyond the bound.
func TestPrefixesStayTogetherAcrossRouters(t *testing.T) {
	ids := []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"}
	targetsByPrefix := map[uint64]map[string]bool{}
	for range 5 {
		v := newTestView(ids...)
		for i := range 240 {
			prefix := uint64(1 + i%48)
			target := v.Choose(now, Query{Service: "s", PrefixHash: prefix})
			target.BeginRequest()
			if targetsByPrefix[prefix] == nil {
				targetsByPrefix[prefix] = map[string]bool{}
			}
			targetsByPrefix[prefix][target.ID] = true
		}
		for _, id := range ids {
			assert.Assert(t, v.byID[id].InFlight <= 40+1, "target %s has %d requests, the mean is 20", id, v.byID[id].InFlight)
		}
	}
	pairs := 0
	for _, targetIDs := range targetsByPrefix {
		pairs += len(targetIDs)
	}
	assert.Assert(t, pairs <= 48*3, "48 prefixes were sent to %d targets in total", pairs)
}

// Sends few requests through each of many routers: at any time a router has about
// seven requests in flight at 44 targets. Guards against a load bound that moves a
// prefix to another target whenever its own has any request in flight. Without the
// slack, the 400 prefixes were sent to more than 800 targets in total.
func TestSparseLoadKeepsPrefixesTogether(t *testing.T) {
	const routers, replicas, prefixes, inFlight = 24, 44, 400, 7
	rng := rand.New(rand.NewPCG(1, 1))
	pairs := map[[2]string]bool{} // of prefix and target
	for range routers {
		v := NewView(1)
		for i := range replicas {
			v.Put(registration(strconv.Itoa(1000 + i)))
		}
		var inProgress []*Target
		for range 500 {
			prefix := 1 + rng.Uint64N(prefixes)
			target := v.Choose(now, Query{Service: "s", PrefixHash: prefix})
			target.BeginRequest()
			pairs[[2]string{strconv.FormatUint(prefix, 10), target.ID}] = true
			if inProgress = append(inProgress, target); len(inProgress) > inFlight {
				inProgress[0].EndRequest()
				inProgress = inProgress[1:]
			}
		}
	}
	assert.Assert(t, len(pairs) <= prefixes+prefixes/10, "%d prefixes were sent to %d targets in total", prefixes, len(pairs))
}

// Guards against a metric that counts a target as usable although it gets no
// requests, because it is draining, missing or avoided.
func TestCountByState(t *testing.T) {
	v := newTestView("1", "2", "3", "4")
	r := registration("1")
	r.Draining = true
	v.Put(r)
	v.MarkMissing(now, "2")
	v.byID["3"].RecordFailure(now)
	assert.DeepEqual(t, v.CountByState(now), map[Reason]int{ReasonNone: 1, ReasonAvoided: 1, ReasonDraining: 1, ReasonMissing: 1, ReasonTurnedAway: 0, ReasonLimited: 0, ReasonEvacuated: 0, ReasonCold: 0, ReasonReplaced: 0})
}

// Guards against a version that counts as in use without targets, or as gone with one left.
func TestVersionsInUse(t *testing.T) {
	v := NewView(1)
	versioned := func(id, version string) Registration {
		r := registration(id)
		r.Version = version
		return r
	}
	v.Put(versioned("1", "v1"))
	v.Put(versioned("2", "v1"))
	v.Put(versioned("2", "v2")) // starts again with other software
	assert.Equal(t, len(v.byService["s"]), 2)
	assert.Assert(t, v.HasVersion(fleet.ServiceVersion{Service: "s", Version: "v1"}))
	v.Remove("1")
	assert.DeepEqual(t, slices.Collect(v.Versions()), []fleet.ServiceVersion{{Service: "s", Version: "v2"}})
}
