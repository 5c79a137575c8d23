package route_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/route"
)

func targets(loads ...int) []route.Candidate {
	var out []route.Candidate
	for i, load := range loads {
		out = append(out, route.Candidate{Target: fmt.Sprintf("t%d", i), InFlight: load})
	}
	return out
}

// Guards against ignoring the router's own runs that started after the last report.
func TestLoadCountsOwnRunsSinceReport(t *testing.T) {
	c := route.Candidate{InFlight: 5, ReportedRuns: 3, OwnRunsAtReport: 2}
	assert.Equal(t, c.Load(), 6)
	c = route.Candidate{InFlight: 0, ReportedRuns: 3, OwnRunsAtReport: 4}
	assert.Equal(t, c.Load(), 0)
}

// Guards against overloading one target with a popular prefix.
func TestAffinityHonoursLoadBound(t *testing.T) {
	ch := route.NewChooser(1)
	s := route.Settings{Choice: policy.Affinity, AffinityLoadBound: 1.5}
	q := route.Query{PrefixHash: 42}
	all := targets(0, 0, 0, 0)
	for range 400 {
		i := ch.Choose(q, s, all)
		all[i].InFlight++
	}
	for _, c := range all {
		assert.Assert(t, c.InFlight <= 152, "target %s has %d of 400 runs", c.Target, c.InFlight)
	}
}

// Guards against routers that choose different targets for a prefix while its
// target has room.
func TestAffinityIsStable(t *testing.T) {
	s := route.Settings{Choice: policy.Affinity, AffinityLoadBound: 2}
	q := route.Query{PrefixHash: 7}
	first := route.NewChooser(1).Choose(q, s, targets(0, 0, 0))
	second := route.NewChooser(2).Choose(q, s, targets(0, 0, 0))
	assert.Equal(t, first, second)
}

// Guards against two suspects sharing a target: if it crashed, either could be the
// cause.
func TestSuspectAvoidsOtherSuspects(t *testing.T) {
	all := targets(0, 3)
	all[0].Suspects = 1
	i := route.NewChooser(1).Choose(route.Query{Suspect: true}, route.Settings{}, all)
	assert.Equal(t, i, 1)
	all[1].Suspects = 1
	i = route.NewChooser(1).Choose(route.Query{Suspect: true}, route.Settings{}, all)
	assert.Equal(t, i, -1)
}

// Guards against sending more runs to a full target under any policy.
func TestNoPolicyExceedsRunLimit(t *testing.T) {
	for _, choice := range []policy.TargetChoice{policy.RoundRobin, policy.LeastLoad, policy.PowerOfTwo, policy.Affinity} {
		ch := route.NewChooser(3)
		s := route.Settings{Choice: choice, AffinityLoadBound: 1.25, MaxRunsPerTarget: 4}
		all := targets(0, 0, 0)
		for range 12 {
			i := ch.Choose(route.Query{PrefixHash: 9}, s, all)
			assert.Assert(t, i >= 0, "policy %s", choice)
			all[i].InFlight++
		}
		assert.Equal(t, ch.Choose(route.Query{PrefixHash: 9}, s, all), -1, "policy %s", choice)
	}
}
