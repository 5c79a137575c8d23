package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

var start = time.Unix(1000, 0)

func placeAny(*admit.Ticket) bool { return true }

func push(q *admit.Queue, t *admit.Ticket, limit int) (*admit.Ticket, error) {
	return q.Push(start, t, admit.Limits{Waiting: limit})
}

// Guards against a team with many waiting requests that delays another team of
// equal priority until all of them have started.
func TestFairBetweenTeams(t *testing.T) {
	q := admit.NewQueue()
	for range 3 {
		_, err := push(q, &admit.Ticket{Team: "a"}, 10)
		assert.NilError(t, err)
	}
	_, err := push(q, &admit.Ticket{Team: "b"}, 10)
	assert.NilError(t, err)
	assert.Equal(t, q.Next(start, placeAny).Team, "a")
	assert.Equal(t, q.Next(start, placeAny).Team, "b")
}

// Guards against refusing a request because the queue is full while one of lower
// priority is waiting.
func TestHigherPriorityEvictsLower(t *testing.T) {
	q := admit.NewQueue()
	low := &admit.Ticket{Rank: 5}
	_, err := push(q, low, 1)
	assert.NilError(t, err)
	evicted, err := push(q, &admit.Ticket{Rank: 1}, 1)
	assert.NilError(t, err)
	assert.Equal(t, evicted, low)
	_, err = push(q, &admit.Ticket{Rank: 1}, 1)
	assert.Equal(t, errkind.Of(err), errkind.Overloaded)
}

// Guards against a request that blocks those behind it while no target of its pool
// can run it.
func TestNextSkipsWhatCannotBePlaced(t *testing.T) {
	q := admit.NewQueue()
	_, _ = push(q, &admit.Ticket{Pool: "full", Rank: 1}, 10)
	_, _ = push(q, &admit.Ticket{Pool: "free", Rank: 9}, 10)
	got := q.Next(start, func(tk *admit.Ticket) bool { return tk.Pool == "free" })
	assert.Equal(t, got.Pool, "free")
	assert.Assert(t, q.Next(start, func(*admit.Ticket) bool { return false }) == nil)
	assert.Equal(t, q.Len(), 1)
}

// Guards against a wrong Retry-After header when the rate limit is exceeded: the
// bucket must have a token after the wait that it returns.
func TestBucketTellsWait(t *testing.T) {
	var b admit.Bucket
	now := time.Unix(100, 0)
	ok, _ := b.Take(now, 2, 1)
	assert.Assert(t, ok)
	ok, wait := b.Take(now, 2, 1)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 500*time.Millisecond)
	ok, _ = b.Take(now.Add(wait), 2, 1)
	assert.Assert(t, ok)
}

// Guards against retries that multiply the load while targets fail.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	var b admit.RetryBudget
	retries := 0
	for range 1000 {
		b.RecordRequest(0.1)
		if b.TakeRetry() {
			retries++
		}
	}
	assert.Assert(t, retries <= 120, "%d retries of 1000 requests", retries)
	assert.Assert(t, retries >= 100)
}

// Guards against refused callers who return together, into the same outage, or too late to
// be served.
func TestTimeToReturnFollowsTheCause(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		refusal  admit.Refusal
		from, to time.Duration
	}{
		{admit.Refusal{Here: true, TimeLeft: 6000 * ms}, 50 * ms, 100 * ms},
		{admit.Refusal{Here: true, EndsIn: 400 * ms, TimeLeft: 6000 * ms}, 400 * ms, 450 * ms},
		{admit.Refusal{EndsIn: 400 * ms, TimeLeft: 6000 * ms}, 400 * ms, 600 * ms},
		{admit.Refusal{EndsIn: 300 * ms, Reserved: true, TimeLeft: 6000 * ms}, 300 * ms, 300 * ms},
		{admit.Refusal{Brief: true, Objective: 400 * ms, TimeLeft: 4000 * ms}, 100 * ms, 200 * ms},
		{admit.Refusal{Objective: 400 * ms, TimeLeft: 4000 * ms}, 250 * ms, 375 * ms},
		{admit.Refusal{EndsIn: 5000 * ms, TimeLeft: 4000 * ms}, 500 * ms, 1000 * ms},
		{admit.Refusal{TimeLeft: 100 * ms}, 50 * ms, 50 * ms},
		{admit.Refusal{Impatient: true, Here: true, TimeLeft: 4000 * ms}, 50 * ms, 50 * ms},
		{admit.Refusal{Impatient: true, TimeLeft: 4000 * ms}, 250 * ms, 250 * ms},
		{admit.Refusal{Impatient: true, EndsIn: 400 * ms, TimeLeft: 4000 * ms}, 400 * ms, 400 * ms},
	} {
		var returns admit.Returns
		least, most := time.Hour, time.Duration(0)
		for range 100 {
			after := returns.After(test.refusal)
			least, most = min(least, after), max(most, after)
		}
		assert.Assert(t, least >= test.from && most <= test.to, "%+v: %v to %v", test.refusal, least, most)
		assert.Assert(t, most-least >= (test.to-test.from)*9/10, "%+v: not spread, %v to %v", test.refusal, least, most)
	}
}
