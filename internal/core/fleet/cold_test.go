package fleet

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against shares that send more than a bound on any second, saved requests included,
// of which little is used, or that exceed a limit over several seconds beside it.
func TestSharesWithinASecond(t *testing.T) {
	for _, n := range []int{1, 3, 8, 11, 23, 103} {
		for _, perSecond := range []float64{0.5, 2, 5, 11, 50, 400} {
			for _, named := range []float64{0.5, 7, math.Inf(1)} {
				var sum, inSecond, inWindow float64
				for _, self := range hosts(n) {
					if share := Share(Rate{PerSecond: named, InSecond: perSecond}, "t", hosts(n), self); share > 0 {
						burst := max(1, share*BurstTime.Seconds())
						sum, inSecond, inWindow = sum+share, inSecond+burst+share, inWindow+burst+4*share
					}
				}
				// No fewer than minOwners routers and probeRate are used.
				assert.Assert(t, inSecond <= max(perSecond, minOwners+probeRate)+1e-9, "%d routers send %g in a second under %g", n, inSecond, perSecond)
				assert.Assert(t, inWindow <= 1.5*4*named+5, "%d routers send %g in 4 s under a limit of %g", n, inWindow, named)
				assert.Assert(t, sum >= min(named, 0.6*perSecond-1)-1e-9, "%d routers use %g of %g", n, sum, perSecond)
			}
		}
	}
}

// Guards against rows of cold targets that last longer because all rows are read again, that
// are never removed, or that make routers renew their rows.
func TestColdTargetsFollowTheirRows(t *testing.T) {
	s := NewState("r1")
	rows := []Row{{Key: ColdKey("t"), Value: []byte(`{"started":7,"for_ms":3000}`)}, {Key: ColdKey("u"), Value: []byte("x")}}
	applied, err := s.Apply(start, Changes{Complete: true, Rows: rows})
	assert.ErrorContains(t, err, "invalid")
	assert.DeepEqual(t, applied.Targets, []string{"t"})
	assert.Assert(t, !s.Active())
	later := start.Add(time.Second)
	applied, _ = s.Apply(later, Changes{Complete: true, Rows: rows})
	assert.Equal(t, len(applied.Targets), 0)
	startedMS, left, ok := s.Cold(later, "t")
	assert.Assert(t, ok && startedMS == 7 && left == 2*time.Second)
	assert.Equal(t, len(s.ExpiredCold(later)), 0)
	assert.DeepEqual(t, s.ExpiredCold(start.Add(3*time.Second)), []string{"t"})
	_, err = s.Apply(later, Changes{Rows: rows[:1]})
	assert.NilError(t, err)
	_, left, _ = s.Cold(later, "t")
	assert.Equal(t, left, 3*time.Second, "written again")
	_, err = s.Apply(later, Changes{Rows: []Row{{Key: ColdKey("t"), Removed: true}}})
	assert.NilError(t, err)
	_, _, ok = s.Cold(later, "t")
	assert.Assert(t, !ok)
}
