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

	failures  int // in a row
	avoidFrom time.Time
	avoid     time.Time // other targets are preferred until then
	probing   bool      // one request has been let through after avoid
	removed   time.Time // the registration is missing since then; zero if present
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
func (v *View) Put(e Registration) *Target {
	t := v.byID[e.ID]
	if t != nil && (t.Service != e.Service || t.Address != e.Address) {
		v.Remove(e.ID)
		t = nil
	}
	if t == nil {
		t = &Target{}
		v.byID[e.ID] = t
		v.byService[e.Service] = append(v.byService[e.Service], t)
	}
	if t.StartedMS != e.StartedMS {
		t.failures, t.avoid, t.probing = 0, time.Time{}, false
	}
	t.Registration = e
	t.removed = time.Time{}
	return t
}

// MarkMissing notes that the registration is gone. Sweep removes the target later.
func (v *View) MarkMissing(now time.Time, id string) {
	if t := v.byID[id]; t != nil && t.removed.IsZero() {
		t.removed = now
	}
}

// SweepMissing removes the targets that have been missing since before the given time.
func (v *View) SweepMissing(before time.Time) {
	for id, t := range v.byID {
		if !t.removed.IsZero() && !t.removed.After(before) {
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
	out := make([]string, 0, len(v.byID))
	for id := range v.byID {
		out = append(out, id)
	}
	return out
}

// Addresses returns the addresses of the targets of the selected services.
func (v *View) Addresses(selects func(service string) bool) []string {
	var out []string
	for _, t := range v.byID {
		if selects(t.Service) {
			out = append(out, t.Address)
		}
	}
	return out
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
	out := map[string]int{StateUsable: 0, StateAvoided: 0, StateDraining: 0, StateMissing: 0}
	for _, t := range v.byID {
		switch {
		case t.Draining:
			out[StateDraining]++
		case !t.removed.IsZero():
			out[StateMissing]++
		case t.avoided(now):
			out[StateAvoided]++
		default:
			out[StateUsable]++
		}
	}
	return out
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
	var good, poor []*Target
	for _, t := range v.byService[q.Service] {
		if t.Draining || slices.Contains(q.Exclude, t.ID) {
			continue
		}
		if t.avoided(now) || !t.removed.IsZero() {
			poor = append(poor, t)
			continue
		}
		good = append(good, t)
	}
	if len(good) == 0 {
		good = poor
	}
	if len(good) == 0 {
		return nil
	}
	candidates := make([]route.Candidate, len(good))
	for i, t := range good {
		candidates[i] = route.Candidate{Target: t.ID, InFlight: t.InFlight}
	}
	settings := route.Settings{Choice: policy.LeastLoad, AffinityLoadBound: AffinityLoadBound, AffinitySlack: AffinitySlack}
	if q.PrefixHash != 0 {
		settings.Choice = policy.Affinity
	}
	at := v.chooser.Choose(route.Query{PrefixHash: q.PrefixHash}, settings, candidates)
	if at < 0 {
		return nil
	}
	t := good[at]
	if t.failures > 0 && !t.avoided(now) {
		t.probing = true
	}
	return t
}

// avoided reports whether other targets are preferred. After the pause one
// request at a time is let through until one succeeds.
func (t *Target) avoided(now time.Time) bool {
	if t.failures == 0 {
		return false
	}
	return now.Before(t.avoid) || t.probing
}

// BeginRequest counts a request that is sent to the target.
func (t *Target) BeginRequest() { t.InFlight++ }

// EndRequest counts the end of a request.
func (t *Target) EndRequest() { t.InFlight-- }

// Bounds of the pause after failures in a row.
const (
	firstPause = 500 * time.Millisecond
	longPause  = 4 * time.Second
)

// RecordFailure notes a request that the target has failed.
func (t *Target) RecordFailure(now time.Time) {
	t.probing = false
	if now.Before(t.avoid) && now.Sub(t.avoidFrom) < firstPause {
		return // failures of one moment count once
	}
	t.failures++
	t.avoidFrom = now
	t.avoid = now.Add(min(firstPause<<min(t.failures-1, 8), longPause))
}

// RecordSuccess notes an answer that speaks for the target.
func (t *Target) RecordSuccess() {
	t.failures, t.probing = 0, false
	t.avoid = time.Time{}
}

// RecordInconclusive notes the end of a request that says nothing about the target.
func (t *Target) RecordInconclusive() { t.probing = false }
