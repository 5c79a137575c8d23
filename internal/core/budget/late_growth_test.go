package budget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a successor that gives back tokens which a pledge covered once it had
// grown late: the holder spends up to its limit at each moment before and after the growth.
func TestWriteOffCoversAPledgeThatGrewLate(t *testing.T) {
	const atMS = 10_000
	demand := Demand{TokensPerSecond: 10_000, RequestSize: 100}
	share := &LocalShare{}
	stored := share.BeginPledged(1_000_000, 0, share.NewPledge(PledgeLow, demand, 0, 0, atMS))
	share.Confirm()
	total, err := Total{}.RaisePrepaid(2_000_000).ChangeGrant(Grant{}, stored)
	assert.NilError(t, err)
	stored.Reported = stored.Settled
	var spent int64
	for ms := int64(0); ms <= 2*lowPledgeGrowsAfter.Milliseconds(); ms++ {
		for share.WithinPledges(demand.RequestSize, atMS+ms) && share.Reserve(demand.RequestSize) {
			spent += share.Settle(demand.RequestSize, demand.RequestSize)
		}
		closed := total.WriteOff(stored, atMS+ms).ClosedSpent
		assert.Assert(t, closed >= spent, "%d closed of %d spent after %d ms", closed, spent, ms)
		if ms <= lowPledgeGrowsAfter.Milliseconds() {
			assert.Assert(t, closed <= int64(demand.TokensPerSecond*lowPledgeBurstPeriod.Seconds()), "%d closed after %d ms", closed, ms)
		}
	}
	assert.Assert(t, spent > int64(demand.TokensPerSecond*lowPledgeGrowsAfter.Seconds()), "the pledge never grew")
}

// Guards against a pledge that grows at once by all that it did not grow before: a host
// that is back a moment later would lose seconds of demand.
func TestPledgeThatGrowsLateGrowsGradually(t *testing.T) {
	demand := Demand{TokensPerSecond: 10_000, RequestSize: 100}
	p := (&LocalShare{}).NewPledge(PledgeLow, demand, 0, 0, 0)
	grown := p.Limit(p.GrowsAfterMS+200) - p.Base
	assert.Assert(t, grown > 0 && grown <= int64(0.2*pledgeRateFactor*demand.TokensPerSecond), "%d", grown)
	p.Gradual = false // as written by an earlier version, whose holder has spent that much
	assert.Equal(t, p.Limit(p.GrowsAfterMS+200)-p.Base, p.PerSecond*(p.GrowsAfterMS+200)/1000)
}
