package admit

import (
	"cmp"
	"slices"
	"time"
)

// position is the place of a ticket in the order in which tickets start.
type position struct {
	ticket  *Ticket
	behind  bool // one of its groups gets less than its least part
	late    bool
	usage   float64 // of its team
	waiting int     // tickets of its team
}

func (q *Queue) position(now time.Time, t *Ticket) position {
	return position{t, q.behind(t), t.late(now), q.usage.of(now, t.Team), q.byTeam[t.Team]}
}

// compareClass orders by what does not depend on the ticket's team or arrival.
func (p position) compareClass(o position) int {
	return cmp.Or(
		compareBool(o.behind, p.behind),
		compareBool(p.late, o.late),
		cmp.Compare(p.ticket.Rank, o.ticket.Rank),
	)
}

// compare orders tickets as they start.
func (p position) compare(o position) int {
	return cmp.Or(
		p.compareClass(o),
		cmp.Compare(p.usage, o.usage),
		compareBool(p.ticket.large, o.ticket.large),
		compareStartBy(p.ticket, o.ticket),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// minWaitingExcess is the number of waiting tickets that a team must have more than
// another one before it yields a place to it. With fewer, the two would displace each
// other.
const minWaitingExcess = 2

// evictionCandidate returns the ticket that yields its place to a new one, or nil: the
// last in the order of classes, and of these the newest of the team with the most.
func (q *Queue) evictionCandidate(now time.Time, t *Ticket) *Ticket {
	var last position
	for _, g := range q.groups {
		p := q.position(now, g.last(now))
		if last.ticket == nil || cmp.Or(p.compareClass(last), cmp.Compare(p.waiting, last.waiting), compareBool(p.ticket.large, last.ticket.large), cmp.Compare(p.ticket.seq, last.ticket.seq)) > 0 {
			last = p
		}
	}
	if last.ticket == nil {
		return nil
	}
	p := q.position(now, t)
	switch class := last.compareClass(p); {
	case class > 0, class == 0 && last.waiting >= p.waiting+minWaitingExcess:
		return last.ticket
	}
	return nil
}

// Wait returns how long a ticket is expected to wait until the work ahead of it has
// started, 0 if rate, the work that starts each second, is not known. The ticket may be
// waiting or not.
func (q *Queue) Wait(now time.Time, t *Ticket, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(q.Ahead(now, t) / rate * float64(time.Second))
}

// Ahead returns the work that is expected to start before a ticket, which may be waiting
// or not.
func (q *Queue) Ahead(now time.Time, t *Ticket) float64 {
	if q.waiting == 0 {
		return 0
	}
	self := *t
	if self.seq == 0 {
		self.seq = q.seq + 1
	}
	p := q.position(now, &self)
	var ahead, own float64
	others := map[string]float64{} // work of the same class by team
	for _, g := range q.groups {
		if g.key.pool != t.Pool {
			continue
		}
		behind := q.behind(g.tickets[0])
		for _, o := range g.tickets {
			if o == t || o.expired(now) {
				continue
			}
			switch class := (position{ticket: o, behind: behind, late: o.late(now)}).compareClass(p); {
			case class < 0:
				ahead += o.work()
			case class > 0:
			case o.Team != t.Team:
				others[o.Team] += o.work()
			case cmp.Or(compareBool(o.large, t.large), compareStartBy(o, &self)) < 0:
				own += o.work()
			}
		}
	}
	// Teams take turns, so each other team gets at most as much as this one.
	for _, work := range others {
		ahead += min(work, own+t.work())
	}
	return ahead + own
}

// rateMargin is the factor by which a measured rate may be too low. A ticket is known to be
// too late if it is so even with that much more room.
const rateMargin = 1.5

// tooLate returns the tickets that will not start until their Deadline, in order, given the
// rate of each pool.
func (q *Queue) tooLate(now time.Time, rate func(pool string) float64) (tooLate []*Ticket) {
	positions := make([]position, 0, q.waiting)
	for _, g := range q.groups {
		p := q.position(now, g.tickets[0])
		for _, t := range g.tickets {
			p.ticket, p.late = t, t.late(now)
			positions = append(positions, p)
		}
	}
	// Teams take turns: each ticket adds to the usage of its team.
	slices.SortFunc(positions, position.compare)
	added := map[string]float64{}
	for i := range positions {
		t := positions[i].ticket
		positions[i].usage += added[t.Team]
		added[t.Team] += t.work()
	}
	slices.SortFunc(positions, position.compare)
	rates, ahead := map[string]float64{}, map[string]float64{} // by pool
	for _, p := range positions {
		t := p.ticket
		perSecond, known := rates[t.Pool]
		if !known && rate != nil {
			perSecond = rateMargin * rate(t.Pool)
			rates[t.Pool] = perSecond
		}
		start := now
		if perSecond > 0 {
			start = now.Add(time.Duration(ahead[t.Pool] / perSecond * float64(time.Second)))
		}
		if t.expired(start) {
			tooLate = append(tooLate, t)
			continue
		}
		ahead[t.Pool] += t.work()
	}
	return tooLate
}
