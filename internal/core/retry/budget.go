// Package retry limits how many attempts beyond the first a router sends.
package retry

import "time"

// buckets is the number of parts that the window is counted in.
const buckets = 10

// Limits is the bound on attempts beyond the first, over all routers.
type Limits struct {
	Ratio  float64       // of the requests in the window
	Slack  float64       // attempts in the window beyond the ratio
	Window time.Duration // sliding
}

// Budget counts the requests of one service and the attempts beyond the first
// of each. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	requests [buckets]float64
	repeats  [buckets]float64
	at       int64 // newest bucket since the epoch of the clock
}

// defaultWindow is the window of limits that state none.
const defaultWindow = 10 * time.Second

// NewBudget returns a budget that has counted nothing.
func NewBudget(l Limits) *Budget {
	if l.Window < buckets {
		l.Window = defaultWindow
	}
	return &Budget{limits: l}
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.rotate(now)
	b.requests[b.at%buckets]++
}

// safety keeps a router below its part of the bound, because the windows that
// count start at any moment and requests of a sinking load leave the window.
const safety = 0.6

// TakeRetry counts one more attempt and reports whether it is within this router's
// part of the limits, given the number of routers.
func (b *Budget) TakeRetry(now time.Time, routers int) bool {
	b.rotate(now)
	var requests, repeats float64
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	limit := safety * (b.limits.Ratio*requests + b.limits.Slack/float64(max(routers, 1)))
	if repeats+1 > limit {
		return false
	}
	b.repeats[b.at%buckets]++
	return true
}

func (b *Budget) rotate(now time.Time) {
	at := now.UnixNano() / int64(b.limits.Window/buckets)
	if at-b.at >= buckets {
		b.requests, b.repeats = [buckets]float64{}, [buckets]float64{}
		b.at = at
	}
	for b.at < at {
		b.at++
		b.requests[b.at%buckets], b.repeats[b.at%buckets] = 0, 0
	}
}
