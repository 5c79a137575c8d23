package budget

import "tarragonridge.example/tarragonridge/internal/core/errkind"

// MaxStripes bounds the number of stripes of a budget.
const MaxStripes = 64

// StripePrepaid returns the part of a prepaid amount that belongs to one of a number of
// stripes. It never decreases when the amount increases.
func StripePrepaid(prepaid int64, stripe, stripes int) int64 {
	part := prepaid / int64(stripes)
	if int64(stripe) < prepaid%int64(stripes) {
		part++
	}
	return part
}

// Transfers are cumulative numbers of tokens by stripe. A nil value is all zeros. Values
// are not changed once they are used.
type Transfers []int64

// Of returns the tokens of a stripe.
func (t Transfers) Of(stripe int) int64 {
	if stripe >= len(t) {
		return 0
	}
	return t[stripe]
}

// With returns a copy with other tokens of a stripe.
func (t Transfers) With(stripe int, tokens int64) Transfers {
	if t.Of(stripe) == tokens {
		return t
	}
	out := make(Transfers, max(len(t), stripe+1))
	copy(out, t)
	out[stripe] = tokens
	return out
}

// sum returns the tokens of all stripes.
func (t Transfers) sum() (tokens int64) {
	for _, n := range t {
		tokens += n
	}
	return tokens
}

// plus returns the sums by stripe.
func (t Transfers) plus(o Transfers) Transfers {
	if len(o) == 0 {
		return t
	}
	out := make(Transfers, max(len(t), len(o)))
	copy(out, t)
	for stripe, tokens := range o {
		out[stripe] += tokens
	}
	return out
}

// Total is the stored row of one stripe of a team's budget. Each router keeps its
// grants in a row of its own (Holding) and settles there without changing the
// total, so routers contend only when they draw or return.
//
// No transaction changes two stripes. Tokens move between stripes in two
// idempotent steps: the sender adds them to its Sent, and any router that has read
// the sender's row may raise Taken of the receiver to that value. Taken never
// exceeds Sent, because both only increase.
type Total struct {
	ToppedUp    int64     `json:"topped_up" cbor:"1,keyasint,omitempty"`
	Sent        Transfers `json:"sent,omitempty" cbor:"2,keyasint,omitempty"`    // by receiving stripe
	Taken       Transfers `json:"taken,omitempty" cbor:"3,keyasint,omitempty"`   // by sending stripe
	Granted     int64     `json:"granted" cbor:"4,keyasint,omitempty"`           // sum over the open grants
	Settled     int64     `json:"settled" cbor:"5,keyasint,omitempty"`           // part of Granted that holders have reported as settled
	ClosedSpent int64     `json:"closed" cbor:"6,keyasint,omitempty"`            // spent under grants that are closed
	Lost        int64     `json:"lost,omitempty" cbor:"7,keyasint,omitempty"`    // part of Settled and ClosedSpent that was written off without a report of its use
	Holders     int       `json:"holders,omitempty" cbor:"8,keyasint,omitempty"` // holdings with an open grant
	Demand      int64     `json:"demand,omitempty" cbor:"11,keyasint,omitempty"` // sum over the open grants
	Reserve     Reserve   `json:"reserve,omitzero" cbor:"9,keyasint,omitzero"`   // only in a table that reports eras
	Era         int64     `json:"era,omitempty" cbor:"10,keyasint,omitempty"`    // of the table when the row was written; 0 if it reports none
}

// Left returns the tokens that holders can still draw.
func (t Total) Left() int64 {
	return t.ToppedUp - t.Granted - t.ClosedSpent - t.Reserve.Size() + t.Taken.sum() - t.Sent.sum()
}

// Spent returns the tokens that were reported as spent.
func (t Total) Spent() int64 { return t.Settled + t.ClosedSpent - t.Lost }

// Held returns the tokens that holders may still spend.
func (t Total) Held() int64 { return t.Granted - t.Settled }

// RaisePrepaid sets the prepaid amount if it exceeds the stored one. The amount
// never decreases, so that routers with different versions of the configuration
// agree.
func (t Total) RaisePrepaid(prepaid int64) Total {
	t.ToppedUp = max(t.ToppedUp, prepaid)
	return t
}

// Add returns the sum of two stripes. Its Left excludes tokens in transit between
// stripes.
func (t Total) Add(other Total) Total {
	t.ToppedUp += other.ToppedUp
	t.Granted += other.Granted
	t.Settled += other.Settled
	t.ClosedSpent += other.ClosedSpent
	t.Lost += other.Lost
	t.Holders += other.Holders
	t.Demand += other.Demand
	t.Reserve.Ready += other.Reserve.Ready
	t.Reserve.Filling += other.Reserve.Filling
	t.Sent, t.Taken = t.Sent.plus(other.Sent), t.Taken.plus(other.Taken)
	return t
}

// Send records that tokens left in this stripe are sent to another one, which
// receives them by Take. It returns Internal if tokens is negative or exceeds Left.
func (t Total) Send(receiver int, tokens int64) (Total, error) {
	if tokens < 0 || tokens > t.Left() {
		return t, errkind.New(errkind.Internal, "%d tokens cannot be sent, %d are left", tokens, t.Left())
	}
	t.Sent = t.Sent.With(receiver, t.Sent.Of(receiver)+tokens)
	return t, nil
}

// Take adds the tokens that a sender's stripe has sent to this stripe, the receiver.
func (t Total) Take(sender int, sent int64) Total {
	t.Taken = t.Taken.With(sender, max(t.Taken.Of(sender), sent))
	return t
}

// ChangeGrant accounts for the replacement of a holder's grant. It returns
// BudgetExhausted if Left does not cover the draw, and Internal if Settled
// decreases or exceeds Granted.
func (t Total) ChangeGrant(old, next Grant) (Total, error) {
	if next.Settled < old.Settled || next.Granted < next.Settled {
		return t, errkind.New(errkind.Internal, "grant %+v cannot follow %+v", next, old)
	}
	if next.Granted-old.Granted > t.Left() {
		return t, errkind.New(errkind.BudgetExhausted, "%d tokens left", t.Left())
	}
	if old.Seq == 0 {
		t.Holders++
	}
	t.Granted += next.Granted - old.Granted
	t.Settled += next.Settled - old.Reported
	t.Lost += old.Lost
	t.Demand = max(t.Demand+next.Demand-old.Demand, 0)
	return t, nil
}

// CloseGrant accounts for the end of a grant of which spent tokens are not
// returned. accounted is the part of the spent tokens that the holder has reported as
// consumed; the rest counts as lost.
func (t Total) CloseGrant(g Grant, spent, accounted int64) Total {
	t.Granted -= g.Granted
	t.Settled -= g.Reported
	t.ClosedSpent += spent
	t.Lost += spent - accounted
	t.Holders = max(t.Holders-1, 0)
	t.Demand = max(t.Demand-g.Demand, 0)
	return t
}

// ForSuccessor returns the grant with which the successor of a holder continues.
// The most that the holder can have spent by endedByMS, on the table's clock,
// counts as spent.
func (g Grant) ForSuccessor(endedByMS int64) Grant {
	spent := g.Granted
	if g.Pledge != (Pledge{}) {
		spent = min(spent, max(g.Pledge.Limit(endedByMS), g.Settled))
	}
	return Grant{
		Seq: 1, Granted: g.Granted, Settled: spent, Reported: g.Reported, Lost: g.Lost + spent - g.Settled,
		Young: g.Young, YoungAtMS: g.YoungAtMS, Demand: g.Demand,
	}
}

// WriteOff closes the grant of a holder that ended without reporting what it spent
// since its last operation. The most that it can have spent by endedByMS, on the
// table's clock, counts as spent.
func (t Total) WriteOff(g Grant, endedByMS int64) Total {
	successor := g.ForSuccessor(endedByMS)
	return t.CloseGrant(g, successor.Settled, successor.Settled-successor.Lost)
}

// Check returns an Internal error if the total violates an invariant.
func (t Total) Check() error {
	if t.Granted < 0 || t.Settled < 0 || t.ClosedSpent < 0 || t.Lost < 0 || t.Left() < 0 {
		return errkind.New(errkind.Internal, "total violates an invariant: %+v", t)
	}
	return nil
}

// Holding is the stored row of the grants of one router incarnation. Only that
// router writes it while it runs; its successor on the same host takes it over or
// closes it.
type Holding struct {
	Seq    int64            `json:"seq" cbor:"1,keyasint,omitempty"`    // sequence number of the last operation, from 1
	Grants map[string]Grant `json:"grants" cbor:"2,keyasint,omitempty"` // by team
	// Era is the table's era when the row was written, 0 if it reports none. In a later
	// era the row may lack what its router has written since the copy, so its pledges
	// bound nothing.
	Era int64 `json:"era,omitempty" cbor:"3,keyasint,omitempty"`
	// Closing says that another process has written off grants of this holding and
	// will write off the rest. The router itself may not change it any more.
	Closing bool `json:"closing,omitempty" cbor:"4,keyasint,omitempty"`
}
