package budget

import "time"

// Pledge bounds what a holder may have spent in total until its next operation:
// Base, plus PerSecond for each second since AtMS, or since GrowsAfterMS later.
// Like Settled it is cumulative. A holder without a pledge may spend its whole grant.
type Pledge struct {
	Base      int64 `json:"base" cbor:"1,keyasint,omitempty"`
	PerSecond int64 `json:"per_second" cbor:"2,keyasint,omitempty"`
	AtMS      int64 `json:"at_ms" cbor:"3,keyasint,omitempty"` // time of the table's monotonic clock, not later than the pledge was made
	// GrowsAfterMS is a time in which the pledge does not grow. Earlier versions do not
	// know it and take the pledge for larger than it is.
	GrowsAfterMS int64 `json:"grows_after_ms,omitempty" cbor:"4,keyasint,omitempty"`
	// Gradual says that the growth counts from the end of GrowsAfterMS on. Otherwise the
	// pledge then holds at once what it would hold if it had grown all the time, which
	// earlier versions assume.
	Gradual bool `json:"gradual,omitempty" cbor:"5,keyasint,omitempty"`
}

// Limit returns the most that the holder can have spent at a time of the table's
// clock, regardless of its grant.
func (p Pledge) Limit(nowMS int64) int64 {
	const msPerSecond = 1000
	elapsed := max(nowMS-p.AtMS, 0)
	if elapsed <= p.GrowsAfterMS {
		return p.Base
	}
	if p.Gradual {
		elapsed -= p.GrowsAfterMS
	}
	return p.Base + p.PerSecond*elapsed/msPerSecond
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
	// widePledgeRateFactor and widePledgeBurstPeriod replace the two while the table is
	// slow, when pledges are renewed rarely, and for an ample budget. A burst is not known
	// in advance.
	widePledgeRateFactor  = 2.0
	widePledgeBurstPeriod = 3 * time.Second
	// lowPledgeBurstPeriod is the period whose demand the pledge of a low budget covers
	// until it grows. It is renewed before it is used up (PledgeRunsDry).
	lowPledgeBurstPeriod = 400 * time.Millisecond
	// pledgeDryPeriod is the period whose demand a pledge must still cover. An exchange
	// takes 10 to 30 ms, and another one may be under way.
	pledgeDryPeriod = 150 * time.Millisecond
	// lowPledgeGrowsAfter is how long the pledge of a low budget does not grow. After a
	// loss of power the next process of a host starts within that time.
	lowPledgeGrowsAfter = 2500 * time.Millisecond
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

// PledgeOfSuccessor returns the pledge with which the successor of a holder begins: the
// demand that the holder has stated, as nothing else is known of what callers will send,
// and the tokens that waiting requests need.
func (g Grant) PledgeOfSuccessor(need, nowMS int64) Pledge {
	burst := int64(float64(g.Demand) * pledgeBurstPeriod.Seconds())
	return Pledge{Base: g.Settled + need + burst, PerSecond: int64(float64(g.Demand) * pledgeRateFactor), AtMS: nowMS}
}

// SparsePledge returns the allowance for sparse requests of the given mean size.
func SparsePledge(requestSize, limit int64) int64 {
	return min(int64(sparsePledgeRequests*float64(requestSize)), limit)
}

// SparsePledgeLimit returns the most that each of the holders of a budget pledges
// for requests that arrive less than once in pledgeBurstPeriod.
func SparsePledgeLimit(prepaid int64, holders int) int64 {
	return prepaid / sparsePledgeDivisor / int64(max(holders, 1))
}

// PledgeKind says by what the size of a pledge is chosen.
type PledgeKind int

const (
	PledgeSteady PledgeKind = iota // serves through an outage of the table
	PledgeLow                      // for a low budget: little is written off if the holder ends
	PledgeWide                     // while the table is slow, and for an ample budget
)

// NewPledge returns the pledge for an operation, given the demand, the allowance for sparse
// requests, the tokens that waiting requests need and the time of the table's clock.
func (s *LocalShare) NewPledge(kind PledgeKind, d Demand, sparse, need, nowMS int64) Pledge {
	burst, factor := pledgeBurstPeriod, pledgeRateFactor
	var growsAfter time.Duration
	switch kind {
	case PledgeLow:
		burst, growsAfter = lowPledgeBurstPeriod, lowPledgeGrowsAfter
	case PledgeWide:
		burst, factor = widePledgeBurstPeriod, widePledgeRateFactor
	}
	return Pledge{
		Base:         s.consumedTokens + s.reservedTokens + need + int64(d.TokensPerSecond*burst.Seconds()) + sparse,
		PerSecond:    int64(d.TokensPerSecond * factor),
		AtMS:         nowMS,
		GrowsAfterMS: growsAfter.Milliseconds(),
		Gradual:      growsAfter > 0,
	}
}

// PledgeNeedsRenewal reports whether there is demand and less than two average
// requests fit within the pledge, so that it should be renewed before a request has to wait.
func (s *LocalShare) PledgeNeedsRenewal(d Demand, nowMS int64) bool {
	return d.TokensPerSecond > 0 && !s.WithinPledges(2*d.RequestSize, nowMS)
}

// PledgeRunsDry reports whether the pledge covers less than pledgeDryPeriod of the demand,
// or less than a request.
func (s *LocalShare) PledgeRunsDry(d Demand, nowMS int64) bool {
	return !s.WithinPledges(max(d.RequestSize, int64(d.TokensPerSecond*pledgeDryPeriod.Seconds())), nowMS)
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
