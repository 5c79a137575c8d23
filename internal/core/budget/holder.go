package budget

import "time"

// IdlePeriod is the span over which demand is measured and after which idle
// share is returned.
const IdlePeriod = 2 * time.Second

// MinSharePeriod is the span after the last request in which a router keeps a
// standing share. Without one, a team with a request every few seconds has no
// share at all when an outage of the table begins, and all its requests are
// refused. Routers that need the tokens ask for them.
const MinSharePeriod = 10 * time.Minute

const (
	standingRequests = 4  // of the largest recent size that the standing share covers
	standingDivisor  = 32 // the standing share is at most Left/standingDivisor

	demandFactor  = 2 // share kept locally, in multiples of the demand of IdlePeriod
	leftDivisor   = 4 // a draw beyond what is needed takes at most Left/leftDivisor
	demandBuckets = 8
	bucketSpan    = IdlePeriod / demandBuckets
)

// LocalShare is a router's local share of one team's budget. The zero value holds
// nothing. Reserved + consumed never exceeds the granted amount, whether or
// not a pending operation has been applied.
type LocalShare struct {
	stored      Grant // confirmed to be in the account
	pending     Grant // in flight; Seq 0 if there is none
	consumed    int64 // cumulative, including what is not yet settled
	reserved    int64
	demand      [demandBuckets]int64
	demandAt    int64     // index of the newest bucket since the epoch
	excessSince time.Time // zero unless the share exceeds the target
	demandSeen  time.Time // of the last request
	largest     int64     // request since largestAt
	largestAt   time.Time
	standing    int64 // standing share, fixed by the last draw
}

// Available returns the tokens that can be reserved. A pending draw does not
// count yet; a pending return counts already.
func (h *LocalShare) Available() int64 {
	granted := h.stored.Granted
	if h.pending.Seq != 0 {
		granted = min(granted, h.pending.Granted)
	}
	return granted - h.consumed - h.reserved
}

// Reserved returns the tokens reserved by requests in progress.
func (h *LocalShare) Reserved() int64 { return h.reserved }

// Consumed returns the tokens consumed under this share so far.
func (h *LocalShare) Consumed() int64 { return h.consumed }

// Stored returns the grant that is confirmed to be in the account.
func (h *LocalShare) Stored() Grant { return h.stored }

// Reserve takes tokens out of the available share and reports whether it
// covered them.
func (h *LocalShare) Reserve(tokens int64) bool {
	if tokens < 0 || tokens > h.Available() {
		return false
	}
	h.reserved += tokens
	return true
}

// Lower reduces a reservation and returns its new size. It never raises it.
func (h *LocalShare) Lower(from, to int64) int64 {
	to = min(from, max(to, 0))
	h.reserved -= from - to
	return to
}

// Cancel gives up a reservation.
func (h *LocalShare) Cancel(tokens int64) { h.reserved -= tokens }

// Settle turns a reservation into consumption and returns the charge, which is
// at most the reservation.
func (h *LocalShare) Settle(reserved, charged int64) int64 {
	charged = min(reserved, max(charged, 0))
	h.reserved -= reserved
	h.consumed += charged
	return charged
}

// Restore takes over a grant that is stored already. The holder must be new.
func (h *LocalShare) Restore(g Grant) { h.stored, h.consumed = g, g.Settled }

// Begin starts an operation that changes the grant by delta tokens (negative
// for a return) and settles the given tokens. It returns the values to store.
// Until Confirm or Drop, Begin returns the same values again, so that a retry
// after a lost answer repeats the same write.
func (h *LocalShare) Begin(delta, settle int64) Grant {
	if h.pending.Seq == 0 {
		h.pending = Grant{
			Seq:     h.stored.Seq + 1,
			Granted: h.stored.Granted + delta,
			Settled: h.stored.Settled + settle,
		}
	}
	return h.pending
}

// BeginPledged is Begin for an operation that carries a pledge.
func (h *LocalShare) BeginPledged(delta, settle int64, p Pledge) Grant {
	if h.pending.Seq == 0 {
		h.Begin(delta, settle)
		h.pending.Pledge = p
	}
	return h.pending
}

// Pending returns the operation in flight, if any.
func (h *LocalShare) Pending() (Grant, bool) { return h.pending, h.pending.Seq != 0 }

// Confirm records that the pending operation is stored.
func (h *LocalShare) Confirm() {
	if h.pending.Seq != 0 {
		h.stored = h.pending
		h.pending = Grant{}
	}
}

// Drop gives up the pending operation. It is permitted only if no attempt was
// applied and none can be, because a row in its conditions has changed.
func (h *LocalShare) Drop() { h.pending = Grant{} }

// RecordDemand records that a request asked for tokens.
func (h *LocalShare) RecordDemand(now time.Time, tokens int64) {
	h.rotate(now)
	h.demand[h.demandAt%demandBuckets] += tokens
	h.demandSeen = now
	if tokens >= h.largest || now.Sub(h.largestAt) > MinSharePeriod {
		h.largest = tokens
		h.largestAt = now
	}
}

// keep returns the share that is not idle.
func (h *LocalShare) keep(now time.Time) int64 {
	if now.Sub(h.demandSeen) > MinSharePeriod {
		return h.target(now)
	}
	return max(h.target(now), h.standing)
}

func (h *LocalShare) rotate(now time.Time) {
	at := now.UnixNano() / int64(bucketSpan)
	if at-h.demandAt >= demandBuckets {
		h.demand = [demandBuckets]int64{}
		h.demandAt = at
	}
	for h.demandAt < at {
		h.demandAt++
		h.demand[h.demandAt%demandBuckets] = 0
	}
}

func (h *LocalShare) target(now time.Time) int64 {
	h.rotate(now)
	var sum int64
	for _, tokens := range h.demand {
		sum += tokens
	}
	return demandFactor * sum
}

// Idle reports whether there was no demand for IdlePeriod and no request is in
// progress.
func (h *LocalShare) Idle(now time.Time) bool { return h.reserved == 0 && h.target(now) == 0 }

// DrawSize returns the size of the next draw, given the tokens that the
// waiting request lacks and the account's Left. It is 0 if left cannot cover
// the need.
func (h *LocalShare) DrawSize(now time.Time, need, left int64) int64 {
	if need > left {
		return 0
	}
	h.standing = h.standingShare(left)
	ahead := min(h.target(now)-h.Available(), left/leftDivisor)
	return max(need, ahead, h.standing-h.Available(), 0)
}

// RefillSize returns the tokens that the standing share lacks, given the
// account's Left.
func (h *LocalShare) RefillSize(now time.Time, left int64) int64 {
	if now.Sub(h.demandSeen) > MinSharePeriod {
		return 0
	}
	h.standing = h.standingShare(left)
	return max(0, h.standing-h.Available())
}

// standingShare is the share to keep for outages of the table. Of a small budget
// it is little, because the routers' shares add up.
func (h *LocalShare) standingShare(left int64) int64 {
	return min(standingRequests*h.largest, left/standingDivisor)
}

// ReturnSize returns the idle share to give back: everything beyond the
// standing share if there was no demand for IdlePeriod, otherwise what has
// exceeded the share to keep for that long, so that small changes in demand
// cause no writes.
func (h *LocalShare) ReturnSize(now time.Time) int64 {
	excess := h.Available() - h.keep(now)
	if excess > 0 && h.target(now) == 0 {
		return excess
	}
	if excess <= 0 {
		h.excessSince = time.Time{}
		return 0
	}
	if h.excessSince.IsZero() {
		h.excessSince = now
	}
	if now.Sub(h.excessSince) < IdlePeriod {
		return 0
	}
	return excess
}
