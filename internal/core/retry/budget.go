// Package retry limits the retries that a router sends: the attempts of a request
// after its first.
package retry

import "time"

// bucketCount is the number of buckets into which the window is divided.
const bucketCount = 10

// Limits bounds the retries that all routers together send.
type Limits struct {
	Ratio  float64       // retries per request in the window
	Slack  float64       // retries of all routers allowed in the window beyond those by Ratio
	Window time.Duration // length of the sliding window
}

// Budget counts the requests and retries of one service at this router. It is not
// safe for concurrent use.
type Budget struct {
	limits       Limits
	requests     [bucketCount]float64 // first attempts by bucket
	retries      [bucketCount]float64 // by bucket
	newestBucket int64                // number of the newest bucket, counted from the Unix epoch
}

// defaultWindow is used for limits without a window, or with one that is too short
// to be divided into buckets.
const defaultWindow = 10 * time.Second

// NewBudget returns a budget without any requests or retries.
func NewBudget(l Limits) *Budget {
	if l.Window < bucketCount {
		l.Window = defaultWindow
	}
	return &Budget{limits: l}
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.rotate(now)
	b.requests[b.newestBucket%bucketCount]++
}

// safetyFactor keeps a router below its part of the limits. The limits must hold in
// a window that starts at any time, and when the load falls, requests that allowed
// a retry may be outside of that window.
const safetyFactor = 0.6

// TakeRetry reports whether one more retry is within this router's part of the
// limits, given the number of routers. If so, it counts the retry.
func (b *Budget) TakeRetry(now time.Time, routers int) bool {
	b.rotate(now)
	var requests, retries float64
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	limit := safetyFactor * (b.limits.Ratio*requests + b.limits.Slack/float64(max(routers, 1)))
	if retries+1 > limit {
		return false
	}
	b.retries[b.newestBucket%bucketCount]++
	return true
}

// rotate clears the buckets that have left the window.
func (b *Budget) rotate(now time.Time) {
	current := now.UnixNano() / int64(b.limits.Window/bucketCount)
	if current-b.newestBucket >= bucketCount {
		b.requests, b.retries = [bucketCount]float64{}, [bucketCount]float64{}
		b.newestBucket = current
	}
	for b.newestBucket < current {
		b.newestBucket++
		b.requests[b.newestBucket%bucketCount], b.retries[b.newestBucket%bucketCount] = 0, 0
	}
}
