package budget

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a write-off that frees tokens which the ended router had
// spent. The router's clock may run late against the table's, and its last
// operation may or may not have been applied.
func TestWriteOffCoversWhatWasSpent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const prepaid = 1_000_000
		account := Total{}.RaisePrepaid(prepaid)
		var stored Grant
		h := &LocalShare{}
		tableMS := int64(10_000)
		var spent int64
		store := func(g Grant) {
			if g.Seq == stored.Seq {
				return // applied before its answer was lost
			}
			next, err := account.ChangeGrant(stored, g)
			if err != nil {
				t.Fatal(err)
			}
			g.Reported = g.Settled
			account, stored = next, g
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			tableMS += rapid.Int64Range(0, 900).Draw(t, "pause")
			knownMS := tableMS - rapid.Int64Range(0, 300).Draw(t, "lag")
			switch rapid.SampledFrom([]string{"spend", "spend", "exchange", "lost"}).Draw(t, "step") {
			case "spend":
				tokens := rapid.Int64Range(1, 20_000).Draw(t, "tokens")
				if h.WithinPledges(tokens, knownMS) && h.Reserve(tokens) {
					spent += h.Settle(tokens, rapid.Int64Range(0, tokens).Draw(t, "charged"))
				}
			case "exchange":
				demand := Demand{float64(rapid.IntRange(0, 50_000).Draw(t, "rate")), rapid.Int64Range(0, 20_000).Draw(t, "size")}
				pledge := h.NewPledge(demand, math.MaxInt64, 0, knownMS)
				g := h.BeginPledged(h.GrantChange(demand, 0, account.Left(), 1), h.Consumed()-h.Stored().Settled, pledge)
				store(g)
				h.Confirm()
			case "lost":
				pledge := h.NewPledge(Demand{1000, 100}, math.MaxInt64, 0, knownMS)
				g := h.BeginPledged(0, h.Consumed()-h.Stored().Settled, pledge)
				if rapid.Bool().Draw(t, "applied") {
					store(g)
				}
			}
		}
		if stored.Seq == 0 {
			return
		}
		account = account.WriteOff(stored, tableMS)
		if err := account.Check(); err != nil {
			t.Fatal(err)
		}
		if account.Closed < spent {
			t.Fatalf("%d closed of %d spent", account.Closed, spent)
		}
		if account.Closed+account.Left() != prepaid || account.Holders != 0 {
			t.Fatalf("%+v of %d", account, prepaid)
		}
	})
}

// Guards against shares of an ended router that stay lost for good: with a
// steady demand, what is written off is bounded by seconds of demand.
func TestWriteOffIsBoundedByTheDemand(t *testing.T) {
	const perSecond = 10_000
	demand := Demand{perSecond, 1000}
	account := Total{}.RaisePrepaid(3_000_000)
	h := &LocalShare{}
	pledge := h.NewPledge(demand, math.MaxInt64, 0, 0)
	g := h.BeginPledged(h.GrantChange(demand, 0, account.Left(), 1), 0, pledge)
	account, err := account.ChangeGrant(Grant{}, g)
	assert.NilError(t, err)
	h.Confirm()
	assert.Equal(t, h.Available(), int64(120_000), "12 s of demand")
	account = account.WriteOff(g, 1000)
	assert.Assert(t, account.Lost <= 3*perSecond, "%d tokens lost", account.Lost)
	assert.Equal(t, account.Left(), 3_000_000-account.Lost)
}

// Guards against an outage of the table that a usual demand does not survive.
func TestUsualDemandKeepsThePledge(t *testing.T) {
	const perSecond = 10_000
	demand := Demand{perSecond, 1000}
	h := &LocalShare{}
	h.BeginPledged(h.GrantChange(demand, 0, 10_000_000, 1), 0, h.NewPledge(demand, math.MaxInt64, 0, 0))
	h.Confirm()
	for ms := int64(0); ms < 10_000; ms += 500 {
		assert.Assert(t, h.WithinPledges(perSecond/2, ms) && h.Reserve(perSecond/2), "refused at %d ms", ms)
		h.Settle(perSecond/2, perSecond/2)
	}
}

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

// Guards against routers that together pledge much of a budget for requests that
// seldom come: what they pledge is lost if they die.
func TestSparseRequestsOfAllHoldersAreBounded(t *testing.T) {
	const prepaid, holders = 600_000, 24
	var sum int64
	for range holders {
		var h LocalShare
		sum += h.NewPledge(Demand{0, 5000}, SparsePledgeLimit(prepaid, holders), 0, 0).Base
	}
	assert.Assert(t, sum <= prepaid/100, "%d pledged", sum)
}
