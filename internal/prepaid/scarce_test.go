package prepaid

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against routers without demand that draw and return the same tokens in turn, with a
// write of the total each, while few tokens of a budget are left.
func TestIdleRoutersDoNotDrawWhatTheyReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(fleetLoad{routers: 4, teams: 1, perSecond: 10, stripes: 1}, 1, time.Hour)
		defer f.stop()
		time.Sleep(10 * time.Second)
		const parts = 50
		part := f.prepaid["team0"] / parts
		for range parts * 9 / 10 { // at one router; the others have none
			r, err := f.managers[0].Reserve(context.Background(), "team0", part)
			assert.NilError(t, err)
			r.Settle(part)
			time.Sleep(100 * time.Millisecond)
		}
		writes := func() (sum int64) {
			for _, m := range f.managers[1:] {
				m.mu.Lock()
				sum += m.holding.Seq
				m.mu.Unlock()
			}
			return sum
		}
		time.Sleep(10 * time.Second)
		before := writes()
		time.Sleep(time.Minute)
		assert.Assert(t, writes()-before <= 3, "%d writes in a minute", writes()-before)
	})
}
