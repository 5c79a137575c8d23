package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff   = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	maxDoublings = 6 // bounds the shift; minBackoff<<6 already exceeds maxBackoff
)

// WaitBackoff waits before a retry and reports false if ctx ends first. The
// wait doubles with each attempt, counted from 0, and has jitter, so that
// writers that conflicted once do not conflict again.
func WaitBackoff(ctx context.Context, attempt int) bool {
	wait := min(minBackoff<<min(attempt, maxDoublings), maxBackoff)
	timer := time.NewTimer(wait/2 + rand.N(wait/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
