package targets

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
)

// Guards against a request that goes round between its turn and the choice of a target
// without a pause, because a target counts as free that is not chosen: Free and Choose agree,
// whatever is known of the targets.
func TestFreeTargetIsChosen(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	states := map[string]func(v *View, target *Target){
		"usable":      func(*View, *Target) {},
		"draining":    func(v *View, target *Target) { v.SetDraining(target) },
		"turned away": func(v *View, target *Target) { v.TurnAway(now, target, time.Second) },
		"limited":     func(v *View, target *Target) { v.SetLimit(target, 0) },
		"cold":        func(v *View, target *Target) { v.HearCold(now, target, time.Second) },
		"full":        func(_ *View, target *Target) { target.InFlight = 3 },
		"replaced": func(v *View, target *Target) {
			v.Put(Registration{ID: target.ID + "-new", Service: "other", Address: target.Address, StartedMS: target.StartedMS + 1})
		},
		"missing": func(v *View, target *Target) { v.MarkMissing(now, target.ID) },
		"avoided": func(_ *View, target *Target) { target.RecordFailure(now) },
	}
	names := []string{"usable", "draining", "turned away", "limited", "cold", "full", "replaced", "missing", "avoided"}
	for range 20_000 {
		v := NewView(1)
		v.SetShares(func(string, fleet.Rate) float64 { return 0 }, 1)
		v.SetColdLimits(map[string]ColdLimit{"s": {PerSecond: 1, For: time.Second}})
		q, drawn := Query{Service: "s", MaxInFlight: 3}, []string{}
		for i := range random.IntN(4) {
			target := v.Put(registration(strconv.Itoa(i)))
			name := names[random.IntN(len(names))]
			states[name](v, target)
			drawn = append(drawn, name)
			if random.IntN(8) == 0 {
				q.Exclude = append(q.Exclude, target.ID)
			}
		}
		free, chosen := v.Free(now, q), v.Choose(now, q)
		assert.Equal(t, free > 0, chosen != nil, fmt.Sprintf("%d free, %q without %q", free, drawn, q.Exclude))
	}
}
