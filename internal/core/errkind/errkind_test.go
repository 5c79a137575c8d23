package errkind_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Guards against a response that suggests a retry although the request may have
// run.
func TestRetryOnlyWhenNotRun(t *testing.T) {
	seen := map[errkind.Kind]bool{}
	for _, response := range errkind.Responses() {
		assert.Assert(t, !seen[response.Kind], "kind %s is listed twice", response.Kind)
		seen[response.Kind] = true
		if response.RetryAfter > 0 {
			assert.Equal(t, response.Ran, errkind.RanNo, "kind %s", response.Kind)
		}
	}
}

// Guards against a response to a caller with a kind that is used only between
// processes, when an error of such a kind is passed on.
func TestInternalKindsMapToInternal(t *testing.T) {
	for _, k := range []errkind.Kind{errkind.Fenced, errkind.StaleConfig, errkind.PlatformUncertain} {
		assert.Equal(t, errkind.ResponseFor(k).Kind, errkind.Internal)
	}
}

// Guards against losing the kind of an error that is wrapped with fmt.Errorf. The
// caller would receive an internal error.
func TestOfSeesThroughWrapping(t *testing.T) {
	err := fmt.Errorf("outer: %w", errkind.New(errkind.NoTarget, "none"))
	assert.Equal(t, errkind.Of(err), errkind.NoTarget)
	assert.Assert(t, errkind.Is(err, errkind.NoTarget))
	assert.Equal(t, errkind.Of(fmt.Errorf("plain")), errkind.Internal)
}
