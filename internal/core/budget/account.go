// Package budget holds the state of prepaid token budgets: the stored account
// of a team and a router's local share of it. All amounts are tokens.
package budget

import (
	"maps"
	"math"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Grant is the part of an account that one holder incarnation may spend.
// Granted and Settled are cumulative, so that a write can be repeated.
type Grant struct {
	Seq     int64  `json:"seq"` // number of the last operation, from 1
	Granted int64  `json:"granted"`
	Settled int64  `json:"settled"`
	Pledge  Pledge `json:"pledge,omitzero"`
}

// Pledge bounds what a holder spends until its next operation: at most Base plus
// PerSecond for each second since AtMS. It is cumulative like Settled. A holder
// without one may spend all that is granted.
type Pledge struct {
	Base      int64 `json:"base"`
	PerSecond int64 `json:"per_second"`
	AtMS      int64 `json:"at_ms"` // on the table's steady clock, not after the pledge was made
}

// Limit returns the most that the holder has spent at a moment of the table's
// clock, without regard to what is granted.
func (p Pledge) Limit(nowMS int64) int64 {
	const msPerSecond = 1000
	return p.Base + p.PerSecond*max(nowMS-p.AtMS, 0)/msPerSecond
}

// Held returns the tokens that are granted and not settled.
func (g Grant) Held() int64 { return g.Granted - g.Settled }

// Account is the stored row of a team. Transitions return a new value and
// preserve ToppedUp = Settled + Held + Left with Left >= 0.
type Account struct {
	ToppedUp      int64            `json:"topped_up"`
	ClosedSettled int64            `json:"closed_settled"` // settled by holders whose grant is closed
	Grants        map[string]Grant `json:"grants,omitempty"`
	// Lost is the part of ClosedSettled that holders may have spent when they
	// ended, with no account of it.
	Lost int64 `json:"lost,omitempty"`
}

// Settled returns the tokens consumed according to stored records.
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

// Left returns the tokens that can be drawn.
func (a Account) Left() int64 { return a.ToppedUp - a.Settled() - a.Held() }

// Check returns an Internal error if the account violates an invariant.
func (a Account) Check() error {
	if a.ToppedUp < 0 || a.ClosedSettled < 0 {
		return errkind.New(errkind.Internal, "account has a negative total")
	}
	for inc, g := range a.Grants {
		if g.Seq < 1 || g.Settled < 0 || g.Granted < g.Settled {
			return errkind.New(errkind.Internal, "grant of %s is inconsistent: %+v", inc, g)
		}
	}
	if left := a.Left(); left < 0 {
		return errkind.New(errkind.Internal, "account is overdrawn by %d tokens", -left)
	}
	return nil
}

// TopUp adds prepaid tokens. It returns InvalidRequest unless tokens is
// positive and the total stays in range.
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

// SetGrant stores the values of a holder's operation. Repeating the last
// operation changes nothing. It returns Conflict for any other sequence number
// than the next, BudgetExhausted if Left cannot cover the draw, and Internal
// for values that cannot follow the stored ones.
func (a Account) SetGrant(incarnation string, seq, granted, settled int64) (Account, error) {
	return a.Store(incarnation, Grant{Seq: seq, Granted: granted, Settled: settled})
}

// Store is SetGrant for a grant with a pledge.
func (a Account) Store(incarnation string, next Grant) (Account, error) {
	old := a.Grants[incarnation]
	if old == next && next.Seq > 0 {
		return a, nil
	}
	if next.Seq != old.Seq+1 {
		return a, errkind.New(errkind.Conflict, "operation %d of %s does not follow %d", next.Seq, incarnation, old.Seq)
	}
	if next.Settled < old.Settled || next.Granted < next.Settled {
		return a, errkind.New(errkind.Internal, "grant %+v of %s cannot follow %+v", next, incarnation, old)
	}
	if next.Granted-old.Granted > a.Left() {
		return a, errkind.New(errkind.BudgetExhausted, "%d tokens left", a.Left())
	}
	a.Grants = cloneGrants(a.Grants)
	a.Grants[incarnation] = next
	return a, nil
}

// CloseGrant removes the grant of a holder that spends no more. It settles
// extra tokens, those of records that the holder did not store, and frees the
// rest. Closing an absent grant with nothing to settle changes nothing. It
// returns Internal if extra exceeds what the holder held.
func (a Account) CloseGrant(incarnation string, extra int64) (Account, error) {
	g, ok := a.Grants[incarnation]
	if !ok && extra == 0 {
		return a, nil
	}
	if extra < 0 || extra > g.Held() {
		return a, errkind.New(errkind.Internal, "records of %s exceed its grant: %d of %d tokens", incarnation, extra, g.Held())
	}
	a.Grants = cloneGrants(a.Grants)
	delete(a.Grants, incarnation)
	a.ClosedSettled += g.Settled + extra
	return a, nil
}

// WriteOff removes the grant of a holder that ended without an account of what
// it spent since its last operation. The most that it can have spent by diedMS,
// on the table's clock, counts as spent.
func (a Account) WriteOff(incarnation string, diedMS int64) Account {
	g, ok := a.Grants[incarnation]
	if !ok {
		return a
	}
	spent := g.Granted
	if g.Pledge != (Pledge{}) {
		spent = min(spent, max(g.Pledge.Limit(diedMS), g.Settled))
	}
	a.Grants = cloneGrants(a.Grants)
	delete(a.Grants, incarnation)
	a.ClosedSettled += spent
	a.Lost += spent - g.Settled
	return a
}

// Raise sets the prepaid total if it exceeds the stored one. Totals never fall,
// so that routers on different versions of the configuration agree.
func (a Account) Raise(prepaid int64) Account {
	a.ToppedUp = max(a.ToppedUp, prepaid)
	return a
}

func cloneGrants(grants map[string]Grant) map[string]Grant {
	if grants == nil {
		return map[string]Grant{}
	}
	return maps.Clone(grants)
}
