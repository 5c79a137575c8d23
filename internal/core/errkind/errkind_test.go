package errkind_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Guards against a row that promises "not run" together with a retry hint for
// a kind whose outcome is not known.
func TestTableRetryOnlyWhenNotRun(t *testing.T) {
	seen := map[errkind.Kind]bool{}
	for _, a := range errkind.Responses() {
		assert.Assert(t, !seen[a.Kind], "kind %s stands twice", a.Kind)
		seen[a.Kind] = true
		if a.RetryAfter > 0 {
			assert.Equal(t, a.Ran, errkind.RanNo, "kind %s", a.Kind)
		}
	}
}

// Guards against an inter-process kind leaking to a caller.
func TestInternalKindsMapToInternal(t *testing.T) {
	for _, k := range []errkind.Kind{errkind.Fenced, errkind.StaleConfig, errkind.PlatformUncertain} {
		assert.Equal(t, errkind.ResponseFor(k).Kind, errkind.Internal)
	}
}

// Guards against a wrapped error losing its kind.
func TestOfSeesThroughWrapping(t *testing.T) {
	err := fmt.Errorf("outer: %w", errkind.New(errkind.NoTarget, "none"))
	assert.Equal(t, errkind.Of(err), errkind.NoTarget)
	assert.Assert(t, errkind.Is(err, errkind.NoTarget))
	assert.Equal(t, errkind.Of(fmt.Errorf("plain")), errkind.Internal)
}
