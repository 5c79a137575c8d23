package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

func always(*admit.Ticket) bool { return true }

// Guards against a busy team starving another at equal priority.
func TestFairBetweenTeams(t *testing.T) {
	q := admit.NewQueue()
	for range 3 {
		_, err := q.Push(&admit.Ticket{Team: "a"}, 10)
		assert.NilError(t, err)
	}
	_, err := q.Push(&admit.Ticket{Team: "b"}, 10)
	assert.NilError(t, err)
	assert.Equal(t, q.Next(always).Team, "a")
	assert.Equal(t, q.Next(always).Team, "b")
}

// Guards against a low-priority request holding the last queue place.
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

// Guards against a request without a target blocking those behind it.
func TestNextSkipsWhatCannotBePlaced(t *testing.T) {
	q := admit.NewQueue()
	_, _ = q.Push(&admit.Ticket{Pool: "full", Priority: 9}, 10)
	_, _ = q.Push(&admit.Ticket{Pool: "free", Priority: 1}, 10)
	got := q.Next(func(tk *admit.Ticket) bool { return tk.Pool == "free" })
	assert.Equal(t, got.Pool, "free")
	assert.Assert(t, q.Next(func(*admit.Ticket) bool { return false }) == nil)
	assert.Equal(t, q.Len(), 1)
}

// Guards against a wrong Retry-After of a rate limit.
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

// Guards against retries doubling the load while targets fail.
func TestShareBoundsRetries(t *testing.T) {
	var s admit.RetryBudget
	retries := 0
	for range 1000 {
		s.RecordRequest(0.1)
		if s.TakeRetry() {
			retries++
		}
	}
	assert.Assert(t, retries <= 120, "%d retries of 1000 requests", retries)
	assert.Assert(t, retries >= 100)
}
