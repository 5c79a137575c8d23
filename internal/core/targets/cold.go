package targets

import "time"

// ColdLimit is what a service states about its cold targets.
type ColdLimit struct {
	PerSecond float64       // requests that a cold target takes from all routers; 0 if cold targets are not limited
	For       time.Duration // how long a target is cold after its start
}

// MaxCold bounds the time for which a target may say that it is cold. A longer time is
// taken for a mistake.
const MaxCold = 10 * time.Minute

// ColdUnknown is the cold time of a target that states none.
const ColdUnknown time.Duration = -1

// coldTolerance is the difference between two statements that counts as the same time,
// counted down: they are read with different delays.
const coldTolerance = 500 * time.Millisecond

// Sources of the time until which a target is cold.
const (
	registeredCold = iota // its registration
	heardCold             // its answers, or what this router has reason to assume
	coldSources
)

// SetColdLimits sets what services state about their cold targets.
func (v *View) SetColdLimits(limits map[string]ColdLimit) {
	v.coldLimits = limits
	for _, t := range v.byID {
		t.coldLimited = limits[t.Service].PerSecond > 0
		v.divideLimit(t)
	}
}

// coldUntil returns the time until which the target is cold.
func (t *Target) coldUntil() (until time.Time) {
	for _, at := range t.backpressure.coldUntil {
		if at.After(until) {
			until = at
		}
	}
	return until
}

// Cold reports whether the target is cold and its service limits the requests to it.
func (t *Target) Cold(now time.Time) bool { return t.coldLimited && now.Before(t.coldUntil()) }

// ColdLeft returns how long the target stays cold, 0 if it is not.
func (t *Target) ColdLeft(now time.Time) time.Duration {
	if !t.Cold(now) {
		return 0
	}
	return t.coldUntil().Sub(now)
}

// SetRegisteredCold records how long a target is cold according to its registration. changed
// says whether that differs by more than coldTolerance from what was known.
func (v *View) SetRegisteredCold(now time.Time, t *Target, left time.Duration) (changed bool) {
	return left >= 0 && t.setCold(now, registeredCold, left)
}

// HearCold records how long a target is cold according to one of its answers, to another
// router, or by assumption. It does not shorten what the registration states.
func (v *View) HearCold(now time.Time, t *Target, left time.Duration) (changed bool) {
	return left >= 0 && t.setCold(now, heardCold, left)
}

// AssumeCold takes a target for cold as long as one that has just started.
func (v *View) AssumeCold(now time.Time, t *Target) {
	t.setCold(now, heardCold, max(v.coldLimits[t.Service].For, t.ColdLeft(now)))
}

// AssumeDomainCold does so for all targets of a failure domain, and returns how many there
// are of services that limit cold targets.
func (v *View) AssumeDomainCold(now time.Time, name string) (targets int) {
	for _, t := range v.byID {
		if t.FailureDomain == name && t.coldLimited {
			v.AssumeCold(now, t)
			targets++
		}
	}
	return targets
}

func (t *Target) setCold(now time.Time, source int, left time.Duration) (changed bool) {
	before := t.coldUntil()
	t.backpressure.coldUntil[source] = now.Add(min(left, MaxCold))
	if !t.coldLimited {
		return false
	}
	shift := t.coldUntil().Sub(laterOf(before, now))
	return shift.Abs() > coldTolerance && (now.Before(before) || now.Before(t.coldUntil()))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
