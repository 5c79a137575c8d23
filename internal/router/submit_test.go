package router

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Guards against an answer that blames the deadline and hides what the request
// waited for: a budget held by requests in progress, or a table out of reach.
func TestStartErrorKeepsTheKind(t *testing.T) {
	expired := context.DeadlineExceeded
	cases := map[errkind.Kind]error{
		errkind.BudgetBusy:          errkind.Wrap(expired, errkind.BudgetBusy, "held"),
		errkind.PlatformUnavailable: errkind.Wrap(expired, errkind.PlatformUnavailable, "call timed out"),
		errkind.DeadlineExceeded:    expired,
	}
	for want, err := range cases {
		assert.Equal(t, errkind.Of(startError(context.Background(), err)), want)
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, errkind.Of(startError(gone, expired)), errkind.Canceled)
}
