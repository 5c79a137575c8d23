package prepaid

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a write in each timed round, for ever, after one request of a sparse team: a
// pledge that is limited to its part of 1% of the prepaid amount never covers two requests.
func TestOneRequestDoesNotRenewPledgesForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(fleetLoad{routers: 4, teams: 1, perSecond: 10, stripes: 1}, 1, time.Minute)
		defer f.stop()
		time.Sleep(10 * time.Second)
		m := f.managers[0]
		r, err := m.Reserve(context.Background(), "team0", 5000)
		assert.NilError(t, err)
		r.Settle(5000)
		time.Sleep(5 * time.Minute)
		m.mu.Lock()
		before := m.holding.Seq
		m.mu.Unlock()
		time.Sleep(time.Minute)
		m.mu.Lock()
		defer m.mu.Unlock()
		t.Logf("demand %+v, pledge %+v", m.team("team0").demand.Demand(time.Now()), m.holding.Grants["team0"].Pledge)
		assert.Assert(t, m.holding.Seq-before <= 3, "%d writes in a minute", m.holding.Seq-before)
	})
}
