package targets

// Conn is what a new connection to a target tells, after the target has ended an earlier one.
type Conn string

const (
	ConnAccepted     Conn = "accepted"     // by a target that tells no start
	ConnSameStart    Conn = "same_start"   // accepted by the start that the request was sent to
	ConnOtherStart   Conn = "other_start"  // accepted by another start
	ConnUnidentified Conn = "unidentified" // accepted, but which start it is could not be learned
	ConnRefused      Conn = "refused"
	ConnUnreachable  Conn = "unreachable"
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

// JudgeEnd says whether an answer is whole that a start of a target has ended with its
// connection. conn is the result of a new connection. othersBrokeOff says that other answers
// of the target have broken off at the same moment.
func (v *View) JudgeEnd(t *Target, startedMS int64, conn Conn, othersBrokeOff bool) End {
	switch {
	case conn == ConnSameStart:
		return EndWhole
	case conn == ConnOtherStart, t.StartedMS != startedMS:
		return EndCutOff
	case conn == ConnAccepted:
		return EndWhole
	case othersBrokeOff:
		return EndCutOff
	case conn == ConnUnidentified, t.leaving():
		return EndPresumed
	}
	return EndCutOff
}

// leaving reports whether the target has said that it is about to stop. Targets that leave
// end their answers in full and stop accepting connections meanwhile. Some only remove their
// registration.
func (t *Target) leaving() bool { return t.backpressure.draining || !t.missingSince.IsZero() }
