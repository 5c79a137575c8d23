// Package targets holds a router's view of the targets of each service: which are
// registered, how many requests this router has in flight at each, and which have
// failed recently.
package targets

import (
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/robust"
	"tarragonridge.example/tarragonridge/internal/core/route"
)

// Registration describes a registered target.
type Registration struct {
	ID            string // id of the registration; a new start of the target may reuse it
	Service       string
	Address       string // IP address and port
	FailureDomain string
	Version       string // of its software
	Draining      bool
	Slots         int
	StartedMS     int64 // start time of the target in Unix milliseconds; 0 if unknown
	// ColdFor is how long the target stays cold from now on, ColdUnknown if it does not say.
	ColdFor time.Duration
}

// ServiceVersion returns the service and the software version of the target, which do not
// change. It reads no other field.
func (r *Registration) ServiceVersion() fleet.ServiceVersion {
	return fleet.ServiceVersion{Service: r.Service, Version: r.Version}
}

// Target is a registered target with this router's requests in flight and its
// recent failures.
type Target struct {
	Registration
	InFlight int // requests of this router at the target

	limit               requestLimit
	pace                pace
	backpressure        *backpressure // of this start of the target
	domain              *domain
	coldLimited         bool // its service limits the requests to cold targets
	consecutiveFailures int
	avoidedSince        time.Time
	avoidedUntil        time.Time // until then other targets are preferred
	probing             bool      // a request was let through after avoidedUntil; its result is not yet known
	replaced            bool      // another target with its address has started since
	missingSince        time.Time // zero if the registration is present
}

// View is the set of known targets. It is not safe for concurrent use.
type View struct {
	byService    map[string][]*Target
	byID         map[string]*Target
	chooser      *route.Chooser
	random       *rand.Rand
	usualTimes   map[string]*robust.Mean      // seconds of an answer, by route
	versions     map[fleet.ServiceVersion]int // number of targets
	share        fleet.ShareFunc              // of limits; nil for no share
	routers      int                          // that share limits
	returns      map[string]*returnTimes      // of refused callers, by service
	backpressure map[string]*backpressure     // by id, also of targets that are not known any more
	domains      map[string]*domain           // by name
	coldLimits   map[string]ColdLimit         // by service
	services     map[string]bool              // that the configuration names; nil if not known
}

// NewView returns an empty view. seed initializes the random choice between equal
// targets.
func NewView(seed uint64) *View {
	return &View{byService: map[string][]*Target{}, byID: map[string]*Target{}, chooser: route.NewChooser(seed), random: rand.New(rand.NewPCG(seed, 1)),
		usualTimes: map[string]*robust.Mean{}, versions: map[fleet.ServiceVersion]int{}, returns: map[string]*returnTimes{},
		backpressure: map[string]*backpressure{}, domains: map[string]*domain{}}
}

// Put adds or replaces a registration. A target that has started again under the
// same id has no failures and has asked for nothing; until then it stays draining once it
// was. How long it is cold is recorded by SetRegisteredCold. An id with another service, address or version than before
// counts as a new target, without requests in flight.
func (v *View) Put(r Registration) *Target {
	t := v.byID[r.ID]
	if t != nil && (t.Service != r.Service || t.Address != r.Address || t.Version != r.Version) {
		v.Remove(r.ID)
		t = nil
	}
	if t == nil {
		t = &Target{Registration: r, limit: noLimit, pace: newPace()}
		v.byID[r.ID] = t
		v.byService[r.Service] = append(v.byService[r.Service], t)
		v.countVersion(t.ServiceVersion(), 1)
		t.coldLimited = v.coldLimits[t.Service].PerSecond > 0
		v.divideLimit(t)
	}
	if t.StartedMS != r.StartedMS {
		t.consecutiveFailures, t.avoidedUntil, t.probing = 0, time.Time{}, false
		t.limit, t.pace = noLimit, newPace()
		v.divideLimit(t)
	}
	// The other fields do not change: requests read them without the caller's lock.
	t.FailureDomain, t.Draining, t.Slots, t.StartedMS = r.FailureDomain, r.Draining, r.Slots, r.StartedMS
	t.backpressure, t.domain = v.backpressureOf(r), v.domainOf(r.FailureDomain)
	t.missingSince = time.Time{}
	v.noteReplaced(t)
	return t
}

// SetServices records the services that the configuration names. A registration of another
// service says nothing about other targets.
func (v *View) SetServices(services map[string]bool) {
	if maps.Equal(services, v.services) {
		return
	}
	v.services = services
	for _, t := range v.byID {
		v.noteReplaced(t)
	}
}

// serves reports whether the configuration names the service of a target.
func (v *View) serves(t *Target) bool { return v.services == nil || v.services[t.Service] }

// noteReplaced records which of the targets with the address of a registered one have ended
// because another has started there since. Their registrations may remain for seconds.
func (v *View) noteReplaced(t *Target) {
	t.replaced = false
	for _, o := range v.OthersAt(t) {
		switch {
		case !v.serves(t) || !v.serves(o): // written by somebody else
		case o.StartedMS == 0 || t.StartedMS == 0: // unknown
		case o.StartedMS < t.StartedMS:
			o.replaced = true
		case o.StartedMS > t.StartedMS:
			t.replaced = true
		}
	}
}

// MarkMissing records that a registration is gone. SweepMissing removes its target
// later.
func (v *View) MarkMissing(now time.Time, id string) {
	v.forgetBackpressure(now)
	if t := v.byID[id]; t != nil && t.missingSince.IsZero() {
		t.missingSince = now
	}
}

// SweepMissing removes the targets that MarkMissing has marked at the given time
// or before it and that Put has not added again.
func (v *View) SweepMissing(before time.Time) {
	for id, t := range v.byID {
		if !t.missingSince.IsZero() && !t.missingSince.After(before) {
			v.Remove(id)
		}
	}
}

// Remove removes a target at once.
func (v *View) Remove(id string) {
	t := v.byID[id]
	if t == nil {
		return
	}
	delete(v.byID, id)
	v.countVersion(t.ServiceVersion(), -1)
	v.byService[t.Service] = slices.DeleteFunc(v.byService[t.Service], func(o *Target) bool { return o == t })
}

// Has reports whether a target is known exactly as registered, but for how long it is cold,
// and not missing.
func (v *View) Has(r Registration) bool {
	t := v.byID[r.ID]
	if t != nil {
		r.ColdFor = t.ColdFor
	}
	return t != nil && t.Registration == r && t.missingSince.IsZero()
}

// Target returns the target with an id, nil if there is none.
func (v *View) Target(id string) *Target { return v.byID[id] }

// HasVersion reports whether a target of a service has a version, whatever its state.
func (v *View) HasVersion(sv fleet.ServiceVersion) bool { return v.versions[sv] > 0 }

// Versions returns the versions that targets have, whatever their state.
func (v *View) Versions() iter.Seq[fleet.ServiceVersion] { return maps.Keys(v.versions) }

// countVersion adds n to the number of targets with a version.
func (v *View) countVersion(sv fleet.ServiceVersion, n int) {
	if v.versions[sv] += n; v.versions[sv] == 0 {
		delete(v.versions, sv)
	}
}

// IDs returns the ids of all targets.
func (v *View) IDs() []string {
	ids := make([]string, 0, len(v.byID))
	for id := range v.byID {
		ids = append(ids, id)
	}
	return ids
}

// Addresses returns the addresses of the targets of the services that selects
// accepts.
func (v *View) Addresses(selects func(service string) bool) []string {
	var addresses []string
	for _, t := range v.byID {
		if selects(t.Service) {
			addresses = append(addresses, t.Address)
		}
	}
	return addresses
}

// CountByState returns the number of targets for each reason for which they are not sent
// a request, ReasonNone among them. The reasons are also the values of a metric label.
func (v *View) CountByState(now time.Time) map[Reason]int {
	counts := map[Reason]int{}
	for _, reason := range []Reason{ReasonNone, ReasonDraining, ReasonEvacuated, ReasonTurnedAway, ReasonLimited, ReasonCold, ReasonReplaced, ReasonMissing, ReasonAvoided} {
		counts[reason] = 0
	}
	for _, t := range v.byID {
		counts[t.Availability(now, Query{})]++
	}
	return counts
}

// Query describes a request that needs a target.
type Query struct {
	Service    string
	PrefixHash uint64   // hash of the shared parts of the prompt; 0 if there are none
	Exclude    []string // ids of targets that this request has already tried
	Version    *string  // of the targets' software; nil for any
	// Written reports whether other routers can know that a version serves; nil if the
	// request is none that they may have to continue.
	Written func(fleet.ServiceVersion) bool
	// MaxInFlight limits this router's requests in flight at a target; 0 means no limit.
	MaxInFlight int
}

// AffinityLoadBound is the load up to which a target still gets the requests of its
// prefixes, as a multiple of the mean load. Values were compared under the load of
// the sites in docs/notes/http-routes.md.
const AffinityLoadBound = 2.0

// AffinitySlack is the number of requests added to the load that AffinityLoadBound
// permits. With many routers the mean load that each of them sees is far below one
// request. Without the slack, a single request in flight would send the next
// request with the same prefix to another target.
const AffinitySlack = 3

// Choose returns a target for a request, or nil if none accepts requests. Targets that
// are avoided or missing are chosen only if there is no other. The first
// request for which a target is chosen after it was avoided is its probe: the
// target is avoided again until the result of a request is recorded.
func (v *View) Choose(now time.Time, q Query) *Target {
	preferred, fallback := v.usable(now, q)
	if len(preferred) == 0 {
		preferred = fallback
	}
	if len(preferred) == 0 {
		return nil
	}
	if q.PrefixHash == 0 {
		t := v.soonest(now, preferred)
		t.beginProbe(now)
		return t
	}
	candidates := make([]route.Candidate, len(preferred))
	for i, t := range preferred {
		candidates[i] = route.Candidate{Target: t.ID, InFlight: t.InFlight}
	}
	settings := route.Settings{Choice: policy.Affinity, AffinityLoadBound: AffinityLoadBound, AffinitySlack: AffinitySlack}
	index := v.chooser.Choose(route.Query{PrefixHash: q.PrefixHash}, settings, candidates)
	if index < 0 {
		return nil
	}
	t := preferred[index]
	t.beginProbe(now)
	return t
}

// usable returns the targets that may be sent a request, without the cold ones if a warm one
// has room, and those that are chosen only if there is no other. A target that was replaced is
// not among them if another takes the request a little later.
func (v *View) usable(now time.Time, q Query) (usable, lastResort []*Target) {
	var warm, replaced []*Target
	room, later := false, false
	for _, t := range v.byService[q.Service] {
		reason := t.Availability(now, q)
		later = later || reason.endsByItself()
		switch {
		case reason == ReasonNone:
			usable = append(usable, t)
			if !t.Cold(now) {
				warm = append(warm, t)
				room = room || v.hasRoom(t)
			}
		case reason == ReasonReplaced:
			replaced = append(replaced, t)
		case reason.lastResort():
			lastResort = append(lastResort, t)
		}
	}
	if !later {
		lastResort = append(lastResort, replaced...)
	}
	if room {
		return warm, lastResort
	}
	return usable, lastResort
}

// hasRoom reports whether this router has fewer requests at a target than its part of the
// target's slots.
func (v *View) hasRoom(t *Target) bool {
	return t.Slots <= 0 || t.InFlight*max(v.routers, 1) < t.Slots
}

// Ranked returns the first n targets by affinity to the prefix of a request, among those
// that may be sent the request and have not failed recently.
func (v *View) Ranked(now time.Time, q Query, n int) []*Target {
	usable, _ := v.usable(now, q)
	ids := make([]string, len(usable))
	for i, t := range usable {
		ids[i] = t.ID
	}
	var ranked []*Target
	for _, i := range route.Ranked(q.PrefixHash, ids, n) {
		ranked = append(ranked, usable[i])
	}
	return ranked
}

// Take reports whether a target that Ranked returned earlier may still be sent the
// request. If so, the request is its probe if it was avoided before.
func (v *View) Take(now time.Time, t *Target, q Query) bool {
	if v.byID[t.ID] != t || t.Availability(now, q) != ReasonNone {
		return false
	}
	t.beginProbe(now)
	return true
}

// beginProbe makes the next request the probe of a target that was avoided.
func (t *Target) beginProbe(now time.Time) {
	if t.consecutiveFailures > 0 && !t.avoided(now) {
		t.probing = true
	}
}

// avoided reports whether other targets are preferred because this one has failed.
// After avoidedUntil, one request at a time is let through until one succeeds.
func (t *Target) avoided(now time.Time) bool {
	if t.consecutiveFailures == 0 {
		return false
	}
	return now.Before(t.avoidedUntil) || t.probing
}

// BeginRequest counts a request as in flight at the target.
func (t *Target) BeginRequest() { t.InFlight++ }

// EndRequest ends a request counted by BeginRequest.
func (t *Target) EndRequest() { t.InFlight-- }

// Bounds of the time for which a target is avoided. The time doubles with each
// failure in a row.
const (
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 4 * time.Second
)

// RecordFailure records a request that failed because of the target.
func (t *Target) RecordFailure(now time.Time) {
	t.probing = false
	if now.Before(t.avoidedUntil) && now.Sub(t.avoidedSince) < firstAvoidance {
		return // requests that fail together count as one failure
	}
	t.consecutiveFailures++
	t.avoidedSince = now
	t.avoidedUntil = now.Add(min(firstAvoidance<<min(t.consecutiveFailures-1, 8), maxAvoidance))
}

// RecordSuccess records a response which shows that the target works.
func (t *Target) RecordSuccess() {
	t.consecutiveFailures, t.probing = 0, false
	t.avoidedUntil = time.Time{}
}

// RecordInconclusive records the end of a request that shows neither success nor
// failure of the target.
func (t *Target) RecordInconclusive() { t.probing = false }
