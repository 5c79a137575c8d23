package router

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/rpc"
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
		assert.Equal(t, errkind.Of(startError(context.Background(), context.Background(), err)), want)
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, errkind.Of(startError(gone, gone, expired)), errkind.Canceled)
}

// Guards against a workload with a short timeout of its own being told that the
// system is overloaded.
func TestWorkloadTimeoutIsNamed(t *testing.T) {
	startCtx, cancel := startContext(context.Background(), &request{timeout: time.Millisecond, ownTimeout: true})
	defer cancel()
	<-startCtx.Done()
	err := startError(context.Background(), startCtx, errkind.New(errkind.Overloaded, "no target became free"))
	assert.Equal(t, errkind.Of(err), errkind.DeadlineExceeded)
	assert.ErrorContains(t, err, "no target became free")
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
		var errs attemptErrors
		for _, err := range c.attempts {
			errs.add(err)
		}
		assert.Equal(t, errkind.Of(errs.answer()), c.want, "%v", c.attempts)
	}
}

// Guards against an answer that says "not run" after an earlier attempt has
// run.
func TestAnswerAfterASpentAttempt(t *testing.T) {
	crashed := errkind.New(errkind.TargetCrashed, "first attempt")
	full := errkind.New(errkind.Overloaded, "no target became free")
	assert.Equal(t, errkind.Of(finalAnswer(crashed, full)), errkind.TargetCrashed)
	assert.Equal(t, errkind.Of(finalAnswer(crashed, errNotRun)), errkind.TargetCrashed)
	assert.Equal(t, errkind.Of(finalAnswer(nil, full)), errkind.Overloaded)
	assert.Equal(t, errkind.Of(finalAnswer(nil, errNotRun)), errkind.NoTarget)
	assert.Assert(t, knownNotRun(full))
	assert.Assert(t, !knownNotRun(crashed))
	assert.Assert(t, !knownNotRun(errkind.New(errkind.Unreachable, "connection lost")))
}

// Guards against a request that waits until its deadline although every target
// has failed it.
func TestRequestThatFailedEverywhereIsNotQueued(t *testing.T) {
	doc := policy.Default()
	preset := doc.CurrentPreset()
	s := newScheduler(1, func() policy.Preset { return preset }, time.Now)
	first := &target{id: "first", pool: "p", conn: &rpc.Conn{}}
	second := &target{id: "second", pool: "p", conn: &rpc.Conn{}}
	s.add(first)
	s.add(second)
	w := &waiter{Ticket: admit.Ticket{Pool: "p"}, avoid: map[string]bool{"first": true}}
	assert.Equal(t, s.place(w), second)
	second.draining = true
	assert.Assert(t, s.place(w) == nil)
	assert.Assert(t, !s.poolKnown(w))
	second.draining = false
	w.avoid["second"] = true
	assert.Assert(t, !s.poolKnown(w))
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
	assert.Assert(t, blameless(attemptResult{err: errkind.New(errkind.TargetCrashed, "another request"), explained: true}))
}
