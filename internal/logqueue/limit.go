package logqueue

import (
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
)

// Limit bounds the rate of log lines that strangers can cause. It is safe for concurrent
// use.
type Limit struct {
	PerSecond, Burst float64

	mu      sync.Mutex
	bucket  admit.Bucket
	omitted int64 // lines since the last one
}

// Allow reports whether a line may be written, and how many were omitted before it.
func (l *Limit) Allow(now time.Time) (omitted int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok, _ := l.bucket.Take(now, l.PerSecond, l.Burst); !ok {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// maxTextBytes bounds a text of a caller in a log line.
const maxTextBytes = 256

// Text returns a text of a caller as it may be logged.
func Text(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return s[:maxTextBytes] + "..."
}
