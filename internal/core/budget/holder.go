package budget

import "time"

// IdlePeriod is the span over which demand is measured and after which the idle
// part of a share is returned.
const IdlePeriod = 2 * time.Second

// MinSharePeriod is how long after the last request a router keeps a minimum
// share. Without it, a team with a request every few seconds has no share when an
// outage of the table begins, and all its requests are refused. Other routers
// that need the tokens ask for them.
const MinSharePeriod = 10 * time.Minute

const (
	minShareRequests = 4  // the minimum share covers this many requests of the largest recent size
	minShareDivisor  = 32 // the minimum share is at most Left/minShareDivisor

	demandFactor    = 2 // share to keep, as a multiple of the tokens requested in the last IdlePeriod
	prefetchDivisor = 4 // a draw takes at most Left/prefetchDivisor for expected demand
	demandBuckets   = 8 // number of buckets into which IdlePeriod is divided
	bucketSpan      = IdlePeriod / demandBuckets
)

// LocalShare is the part of one team's budget that this router holds. The zero
// value holds nothing. Reserved plus consumed tokens never exceed the grant,
// whether or not a pending operation has been applied.
type LocalShare struct {
	storedGrant      Grant // confirmed to be stored
	pendingGrant     Grant // operation in flight; Seq is 0 if there is none
	consumedTokens   int64 // cumulative, settled or not
	reservedTokens   int64
	bucketDemand     [demandBuckets]int64
	newestBucket     int64     // number of the newest bucket, counted from the Unix epoch
	excessSince      time.Time // zero unless the share exceeds shareToKeep
	lastDemandAt     time.Time // time of the last request
	largestRequest   int64     // tokens of the largest request since largestRequestAt
	largestRequestAt time.Time
	minShare         int64 // as computed for the last draw or refill
	// coveredTokens is the part of reservedTokens that another record of the table
	// accounts for, because the grant from which they were reserved was lost in a
	// restore of the table.
	coveredTokens int64
}

// Available returns the tokens that can be reserved. A pending draw is not
// included yet; a pending return is already deducted.
func (s *LocalShare) Available() int64 {
	granted := s.storedGrant.Granted
	if s.pendingGrant.Seq != 0 {
		granted = min(granted, s.pendingGrant.Granted)
	}
	return granted - s.Used()
}

// Reserved returns the tokens reserved for requests in progress.
func (s *LocalShare) Reserved() int64 { return s.reservedTokens }

// Consumed returns the tokens consumed under this share so far.
func (s *LocalShare) Consumed() int64 { return s.consumedTokens }

// Used returns the tokens of the grant that are consumed or reserved.
func (s *LocalShare) Used() int64 { return s.consumedTokens + s.reservedTokens - s.coveredTokens }

// Stored returns the grant that is confirmed to be stored.
func (s *LocalShare) Stored() Grant { return s.storedGrant }

// Reserve reserves tokens and reports whether the available share covered them.
func (s *LocalShare) Reserve(tokens int64) bool {
	if tokens < 0 || tokens > s.Available() {
		return false
	}
	s.reservedTokens += tokens
	return true
}

// Lower reduces a reservation and returns its new size. A reservation is never
// increased: if to exceeds from, the size stays from. A negative to counts as 0.
func (s *LocalShare) Lower(from, to int64) int64 {
	to = min(from, max(to, 0))
	s.reservedTokens -= from - to
	return to
}

// Cancel releases a reservation.
func (s *LocalShare) Cancel(tokens int64) {
	s.reservedTokens -= tokens
	s.coveredTokens -= min(s.coveredTokens, tokens)
}

// Settle replaces a reservation by the tokens charged for it and returns them.
// The charge is capped at the reservation.
func (s *LocalShare) Settle(reserved, charged int64) int64 {
	charged = min(reserved, max(charged, 0))
	covered := min(s.coveredTokens, reserved)
	s.coveredTokens -= covered
	s.reservedTokens -= reserved
	s.consumedTokens += max(charged-covered, 0)
	return charged
}

// Restore initializes a new share from a grant that is already stored.
func (s *LocalShare) Restore(g Grant) { s.storedGrant, s.consumedTokens = g, g.Settled }

// AdoptRestored replaces the stored grant by the one that the table has after its
// restore from an older copy. Tokens that were consumed or reserved beyond it are
// accounted for elsewhere: a share is spent from grants that every copy includes, from
// the reserve of a budget, or from the holding of an earlier process, and a restore
// writes the last two off.
func (s *LocalShare) AdoptRestored(g Grant) {
	s.storedGrant, s.pendingGrant = g, Grant{}
	excess := max(s.Used()-g.Granted, 0)
	fromConsumed := min(excess, max(s.consumedTokens-g.Settled, 0))
	s.consumedTokens = max(s.consumedTokens-fromConsumed, g.Settled)
	s.coveredTokens = min(s.coveredTokens+excess-fromConsumed, s.reservedTokens)
}

// Begin starts an operation that changes the grant by delta tokens (negative for
// a return) and settles the given tokens. It returns the grant to store. Until
// Confirm or Drop, Begin returns the same grant again, so that a retry after a
// lost response repeats the same write.
func (s *LocalShare) Begin(delta, settle int64) Grant {
	if s.pendingGrant.Seq == 0 {
		s.pendingGrant = Grant{
			Seq:     s.storedGrant.Seq + 1,
			Granted: s.storedGrant.Granted + delta,
			Settled: s.storedGrant.Settled + settle,
		}
	}
	return s.pendingGrant
}

// BeginPledged is like Begin for an operation that also stores a pledge.
func (s *LocalShare) BeginPledged(delta, settle int64, p Pledge) Grant {
	if s.pendingGrant.Seq == 0 {
		s.Begin(delta, settle)
		s.pendingGrant.Pledge = p
	}
	return s.pendingGrant
}

// Pending returns the operation in flight, if any.
func (s *LocalShare) Pending() (Grant, bool) { return s.pendingGrant, s.pendingGrant.Seq != 0 }

// Confirm records that the pending operation is stored.
func (s *LocalShare) Confirm() {
	if s.pendingGrant.Seq != 0 {
		s.storedGrant = s.pendingGrant
		s.pendingGrant = Grant{}
	}
}

// Drop discards the pending operation. The caller must know that no attempt was
// applied and that none can be any more, because a row in its conditions has
// changed.
func (s *LocalShare) Drop() { s.pendingGrant = Grant{} }

// RecordDemand records the tokens that a request asks for.
func (s *LocalShare) RecordDemand(now time.Time, tokens int64) {
	s.rotateBuckets(now)
	s.bucketDemand[s.newestBucket%demandBuckets] += tokens
	s.lastDemandAt = now
	if tokens >= s.largestRequest || now.Sub(s.largestRequestAt) > MinSharePeriod {
		s.largestRequest = tokens
		s.largestRequestAt = now
	}
}

// shareToKeep returns the size beyond which the share is idle.
func (s *LocalShare) shareToKeep(now time.Time) int64 {
	if now.Sub(s.lastDemandAt) > MinSharePeriod {
		return s.demandTarget(now)
	}
	return max(s.demandTarget(now), s.minShare)
}

// rotateBuckets clears the demand buckets that are older than IdlePeriod.
func (s *LocalShare) rotateBuckets(now time.Time) {
	current := now.UnixNano() / int64(bucketSpan)
	if current-s.newestBucket >= demandBuckets {
		s.bucketDemand = [demandBuckets]int64{}
		s.newestBucket = current
	}
	for s.newestBucket < current {
		s.newestBucket++
		s.bucketDemand[s.newestBucket%demandBuckets] = 0
	}
}

// demandTarget returns the share to keep for the demand of the last IdlePeriod.
func (s *LocalShare) demandTarget(now time.Time) int64 {
	s.rotateBuckets(now)
	var sum int64
	for _, tokens := range s.bucketDemand {
		sum += tokens
	}
	return demandFactor * sum
}

// Idle reports whether there was no demand in the last IdlePeriod and no request
// is in progress.
func (s *LocalShare) Idle(now time.Time) bool {
	return s.reservedTokens == 0 && s.demandTarget(now) == 0
}

// DrawSize returns the size of the next draw, given the tokens that the waiting
// request lacks and the account's Left. It is 0 if left does not cover the need.
func (s *LocalShare) DrawSize(now time.Time, need, left int64) int64 {
	if need > left {
		return 0
	}
	s.minShare = s.minShareFor(left)
	prefetch := min(s.demandTarget(now)-s.Available(), left/prefetchDivisor)
	return max(need, prefetch, s.minShare-s.Available(), 0)
}

// RefillSize returns the tokens missing from the minimum share, given the
// account's Left.
func (s *LocalShare) RefillSize(now time.Time, left int64) int64 {
	if now.Sub(s.lastDemandAt) > MinSharePeriod {
		return 0
	}
	s.minShare = s.minShareFor(left)
	return max(0, s.minShare-s.Available())
}

// minShareFor returns the share to keep for outages of the table. It is a small
// part of what is left, because the shares of all routers add up.
func (s *LocalShare) minShareFor(left int64) int64 {
	return min(minShareRequests*s.largestRequest, left/minShareDivisor)
}

// ReturnSize returns the idle tokens to give back. Without demand in the last
// IdlePeriod, that is everything beyond the minimum share, and after MinSharePeriod
// the minimum share too. With demand, the share must have exceeded shareToKeep for
// an IdlePeriod, so that small changes in demand cause no writes.
func (s *LocalShare) ReturnSize(now time.Time) int64 {
	excess := s.Available() - s.shareToKeep(now)
	if excess > 0 && s.demandTarget(now) == 0 {
		return excess
	}
	if excess <= 0 {
		s.excessSince = time.Time{}
		return 0
	}
	if s.excessSince.IsZero() {
		s.excessSince = now
	}
	if now.Sub(s.excessSince) < IdlePeriod {
		return 0
	}
	return excess
}
