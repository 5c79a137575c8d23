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
