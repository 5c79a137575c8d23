package budget

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var pledgeKinds = rapid.SampledFrom([]PledgeKind{PledgeSteady, PledgeLow, PledgeWide})

// Guards against a write-off that returns tokens which the ended router had spent.
// The router's view of the table's clock may lag, and its last operation may or
// may not have been applied.
func TestWriteOffCoversWhatWasSpent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const prepaid = 1_000_000
		total := Total{}.RaisePrepaid(prepaid)
		var stored Grant
		share := &LocalShare{}
		tableMS := int64(10_000)
		var spent int64
		store := func(g Grant) {
			if g.Seq == stored.Seq {
				return // already applied; its response was lost
			}
			next, err := total.ChangeGrant(stored, g)
			if err != nil {
				t.Fatal(err)
			}
			g.Reported = g.Settled
			total, stored = next, g
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			tableMS += rapid.Int64Range(0, 900).Draw(t, "pause")
			knownMS := tableMS - rapid.Int64Range(0, 300).Draw(t, "lag")
			switch rapid.SampledFrom([]string{"spend", "spend", "exchange", "lost"}).Draw(t, "step") {
			case "spend":
				tokens := rapid.Int64Range(1, 20_000).Draw(t, "tokens")
				if share.WithinPledges(tokens, knownMS) && share.Reserve(tokens) {
					spent += share.Settle(tokens, rapid.Int64Range(0, tokens).Draw(t, "charged"))
				}
			case "exchange":
				demand := Demand{float64(rapid.IntRange(0, 50_000).Draw(t, "rate")), rapid.Int64Range(0, 20_000).Draw(t, "size")}
				pledge := share.NewPledge(pledgeKinds.Draw(t, "kind"), demand, SparsePledge(demand.RequestSize, math.MaxInt64), 0, knownMS)
				g := share.BeginPledged(share.GrantChange(demand, ShareHorizon, 0, Pool{Left: total.Left(), Holders: 1}), share.Consumed()-share.Stored().Settled, pledge)
				store(g)
				share.Confirm()
			case "lost":
				pledge := share.NewPledge(pledgeKinds.Draw(t, "kind"), Demand{1000, 100}, SparsePledge(100, math.MaxInt64), 0, knownMS)
				g := share.BeginPledged(0, share.Consumed()-share.Stored().Settled, pledge)
				if rapid.Bool().Draw(t, "applied") {
					store(g)
				}
			}
		}
		if stored.Seq == 0 {
			return
		}
		total = total.WriteOff(stored, tableMS)
		if err := total.Check(); err != nil {
			t.Fatal(err)
		}
		if total.ClosedSpent < spent {
			t.Fatalf("%d closed of %d spent", total.ClosedSpent, spent)
		}
		if total.ClosedSpent+total.Left() != prepaid || total.Holders != 0 {
			t.Fatalf("%+v of %d", total, prepaid)
		}
	})
}

// Guards against losing the whole share of an ended router, because its grant and
// not its pledge counts as spent. With a steady demand, the loss is bounded by a
// few seconds of demand.
func TestWriteOffIsBoundedByTheDemand(t *testing.T) {
	const perSecond = 10_000
	demand := Demand{perSecond, 1000}
	total := Total{}.RaisePrepaid(3_000_000)
	share := &LocalShare{}
	pledge := share.NewPledge(PledgeSteady, demand, SparsePledge(demand.RequestSize, math.MaxInt64), 0, 0)
	g := share.BeginPledged(share.GrantChange(demand, ShareHorizon, 0, Pool{Left: total.Left(), Holders: 1}), 0, pledge)
	total, err := total.ChangeGrant(Grant{}, g)
	assert.NilError(t, err)
	share.Confirm()
	assert.Equal(t, share.Available(), int64(120_000), "ShareHorizon of demand")
	total = total.WriteOff(g, 1000)
	assert.Assert(t, total.Lost <= 3*perSecond, "%d tokens lost", total.Lost)
	assert.Equal(t, total.Left(), 3_000_000-total.Lost)
}

// Guards against refusing requests at the average demand during an outage of the
// table. That happens if the pledge stored before the outage does not grow at the
// rate of that demand.
func TestUsualDemandKeepsThePledge(t *testing.T) {
	const perSecond = 10_000
	demand := Demand{perSecond, 1000}
	share := &LocalShare{}
	share.BeginPledged(share.GrantChange(demand, ShareHorizon, 0, Pool{Left: 10_000_000, Holders: 1}), 0, share.NewPledge(PledgeSteady, demand, SparsePledge(demand.RequestSize, math.MaxInt64), 0, 0))
	share.Confirm()
	for ms := int64(0); ms < 10_000; ms += 500 {
		assert.Assert(t, share.WithinPledges(perSecond/2, ms) && share.Reserve(perSecond/2), "refused at %d ms", ms)
		share.Settle(perSecond/2, perSecond/2)
	}
}

// Guards against a share or a pledge that is sized for an earlier demand, because
// the average does not follow when the demand begins or ends.
func TestAverageFollowsTheDemand(t *testing.T) {
	var a DemandAverage
	now := time.Unix(100, 0)
	for range 300 {
		a.Add(now, 1000)
		now = now.Add(100 * time.Millisecond)
	}
	got := a.Demand(now).TokensPerSecond
	assert.Assert(t, got > 9_000 && got < 11_000, "%g", got)
	assert.Assert(t, a.Demand(now.Add(20*time.Second)).TokensPerSecond < 500)
	assert.Equal(t, a.Demand(now.Add(time.Hour)).TokensPerSecond, 0.0)
}

// Guards against routers that together pledge a large part of a budget for sparse
// requests: what a router has pledged counts as spent if it dies.
func TestSparseRequestsOfAllHoldersAreBounded(t *testing.T) {
	const prepaid, holders = 600_000, 24
	var sum int64
	for range holders {
		var share LocalShare
		sum += share.NewPledge(PledgeSteady, Demand{0, 5000}, SparsePledge(5000, SparsePledgeLimit(prepaid, holders)), 0, 0).Base
	}
	assert.Assert(t, sum <= prepaid/100, "%d pledged", sum)
}

// Guards against shares of many holders that tie up what is unspent while some of them
// have nothing, and against shares that are too small for a request.
func TestSharesShrinkWhenMostIsHeld(t *testing.T) {
	var share LocalShare
	busy, sparse := Demand{TokensPerSecond: 1000, RequestSize: 2000}, Demand{TokensPerSecond: 100, RequestSize: 2000}
	plenty := Pool{Left: 1_000_000, Held: 1_000_000, Holders: 100}
	assert.Equal(t, share.TargetSize(busy, ShareHorizon, plenty), int64(12_000))
	assert.Equal(t, share.TargetSize(sparse, ShareHorizon, plenty), int64(10_000))
	scarce := Pool{Left: 200_000, Held: 1_000_000, Holders: 100}
	assert.Equal(t, share.TargetSize(busy, ShareHorizon, scarce), int64(12_000*0.9))
	assert.Equal(t, share.TargetSize(sparse, ShareHorizon, scarce), int64(0))
}

// Guards against a rate that one request of a sparse team makes many times too high.
func TestDemandOfOneRequest(t *testing.T) {
	var average DemandAverage
	start := time.Unix(1000, 0)
	average.Add(start, 3000)
	for _, after := range []time.Duration{0, 900 * time.Millisecond, 2 * time.Second} {
		rate := average.Demand(start.Add(after)).TokensPerSecond
		assert.Assert(t, rate > 0 && rate <= 3000*rateWeight, "%g tokens a second after %v", rate, after)
	}
}

// Guards against a budget that is nearly all held by routers that do not need it before
// the first request comes: 107 routers, one after another.
func TestRoutersWithoutDemandLeaveMostOfABudget(t *testing.T) {
	const prepaid = 1_000_000
	pool := Pool{Left: prepaid}
	for range 107 {
		drawn := (&LocalShare{}).GrantChange(Demand{}, ShareHorizon, 0, pool)
		pool.Left, pool.Held, pool.Holders = pool.Left-drawn, pool.Held+drawn, pool.Holders+1
	}
	assert.Assert(t, pool.Held <= prepaid/idleHeldDivisor+prepaid/minTargetDivisor, "%d held", pool.Held)
}

// Guards against a small budget of which each of many routers keeps several requests'
// tokens after one request.
func TestSparseDemandKeepsNoMoreThanItsPart(t *testing.T) {
	const requestSize = 5000
	share := &LocalShare{}
	held := func(unspent int64, holders int) int64 {
		return share.TargetSize(Demand{TokensPerSecond: 10, RequestSize: requestSize}, ShareHorizon, Pool{Left: unspent * 2 / 3, Held: unspent - unspent*2/3, Holders: holders})
	}
	assert.Equal(t, held(10_000_000, 20), int64(minDemandRequests*requestSize))
	assert.Equal(t, held(10_000_000, 300), int64(10_000_000/300/sparseShareDivisor))
	assert.Assert(t, held(1_000_000, 300) < requestSize, "its part does not cover a request")
}
