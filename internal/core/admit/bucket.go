package admit

import "time"

// Bucket is a token bucket that limits a rate. The zero value is full at its
// first use.
type Bucket struct {
	tokens float64
	last   time.Time
}

// Take takes one token if there is one. perSecond is the refill rate, burst
// the capacity. If it refuses, wait tells when a token will be there.
func (b *Bucket) Take(now time.Time, perSecond, burst float64) (ok bool, wait time.Duration) {
	b.refill(now, perSecond, burst)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	missing := 1 - b.tokens
	return false, time.Duration(missing / perSecond * float64(time.Second))
}

func (b *Bucket) refill(now time.Time, perSecond, burst float64) {
	if b.last.IsZero() {
		b.tokens = burst
		b.last = now
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(burst, b.tokens+elapsed.Seconds()*perSecond)
		b.last = now
	}
}

// RetryBudget bounds retries to a share of requests, with a small reserve so that a
// quiet router can retry at all.
type RetryBudget struct {
	credit float64
}

// shareReserve is the number of retries allowed without earlier requests.
const shareReserve = 10

// RecordRequest notes a first attempt, which earns share of a retry.
func (s *RetryBudget) RecordRequest(share float64) {
	s.credit = min(s.credit+share, shareReserve)
}

// TakeRetry reports whether a retry is allowed and spends it.
func (s *RetryBudget) TakeRetry() bool {
	if s.credit <= -shareReserve+1 {
		return false
	}
	s.credit--
	return true
}
