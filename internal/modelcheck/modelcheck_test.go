package modelcheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

func instance(claims bool, bug Bug) Config {
	c := Config{ToppedUp: 1, Claims: claims, MaxCrashes: 1, MaxLostAnswers: 1, MaxFences: 2, MaxConcurrentCloses: 2, Bug: bug}
	if claims {
		c.ToppedUp = 2  // both routers can reach the claim
		c.MaxFences = 1 // with two fences and two closers it has over a million states
		c.MaxConcurrentCloses = 1
	}
	return c
}

// Guards against any interleaving of two routers, a crash, a lost answer and
// fences that overspends, bills a run twice or never, repeats a request that
// must not be repeated, or answers "not run" for a request that ran.
func TestEveryInterleaving(t *testing.T) {
	t.Parallel()
	for label, claims := range map[string]bool{"budget": false, "claim": true} {
		t.Run(label, func(t *testing.T) {
			t.Parallel()
			r := Explore(instance(claims, NoBug))
			t.Logf("%d states, %d without successors, depth %d", r.States, r.FinalStates, r.Depth)
			assert.Equal(t, r.Violation, "")
			assert.Assert(t, r.FinalStates > 0)
		})
	}
}

// Guards against an exploration that cannot fail: each planted bug breaks one
// rule of the protocol and has to be found.
func TestPlantedBugsAreFound(t *testing.T) {
	t.Parallel()
	bugs := map[Bug]bool{
		CountUnconfirmedDraw: false,
		NoHolderFence:        false,
		NoSidecarFence:       false,
		RunUnconfirmedClaim:  true,
		NoTombstone:          true,
	}
	for bug, claims := range bugs {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			r := Explore(instance(claims, bug))
			t.Logf("%d states, depth %d: %s", r.States, r.Depth, r.Violation)
			assert.Assert(t, r.Violation != "")
		})
	}
}
