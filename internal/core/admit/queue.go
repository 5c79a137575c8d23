// Package admit decides which waiting request starts next and which are
// refused.
package admit

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Ticket is a request that waits for a target.
type Ticket struct {
	Team        string
	Priority    int    // higher starts first
	Pool        string // model or service; tickets of one pool compete for the same targets
	Constrained bool   // has constraints beyond its pool, so another ticket of the pool may fit where this one does not
	Deadline    time.Time

	seq uint64
}

// Queue is a bounded priority queue with fairness between teams: among equal
// priorities the team with the fewest runs in flight goes first, then the
// oldest ticket. It is not safe for concurrent use.
type Queue struct {
	waiting  []*Ticket
	inFlight map[string]int
	seq      uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{inFlight: map[string]int{}}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.waiting) }

// InFlight returns the number of started tickets of a team.
func (q *Queue) InFlight(team string) int { return q.inFlight[team] }

// Push adds a ticket. If the queue holds limit tickets, the ticket of lowest
// priority gives way, the youngest among equals: either it is returned as
// evicted, or the new ticket is refused as overloaded.
func (q *Queue) Push(t *Ticket, limit int) (evicted *Ticket, err error) {
	if len(q.waiting) >= limit {
		lowest := q.lowest()
		if lowest == nil || lowest.Priority >= t.Priority {
			return nil, errkind.New(errkind.Overloaded, "%d requests are waiting", len(q.waiting))
		}
		q.Remove(lowest)
		evicted = lowest
	}
	q.seq++
	t.seq = q.seq
	q.waiting = append(q.waiting, t)
	return evicted, nil
}

func (q *Queue) lowest() *Ticket {
	var low *Ticket
	for _, t := range q.waiting {
		if low == nil || t.Priority < low.Priority || (t.Priority == low.Priority && t.seq > low.seq) {
			low = t
		}
	}
	return low
}

// Remove takes a ticket out, if it still waits.
func (q *Queue) Remove(t *Ticket) bool {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next starts the first ticket for which place finds a target. It returns nil
// if none can start.
func (q *Queue) Next(place func(*Ticket) bool) *Ticket {
	tried := map[*Ticket]bool{}
	full := map[string]bool{}
	for {
		t := q.first(tried, full)
		if t == nil {
			return nil
		}
		if place(t) {
			q.Remove(t)
			q.inFlight[t.Team]++
			return t
		}
		tried[t] = true
		if !t.Constrained {
			full[t.Pool] = true
		}
	}
}

func (q *Queue) first(tried map[*Ticket]bool, full map[string]bool) *Ticket {
	var best *Ticket
	for _, t := range q.waiting {
		if tried[t] || full[t.Pool] {
			continue
		}
		if best == nil || q.precedes(t, best) {
			best = t
		}
	}
	return best
}

func (q *Queue) precedes(a, b *Ticket) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if fa, fb := q.inFlight[a.Team], q.inFlight[b.Team]; fa != fb {
		return fa < fb
	}
	return a.seq < b.seq
}

// Done ends a started ticket.
func (q *Queue) Done(t *Ticket) {
	q.inFlight[t.Team]--
	if q.inFlight[t.Team] <= 0 {
		delete(q.inFlight, t.Team)
	}
}
