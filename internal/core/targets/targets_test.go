package targets

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func entry(id string) Registration {
	return Registration{ID: id, Service: "s", Address: "10.0.0.1:1" + id, StartedMS: 1}
}

func view(ids ...string) *View {
	v := NewView(1)
	for _, id := range ids {
		v.Put(entry(id))
	}
	return v
}

var now = time.Unix(1000, 0)

// Guards against work for a target that is leaving or was tried already.
func TestChooseLeavesOutDrainingAndTried(t *testing.T) {
	v := view("1", "2", "3")
	e := entry("1")
	e.Draining = true
	v.Put(e)
	for range 20 {
		got := v.Choose(now, Query{Service: "s", Exclude: []string{"2"}})
		assert.Equal(t, got.ID, "3")
	}
	assert.Assert(t, v.Choose(now, Query{Service: "s", Exclude: []string{"2", "3"}}) == nil)
	assert.Assert(t, v.Choose(now, Query{Service: "other"}) == nil)
}

// Guards against a failing target that looks idle and draws the work, and
// against one that is never tried again.
func TestFailedTargetIsAvoidedThenProbed(t *testing.T) {
	v := view("1", "2")
	bad := v.byID["1"]
	bad.RecordFailure(now)
	for range 20 {
		assert.Equal(t, v.Choose(now, Query{Service: "s"}).ID, "2")
	}
	later := now.Add(firstPause)
	v.byID["2"].InFlight = 5
	assert.Equal(t, v.Choose(later, Query{Service: "s"}).ID, "1", "one request probes")
	assert.Equal(t, v.Choose(later, Query{Service: "s"}).ID, "2", "a second one does not")
	bad.RecordSuccess()
	assert.Equal(t, v.Choose(later, Query{Service: "s"}).ID, "1")
}

// Guards against refusing everything because every target has failed once.
func TestAllFailedTargetsStillTakeWork(t *testing.T) {
	v := view("1")
	v.byID["1"].RecordFailure(now)
	assert.Equal(t, v.Choose(now, Query{Service: "s"}).ID, "1")
}

// Guards against the fall of many requests at one moment counting as many
// failures in a row.
func TestFailuresOfOneMomentCountOnce(t *testing.T) {
	v := view("1", "2")
	bad := v.byID["1"]
	for range 10 {
		bad.RecordFailure(now)
	}
	assert.Equal(t, bad.failures, 1)
}

// Guards against a registration that lapsed in an outage of the store taking
// its target away at once, and against one that never goes.
func TestMissingTargetGoesAfterTheGrace(t *testing.T) {
	v := view("1", "2")
	v.MarkMissing(now, "1")
	assert.Equal(t, v.Choose(now, Query{Service: "s"}).ID, "2")
	v.SweepMissing(now.Add(-time.Second))
	assert.Equal(t, len(v.IDs()), 2)
	v.Put(entry("1"))
	v.SweepMissing(now)
	assert.Equal(t, len(v.IDs()), 2, "it is back")
	v.MarkMissing(now, "1")
	v.SweepMissing(now)
	assert.DeepEqual(t, v.IDs(), []string{"2"})
}

// Guards against failures of an earlier start under the same id, or of another
// target at the address, counting against a new one.
func TestNewStartHasNoHistory(t *testing.T) {
	v := view("1", "2")
	v.byID["1"].RecordFailure(now)
	e := entry("1")
	e.StartedMS = 2
	assert.Equal(t, v.Put(e).failures, 0)
	e.Address = "10.0.0.9:1"
	v.Put(e)
	assert.Equal(t, len(v.byService["s"]), 2)
}

// Plays a load in which four prompts' shared parts come in equal parts from
// five routers that know nothing of each other. Guards against a choice that
// spreads a prefix over all targets (each would have to read it) or piles it
// on one beyond the bound.
func TestPrefixesStayTogetherAcrossRouters(t *testing.T) {
	ids := []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"}
	seen := map[uint64]map[string]bool{}
	for range 5 {
		v := view(ids...)
		for i := range 240 {
			prefix := uint64(1 + i%48)
			target := v.Choose(now, Query{Service: "s", PrefixHash: prefix})
			target.BeginRequest()
			if seen[prefix] == nil {
				seen[prefix] = map[string]bool{}
			}
			seen[prefix][target.ID] = true
		}
		for _, id := range ids {
			assert.Assert(t, v.byID[id].InFlight <= 40+1, "%s has %d of mean 20", id, v.byID[id].InFlight)
		}
	}
	places := 0
	for _, at := range seen {
		places += len(at)
	}
	assert.Assert(t, places <= 48*3, "48 prefixes were read at %d targets", places)
}

// Plays the load of many routers with few requests each: at any moment a router
// has about seven requests in flight over 44 targets. Guards against a bound on
// load that sends a prefix elsewhere whenever its target has any request: with
// no slack, the 400 prefixes were read at more than 800 places.
func TestSparseLoadKeepsPrefixesTogether(t *testing.T) {
	const routers, replicas, prefixes, inFlight = 24, 44, 400, 7
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[[2]string]bool{}
	for range routers {
		v := NewView(1)
		for i := range replicas {
			v.Put(entry(strconv.Itoa(1000 + i)))
		}
		var open []*Target
		for range 500 {
			prefix := 1 + rng.Uint64N(prefixes)
			target := v.Choose(now, Query{Service: "s", PrefixHash: prefix})
			target.BeginRequest()
			seen[[2]string{strconv.FormatUint(prefix, 10), target.ID}] = true
			if open = append(open, target); len(open) > inFlight {
				open[0].EndRequest()
				open = open[1:]
			}
		}
	}
	assert.Assert(t, len(seen) <= prefixes+prefixes/10, "%d prefixes were read at %d places", prefixes, len(seen))
}

// Guards against a count that calls a target usable which gets no requests.
func TestCountByBelief(t *testing.T) {
	v := view("1", "2", "3", "4")
	e := entry("1")
	e.Draining = true
	v.Put(e)
	v.MarkMissing(now, "2")
	v.byID["3"].RecordFailure(now)
	assert.DeepEqual(t, v.CountByState(now), map[string]int{StateUsable: 1, StateAvoided: 1, StateDraining: 1, StateMissing: 1})
}
