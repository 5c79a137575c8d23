// Package targets holds a router's view of the targets of each service: which
// exist, how much work this router has at each, and which have failed lately.
package targets

import (
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/route"
)

// Registration is a registered target.
type Registration struct {
	ID            string // of this start of the target
	Service       string
	Address       string // IP address and port
	FailureDomain string
	Draining      bool
	Slots         int
	StartedMS     int64 // start of the target, Unix milliseconds; 0 if unknown
}

// Target is a registered target with this router's work at it.
type Target struct {
	Registration
	InFlight int

	consecutiveFailures int // in a row
	avoidedSince        time.Time
	avoidedUntil        time.Time // other targets are preferred until then
	probing             bool      // one request has been let through after avoid
	missingSince        time.Time // the registration is missing since then; zero if present
}

// View is the set of targets. It is not safe for concurrent use.
type View struct {
	byService map[string][]*Target
	byID      map[string]*Target
	chooser   *route.Chooser
}

// NewView returns an empty view.
func NewView(seed uint64) *View {
	return &View{byService: map[string][]*Target{}, byID: map[string]*Target{}, chooser: route.NewChooser(seed)}
}

// Put adds or replaces a registration. A new start under an old id begins
// without a record of failures.
func (v *View) Put(r Registration) *Target {
	t := v.byID[r.ID]
	if t != nil && (t.Service != r.Service || t.Address != r.Address) {
		v.Remove(r.ID)
		t = nil
	}
	if t == nil {
		t = &Target{}
		v.byID[r.ID] = t
		v.byService[r.Service] = append(v.byService[r.Service], t)
	}
	if t.StartedMS != r.StartedMS {
		t.consecutiveFailures, t.avoidedUntil, t.probing = 0, time.Time{}, false
	}
	t.Registration = r
	t.missingSince = time.Time{}
	return t
}

// MarkMissing notes that the registration is gone. Sweep removes the target later.
func (v *View) MarkMissing(now time.Time, id string) {
	if t := v.byID[id]; t != nil && t.missingSince.IsZero() {
		t.missingSince = now
	}
}

// SweepMissing removes the targets that have been missing since before the given time.
func (v *View) SweepMissing(before time.Time) {
	for id, t := range v.byID {
		if !t.missingSince.IsZero() && !t.missingSince.After(before) {
			v.Remove(id)
		}
	}
}

// Remove forgets a target.
func (v *View) Remove(id string) {
	t := v.byID[id]
	if t == nil {
		return
	}
	delete(v.byID, id)
	v.byService[t.Service] = slices.DeleteFunc(v.byService[t.Service], func(o *Target) bool { return o == t })
}

// IDs returns the ids of all targets.
func (v *View) IDs() []string {
	ids := make([]string, 0, len(v.byID))
	for id := range v.byID {
		ids = append(ids, id)
	}
	return ids
}

// Addresses returns the addresses of the targets of the selected services.
func (v *View) Addresses(selects func(service string) bool) []string {
	var addresses []string
	for _, t := range v.byID {
		if selects(t.Service) {
			addresses = append(addresses, t.Address)
		}
	}
	return addresses
}

// Beliefs about a target, as Count names them.
const (
	StateUsable   = "usable"
	StateAvoided  = "avoided"  // has failed lately
	StateDraining = "draining" // says that it is leaving
	StateMissing  = "missing"  // its registration is gone
)

// CountByState returns the number of targets by belief.
func (v *View) CountByState(now time.Time) map[string]int {
	counts := map[string]int{StateUsable: 0, StateAvoided: 0, StateDraining: 0, StateMissing: 0}
	for _, t := range v.byID {
		switch {
		case t.Draining:
			counts[StateDraining]++
		case !t.missingSince.IsZero():
			counts[StateMissing]++
		case t.avoided(now):
			counts[StateAvoided]++
		default:
			counts[StateUsable]++
		}
	}
	return counts
}

// Query describes the request to place.
type Query struct {
	Service    string
	PrefixHash uint64   // of the shared parts of the prompt; 0 if there are none
	Exclude    []string // ids of targets that this request has tried
}

// AffinityLoadBound is the load that a target may have, in multiples of the
// mean, and still get the requests of its prefixes. Compared on the load of
// the sites in docs/notes/http-routes.md.
const AffinityLoadBound = 2.0

// AffinitySlack is the number of requests beyond that bound. With many routers
// the mean of each is far below one request, and without it any request in
// flight would send the next one of its prefix elsewhere.
const AffinitySlack = 3

// Choose returns a target, or nil if none takes work. Targets that have failed
// lately are taken only if no other is left.
func (v *View) Choose(now time.Time, q Query) *Target {
	var preferred, fallback []*Target
	for _, t := range v.byService[q.Service] {
		if t.Draining || slices.Contains(q.Exclude, t.ID) {
			continue
		}
		if t.avoided(now) || !t.missingSince.IsZero() {
			fallback = append(fallback, t)
			continue
		}
		preferred = append(preferred, t)
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	if len(preferred) == 0 {
		return nil
	}
	candidates := make([]route.Candidate, len(preferred))
	for i, t := range preferred {
		candidates[i] = route.Candidate{Target: t.ID, InFlight: t.InFlight}
	}
	settings := route.Settings{Choice: policy.LeastLoad, AffinityLoadBound: AffinityLoadBound, AffinitySlack: AffinitySlack}
	if q.PrefixHash != 0 {
		settings.Choice = policy.Affinity
	}
	index := v.chooser.Choose(route.Query{PrefixHash: q.PrefixHash}, settings, candidates)
	if index < 0 {
		return nil
	}
	t := preferred[index]
	if t.consecutiveFailures > 0 && !t.avoided(now) {
		t.probing = true
	}
	return t
}

// avoided reports whether other targets are preferred. After the pause one
// request at a time is let through until one succeeds.
func (t *Target) avoided(now time.Time) bool {
	if t.consecutiveFailures == 0 {
		return false
	}
	return now.Before(t.avoidedUntil) || t.probing
}

// BeginRequest counts a request that is sent to the target.
func (t *Target) BeginRequest() { t.InFlight++ }

// EndRequest counts the end of a request.
func (t *Target) EndRequest() { t.InFlight-- }

// Bounds of the pause after failures in a row.
const (
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 4 * time.Second
)

// RecordFailure notes a request that the target has failed.
func (t *Target) RecordFailure(now time.Time) {
	t.probing = false
	if now.Before(t.avoidedUntil) && now.Sub(t.avoidedSince) < firstAvoidance {
		return // failures of one moment count once
	}
	t.consecutiveFailures++
	t.avoidedSince = now
	t.avoidedUntil = now.Add(min(firstAvoidance<<min(t.consecutiveFailures-1, 8), maxAvoidance))
}

// RecordSuccess notes an answer that speaks for the target.
func (t *Target) RecordSuccess() {
	t.consecutiveFailures, t.probing = 0, false
	t.avoidedUntil = time.Time{}
}

// RecordInconclusive notes the end of a request that says nothing about the target.
func (t *Target) RecordInconclusive() { t.probing = false }
