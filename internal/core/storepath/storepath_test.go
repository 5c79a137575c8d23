package storepath

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func pickFirst(int) int { return 0 }

// Guards against a router that cannot reach the store although a relay can, and
// against one that never returns to the direct path.
func TestFailsOverAndReturns(t *testing.T) {
	s := New("store", pickFirst)
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
	assert.Equal(t, s.Pick(now, false), "b", "a call without mayProbe must not probe")
	assert.Equal(t, s.Pick(now, true), "store")
	assert.Equal(t, s.Pick(now, true), "b", "the next probe must wait for probeInterval")
	s.Report(now, "store", false)
	assert.Equal(t, s.Pick(now, false), "b", "the relay stays in use after a failed probe")
	s.Report(now, "store", true)
	assert.Equal(t, s.Pick(now, false), "store")
}

// Guards against abandoning the direct path when the store itself is down and every
// path fails.
func TestAllPathsFailing(t *testing.T) {
	s := New("store", pickFirst)
	s.SetRelays([]string{"a"})
	now := time.Unix(100, 0)
	s.Report(now, "store", false)
	s.Report(now, "a", false)
	assert.Equal(t, s.Pick(now, false), "store")
	s.SetRelays(nil)
	s.Report(now.Add(relayRetryDelay), "store", false)
	assert.Equal(t, s.Pick(now, false), "store")
}
