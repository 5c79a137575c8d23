// Package admit decides which waiting request starts next and which requests are
// refused when there is too little room, so that it costs callers least
// (docs/design/admission.md). It also limits the rate of requests and of retries.
package admit

import (
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Ticket represents a request that waits for room: a target, a part of a link, or
// tokens. It must not be changed while it waits.
type Ticket struct {
	Team  string
	Route string  // or other kind of request; each gets a least part of the room
	Rank  int     // tickets of a lower rank start first
	Work  float64 // in the unit of what is waited for, such as bytes or tokens; 0 counts as 1
	// StartBy is the time until which a start serves the caller in time, zero if any
	// start does.
	StartBy time.Time
	// Deadline is the last time at which a start helps the caller, zero if there is none.
	Deadline    time.Time
	Pool        string // model or service; tickets of one pool compete for the same room
	Constrained bool   // only a part of the pool's room is suitable, so others of the pool may start first

	seq   uint64 // order of arrival
	large bool
}

func (t *Ticket) work() float64 {
	if t.Work <= 0 {
		return 1
	}
	return t.Work
}

// late reports whether a start at the given time is too late to serve the caller in time.
func (t *Ticket) late(now time.Time) bool { return !t.StartBy.IsZero() && now.After(t.StartBy) }

// expired reports whether a start does not help the caller any more.
func (t *Ticket) expired(now time.Time) bool { return !t.Deadline.IsZero() && now.After(t.Deadline) }

// compareStartBy orders tickets by StartBy, then by arrival.
func compareStartBy(a, b *Ticket) int {
	switch {
	case a.StartBy.Equal(b.StartBy):
		return int(int64(a.seq) - int64(b.seq))
	case a.StartBy.IsZero():
		return 1
	case b.StartBy.IsZero():
		return -1
	}
	return a.StartBy.Compare(b.StartBy)
}

// Limits bounds a queue.
type Limits struct {
	Waiting int // tickets that may wait
	// Rate is the work that starts each second, as measured; 0 if it is not known. With
	// it, a ticket that would start after its Deadline is refused at once.
	Rate float64
}

// Queue holds the tickets that wait. It is not safe for concurrent use.
type Queue struct {
	groups   map[groupKey]*group // that have waiting tickets
	waiting  int
	byTeam   map[string]int // waiting tickets
	expiry   time.Time      // no waiting ticket's Deadline is before it; zero if none has one
	inFlight map[string]int // started tickets by team
	usage    usage
	shares   map[string]*shares  // by pool
	asked    map[string]*decayed // work of the tickets pushed lately, by pool
	returns  Returns
	// nextReturn is, by rank, when the next refused caller finds room that no other was given.
	nextReturn map[int]time.Time
	seq        uint64
}

// groupKey identifies tickets between which only StartBy and the order of arrival decide.
type groupKey struct {
	pool, team, route string
	rank              int
	large             bool
}

type group struct {
	key     groupKey
	tickets []*Ticket // in the order of compareStartBy
}

func (t *Ticket) key() groupKey { return groupKey{t.Pool, t.Team, t.Route, t.Rank, t.large} }

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		groups: map[groupKey]*group{}, byTeam: map[string]int{}, inFlight: map[string]int{}, usage: usage{}, shares: map[string]*shares{}, asked: map[string]*decayed{},
		nextReturn: map[int]time.Time{},
	}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return q.waiting }

// InFlight returns the number of tickets of a team that have started and not ended.
func (q *Queue) InFlight(team string) int { return q.inFlight[team] }

// Push adds a ticket. If too many tickets are waiting already, the waiting ticket that
// would start last is evicted and returned, if it is less urgent than the new one or its
// team has more tickets waiting. Otherwise, or if the new ticket would start too late,
// Push returns an Overloaded error. Its RetryAfter is the expected wait, if that is known.
func (q *Queue) Push(now time.Time, t *Ticket, limits Limits) (evicted *Ticket, err error) {
	t.large = q.sharesOf(t.Pool).large(t)
	q.askedOf(t.Pool).add(now, usageMemory, t.work())
	wait := q.Wait(now, t, limits.Rate)
	if t.expired(now) || limits.Rate > 0 && t.expired(now.Add(wait)) {
		return nil, q.refuse(now, t, wait, "it would start too late")
	}
	if q.waiting >= limits.Waiting {
		if evicted = q.evictionCandidate(now, t); evicted == nil {
			return nil, q.refuse(now, t, wait, "too many requests are waiting")
		}
		q.Remove(now, evicted)
	}
	q.seq++
	t.seq = q.seq
	q.insert(t)
	return evicted, nil
}

// refuse counts a ticket that is refused and returns the error.
func (q *Queue) refuse(now time.Time, t *Ticket, wait time.Duration, reason string) error {
	q.sharesOf(t.Pool).record(now, t, false)
	e := errkind.New(errkind.Overloaded, "%s: %d requests are waiting, expected wait %d ms", reason, q.waiting, wait.Milliseconds())
	e.RetryAfter = wait
	return e
}

func (q *Queue) insert(t *Ticket) {
	g := q.groups[t.key()]
	if g == nil {
		g = &group{key: t.key()}
		q.groups[g.key] = g
	}
	i, _ := slices.BinarySearchFunc(g.tickets, t, compareStartBy)
	g.tickets = slices.Insert(g.tickets, i, t)
	q.waiting++
	q.byTeam[t.Team]++
	if !t.Deadline.IsZero() && (q.expiry.IsZero() || t.Deadline.Before(q.expiry)) {
		q.expiry = t.Deadline
	}
}

// take removes a waiting ticket and reports whether it was waiting.
func (q *Queue) take(t *Ticket) bool {
	g := q.groups[t.key()]
	if g == nil {
		return false
	}
	i, found := slices.BinarySearchFunc(g.tickets, t, compareStartBy)
	if !found || g.tickets[i] != t {
		return false
	}
	if g.tickets = slices.Delete(g.tickets, i, i+1); len(g.tickets) == 0 {
		delete(q.groups, g.key)
	}
	q.waiting--
	if q.byTeam[t.Team]--; q.byTeam[t.Team] == 0 {
		delete(q.byTeam, t.Team)
	}
	return true
}

// Remove removes a ticket that does not start and reports whether it was waiting.
func (q *Queue) Remove(now time.Time, t *Ticket) bool {
	if !q.take(t) {
		return false
	}
	q.sharesOf(t.Pool).record(now, t, false)
	return true
}

// Refuse counts a ticket that is refused without having waited.
func (q *Queue) Refuse(now time.Time, t *Ticket) {
	t.large = q.sharesOf(t.Pool).large(t)
	q.sharesOf(t.Pool).record(now, t, false)
}

// Expire removes and returns the tickets that will not start until their Deadline: those
// whose Deadline has passed and those that have too much work ahead. rate returns the work
// that starts each second in a pool, 0 if it is not known; it may be nil.
func (q *Queue) Expire(now time.Time, rate func(pool string) float64) (expired []*Ticket) {
	if q.expiry.IsZero() || rate == nil && !now.After(q.expiry) {
		return nil
	}
	expired = q.tooLate(now, rate)
	for _, t := range expired {
		q.Remove(now, t)
	}
	q.expiry = time.Time{}
	for _, g := range q.groups {
		for _, t := range g.tickets {
			if !t.Deadline.IsZero() && (q.expiry.IsZero() || t.Deadline.Before(q.expiry)) {
				q.expiry = t.Deadline
			}
		}
	}
	return expired
}

// First returns the ticket that would start next, nil if none waits. It stays in the queue.
func (q *Queue) First(now time.Time) *Ticket { return q.nextCandidate(now, nil, nil) }

// Next starts the first ticket for which place reports that there is room. It returns
// nil if there is none. It never starts a ticket whose Deadline has passed.
func (q *Queue) Next(now time.Time, place func(*Ticket) bool) *Ticket {
	var tried map[*Ticket]bool
	var fullPools map[string]bool
	for {
		t := q.nextCandidate(now, tried, fullPools)
		if t == nil {
			return nil
		}
		if place(t) {
			q.take(t)
			q.Start(now, t)
			return t
		}
		if t.Constrained {
			if tried == nil {
				tried = map[*Ticket]bool{}
			}
			tried[t] = true
			continue
		}
		if fullPools == nil {
			fullPools = map[string]bool{}
		}
		fullPools[t.Pool] = true
	}
}

// Start counts a ticket that starts without having waited in the queue.
func (q *Queue) Start(now time.Time, t *Ticket) {
	if t.seq == 0 {
		t.large = q.sharesOf(t.Pool).large(t)
	}
	q.sharesOf(t.Pool).record(now, t, true)
	q.inFlight[t.Team]++
	q.usage.start(now, t)
}

// Done records the end of a started ticket. For room that is used up by the start, such as
// tokens, that is at once.
func (q *Queue) Done(now time.Time, t *Ticket) {
	if q.inFlight[t.Team]--; q.inFlight[t.Team] <= 0 {
		delete(q.inFlight, t.Team)
	}
	q.usage.end(now, t)
}

// nextCandidate returns the first ticket in order that was not tried and whose pool is not
// full.
func (q *Queue) nextCandidate(now time.Time, tried map[*Ticket]bool, fullPools map[string]bool) *Ticket {
	var best *Ticket
	var bestPosition position
	for _, g := range q.groups {
		if fullPools[g.key.pool] {
			continue
		}
		t := g.first(now, tried)
		if t == nil {
			continue
		}
		if p := q.position(now, t); best == nil || p.compare(bestPosition) < 0 {
			best, bestPosition = t, p
		}
	}
	return best
}

// first returns the first ticket of a group that was not tried: those in time before those
// that are late.
func (g *group) first(now time.Time, tried map[*Ticket]bool) *Ticket {
	lateCount, _ := slices.BinarySearchFunc(g.tickets, now, func(t *Ticket, now time.Time) int {
		if t.late(now) {
			return -1
		}
		return 1
	})
	for _, tickets := range [][]*Ticket{g.tickets[lateCount:], g.tickets[:lateCount]} {
		for _, t := range tickets {
			if !tried[t] && !t.expired(now) {
				return t
			}
		}
	}
	return nil
}

// last returns the ticket of a group that would start last.
func (g *group) last(now time.Time) *Ticket {
	last := g.tickets[len(g.tickets)-1]
	for _, t := range g.tickets {
		if !t.late(now) {
			break
		}
		last = t
	}
	return last
}

func (q *Queue) sharesOf(pool string) *shares {
	s := q.shares[pool]
	if s == nil {
		s = newShares()
		q.shares[pool] = s
	}
	return s
}

func (q *Queue) askedOf(pool string) *decayed {
	d := q.asked[pool]
	if d == nil {
		d = &decayed{}
		q.asked[pool] = d
	}
	return d
}

// behind reports whether a group of the ticket gets less than its least part.
func (q *Queue) behind(t *Ticket) bool { return q.sharesOf(t.Pool).behind(t) }
