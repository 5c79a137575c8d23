// Package admit decides which waiting request starts next and which requests are
// refused. It also limits the rate of requests and of retries.
package admit

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Ticket represents a request that waits for a target.
type Ticket struct {
	Team        string
	Priority    int    // tickets with a higher value start first
	Pool        string // model or service; tickets of one pool compete for the same targets
	Constrained bool   // only some targets of the pool are suitable, so others of the pool may start first
	Deadline    time.Time

	seq uint64 // order of arrival
}

// Queue is a bounded priority queue that is fair between teams: among tickets of
// equal priority, those of the team with the fewest runs in flight go first, then
// the oldest. It is not safe for concurrent use.
type Queue struct {
	waiting  []*Ticket
	inFlight map[string]int // started tickets by team
	seq      uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{inFlight: map[string]int{}}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.waiting) }

// InFlight returns the number of tickets of a team that have started and not ended.
func (q *Queue) InFlight(team string) int { return q.inFlight[team] }

// Push adds a ticket. If limit tickets are waiting already, a waiting ticket of
// lower priority is evicted and returned: the one of the lowest priority, the newest
// among equals. If there is none, Push returns an Overloaded error.
func (q *Queue) Push(t *Ticket, limit int) (evicted *Ticket, err error) {
	if len(q.waiting) >= limit {
		candidate := q.evictionCandidate()
		if candidate == nil || candidate.Priority >= t.Priority {
			return nil, errkind.New(errkind.Overloaded, "%d requests are waiting", len(q.waiting))
		}
		q.Remove(candidate)
		evicted = candidate
	}
	q.seq++
	t.seq = q.seq
	q.waiting = append(q.waiting, t)
	return evicted, nil
}

// evictionCandidate returns the newest ticket of the lowest priority.
func (q *Queue) evictionCandidate() *Ticket {
	var candidate *Ticket
	for _, t := range q.waiting {
		if candidate == nil || t.Priority < candidate.Priority || (t.Priority == candidate.Priority && t.seq > candidate.seq) {
			candidate = t
		}
	}
	return candidate
}

// Remove removes a ticket and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	for i, waiting := range q.waiting {
		if waiting == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next starts the first ticket for which place reports that it has found a target.
// It returns nil if there is none.
func (q *Queue) Next(place func(*Ticket) bool) *Ticket {
	tried := map[*Ticket]bool{}
	fullPools := map[string]bool{}
	for {
		t := q.nextCandidate(tried, fullPools)
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
			fullPools[t.Pool] = true
		}
	}
}

// nextCandidate returns the first ticket in the order of precedes that was not tried
// and whose pool is not full.
func (q *Queue) nextCandidate(tried map[*Ticket]bool, fullPools map[string]bool) *Ticket {
	var best *Ticket
	for _, t := range q.waiting {
		if tried[t] || fullPools[t.Pool] {
			continue
		}
		if best == nil || q.precedes(t, best) {
			best = t
		}
	}
	return best
}

// precedes reports whether a starts before b.
func (q *Queue) precedes(a, b *Ticket) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if inFlightA, inFlightB := q.inFlight[a.Team], q.inFlight[b.Team]; inFlightA != inFlightB {
		return inFlightA < inFlightB
	}
	return a.seq < b.seq
}

// Done records the end of a started ticket.
func (q *Queue) Done(t *Ticket) {
	q.inFlight[t.Team]--
	if q.inFlight[t.Team] <= 0 {
		delete(q.inFlight, t.Team)
	}
}
