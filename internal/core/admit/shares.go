package admit

import (
	"math"
	"time"
)

// Least parts. The fraction of a group's tickets that start is at least this part of the
// fraction of all tickets. Customers ask that no kind of request and no team is served
// less than a quarter as often as all, and the largest tenth of a kind at least half as
// often as the kind. What is measured over seconds at one router varies, hence the
// margins.
const (
	leastPart      = 1.0 / 3
	leastPartLarge = 2.0 / 3
)

const (
	// shareMemory is the time constant with which the outcomes of tickets are forgotten.
	// It is several times the longest objective of a request, so that a group has some
	// outcomes, and short enough to make good before callers notice.
	shareMemory = 10 * time.Second
	// usageMemory is the time constant with which the work of a team is forgotten.
	usageMemory = time.Second
	// largeFactor is the work from which on a ticket is large, in multiples of the mean
	// of its route. With sizes that spread as those of prompts do, a tenth is.
	largeFactor = 2
	// pruneInterval is the pause between two removals of what is nearly forgotten.
	pruneInterval = 10 * time.Second
	// forgotten is the weight below which a count is dropped.
	forgotten = 0.01
)

// decayed is a sum that is forgotten exponentially.
type decayed struct {
	value float64
	at    time.Time
}

func (d *decayed) of(now time.Time, memory time.Duration) float64 {
	if age := now.Sub(d.at); age > 0 {
		d.value *= math.Exp(-float64(age) / float64(memory))
		d.at = now
	}
	return d.value
}

func (d *decayed) add(now time.Time, memory time.Duration, x float64) {
	d.value = d.of(now, memory) + x
	d.at = now
}

// outcomes counts tickets that have ended their wait.
type outcomes struct{ started, ended, work decayed }

func (o *outcomes) record(now time.Time, started bool, work float64) {
	s := 0.0
	if started {
		s = 1
	}
	o.started.add(now, shareMemory, s)
	o.ended.add(now, shareMemory, 1)
	o.work.add(now, shareMemory, work)
}

// shares measures which part of the tickets of routes, teams and sizes start.
type shares struct {
	all      outcomes
	byRoute  map[string]*outcomes
	byTeam   map[string]*outcomes
	bySize   map[string]*outcomes // of the large tickets of routes
	prunedAt time.Time
}

func newShares() *shares {
	return &shares{byRoute: map[string]*outcomes{}, byTeam: map[string]*outcomes{}, bySize: map[string]*outcomes{}}
}

// record counts a ticket that has started or that will not start.
func (s *shares) record(now time.Time, t *Ticket, started bool) {
	s.prune(now)
	s.all.record(now, started, t.work())
	outcomesOf(s.byRoute, t.Route).record(now, started, t.work())
	outcomesOf(s.byTeam, t.Team).record(now, started, t.work())
	if t.large {
		outcomesOf(s.bySize, t.Route).record(now, started, t.work())
	}
}

func outcomesOf(m map[string]*outcomes, name string) *outcomes {
	o := m[name]
	if o == nil {
		o = &outcomes{}
		m[name] = o
	}
	return o
}

// large reports whether a ticket is large among those of its route.
func (s *shares) large(t *Ticket) bool {
	o := s.byRoute[t.Route]
	return o != nil && o.ended.value > 0 && t.work() > largeFactor*o.work.value/o.ended.value
}

// behind reports whether the ticket's route, team or size gets less than its least part.
func (s *shares) behind(t *Ticket) bool {
	route := s.byRoute[t.Route]
	return route.below(leastPart, &s.all) || s.byTeam[t.Team].below(leastPart, &s.all) ||
		t.large && s.bySize[t.Route].below(leastPartLarge, route)
}

// below reports whether less than a part of the fraction of a reference starts.
func (o *outcomes) below(part float64, reference *outcomes) bool {
	if o == nil || reference == nil || reference.ended.value == 0 {
		return false
	}
	return o.started.value*reference.ended.value < part*reference.started.value*o.ended.value
}

func (s *shares) prune(now time.Time) {
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	for _, m := range []map[string]*outcomes{s.byRoute, s.byTeam, s.bySize} {
		for name, o := range m {
			if o.ended.of(now, shareMemory) < forgotten {
				delete(m, name)
			}
		}
	}
}

// usage is the work of teams that is in flight or was started lately.
type usage map[string]*teamUsage

type teamUsage struct {
	recent   decayed
	inFlight float64
}

func (u usage) start(now time.Time, t *Ticket) {
	use := u[t.Team]
	if use == nil {
		use = &teamUsage{}
		u[t.Team] = use
	}
	use.recent.add(now, usageMemory, t.work())
	use.inFlight += t.work()
}

func (u usage) end(now time.Time, t *Ticket) {
	use := u[t.Team]
	if use == nil {
		return
	}
	if use.inFlight -= t.work(); use.inFlight <= 0 {
		use.inFlight = 0
	}
	for team, other := range u {
		if other.inFlight == 0 && other.recent.of(now, usageMemory) < forgotten {
			delete(u, team)
		}
	}
}

func (u usage) of(now time.Time, team string) float64 {
	use := u[team]
	if use == nil {
		return 0
	}
	return use.recent.of(now, usageMemory) + use.inFlight
}
