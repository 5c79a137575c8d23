// Package budget models prepaid token budgets: the stored rows of a team's
// budget and the share of it that a router may spend without asking the table in
// which the rows are stored. All amounts are tokens.
//
// There are two stored forms. An Account holds the grants of all routers in one
// row. A Total and a Holding divide them into rows for each stripe of the budget
// and for each router.
package budget

import (
	"maps"
	"math"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Grant is the part of a team's budget that one holder may spend. A holder is an
// incarnation of a router, which is one start of its process. Granted and Settled
// are cumulative, so that repeating a write does not change the result.
type Grant struct {
	Seq     int64 `json:"seq" cbor:"1,keyasint,omitempty"`     // sequence number of the last operation, from 1
	Granted int64 `json:"granted" cbor:"2,keyasint,omitempty"` // tokens drawn from the budget less those returned
	Settled int64 `json:"settled" cbor:"3,keyasint,omitempty"` // tokens stored as consumed

	// The fields below are used only for grants in a Holding.

	// Reported is the part of Settled that the team's Total already includes.
	Reported int64 `json:"reported,omitempty" cbor:"4,keyasint,omitempty"`
	// Lost is the part of Settled that was written off without a report of its
	// use and that the Total does not include yet.
	Lost int64 `json:"lost,omitempty" cbor:"5,keyasint,omitempty"`
	// Pledge bounds the consumption up to the holder's next operation.
	Pledge Pledge `json:"pledge,omitzero" cbor:"6,keyasint,omitzero"`
	// Young are the tokens that were drawn within the age of the oldest copy before
	// YoungAtMS, a time of the table's clock not later than the latest of these draws.
	Young     int64 `json:"young,omitempty" cbor:"7,keyasint,omitempty"`
	YoungAtMS int64 `json:"young_at_ms,omitempty" cbor:"8,keyasint,omitempty"`
	// Demand is the holder's demand at its last draw or return, in tokens per second, as
	// the Total includes it.
	Demand int64 `json:"demand,omitempty" cbor:"9,keyasint,omitempty"`
}

// Held returns the tokens that are granted but not settled.
func (g Grant) Held() int64 { return g.Granted - g.Settled }

// Account is the stored row of a team's budget. Its methods return a changed
// copy and preserve ToppedUp = Settled + Held + Left with Left >= 0.
type Account struct {
	ToppedUp      int64            `json:"topped_up"`
	ClosedSettled int64            `json:"closed_settled"`   // settled under grants that are closed
	Grants        map[string]Grant `json:"grants,omitempty"` // open grants by holder incarnation
}

// Settled returns the tokens consumed according to the stored records.
func (a Account) Settled() int64 {
	sum := a.ClosedSettled
	for _, g := range a.Grants {
		sum += g.Settled
	}
	return sum
}

// Held returns the tokens that holders may still spend.
func (a Account) Held() int64 {
	var sum int64
	for _, g := range a.Grants {
		sum += g.Held()
	}
	return sum
}

// Left returns the tokens that holders can still draw.
func (a Account) Left() int64 { return a.ToppedUp - a.Settled() - a.Held() }

// Check returns an Internal error if the account violates an invariant.
func (a Account) Check() error {
	if a.ToppedUp < 0 || a.ClosedSettled < 0 {
		return errkind.New(errkind.Internal, "topped-up or settled tokens of the account are negative")
	}
	for incarnation, g := range a.Grants {
		if g.Seq < 1 || g.Settled < 0 || g.Granted < g.Settled {
			return errkind.New(errkind.Internal, "grant of %s violates an invariant: %+v", incarnation, g)
		}
	}
	if left := a.Left(); left < 0 {
		return errkind.New(errkind.Internal, "account is overdrawn by %d tokens", -left)
	}
	return nil
}

// TopUp adds prepaid tokens. It returns InvalidRequest if tokens is not positive
// or the sum overflows.
func (a Account) TopUp(tokens int64) (Account, error) {
	if tokens <= 0 {
		return a, errkind.New(errkind.InvalidRequest, "top-up must be positive")
	}
	if a.ToppedUp > math.MaxInt64-tokens {
		return a, errkind.New(errkind.InvalidRequest, "top-up exceeds the largest total")
	}
	a.ToppedUp += tokens
	return a, nil
}

// SetGrant applies a holder's operation. Repeating the last operation changes
// nothing. SetGrant returns Conflict unless seq is the next sequence number,
// BudgetExhausted if Left does not cover the draw, and Internal if settled
// decreases or exceeds granted.
func (a Account) SetGrant(incarnation string, seq, granted, settled int64) (Account, error) {
	next := Grant{Seq: seq, Granted: granted, Settled: settled}
	old := a.Grants[incarnation]
	if old == next && seq > 0 {
		return a, nil
	}
	if seq != old.Seq+1 {
		return a, errkind.New(errkind.Conflict, "operation %d of %s does not follow %d", seq, incarnation, old.Seq)
	}
	if settled < old.Settled || granted < settled {
		return a, errkind.New(errkind.Internal, "grant %+v of %s cannot follow %+v", next, incarnation, old)
	}
	if granted-old.Granted > a.Left() {
		return a, errkind.New(errkind.BudgetExhausted, "%d tokens left", a.Left())
	}
	a.Grants = cloneGrants(a.Grants)
	a.Grants[incarnation] = next
	return a, nil
}

// CloseGrant removes the grant of a holder that can no longer spend. It settles
// the unsettled tokens, those of records that the holder did not store, and
// returns the rest of the grant to the account. Closing an absent grant with
// nothing to settle changes nothing. CloseGrant returns Internal if unsettled is
// negative or exceeds the tokens held, which are 0 for an absent grant.
func (a Account) CloseGrant(incarnation string, unsettled int64) (Account, error) {
	g, ok := a.Grants[incarnation]
	if !ok && unsettled == 0 {
		return a, nil
	}
	if unsettled < 0 || unsettled > g.Held() {
		return a, errkind.New(errkind.Internal, "records of %s exceed its grant: %d of %d tokens", incarnation, unsettled, g.Held())
	}
	a.Grants = cloneGrants(a.Grants)
	delete(a.Grants, incarnation)
	a.ClosedSettled += g.Settled + unsettled
	return a, nil
}

func cloneGrants(grants map[string]Grant) map[string]Grant {
	if grants == nil {
		return map[string]Grant{}
	}
	return maps.Clone(grants)
}
