package budget

import (
	"math"
	"time"
)

// Sizing of a share where only the router controls spending, because no process
// of this system runs beside the targets. Free tokens are those that no other
// router holds.
const (
	// ShareHorizon is how long a share covers the average demand. The platform's
	// table is down for up to 6.5 s on ordinary days.
	ShareHorizon = 12 * time.Second
	// A share is at most the free tokens divided by maxShareDivisor, so that shares
	// shrink as a budget runs out. The bound does not depend on the number of
	// holders, because all callers of a team may be at one router.
	maxShareDivisor = 8
	// minDemandRequests is the least share of a router with any demand, in average
	// requests. The rate of a sparse or new demand is not reliable.
	minDemandRequests = 5
	// A router without any demand holds up to the free tokens divided by
	// minTargetDivisor, so that the first requests of all routers do not contend
	// for the row of the total.
	minTargetDivisor = 64
	// All routers without demand together hold up to the free tokens divided by
	// idleHoldersDivisor.
	idleHoldersDivisor = 8
	// Routers without demand draw nothing more while all routers hold more than the unspent
	// tokens divided by idleHeldDivisor.
	idleHeldDivisor = 4
	// A router with a sparse demand holds up to its part of the unspent tokens divided by
	// sparseShareDivisor, where that is less than minDemandRequests.
	sparseShareDivisor = 2
)

// maxHeldFraction is the part of the unspent tokens above which all shares shrink.
const maxHeldFraction = 0.75

// Pool is the state of a budget as far as it bounds the shares.
type Pool struct {
	Left    int64 // tokens that holders can still draw
	Held    int64 // tokens that all holders together may spend, and those not reported as spent
	Holders int
	Demand  float64 // of all holders as far as they have stated it, tokens per second
}

// lowBudgetPeriod is the time below which a budget that lasts no longer is low. What is
// written off of such a budget would have been spent, and what it does not spend during
// an outage of the table is spent later.
const lowBudgetPeriod = time.Minute

// lasts returns how long the unspent tokens last at the demand of all holders, at least
// that of the caller. It is longer than any period if there is no demand.
func (p Pool) lasts(own Demand) time.Duration {
	demand := max(p.Demand, own.TokensPerSecond)
	if demand <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(float64(max(p.Left+p.Held, 0))/demand, maxLastsSeconds) * float64(time.Second))
}

// maxLastsSeconds keeps the time that a budget lasts within the range of a duration.
const maxLastsSeconds = 1e9

// Low reports whether the budget runs out soon at the present demand.
func (p Pool) Low(own Demand) bool { return p.lasts(own) < lowBudgetPeriod }

// ampleBudgetPeriod is the time from which a budget that lasts longer is ample. Of such a
// budget, 3% may be written off at a loss of power: seven seconds of demand, and
// Unspent/allowanceDivisor.
const (
	ampleBudgetPeriod = 400 * time.Second
	allowanceDivisor  = 80
)

// Ample reports whether the budget lasts long at the present demand.
func (p Pool) Ample(own Demand) bool { return p.lasts(own) >= ampleBudgetPeriod }

// Allowance returns what each holder of an ample budget may pledge whatever its demand.
func (p Pool) Allowance() int64 {
	return (p.Left + p.Held) / allowanceDivisor / int64(max(p.Holders, 1))
}

// shareFractionOfLasts bounds the shares of a low budget: together they cover the demand
// for this part of the time that the unspent tokens last.
const shareFractionOfLasts = 0.5

// maxLowShareDivisor gives the largest share of a low budget, as a part of the free
// tokens. Its shares follow the demand of their holders, and all demand may be at one.
const maxLowShareDivisor = 4

// shareScale returns the factor of the shares at which holders together hold at most
// maxHeldFraction of the unspent tokens. Demand moves between routers; what the others hold, a router
// that has nothing left cannot get.
func (p Pool) shareScale() float64 {
	unspent := p.Left + p.Held
	if p.Held <= 0 || float64(p.Held) <= maxHeldFraction*float64(unspent) {
		return 1
	}
	return maxHeldFraction * float64(unspent) / float64(p.Held)
}

// TargetSize returns the tokens that the share should have available, given the
// router's average demand, how long it should cover that, and the state of the budget.
func (s *LocalShare) TargetSize(d Demand, horizon time.Duration, p Pool) int64 {
	left, holders := p.Left, p.Holders
	free := left + max(s.Available(), 0)
	if cover := time.Duration(shareFractionOfLasts * float64(p.lasts(d))); cover < horizon {
		wanted := int64(d.TokensPerSecond * cover.Seconds())
		if wanted < d.RequestSize {
			return 0
		}
		return min(wanted, free/maxLowShareDivisor)
	}
	if scale := p.shareScale(); scale < 1 {
		wanted := int64(scale * d.TokensPerSecond * horizon.Seconds())
		if wanted < d.RequestSize {
			return 0 // less than a request is of no use here, and another router may need it
		}
		return min(wanted, free/maxShareDivisor)
	}
	unspent := p.Left + p.Held
	minimum := min(free/minTargetDivisor, free/int64(max(holders, 1))/idleHoldersDivisor)
	if p.Held > unspent/idleHeldDivisor {
		minimum = min(minimum, max(s.Available(), 0))
	}
	sparse := min(minDemandRequests*d.RequestSize, unspent/int64(max(holders, 1))/sparseShareDivisor)
	if sparse < d.RequestSize {
		sparse = 0 // less than a request is of no use here
	}
	wanted := max(int64(d.TokensPerSecond*horizon.Seconds()), sparse)
	return min(max(wanted, minimum), free/maxShareDivisor)
}

// GrantChange returns the number of tokens to draw, or to return if it is
// negative. need is the number of tokens that the waiting requests lack; if left
// does not cover it, the result is 0. Without waiting requests, small
// differences from TargetSize are ignored, so that a steady demand draws rarely.
func (s *LocalShare) GrantChange(d Demand, horizon time.Duration, need int64, p Pool) int64 {
	target, left := s.TargetSize(d, horizon, p), p.Left
	available := s.Available()
	switch {
	case need > 0 && need > left:
		return 0
	case need > 0:
		return max(need, min(target-available, left))
	case available < target/2:
		return min(target-available, left)
	case available > 2*target && available > 0:
		return target - available
	}
	return 0
}
