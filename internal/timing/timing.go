// Package timing provides waits that can be canceled by a context.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
