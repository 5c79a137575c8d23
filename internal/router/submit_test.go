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

// Guards against an answer that says "not run" because the last attempt did not
// run, although an earlier one did.
func TestAnswerCoversAllAttempts(t *testing.T) {
	crashed := errkind.New(errkind.TargetCrashed, "crashed")
	unreachable := errkind.New(errkind.Unreachable, "lost")
	none := errkind.New(errkind.NoTarget, "none")
	tombstoned := errkind.New(errkind.Tombstoned, "not received")
	cases := []struct {
		attempts []error
		want     errkind.Kind
	}{
		{[]error{none}, errkind.NoTarget},
		{[]error{tombstoned}, errkind.NoTarget},
		{[]error{crashed, none}, errkind.TargetCrashed},
		{[]error{crashed, tombstoned}, errkind.TargetCrashed},
		{[]error{unreachable, none}, errkind.OutcomeUnknown},
		{[]error{none, crashed}, errkind.TargetCrashed},
	}
	for _, c := range cases {
		var last error
		for _, err := range c.attempts {
			last = overAttempts(last, err)
		}
		assert.Equal(t, errkind.Of(last), c.want, "%v", c.attempts)
	}
}

// Guards against a refusal although the only target is idle: a run that was lost
// with its connection must not rule the target out.
func TestLostRunDoesNotRuleItsTargetOut(t *testing.T) {
	for kind, want := range map[errkind.Kind]bool{
		errkind.Tombstoned: true, errkind.Fenced: true, errkind.StaleConfig: true,
		errkind.TargetCrashed: false, errkind.TargetFailed: false, errkind.NoTarget: false, errkind.Draining: false,
	} {
		assert.Equal(t, blameless(attemptResult{err: errkind.New(kind, "refused"), retry: true}), want, "%s", kind)
	}
	assert.Assert(t, blameless(attemptResult{err: errkind.New(errkind.Overloaded, "full"), full: true}))
}
