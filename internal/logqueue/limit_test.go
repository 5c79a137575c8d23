package logqueue

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against strangers who fill the log, and against lines that are omitted without a
// count.
func TestLimitCountsWhatItOmits(t *testing.T) {
	l := Limit{PerSecond: 2, Burst: 3}
	now := time.Unix(1000, 0)
	allowed := 0
	for range 100 {
		if _, ok := l.Allow(now); ok {
			allowed++
		}
	}
	assert.Equal(t, allowed, 3)
	omitted, ok := l.Allow(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, omitted, int64(97))
}

// Guards against lines as long as what a caller sends.
func TestTextIsCut(t *testing.T) {
	assert.Equal(t, Text("id-1"), "id-1")
	assert.Equal(t, len(Text(strings.Repeat("x", 16<<10))), maxTextBytes+3)
}
