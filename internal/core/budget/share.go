package budget

import "time"

// Bounds of the share that a router keeps of a budget when it alone decides
// what may be spent of it, with no process beside the targets.
const (
	// shareHorizon is the demand that a share covers. The platform's table is
	// down for up to 6.5 s on ordinary days.
	shareHorizon = 12 * time.Second
	// shareDivisor bounds a share to this part of what nobody else holds, so that
	// the shares shrink as a budget runs out. The number of holders does not
	// count: a team's callers may all be at one router.
	shareDivisor = 8
	// shareRequests is the share, in average requests, that a router with any
	// demand holds. A demand that is sparse or has just begun says little.
	shareRequests = 5
	// standingDivision is the part of what nobody else holds that a router holds
	// without any demand, so that the first requests of all routers do not meet
	// at the total.
	standingDivision = 64
	// rateWeight is the weight of a new second in the average demand, which then
	// looks back about 6 s.
	rateWeight = 0.16
)

// DemandAverage follows the demand of a team over several seconds.
type DemandAverage struct {
	perSecond float64
	second    float64 // tokens asked for in the present second
	started   time.Time
	size      float64 // of a request
}

// Demand is what a team has asked for lately.
type Demand struct {
	TokensPerSecond float64 // tokens
	RequestSize     int64   // tokens of an average request
}

// sizeWeight is the weight of a new request in the average size.
const sizeWeight = 0.1

// Add counts tokens that a request has asked for.
func (a *DemandAverage) Add(now time.Time, tokens int64) {
	a.roll(now)
	a.second += float64(tokens)
	if a.size == 0 {
		a.size = float64(tokens)
		return
	}
	a.size += sizeWeight * (float64(tokens) - a.size)
}

// Demand returns the averages. In the first second the rate is what was asked
// for so far.
func (a *DemandAverage) Demand(now time.Time) Demand {
	a.roll(now)
	if a.perSecond == 0 {
		return Demand{a.second, int64(a.size)}
	}
	return Demand{a.perSecond, int64(a.size)}
}

func (a *DemandAverage) roll(now time.Time) {
	if a.started.IsZero() {
		a.started = now
	}
	for range 60 {
		if now.Sub(a.started) < time.Second {
			return
		}
		if a.perSecond == 0 {
			a.perSecond = a.second
		} else {
			a.perSecond += rateWeight * (a.second - a.perSecond)
		}
		a.second = 0
		a.started = a.started.Add(time.Second)
	}
	*a = DemandAverage{started: now} // idle for a minute
}

// TargetSize returns the share that a router aims to hold, given its average
// demand, what is left and the number of holders.
func (h *LocalShare) TargetSize(d Demand, left int64, holders int) int64 {
	free := left + max(h.Available(), 0)
	standing := min(free/standingDivision, free/int64(max(holders, 1))/2)
	demand := max(int64(d.TokensPerSecond*shareHorizon.Seconds()), shareRequests*d.RequestSize)
	return min(max(demand, standing), free/shareDivisor)
}

// GrantChange returns by how much the grant should grow, or shrink if it is
// negative. need is what the waiting requests lack. Small changes are left out,
// so that a steady demand draws rarely.
func (h *LocalShare) GrantChange(d Demand, need, left int64, holders int) int64 {
	target := h.TargetSize(d, left, holders)
	available := h.Available()
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

// Bounds of what a router pledges to spend at most between two operations. What
// is pledged is lost if the router dies. What is not waits for the next
// operation, or is refused if the table gives no answer.
const (
	// pledgeFactor is the pledged rate in multiples of the average demand.
	pledgeFactor = 1.2
	// pledgeBurst is the demand that may come at once, besides pledgeRequests
	// average requests: most teams send a router less than one request a second,
	// and without them each would wait for a write.
	pledgeBurst    = 500 * time.Millisecond
	pledgeRequests = 1.5
	// pledgeDivision is the part of a budget up to which all routers together
	// pledge those requests while the table is calm. Two dozen routers would lose 4
	// in 100 of a small budget without it.
	pledgeDivision = 100
)

// SparsePledgeLimit returns the most that one of so many holders pledges for requests
// that come less than once in pledgeBurst.
func SparsePledgeLimit(prepaid int64, holders int) int64 {
	return prepaid / pledgeDivision / int64(max(holders, 1))
}

// NewPledge returns the pledge for an operation, given the demand, the most for
// sparse requests, the tokens that requests wait for and the table's clock.
func (h *LocalShare) NewPledge(d Demand, sparseLimit, need, nowMS int64) Pledge {
	burst := int64(d.TokensPerSecond * pledgeBurst.Seconds())
	sparse := min(int64(pledgeRequests*float64(d.RequestSize)), sparseLimit)
	return Pledge{
		Base:      h.consumed + h.reserved + need + burst + sparse,
		PerSecond: int64(d.TokensPerSecond * pledgeFactor),
		AtMS:      nowMS,
	}
}

// PledgeNeedsRenewal reports whether the next average request may exceed the pledge, so
// that it is time to renew it.
func (h *LocalShare) PledgeNeedsRenewal(d Demand, nowMS int64) bool {
	return d.TokensPerSecond > 0 && !h.WithinPledges(2*d.RequestSize, nowMS)
}

// WithinPledges reports whether a reservation keeps the pledges, both the stored one
// and that of an operation in flight.
func (h *LocalShare) WithinPledges(tokens, nowMS int64) bool {
	after := h.consumed + h.reserved + tokens
	for _, p := range []Pledge{h.stored.Pledge, h.pending.Pledge} {
		if p != (Pledge{}) && after > p.Limit(nowMS) {
			return false
		}
	}
	return true
}
