package budget

import "time"

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
	// rateWeight is the weight of the latest second in the moving average of the
	// demand, which gives it a time constant of about 6 s.
	rateWeight = 0.16
)

// DemandAverage is a moving average of a team's demand at this router.
type DemandAverage struct {
	tokensPerSecond     float64 // 0 before the first full second with demand
	currentSecondTokens float64 // tokens requested since secondStartedAt
	secondStartedAt     time.Time
	requestSize         float64 // average tokens of a request
}

// Demand is the recent demand of a team.
type Demand struct {
	TokensPerSecond float64
	RequestSize     int64 // average tokens of a request
}

// sizeWeight is the weight of the latest request in the moving average of the
// request size.
const sizeWeight = 0.1

// Add counts the tokens that a request asks for.
func (a *DemandAverage) Add(now time.Time, tokens int64) {
	a.advance(now)
	a.currentSecondTokens += float64(tokens)
	if a.requestSize == 0 {
		a.requestSize = float64(tokens)
		return
	}
	a.requestSize += sizeWeight * (float64(tokens) - a.requestSize)
}

// Demand returns the averages. The rate grows from 0: after one request of a team that
// sends a router few, a rate of one request a second would be many times too high.
func (a *DemandAverage) Demand(now time.Time) Demand {
	a.advance(now)
	if a.tokensPerSecond == 0 {
		return Demand{rateWeight * a.currentSecondTokens, int64(a.requestSize)}
	}
	return Demand{a.tokensPerSecond, int64(a.requestSize)}
}

// advance adds the seconds that have ended to the average. If 60 or more have
// ended since the last call, it discards the average instead.
func (a *DemandAverage) advance(now time.Time) {
	if a.secondStartedAt.IsZero() {
		a.secondStartedAt = now
	}
	for range 60 {
		if now.Sub(a.secondStartedAt) < time.Second {
			return
		}
		a.tokensPerSecond += rateWeight * (a.currentSecondTokens - a.tokensPerSecond)
		a.currentSecondTokens = 0
		a.secondStartedAt = a.secondStartedAt.Add(time.Second)
	}
	*a = DemandAverage{secondStartedAt: now} // idle for a minute
}

// maxHeldFraction is the part of the unspent tokens above which all shares shrink.
const maxHeldFraction = 0.75

// Pool is the state of a budget as far as it bounds the shares.
type Pool struct {
	Left    int64 // tokens that holders can still draw
	Held    int64 // tokens that all holders together may spend, and those not reported as spent
	Holders int
}

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
	if scale := p.shareScale(); scale < 1 {
		wanted := int64(scale * d.TokensPerSecond * horizon.Seconds())
		if wanted < d.RequestSize {
			return 0 // less than a request is of no use here, and another router may need it
		}
		return min(wanted, free/maxShareDivisor)
	}
	minimum := min(free/minTargetDivisor, free/int64(max(holders, 1))/idleHoldersDivisor)
	wanted := max(int64(d.TokensPerSecond*horizon.Seconds()), minDemandRequests*d.RequestSize)
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

// Sizing of the pledge, the most that a router may spend until its next
// operation. If the router dies, the pledged tokens count as spent. Requests
// beyond the pledge wait for the next operation, and are refused if the table
// does not respond.
const (
	// pledgeRateFactor is the pledged rate as a multiple of the average demand.
	pledgeRateFactor = 1.2
	// pledgeBurstPeriod is the period whose average demand may arrive at once.
	pledgeBurstPeriod = 500 * time.Millisecond
	// sparsePledgeRequests is the number of average requests pledged in addition.
	// Most teams send a router less than one request a second; without this
	// allowance each of them would wait for a write.
	sparsePledgeRequests = 1.5
	// sparsePledgeDivisor bounds the allowance for sparse requests while the table
	// responds quickly: summed over all routers, it is at most the prepaid amount
	// divided by sparsePledgeDivisor. Without the bound, two dozen routers could
	// lose 4% of a small budget.
	sparsePledgeDivisor = 100
)

// SparsePledgeLimit returns the most that each of the holders of a budget pledges
// for requests that arrive less than once in pledgeBurstPeriod.
func SparsePledgeLimit(prepaid int64, holders int) int64 {
	return prepaid / sparsePledgeDivisor / int64(max(holders, 1))
}

// NewPledge returns the pledge for an operation, given the demand, the limit of
// the allowance for sparse requests, the tokens that waiting requests need and
// the time of the table's clock.
func (s *LocalShare) NewPledge(d Demand, sparseLimit, need, nowMS int64) Pledge {
	burst := int64(d.TokensPerSecond * pledgeBurstPeriod.Seconds())
	sparse := min(int64(sparsePledgeRequests*float64(d.RequestSize)), sparseLimit)
	return Pledge{
		Base:      s.consumedTokens + s.reservedTokens + need + burst + sparse,
		PerSecond: int64(d.TokensPerSecond * pledgeRateFactor),
		AtMS:      nowMS,
	}
}

// PledgeNeedsRenewal reports whether there is demand and less than two average
// requests fit within the pledge, so that it should be renewed before a request has to wait.
func (s *LocalShare) PledgeNeedsRenewal(d Demand, nowMS int64) bool {
	return d.TokensPerSecond > 0 && !s.WithinPledges(2*d.RequestSize, nowMS)
}

// WithinPledges reports whether a reservation of tokens fits within both the
// stored pledge and that of an operation in flight. An absent pledge sets no
// limit.
func (s *LocalShare) WithinPledges(tokens, nowMS int64) bool {
	after := s.consumedTokens + s.reservedTokens + tokens
	for _, p := range []Pledge{s.storedGrant.Pledge, s.pendingGrant.Pledge} {
		if p != (Pledge{}) && after > p.Limit(nowMS) {
			return false
		}
	}
	return true
}
