package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

func placeAny(*admit.Ticket) bool { return true }

// Guards against a team with many waiting requests that delays another team of
// equal priority until all of them have started.
func TestFairBetweenTeams(t *testing.T) {
	q := admit.NewQueue()
	for range 3 {
		_, err := q.Push(&admit.Ticket{Team: "a"}, 10)
		assert.NilError(t, err)
	}
	_, err := q.Push(&admit.Ticket{Team: "b"}, 10)
	assert.NilError(t, err)
	assert.Equal(t, q.Next(placeAny).Team, "a")
	assert.Equal(t, q.Next(placeAny).Team, "b")
}

// Guards against refusing a request because the queue is full while one of lower
// priority is waiting.
func TestHigherPriorityEvictsLower(t *testing.T) {
	q := admit.NewQueue()
	low := &admit.Ticket{Priority: 1}
	_, err := q.Push(low, 1)
	assert.NilError(t, err)
	evicted, err := q.Push(&admit.Ticket{Priority: 5}, 1)
	assert.NilError(t, err)
	assert.Equal(t, evicted, low)
	_, err = q.Push(&admit.Ticket{Priority: 5}, 1)
	assert.Equal(t, errkind.Of(err), errkind.Overloaded)
}

// Guards against a request that blocks those behind it while no target of its pool
// can run it.
func TestNextSkipsWhatCannotBePlaced(t *testing.T) {
	q := admit.NewQueue()
	_, _ = q.Push(&admit.Ticket{Pool: "full", Priority: 9}, 10)
	_, _ = q.Push(&admit.Ticket{Pool: "free", Priority: 1}, 10)
	got := q.Next(func(tk *admit.Ticket) bool { return tk.Pool == "free" })
	assert.Equal(t, got.Pool, "free")
	assert.Assert(t, q.Next(func(*admit.Ticket) bool { return false }) == nil)
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
