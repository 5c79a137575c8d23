package targets

import (
	"maps"
	"time"
)

// MaxTurnAway bounds the time for which a target may ask to be sent nothing. A target
// that wants nothing for longer leaves, so a longer time is taken for a mistake, which
// must not shut the target out for good.
const MaxTurnAway = 10 * time.Minute

// backpressureRetention is how long the backpressure of a target is remembered after its
// registration has gone. A write of the registration that was under way may bring it back.
const backpressureRetention = time.Hour

// backpressure is what one start of a target has asked of this router. It outlasts the
// registration, which may be missing or outdated.
type backpressure struct {
	startedMS int64
	draining  bool                   // it is about to stop and wants no more requests
	noneUntil time.Time              // it wants no request before then
	coldUntil [coldSources]time.Time // the target is cold until the latest of them
	goneSince time.Time              // when its registration was removed; zero if it is there
}

// backpressureOf returns the backpressure of a start of a target.
func (v *View) backpressureOf(r Registration) *backpressure {
	b := v.backpressure[r.ID]
	if b == nil || b.startedMS != r.StartedMS {
		b = &backpressure{startedMS: r.StartedMS}
		v.backpressure[r.ID] = b
	}
	b.draining = b.draining || r.Draining
	b.goneSince = time.Time{}
	return b
}

// Restarted reports whether a registration is of another start than the one before with its
// id, which may have been gone meanwhile.
func (v *View) Restarted(r Registration) bool {
	b := v.backpressure[r.ID]
	return b != nil && b.startedMS != r.StartedMS
}

// SetDraining records that a target is about to stop, and reports whether that was not
// known. Only a new start of the target ends it.
func (v *View) SetDraining(t *Target) (changed bool) {
	changed = !t.backpressure.draining
	t.backpressure.draining = true
	return changed
}

// TurnAway records that a target wants no request from this router for a while.
func (v *View) TurnAway(now time.Time, t *Target, d time.Duration) {
	if until := now.Add(min(d, MaxTurnAway)); until.After(t.backpressure.noneUntil) {
		t.backpressure.noneUntil = until
	}
}

// OthersAt returns the targets with the address of another one.
func (v *View) OthersAt(t *Target) (others []*Target) {
	for _, o := range v.byID {
		if o != t && o.Address == t.Address {
			others = append(others, o)
		}
	}
	return others
}

// forgetBackpressure removes what targets have asked that have been gone for
// backpressureRetention.
func (v *View) forgetBackpressure(now time.Time) {
	maps.DeleteFunc(v.backpressure, func(id string, b *backpressure) bool {
		if v.byID[id] != nil {
			return false
		}
		if b.goneSince.IsZero() {
			b.goneSince = now
		}
		return now.Sub(b.goneSince) >= backpressureRetention
	})
}
