package targets

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Reason says why a target is not sent a request, in one word for logs and metrics.
type Reason string

// Reasons, in the order in which they are examined.
const (
	ReasonTried        Reason = "tried"         // by this request
	ReasonOtherVersion Reason = "other_version" // than the request needs
	ReasonUnwritten    Reason = "unwritten"     // the other routers cannot know its version yet
	ReasonDraining     Reason = "draining"      // is about to stop, as its registration or an answer says
	ReasonEvacuated    Reason = "evacuated"     // the operator has its failure domain evacuated
	ReasonTurnedAway   Reason = "turned_away"   // wants no request from this router for a while
	ReasonLimited      Reason = "limited"       // this router has used its share of the target's request limit
	ReasonCold         Reason = "cold"          // limited because it is cold
	ReasonFull         Reason = "full"          // this router's connections to it are all in use
	ReasonReplaced     Reason = "replaced"      // another target with its address has started since
	ReasonMissing      Reason = "missing"       // its registration is gone
	ReasonAvoided      Reason = "avoided"       // has failed recently
	ReasonNone         Reason = "usable"
)

// lastResort reports whether a target with the reason is chosen if there is no other.
func (r Reason) lastResort() bool {
	return r == ReasonReplaced || r == ReasonMissing || r == ReasonAvoided
}

// Choosable reports whether a target with the reason may be chosen.
func (r Reason) Choosable() bool { return r == ReasonNone || r.lastResort() }

// endsByItself reports whether the reason ends at a time that the router knows.
func (r Reason) endsByItself() bool { return r == ReasonTurnedAway || r.limited() }

// limited reports whether the reason is a limit on the target's requests per second.
func (r Reason) limited() bool { return r == ReasonLimited || r == ReasonCold }

// Availability says whether a target may be sent a request now, and if not, why.
func (t *Target) Availability(now time.Time, q Query) Reason {
	switch {
	case slices.Contains(q.Exclude, t.ID):
		return ReasonTried
	case q.Version != nil && *q.Version != t.Version:
		return ReasonOtherVersion
	case q.Written != nil && !q.Written(t.ServiceVersion()):
		return ReasonUnwritten
	}
	if r := t.Backpressure(now); r != ReasonNone {
		return r
	}
	switch {
	case !t.permits(now):
		if t.Cold(now) {
			return ReasonCold
		}
		return ReasonLimited
	case q.MaxInFlight > 0 && t.InFlight >= q.MaxInFlight:
		return ReasonFull
	case t.replaced:
		return ReasonReplaced
	case !t.missingSince.IsZero():
		return ReasonMissing
	case t.avoided(now):
		return ReasonAvoided
	}
	return ReasonNone
}

// Backpressure returns what the target, or the operator for its failure domain, has asked of
// this router as far as it forbids a request now: ReasonDraining, ReasonEvacuated,
// ReasonTurnedAway, or ReasonNone. It is examined once more before a request is sent to a
// target that was chosen earlier.
func (t *Target) Backpressure(now time.Time) Reason {
	switch {
	case t.backpressure.draining:
		return ReasonDraining
	case t.domain.evacuated:
		return ReasonEvacuated
	case now.Before(t.backpressure.noneUntil):
		return ReasonTurnedAway
	}
	return ReasonNone
}

// wait returns the time until the reasons that end by themselves have ended.
func (t *Target) wait(now time.Time) time.Duration {
	return max(t.limitWait(now), t.backpressure.noneUntil.Sub(now), 0)
}

// Reasons counts the targets of a service by the reason for which they are not sent a
// request.
type Reasons map[Reason]int

// Reasons returns why the targets of a service are not sent a request.
func (v *View) Reasons(now time.Time, q Query) Reasons {
	reasons := Reasons{}
	for _, t := range v.byService[q.Service] {
		reasons[t.Availability(now, q)]++
	}
	return reasons
}

// String returns the counts in the order of the reasons' names.
func (r Reasons) String() string {
	if len(r) == 0 {
		return "none is known"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(r)) {
		parts = append(parts, fmt.Sprint(r[reason], " ", reason))
	}
	return strings.Join(parts, ", ")
}

// Wait returns the time until a target that is left out for a reason that ends by itself
// takes a request. ok is false if there is no such target.
func (v *View) Wait(now time.Time, q Query) (wait time.Duration, ok bool) {
	wait = math.MaxInt64
	for _, t := range v.byService[q.Service] {
		if t.Availability(now, q).endsByItself() {
			wait, ok = min(wait, t.wait(now)), true
		}
	}
	return wait, ok
}
