package modelcheck

import (
	"bytes"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/claim"
)

// Initial capacities in bytes, which suffice for most states and messages.
const (
	initialKeyCapacity     = 256
	initialMessageCapacity = 64
)

// encoder encodes a state as bytes. Every number in the model fits into a byte.
type encoder []byte

func (e *encoder) ints(values ...int) {
	encoded := *e
	for _, v := range values {
		encoded = append(encoded, byte(v))
	}
	*e = encoded
}

func (e *encoder) bools(values ...bool) {
	for _, v := range values {
		if v {
			*e = append(*e, 1)
		} else {
			*e = append(*e, 0)
		}
	}
}

// text appends a string and a terminating zero byte.
func (e *encoder) text(s string) { *e = append(append(*e, s...), 0) }

func (e *encoder) grant(g budget.Grant) { e.ints(int(g.Seq), int(g.Granted), int(g.Settled)) }

func (e *encoder) account(a budget.Account) {
	e.ints(int(a.ClosedSettled))
	for i := range numRouters {
		e.grant(a.Grants[routerID(i)])
	}
}

func (e *encoder) claim(c claim.Claim) {
	e.text(string(c.State))
	e.text(c.Attempt.ID)
	e.ints(c.Attempts)
}

func (e *encoder) router(r router) {
	e.text(string(r.Stage))
	e.bools(r.Waiting, r.Uncertain)
	e.ints(r.DrawVersion, int(r.Share.Consumed()), int(r.Share.Reserved()))
	e.grant(r.Share.Stored())
	pending, _ := r.Share.Pending()
	e.grant(pending)
}

func (e *encoder) message(m message) {
	e.text(string(m.Kind))
	e.bools(m.Orphaned)
	e.ints(m.From, m.AccountVersion, m.HolderVersion, m.ClaimVersion)
	switch m.Kind {
	case startRun:
	case claimWrite:
		e.claim(m.Claim)
	default:
		e.account(m.Account)
		e.text(m.RunIDs)
	}
}

// encode returns a string that is equal for equal states. The order of the
// messages in flight does not matter.
func (s state) encode() string {
	e := make(encoder, 0, initialKeyCapacity)
	e.account(s.Account)
	e.ints(s.AccountVersion, s.ClaimVersion, s.CrashesLeft, s.LostAnswersLeft, s.FencesLeft)
	e.ints(s.HolderVersion[:]...)
	e.ints(s.Sidecar.Started[:]...)
	e.bools(s.HolderFenced[:]...)
	e.bools(s.HolderClosed[:]...)
	e.bools(s.SegmentStored[:]...)
	e.bools(s.Sidecar.HolderFenced[:]...)
	e.bools(s.Sidecar.Tombstoned[:]...)
	e.bools(s.Sidecar.Ended[:]...)
	e.claim(s.Claim)
	e.text(s.Ledger)
	for _, r := range s.Routers {
		e.router(r)
	}
	messages := make([]encoder, len(s.InFlight))
	for i, m := range s.InFlight {
		messages[i] = make(encoder, 0, initialMessageCapacity)
		messages[i].message(m)
	}
	slices.SortFunc(messages, func(a, b encoder) int { return bytes.Compare(a, b) })
	for _, m := range messages {
		e = append(e, m...)
	}
	return string(e)
}
