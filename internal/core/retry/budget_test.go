package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against routers that together send more repeats in some window than
// the limits allow. The requests that count may be those of the window before.
func TestRepeatsStayWithinTheLimitOfAllRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
		routers := rapid.IntRange(1, 24).Draw(t, "routers")
		budgets := make([]*Budget, routers)
		for i := range budgets {
			budgets[i] = NewBudget(limits)
		}
		start := time.Unix(1000, 0)
		const step = 100 * time.Millisecond
		var requests, repeats []float64
		for i := range 300 {
			now := start.Add(time.Duration(i) * step)
			rate := rapid.IntRange(0, 20).Draw(t, "rate")
			var sent, again float64
			for range rate {
				b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
				b.RecordRequest(now)
				sent++
				if b.TakeRetry(now, routers) {
					again++
				}
			}
			requests, repeats = append(requests, sent), append(repeats, again)
		}
		const window = 100
		sum := func(v []float64, from, to int) (s float64) {
			for i := max(from, 0); i < min(to, len(v)); i++ {
				s += v[i]
			}
			return s
		}
		for i := 0; i+window <= len(repeats); i++ {
			most := max(sum(requests, i, i+window), sum(requests, i-window, i), sum(requests, i-window/2, i+window/2))
			if got := sum(repeats, i, i+window); got > limits.Ratio*most+limits.Slack {
				t.Fatalf("%g repeats for %g requests from step %d", got, most, i)
			}
		}
	})
}

// Guards against a budget that never allows a repeat.
func TestRepeatsAreAllowed(t *testing.T) {
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
	assert.Assert(t, b.TakeRetry(now.Add(11*time.Second), 1), "the window has passed")
}

// Guards against a division by zero for limits without a window.
func TestLimitsWithoutWindow(t *testing.T) {
	b := NewBudget(Limits{Slack: 10})
	b.RecordRequest(time.Unix(1000, 0))
	assert.Assert(t, b.TakeRetry(time.Unix(1000, 0), 1))
}
