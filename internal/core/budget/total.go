package budget

import "tarragonridge.example/tarragonridge/internal/core/errkind"

// Stripes is the number of rows into which a team's budget is divided, so that
// two dozen routers do not race for one. Each router draws from the stripe of its
// host. More stripes cost more calls: sixteen would serve 300 routers, and served
// 24 worse than four. The stored rows depend on the number.
const Stripes = 4

// StripePrepaid returns the part of a prepaid total that a stripe begins with. It
// does not fall while the total rises.
func StripePrepaid(prepaid int64, stripe int) int64 {
	part := prepaid / Stripes
	if int64(stripe) < prepaid%Stripes {
		part++
	}
	return part
}

// Total is the stored row of one stripe of a team's budget, where each router
// keeps what it holds in a row of its own (Holding). A router settles there
// without touching the total, so routers meet only when they draw or return.
//
// No transaction changes two stripes. Tokens move in two steps, each safe to
// repeat: the sender counts them in Sent, and whoever has read that count may
// raise Taken of the receiver to it. Taken never exceeds Sent, as both only grow.
type Total struct {
	ToppedUp int64          `json:"topped_up"`
	Sent     [Stripes]int64 `json:"sent,omitzero"`     // in all, by receiving stripe
	Taken    [Stripes]int64 `json:"taken,omitzero"`    // in all, by sending stripe
	Granted  int64          `json:"granted"`           // sum over the holdings that stand
	Settled  int64          `json:"settled"`           // of Granted, as far as their holders have reported
	Closed   int64          `json:"closed"`            // spent by holders that have ended
	Lost     int64          `json:"lost,omitempty"`    // part of Settled and Closed that nobody accounts for
	Holders  int            `json:"holders,omitempty"` // holdings with a grant of the team
}

// Left returns the tokens that can be drawn.
func (t Total) Left() int64 {
	left := t.ToppedUp - t.Granted - t.Closed
	for stripe := range Stripes {
		left += t.Taken[stripe] - t.Sent[stripe]
	}
	return left
}

// Spent returns the tokens that are known to be spent.
func (t Total) Spent() int64 { return t.Settled + t.Closed - t.Lost }

// Held returns the tokens that holders may still spend.
func (t Total) Held() int64 { return t.Granted - t.Settled }

// RaisePrepaid sets the prepaid total if it exceeds the stored one. Totals never fall,
// so that routers on different versions of the configuration agree.
func (t Total) RaisePrepaid(prepaid int64) Total {
	t.ToppedUp = max(t.ToppedUp, prepaid)
	return t
}

// Add returns the sum of two stripes. Its Left leaves out what is on its way
// between stripes.
func (t Total) Add(o Total) Total {
	t.ToppedUp += o.ToppedUp
	t.Granted += o.Granted
	t.Settled += o.Settled
	t.Closed += o.Closed
	t.Lost += o.Lost
	t.Holders += o.Holders
	for stripe := range Stripes {
		t.Sent[stripe] += o.Sent[stripe]
		t.Taken[stripe] += o.Taken[stripe]
	}
	return t
}

// Send takes out tokens that nobody holds, for another stripe.
func (t Total) Send(receiver int, tokens int64) (Total, error) {
	if tokens < 0 || tokens > t.Left() {
		return t, errkind.New(errkind.Internal, "%d tokens cannot be sent, %d are left", tokens, t.Left())
	}
	t.Sent[receiver] += tokens
	return t, nil
}

// Take adds what another stripe has sent to this one.
func (t Total) Take(sender int, from Total, receiver int) Total {
	t.Taken[sender] = max(t.Taken[sender], from.Sent[receiver])
	return t
}

// ChangeGrant replaces a holder's grant. It returns BudgetExhausted if Left cannot
// cover a draw, and Internal for values that cannot follow the stored ones.
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
	return t, nil
}

// CloseGrant ends a grant of which spent tokens are gone, settled ones by account.
func (t Total) CloseGrant(g Grant, spent, settled int64) Total {
	t.Granted -= g.Granted
	t.Settled -= g.Reported
	t.Closed += spent
	t.Lost += spent - settled
	t.Holders = max(t.Holders-1, 0)
	return t
}

// ForSuccessor returns the grant that the successor of a holder goes on with. The most
// that the holder can have spent by diedMS, on the table's clock, counts as
// spent.
func (g Grant) ForSuccessor(diedMS int64) Grant {
	spent := g.Granted
	if g.Pledge != (Pledge{}) {
		spent = min(spent, max(g.Pledge.Limit(diedMS), g.Settled))
	}
	return Grant{Seq: 1, Granted: g.Granted, Settled: spent, Reported: g.Reported, Lost: g.Lost + spent - g.Settled}
}

// WriteOff ends the grant of a holder that ended without an account of what it
// spent since its last operation.
func (t Total) WriteOff(g Grant, diedMS int64) Total {
	heir := g.ForSuccessor(diedMS)
	return t.CloseGrant(g, heir.Settled, heir.Settled-heir.Lost)
}

// Check returns an Internal error if the total violates an invariant.
func (t Total) Check() error {
	if t.Granted < 0 || t.Settled < 0 || t.Closed < 0 || t.Lost < 0 || t.Left() < 0 {
		return errkind.New(errkind.Internal, "total is inconsistent: %+v", t)
	}
	return nil
}

// Holding is the stored row of one router incarnation: its grants by team. Only
// the router writes it, and its successor on the same host closes it.
type Holding struct {
	Seq    int64            `json:"seq"` // number of the last operation, from 1
	Grants map[string]Grant `json:"grants"`
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
