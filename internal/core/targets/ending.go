package targets

import "slices"

// Probe is what a new connection to a target tells, after the target has ended an earlier one.
type Probe string

const (
	ProbeAccepted     Probe = "accepted"     // by a target that tells no start
	ProbeSameStart    Probe = "same_start"   // accepted by the start that the request was sent to
	ProbeOtherStart   Probe = "other_start"  // accepted by another start
	ProbeUnidentified Probe = "unidentified" // accepted, but which start it is could not be learned
	ProbeRefused      Probe = "refused"
	ProbeUnreachable  Probe = "unreachable"
)

// End says whether an answer is whole that only the end of its connection has ended. The
// kernel ends the connections of a process that has crashed in the same way as a target that
// has sent all.
type End string

const (
	EndWhole    End = "whole"
	EndPresumed End = "presumed" // probably whole; another run of the request can tell
	EndCutOff   End = "cut_off"
)

// JudgeEnd says whether an answer is whole that a start of the target has ended with its
// connection. probe is the result of a new connection. leftInOrder says that the target refused
// connections before while it still had this one open, as one does that stops once it has sent
// what it has begun. The view may have forgotten the target meanwhile.
func (v *View) JudgeEnd(t *Target, startedMS int64, probe Probe, leftInOrder bool) End {
	started := t.StartedMS != startedMS || t.replaced || v.hasSuccessor(t)
	switch {
	case probe == ProbeSameStart, probe == ProbeAccepted && !started:
		return EndWhole
	case leftInOrder:
		return EndPresumed // whatever has come to its address since
	}
	return EndCutOff
}

// hasSuccessor reports whether another target has started at the address of one since that
// started.
func (v *View) hasSuccessor(t *Target) bool {
	return v.serves(t) && slices.ContainsFunc(v.OthersAt(t), func(o *Target) bool {
		return v.serves(o) && t.StartedMS != 0 && o.StartedMS > t.StartedMS
	})
}

// Leaving reports whether the target has said that it is about to stop, or has removed its
// registration, as some do instead.
func (t *Target) Leaving() bool { return t.SaidLeaving() || !t.missingSince.IsZero() }

// SaidLeaving reports whether the target has said that it is about to stop.
func (t *Target) SaidLeaving() bool { return t.backpressure.draining }
