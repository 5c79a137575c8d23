package targets

import (
	"maps"
	"time"
)

// MaxTurnAway bounds the time for which a target may ask to be sent nothing. A target
// that wants nothing for longer leaves, so a longer time is taken for a mistake, which
// must not shut the target out for good.
const MaxTurnAway = 10 * time.Minute

// wishRetention is how long the wish of a target is remembered after its registration
// has gone. A write of the registration that was under way may bring it back.
const wishRetention = time.Hour

// wish is what one start of a target has asked of this router. It outlasts the
// registration, which may be missing or outdated.
type wish struct {
	startedMS int64
	draining  bool      // it is about to stop and wants no more requests
	noneUntil time.Time // it wants no request before then
	goneSince time.Time // when its registration was removed; zero if it is there
}

// wishOf returns the wish of a start of a target.
func (v *View) wishOf(r Registration) *wish {
	w := v.wishes[r.ID]
	if w == nil || w.startedMS != r.StartedMS {
		w = &wish{startedMS: r.StartedMS}
		v.wishes[r.ID] = w
	}
	w.draining = w.draining || r.Draining
	w.goneSince = time.Time{}
	return w
}

// SetDraining records that a target is about to stop, and reports whether that was not
// known. Only a new start of the target ends it.
func (v *View) SetDraining(t *Target) (changed bool) {
	changed = !t.wish.draining
	t.wish.draining = true
	return changed
}

// TurnAway records that a target wants no request from this router for a while.
func (v *View) TurnAway(now time.Time, t *Target, d time.Duration) {
	if until := now.Add(min(d, MaxTurnAway)); until.After(t.wish.noneUntil) {
		t.wish.noneUntil = until
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

// forgetWishes removes the wishes of targets that have been gone for wishRetention.
func (v *View) forgetWishes(now time.Time) {
	maps.DeleteFunc(v.wishes, func(id string, w *wish) bool {
		if v.byID[id] != nil {
			return false
		}
		if w.goneSince.IsZero() {
			w.goneSince = now
		}
		return now.Sub(w.goneSince) >= wishRetention
	})
}
