package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	firstPause   = 5 * time.Millisecond
	longestPause = 200 * time.Millisecond
	maxDoublings = 6 // beyond it, doubling would exceed longestPause anyway
)

// WaitBackoff waits before retry n, counted from 0, and reports whether the
// context is still open. The wait doubles with n and has jitter, so that
// writers that conflicted once do not meet again.
func WaitBackoff(ctx context.Context, n int) bool {
	wait := min(firstPause<<min(n, maxDoublings), longestPause)
	timer := time.NewTimer(wait/2 + rand.N(wait/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
