package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against routers that together exceed the limits on retries in any window.
// Retries may be allowed by requests in the window itself, the one before, or the
// one that starts half a window earlier.
func TestRetriesStayWithinTheLimitOfAllRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
		routers := rapid.IntRange(1, 24).Draw(t, "routers")
		budgets := make([]*Budget, routers)
		for i := range budgets {
			budgets[i] = NewBudget(limits)
		}
		start := time.Unix(1000, 0)
		const step = 100 * time.Millisecond
		var requests, retries []float64
		for i := range 300 {
			now := start.Add(time.Duration(i) * step)
			rate := rapid.IntRange(0, 20).Draw(t, "rate")
			var sent, retried float64
			for range rate {
				b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
				b.RecordRequest(now)
				sent++
				if b.TakeRetry(now, routers) {
					retried++
				}
			}
			requests, retries = append(requests, sent), append(retries, retried)
		}
		const window = 100
		sum := func(v []float64, from, to int) (s float64) {
			for i := max(from, 0); i < min(to, len(v)); i++ {
				s += v[i]
			}
			return s
		}
		for i := 0; i+window <= len(retries); i++ {
			mostRequests := max(sum(requests, i, i+window), sum(requests, i-window, i), sum(requests, i-window/2, i+window/2))
			if got := sum(retries, i, i+window); got > limits.Ratio*mostRequests+limits.Slack {
				t.Fatalf("%g retries for %g requests from step %d", got, mostRequests, i)
			}
		}
	})
}

// Guards against a budget that allows no retries, or none again after it was used
// up once.
func TestRetriesAreAllowed(t *testing.T) {
	b := NewBudget(Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 100 {
		b.RecordRequest(now)
	}
	taken := 0
	for b.TakeRetry(now, 1) {
		taken++
	}
	assert.Equal(t, taken, 18)
	assert.Assert(t, b.TakeRetry(now.Add(11*time.Second), 1), "a full window later, retries must be allowed again")
}

// Guards against a division by zero for limits without a window.
func TestLimitsWithoutWindow(t *testing.T) {
	b := NewBudget(Limits{Slack: 10})
	b.RecordRequest(time.Unix(1000, 0))
	assert.Assert(t, b.TakeRetry(time.Unix(1000, 0), 1))
}
