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

// Guards against an answer that names only the deadline and hides what the
// request waited for: a budget that other requests have reserved, or a table
// that cannot be reached.
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
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, errkind.Of(startError(canceled, canceled, expired)), errkind.Canceled)
}

// Guards against answering that the system is overloaded when the workload's
// own short timeout expired. The wait for a target ends with the same Overloaded
// error at that timeout as at the longer one of the preset.
func TestWorkloadTimeoutIsNamed(t *testing.T) {
	startCtx, cancel := startContext(context.Background(), &request{timeout: time.Millisecond, timeoutFromWorkload: true})
	defer cancel()
	<-startCtx.Done()
	err := startError(context.Background(), startCtx, errkind.New(errkind.Overloaded, "no target became free"))
	assert.Equal(t, errkind.Of(err), errkind.DeadlineExceeded)
	assert.ErrorContains(t, err, "no target became free")
}

// Guards against an answer that says "not run" because the last attempt did not
// run, although an earlier one did. A caller that relies on it would repeat a
// request that has already run.
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
		assert.Equal(t, errkind.Of(errs.callerError()), c.want, "%v", c.attempts)
	}
}

// Guards against an answer that says "not run" although an earlier attempt may
// have run: the last attempt found no free target or did not reach its sidecar.
func TestAnswerAfterASpentAttempt(t *testing.T) {
	crashed := errkind.New(errkind.TargetCrashed, "first attempt")
	full := errkind.New(errkind.Overloaded, "no target became free")
	assert.Equal(t, errkind.Of(combineErrors(crashed, full)), errkind.TargetCrashed)
	assert.Equal(t, errkind.Of(combineErrors(crashed, errRunNotReceived)), errkind.TargetCrashed)
	assert.Equal(t, errkind.Of(combineErrors(nil, full)), errkind.Overloaded)
	assert.Equal(t, errkind.Of(combineErrors(nil, errRunNotReceived)), errkind.NoTarget)
	assert.Assert(t, knownNotRun(full))
	assert.Assert(t, !knownNotRun(crashed))
	assert.Assert(t, !knownNotRun(errkind.New(errkind.Unreachable, "connection lost")))
}

// Guards against a request that waits until its deadline although no target is
// left that it could wait for: it has failed at some targets, and the others are
// draining.
func TestRequestThatFailedEverywhereIsNotQueued(t *testing.T) {
	doc := policy.Default()
	preset := doc.CurrentPreset()
	s := newScheduler(1, func() policy.Preset { return preset }, time.Now)
	first := &target{id: "first", pool: "p", conn: &rpc.Conn{}}
	second := &target{id: "second", pool: "p", conn: &rpc.Conn{}}
	s.add(first)
	s.add(second)
	w := &waiter{Ticket: admit.Ticket{Pool: "p"}, avoid: map[string]bool{"first": true}}
	assert.Equal(t, s.pickTarget(w), second)
	second.draining = true
	assert.Assert(t, s.pickTarget(w) == nil)
	assert.Assert(t, !s.hasEligibleTarget(w))
	second.draining = false
	w.avoid["second"] = true
	assert.Assert(t, !s.hasEligibleTarget(w))
}

// Guards against refusing a request although the only target is idle. That
// happens if a failed attempt excludes its target although the target was not at
// fault: the run never reached the sidecar, was refused for a temporary reason, or
// was ended by a crash that another request caused.
func TestLostRunDoesNotRuleItsTargetOut(t *testing.T) {
	for kind, want := range map[errkind.Kind]bool{
		errkind.Tombstoned: true, errkind.Fenced: true, errkind.StaleConfig: true,
		errkind.TargetCrashed: false, errkind.TargetFailed: false, errkind.NoTarget: false, errkind.Draining: false,
	} {
		assert.Equal(t, targetNotAtFault(attemptResult{err: errkind.New(kind, "refused"), retry: true}), want, "%s", kind)
	}
	assert.Assert(t, targetNotAtFault(attemptResult{err: errkind.New(errkind.Overloaded, "full"), noCapacity: true}))
	assert.Assert(t, targetNotAtFault(attemptResult{err: errkind.New(errkind.TargetCrashed, "another request"), crashExplained: true}))
	assert.Assert(t, targetNotAtFault(attemptResult{err: errkind.New(errkind.NoTarget, "no connection"), retry: true, refused: true}), "it restarts")
}

// Guards against an innocent request that fails because engines which restart after crashes
// refuse its connections, which used up its attempts.
func TestRefusedConnectionsDoNotUseUpTheAttempts(t *testing.T) {
	crash, refusal := attemptResult{}, attemptResult{refused: true}
	var count attemptCount
	for _, result := range []attemptResult{{crashExplained: true}, refusal, crash, refusal, crash, crash} {
		assert.Assert(t, count.add(result), "%+v after %+v", result, count)
	}
	assert.Assert(t, !count.add(crash), "%+v", count)
	count = attemptCount{}
	attempts := 1
	for count.add(refusal) {
		attempts++
	}
	assert.Equal(t, attempts, 2*maxAttempts)
}
