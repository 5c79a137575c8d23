package admit

import (
	"math"
	"time"
)

const (
	// MinReturn is the least time after which a refused caller is asked to return.
	MinReturn = 50 * time.Millisecond
	// DefaultReturn is the time where nothing is known of the end or of the caller's patience.
	DefaultReturn = 250 * time.Millisecond
	// returnDivisor bounds the time to return as a fraction of the time that the caller
	// has left. Callers wait a third at most.
	returnDivisor = 4
	// hereSpread is the time over which callers return that another router can serve.
	hereSpread = 50 * time.Millisecond
)

// Refusal says why a request was refused, as far as it matters for its return, and how
// long it has time.
type Refusal struct {
	Here      bool          // the room is short at this router only
	Brief     bool          // the cause is expected to end before the objective is lost
	EndsIn    time.Duration // the time until there is room, at this router or at another one; 0 if it is not known
	Reserved  bool          // EndsIn was given to this caller alone
	Objective time.Duration // time left until the latency objective; 0 if there is none
	TimeLeft  time.Duration // that the caller has
	Impatient bool          // the caller did not say how long it waits, so it may leave soon
}

// Returns gives refused callers their time to return, so that they find room and do not
// return together. The zero value is ready for use. It is not safe for concurrent use.
type Returns struct{ refused int }

// Horizon returns the longest time to return that a caller respects who has a time left.
func Horizon(timeLeft time.Duration) time.Duration { return max(timeLeft/returnDivisor, MinReturn) }

// After returns the time after which the caller should return.
func (r *Returns) After(f Refusal) time.Duration {
	horizon := Horizon(f.TimeLeft)
	if f.Impatient {
		wanted := f.EndsIn
		if wanted <= 0 && !f.Here {
			wanted = DefaultReturn
		}
		return max(min(wanted, horizon), MinReturn)
	}
	from, to := DefaultReturn, DefaultReturn*3/2
	switch {
	case f.EndsIn > 0 && f.Reserved:
		return max(min(f.EndsIn, horizon), MinReturn)
	case f.Here:
		from = max(f.EndsIn, MinReturn)
		to = from + hereSpread
	case f.EndsIn >= horizon:
		from, to = horizon/2, horizon
	case f.EndsIn > 0:
		// The spread keeps callers with the same end from returning together.
		from, to = f.EndsIn, min(f.EndsIn+f.EndsIn/2, horizon)
	case f.Brief && f.Objective > 2*MinReturn:
		// Half of the time to the objective is left for the answer.
		to = min(horizon, f.Objective/2)
		from = to / 2
	}
	from, to = max(min(from, horizon), MinReturn), max(min(to, horizon), MinReturn)
	return from + time.Duration(r.fraction()*float64(to-from))
}

// goldenRatio spreads consecutive multiples evenly over the unit interval.
const goldenRatio = 0.6180339887498949

// fraction returns numbers from 0 to less than 1 that lie evenly over consecutive calls.
func (r *Returns) fraction() float64 {
	r.refused++
	return EvenFraction(r.refused)
}

// EvenFraction returns, for consecutive numbers, numbers from 0 to less than 1 that lie
// evenly.
func EvenFraction(n int) float64 {
	_, f := math.Modf(float64(n) * goldenRatio)
	return f
}

// ReturnAfter returns when a caller whose ticket was refused should return: once the work
// ahead of it and that of those refused before it, unless they are less urgent, has started
// besides what comes meanwhile, if demand stays as it is. If that lies beyond horizon, or
// demand takes all of the room, it is some time within the second half of horizon. rate is
// the work that starts each second.
func (q *Queue) ReturnAfter(now time.Time, t *Ticket, rate float64, horizon time.Duration) time.Duration {
	if free := rate - q.askedOf(t.Pool).of(now, usageMemory)/usageMemory.Seconds(); rate > 0 && free > 0 {
		at := now.Add(q.Wait(now, t, free))
		for rank, next := range q.nextReturn {
			if rank <= t.Rank && next.After(at) {
				at = next
			}
		}
		if after := at.Sub(now); after < horizon {
			q.nextReturn[t.Rank] = at.Add(time.Duration(t.work() / free * float64(time.Second)))
			return max(after, MinReturn)
		}
	}
	return max(horizon/2+time.Duration(q.returns.fraction()*float64(horizon/2)), MinReturn)
}
