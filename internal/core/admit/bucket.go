package admit

import "time"

// Bucket is a token bucket that limits a rate. The zero value is a bucket that is
// full at its first use.
type Bucket struct {
	tokens     float64
	lastRefill time.Time
}

// Take takes one token if the bucket has one. perSecond is the refill rate and
// burst the capacity. If ok is false, a token will be available after wait.
func (b *Bucket) Take(now time.Time, perSecond, burst float64) (ok bool, wait time.Duration) {
	if wait := b.Wait(now, perSecond, burst); wait > 0 {
		return false, wait
	}
	b.tokens--
	return true, 0
}

// Wait returns the time until Take will find a token, 0 if there is one now.
func (b *Bucket) Wait(now time.Time, perSecond, burst float64) time.Duration {
	b.refill(now, perSecond, burst)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// Return puts a token back that was taken and not used. burst is the capacity.
func (b *Bucket) Return(burst float64) { b.tokens = min(burst, b.tokens+1) }

func (b *Bucket) refill(now time.Time, perSecond, burst float64) {
	if b.lastRefill.IsZero() {
		b.tokens = burst
		b.lastRefill = now
	}
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(burst, b.tokens+elapsed.Seconds()*perSecond)
		b.lastRefill = now
	}
}

// RetryBudget bounds the ratio of retries to requests. A small reserve lets a router
// with few requests retry at all.
type RetryBudget struct {
	credit float64 // retries allowed; negative while the reserve is in use
}

// retryReserve bounds the retries that earlier requests can save up. Without earlier
// requests, retryReserve-1 retries are allowed.
const retryReserve = 10

// RecordRequest records the first attempt of a request, which adds ratio to the
// retries allowed.
func (b *RetryBudget) RecordRequest(ratio float64) {
	b.credit = min(b.credit+ratio, retryReserve)
}

// TakeRetry reports whether a retry is allowed. If so, it counts the retry.
func (b *RetryBudget) TakeRetry() bool {
	if b.credit <= -retryReserve+1 {
		return false
	}
	b.credit--
	return true
}
