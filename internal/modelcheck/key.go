package modelcheck

import (
	"bytes"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/claim"
)

// Initial capacities in bytes; most keys fit.
const (
	keySize     = 256
	messageSize = 64
)

// encoder builds the key of a state. Every number in the model fits a byte.
type encoder []byte

func (e *encoder) ints(values ...int) {
	out := *e
	for _, v := range values {
		out = append(out, byte(v))
	}
	*e = out
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

// text appends a string and a terminator.
func (e *encoder) text(s string) { *e = append(append(*e, s...), 0) }

func (e *encoder) grant(g budget.Grant) { e.ints(int(g.Seq), int(g.Granted), int(g.Settled)) }

func (e *encoder) account(a budget.Account) {
	e.ints(int(a.ClosedSettled))
	for i := range routers {
		e.grant(a.Grants[name(i)])
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
	e.ints(r.DrawVersion, int(r.Holder.Consumed()), int(r.Holder.Reserved()))
	e.grant(r.Holder.Stored())
	pending, _ := r.Holder.Pending()
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

// key returns a text that is equal for equal states. The order of messages in
// flight does not matter.
func (s state) key() string {
	e := make(encoder, 0, keySize)
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
	net := make([]encoder, len(s.InFlight))
	for i, m := range s.InFlight {
		net[i] = make(encoder, 0, messageSize)
		net[i].message(m)
	}
	slices.SortFunc(net, func(a, b encoder) int { return bytes.Compare(a, b) })
	for _, m := range net {
		e = append(e, m...)
	}
	return string(e)
}
