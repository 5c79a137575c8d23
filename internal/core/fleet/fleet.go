// Package fleet holds what routers tell each other through rows of the platform's
// table: which routers are live, the request limits that targets have named, and the
// software versions that serve and that began streams.
package fleet

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/feed"
	"tarragonridge.example/tarragonridge/internal/core/rowkey"
)

// Key prefixes of the rows. All rows have Prefix.
const (
	Prefix       = "fleet/"
	routerPrefix = Prefix + "router/" // followed by the host of the router
	limitPrefix  = Prefix + "limit/"  // followed by the id of the target

	drainingPrefix = Prefix + "draining/" // followed by the id of the target
	coldPrefix     = Prefix + "cold/"     // followed by the id of the target
)

// RouterRow is the value of a router's row. Only its change matters to other routers.
type RouterRow struct {
	Incarnation string `json:"incarnation"`
	Renewal     int64  `json:"renewal"` // number of the renewal, from 1
	// FailureDomain of the router; empty in rows of versions that do not tell it.
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Limit is the value of the row of a target that names a request limit.
type Limit struct {
	StartedMS int64   `json:"started"`    // start of the target that named it, Unix milliseconds
	PerSecond float64 `json:"per_second"` // requests that the target accepts from all routers together
}

// Draining is the value of the row of a target that has said in an answer that it is
// about to stop.
type Draining struct {
	StartedMS int64 `json:"started"` // start of the target, Unix milliseconds
}

// Cold is the value of the row of a target that has said in an answer that it is cold.
type Cold struct {
	StartedMS int64 `json:"started"` // start of the target, Unix milliseconds
	ForMS     int64 `json:"for_ms"`  // how long from the write of the row on
}

// ColdKey returns the key of the row of a cold target.
func ColdKey(target string) string { return coldPrefix + TargetName(target) }

// coldTarget is a row of a cold target.
type coldTarget struct {
	Cold
	until time.Time
}

// DrainingKey returns the key of the row of a target that is about to stop.
func DrainingKey(target string) string { return drainingPrefix + TargetName(target) }

// RouterKey returns the key of a router's row.
func RouterKey(host string) string { return routerPrefix + rowkey.Name(host, maxNameBytes) }

// LimitKey returns the key of the row with a target's request limit.
func LimitKey(target string) string { return limitPrefix + TargetName(target) }

// maxNameBytes bounds the names of hosts and targets in keys, whatever their prefix.
const maxNameBytes = 180

// TargetName returns the name of a target in keys, by which a State knows it.
func TargetName(id string) string { return rowkey.Name(id, maxNameBytes) }

// Timing of the renewals, which routers write only while State.Active.
const (
	RenewInterval = 2 * time.Second
	// renewalTimeout is the age from which a router's own renewal counts as
	// interrupted: then it cannot tell whether others are gone or the table is.
	renewalTimeout = 2*RenewInterval + time.Second
	// routerTimeout is the age of its renewal from which another router counts as gone.
	routerTimeout = 3*RenewInterval + time.Second
)

// Row is a row of the table, or its removal.
type Row = feed.Change[[]byte]

// Changes is an answer of the source of the rows.
type Changes = feed.Changes[[]byte]

// State is a router's view of the rows. It is not safe for concurrent use.
type State struct {
	self      string
	fold      feed.Fold[[]byte]
	synced    bool                 // all rows have been read once
	renewedAt map[string]time.Time // when a renewal was last seen, by host
	limits    map[string]Limit     // by target
	draining  map[string]Draining  // by target
	cold      map[string]coldTarget
	domains   map[string]string    // failure domains of routers, by host
	rooms     map[string]roomState // routers out of rotation, by host
	readAt    time.Time            // when changes were last applied; while there are none the source answers too
	// countFrom is the time from which missing renewals count: when the state became
	// active, or the renewals of this router were seen again after an interruption.
	countFrom time.Time
	division  division // as last returned by Shares

	versions map[ServiceVersion]versionRow
	era      int64     // of the table when changes were last applied
	eraSince time.Time // when rows of the era were first applied
	// Rows whose targets this router does not see, and since when.
	unusedVersions map[ServiceVersion]time.Time
	unusedLimits   map[string]time.Time
	unusedDraining map[string]time.Time
}

// NewState returns the state of the router on a host before it has read any rows.
func NewState(host string) *State {
	return &State{self: rowkey.Name(host, maxNameBytes), renewedAt: map[string]time.Time{}, limits: map[string]Limit{}, draining: map[string]Draining{}, cold: map[string]coldTarget{},
		domains: map[string]string{}, rooms: map[string]roomState{},
		versions: map[ServiceVersion]versionRow{}, unusedVersions: map[ServiceVersion]time.Time{}, unusedLimits: map[string]time.Time{},
		unusedDraining: map[string]time.Time{}}
}

// Applied is what Apply has changed.
type Applied struct {
	// Targets are the names (TargetName) of those whose limits have changed, or that are newly
	// known to be draining or cold.
	Targets []string
	Rows    []Row // the single changes, in their order
}

// Apply applies an answer of the source. It fails for rows that cannot be decoded, after it
// has applied the others.
func (s *State) Apply(now time.Time, c Changes) (applied Applied, err error) {
	before, wasDraining, wasCold, wasActive := maps.Clone(s.limits), maps.Clone(s.draining), maps.Clone(s.cold), s.Active()
	s.readAt = now
	if s.era != c.Version.Era || s.eraSince.IsZero() {
		s.era, s.eraSince = c.Version.Era, now
	}
	s.synced = s.synced || c.Complete
	applied.Rows = s.fold.Next(c)
	for _, row := range applied.Rows {
		if row.Removed {
			s.remove(row.Key)
		} else if rowErr := s.put(now, row); rowErr != nil {
			err = rowErr
		}
	}
	if !wasActive && s.Active() {
		s.countFrom = now
	}
	applied.Targets = s.changedTargets(before, wasDraining, wasCold)
	return applied, err
}

// changedTargets compares what is known of targets with what was known before.
func (s *State) changedTargets(limits map[string]Limit, draining map[string]Draining, cold map[string]coldTarget) (changed []string) {
	for target, limit := range s.limits {
		if old, ok := limits[target]; !ok || old != limit {
			changed = append(changed, target)
		}
	}
	for target := range limits {
		if _, ok := s.limits[target]; !ok {
			changed = append(changed, target)
		}
	}
	for target, now := range s.draining {
		if draining[target] != now {
			changed = append(changed, target)
		}
	}
	for target, now := range s.cold {
		if cold[target].Cold != now.Cold {
			changed = append(changed, target)
		}
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// remove forgets what the row with a key has told.
func (s *State) remove(key string) {
	if host, ok := strings.CutPrefix(key, routerPrefix); ok {
		delete(s.renewedAt, host)
		delete(s.domains, host)
	}
	s.removeRoom(key)
	if target, ok := strings.CutPrefix(key, limitPrefix); ok {
		delete(s.limits, target)
	}
	if target, ok := strings.CutPrefix(key, drainingPrefix); ok {
		delete(s.draining, target)
	}
	if target, ok := strings.CutPrefix(key, coldPrefix); ok {
		delete(s.cold, target)
	}
	s.removeVersion(key)
}

// put applies a row that was written. If it cannot be decoded, it tells as much as one that is
// gone, but for the row of a router, which shows that the router is live.
func (s *State) put(now time.Time, row Row) error {
	if host, ok := strings.CutPrefix(row.Key, routerPrefix); ok {
		return s.putRouter(now, host, row.Value)
	}
	s.remove(row.Key)
	if err := s.applyRoom(now, row); err != nil {
		return err
	}
	if target, ok := strings.CutPrefix(row.Key, limitPrefix); ok {
		var limit Limit
		if err := decode(row, &limit, "per_second"); err != nil {
			return err
		}
		s.limits[target] = limit
	}
	if target, ok := strings.CutPrefix(row.Key, drainingPrefix); ok {
		var draining Draining
		if err := decode(row, &draining, "started"); err != nil {
			return err
		}
		s.draining[target] = draining
	}
	if target, ok := strings.CutPrefix(row.Key, coldPrefix); ok {
		var cold Cold
		if err := decode(row, &cold, "started", "for_ms"); err != nil {
			return err
		}
		s.cold[target] = coldTarget{cold, now.Add(time.Duration(cold.ForMS) * time.Millisecond)}
	}
	return s.applyVersion(row)
}

// decode decodes the value of a row. It fails if a required field is missing, so that a value
// which says nothing does not count as one of zeros.
func decode(row Row, value any, required ...string) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(row.Value, &fields); err != nil {
		return err
	}
	for _, name := range required {
		if text := fields[name]; len(text) == 0 || string(text) == "null" {
			return errkind.New(errkind.Internal, "the row %s has no %s", row.Key, name)
		}
	}
	return json.Unmarshal(row.Value, value)
}

func (s *State) putRouter(now time.Time, host string, value []byte) error {
	if host == s.self && now.Sub(s.renewedAt[host]) > renewalTimeout {
		s.countFrom = now
	}
	s.renewedAt[host] = now
	var router RouterRow
	err := json.Unmarshal(value, &router)
	s.domains[host] = router.FailureDomain
	return err
}

// Limit returns the limit that a target has named to any router.
func (s *State) Limit(target string) (limit Limit, ok bool) {
	limit, ok = s.limits[TargetName(target)]
	return limit, ok
}

// Draining returns the start of a target that has told any router that it is about to
// stop.
func (s *State) Draining(target string) (draining Draining, ok bool) {
	draining, ok = s.draining[TargetName(target)]
	return draining, ok
}

// Cold returns the start of a target that has told any router that it is cold, and how
// long it stays so.
func (s *State) Cold(now time.Time, target string) (startedMS int64, left time.Duration, ok bool) {
	cold, ok := s.cold[TargetName(target)]
	return cold.StartedMS, max(cold.until.Sub(now), 0), ok
}

// ExpiredCold returns the targets with the row of a cold target whose time is over.
func (s *State) ExpiredCold(now time.Time) (targets []string) {
	for target, cold := range s.cold {
		if !now.Before(cold.until) {
			targets = append(targets, target)
		}
	}
	return targets
}

// Synced reports whether all rows have been read once.
func (s *State) Synced() bool { return s.synced }

// Active reports whether routers need to know of each other: a limit is in force, or
// several versions of a service serve or served lately. While it is, they renew their
// rows.
func (s *State) Active() bool { return len(s.limits) > 0 || s.severalVersions() }

// Routers returns the hosts of the routers that count as live, in order, this router
// among them.
func (s *State) Routers(now time.Time) []string {
	live := []string{s.self}
	for host := range s.renewedAt {
		if host != s.self && !s.gone(now, host) {
			live = append(live, host)
		}
	}
	slices.Sort(live)
	return live
}

// Gone returns the hosts of the routers whose rows are there but that no longer renew
// them.
func (s *State) Gone(now time.Time) (hosts []string) {
	for host := range s.renewedAt {
		if host != s.self && s.gone(now, host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// interrupted reports whether this router no longer sees its own renewals.
func (s *State) interrupted(now time.Time) bool {
	return s.Active() && now.Sub(s.renewedAt[s.self]) > renewalTimeout
}

// gone reports whether a router no longer renews its row. While this router does not
// see its own renewals, none counts as gone.
func (s *State) gone(now time.Time, host string) bool {
	if !s.Active() || s.interrupted(now) {
		return false
	}
	since := s.renewedAt[host]
	if since.Before(s.countFrom) {
		since = s.countFrom
	}
	return now.Sub(since) > routerTimeout
}

// BurstTime is the time for which a router may save up its share of a limit. It always
// saves up one request.
const BurstTime = 250 * time.Millisecond

// Bounds of the shares of a limit.
const (
	// minOwners is the number of routers that use the smallest limit.
	minOwners = 2
	// savedPart is the part of a bound on any second that is left for saved requests.
	savedPart = 0.25
	// probeRate is the least rate at which all routers together send to a target, in
	// requests per second. Only an answer tells that a limit of 0 has ended.
	probeRate = 0.2
	// interruptedShare is the part of its share that a router uses while it does not see
	// its own renewals: the others may have divided the limit without it.
	interruptedShare = 0.75
)

// ShareFunc returns a router's share of a target's limit in requests per second.
type ShareFunc func(target string, rate Rate) float64

// Shares returns the shares of this router, and whether they have changed since the last
// call. Before it has read which routers there are, it has none.
func (s *State) Shares(now time.Time) (share ShareFunc, changed bool) {
	next := division{routers: s.Routers(now), factor: 1}
	switch {
	case !s.synced:
		next.factor = 0
	case s.interrupted(now):
		next.factor = interruptedShare
	}
	changed = next.factor != s.division.factor || !slices.Equal(next.routers, s.division.routers)
	s.division = next
	return func(target string, rate Rate) float64 {
		return next.factor * Share(rate, target, next.routers, s.self)
	}, changed
}

// division is how a router divides limits.
type division struct {
	routers []string
	factor  float64 // of its shares that this router uses
}

// Rate bounds the requests that a target accepts from all routers together.
type Rate struct {
	PerSecond float64 // over some seconds; infinite if not bounded
	InSecond  float64 // in any one second; 0 if not bounded
}

// divide returns the rate of all routers together, and among how many of them it is divided.
// Each of these may save up one request, so with more of them those requests alone could
// exceed a small limit.
func (r Rate) divide(routers int) (perSecond float64, owners int) {
	owners = routers
	if r.PerSecond < float64(owners) {
		owners = min(owners, int(r.PerSecond)+minOwners)
	}
	if r.InSecond <= 0 {
		return r.PerSecond, owners
	}
	owners = min(owners, max(minOwners, int(math.Ceil(r.InSecond*savedPart))))
	return min(r.PerSecond, r.InSecond-float64(owners), r.InSecond/(1+BurstTime.Seconds())), owners
}

// Share returns the rate in requests per second at which one of the routers may send to
// a target. The rate of all is divided equally among as many routers as requests per
// second, and minOwners more, or fewer if any second is bounded, chosen by hash. The other
// routers get 0.
func Share(rate Rate, target string, routers []string, self string) float64 {
	perSecond, owners := rate.divide(len(routers))
	own := ownerHash(target, self)
	before := 0
	for _, router := range routers {
		if h := ownerHash(target, router); h < own || h == own && router < self {
			before++
		}
	}
	if before >= owners {
		return 0
	}
	return math.Max(perSecond, probeRate) / float64(owners)
}

func ownerHash(target, router string) uint64 {
	return xxhash.Sum64String(target + "\x00" + router)
}
