package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a ticket that is lost, starts twice, or starts too late, whatever the
// order of calls: each waits until it ends in one way.
func FuzzQueue(f *testing.F) {
	f.Add([]byte("push some, start some, let some leave and expire, and fill the queue"))
	f.Add([]byte{0, 1, 2, 3, 4, 5, 0, 4, 0, 4, 0, 9, 4, 3, 3, 250, 250, 5, 1, 1})
	f.Fuzz(func(t *testing.T, calls []byte) {
		now := time.Unix(1000, 0)
		q := NewQueue()
		waiting := map[*Ticket]bool{}
		var started []*Ticket
		end := func(ticket *Ticket) {
			assert.Assert(t, waiting[ticket], "a ticket that does not wait has ended")
			delete(waiting, ticket)
		}
		var last *Ticket
		for i, call := range calls {
			now = now.Add(time.Duration(call%7) * time.Millisecond)
			q.Wait(now, &Ticket{Team: "a"}, 1)
			switch call % 6 {
			case 0, 1, 2:
				last = &Ticket{
					Team: string('a' + call%5), Route: string('r' + call%3), Rank: int(call % 4), Work: float64(call % 11), Pool: string('p' + call/128),
					Constrained: call%13 == 0, StartBy: now.Add(time.Duration(call%17) * time.Millisecond), Deadline: now.Add(time.Duration(call%29) * time.Millisecond),
				}
				if call%19 == 0 {
					last.StartBy, last.Deadline = time.Time{}, time.Time{}
				}
				evicted, err := q.Push(now, last, Limits{Waiting: 8, Rate: 500 * float64(call%3)})
				if evicted != nil {
					end(evicted)
				}
				if err == nil {
					waiting[last] = true
				}
			case 3:
				if q.Remove(now, orNew(last)) {
					end(last)
				}
			case 4:
				if ticket := q.Next(now, func(ticket *Ticket) bool { return (int(ticket.Rank)+i)%3 != 0 }); ticket != nil {
					end(ticket)
					assert.Assert(t, !ticket.expired(now), "started too late")
					started = append(started, ticket)
				}
			case 5:
				var rate func(string) float64
				if call%2 == 0 {
					rate = func(string) float64 { return 1000 }
				}
				for _, ticket := range q.Expire(now, rate) {
					end(ticket)
					assert.Assert(t, ticket.expired(now) || rate != nil)
				}
				for ticket := range waiting {
					assert.Assert(t, !ticket.expired(now), "not expired")
				}
				for _, ticket := range started {
					q.Done(now, ticket)
				}
				started = nil
			}
			assert.Equal(t, q.Len(), len(waiting))
			assert.Assert(t, q.Len() <= 8)
		}
		for ticket := range waiting {
			assert.Assert(t, q.Remove(now, ticket), "lost")
		}
		assert.Equal(t, q.Len(), 0)
	})
}

// orNew returns a ticket, or one that was never pushed.
func orNew(last *Ticket) *Ticket {
	if last == nil {
		return &Ticket{}
	}
	return last
}
