package storepath

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func first(int) int { return 0 }

// Guards against a router that stays without the store while a host beside it
// still reaches it, and against one that never returns to the direct path.
func TestFailsOverAndReturns(t *testing.T) {
	s := New("store", first)
	s.SetRelays([]string{"a", "b"})
	now := time.Unix(100, 0)
	assert.Equal(t, s.Pick(now, true), "store")
	s.Report(now, "store", false)
	assert.Equal(t, s.Pick(now, false), "a")
	s.Report(now, "a", false)
	assert.Equal(t, s.Pick(now, false), "b")
	s.Report(now, "b", true)
	assert.Equal(t, s.Pick(now.Add(probeInterval-1), true), "b")
	now = now.Add(probeInterval)
	assert.Equal(t, s.Pick(now, false), "b", "a call that somebody waits for does not probe")
	assert.Equal(t, s.Pick(now, true), "store")
	assert.Equal(t, s.Pick(now, true), "b", "one probe at a time")
	s.Report(now, "store", false)
	assert.Equal(t, s.Pick(now, false), "b", "a failed probe keeps the relay")
	s.Report(now, "store", true)
	assert.Equal(t, s.Pick(now, false), "store")
}

// Guards against leaving the direct path for good when the store itself is
// down and every path fails.
func TestAllPathsFailing(t *testing.T) {
	s := New("store", first)
	s.SetRelays([]string{"a"})
	now := time.Unix(100, 0)
	s.Report(now, "store", false)
	s.Report(now, "a", false)
	assert.Equal(t, s.Pick(now, false), "store")
	s.SetRelays(nil)
	s.Report(now.Add(failedPathTimeout), "store", false)
	assert.Equal(t, s.Pick(now, false), "store")
}
