package platform_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

const shortProbeInterval = 10 * time.Millisecond

// Guards against a breaker that still sends calls to the unusable table, so that
// each takes the full timeout, and against one that stays open after the table has
// recovered.
func TestBreakerOpensAndRecovers(t *testing.T) {
	ctx := context.Background()
	table := newFailingTable(platform.NewMemoryTable(), errkind.PlatformUncertain)
	breaker := platform.NewBreaker(table, platform.BreakerOptions{ProbeInterval: shortProbeInterval})
	defer breaker.Close()
	for range platform.DefaultFailureThreshold {
		_, err := breaker.Commit(ctx, putTxn)
		assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain)
	}
	assert.Assert(t, breaker.IsOpen())
	_, err := breaker.Commit(ctx, putTxn)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "a call that was not sent must fail with PlatformUnavailable, not PlatformUncertain")

	callsBefore := table.calls.Load()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return pollResult(table.calls.Load() > callsBefore, "no probe yet")
	}, poll.WithDelay(shortProbeInterval))
	assert.Assert(t, breaker.IsOpen(), "a failed probe must keep the breaker open")
	table.failWith("")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return pollResult(!breaker.IsOpen(), "still open")
	}, poll.WithDelay(shortProbeInterval))
	_, err = breaker.Commit(ctx, putTxn)
	assert.NilError(t, err)
}

// Guards against a breaker that opens after failures with a success after each, or
// after failures that the callers caused by canceling.
func TestBreakerStaysClosed(t *testing.T) {
	table := newFailingTable(platform.NewMemoryTable(), errkind.PlatformUnavailable)
	breaker := platform.NewBreaker(table, platform.BreakerOptions{})
	defer breaker.Close()
	ctx := context.Background()
	for range 2 * platform.DefaultFailureThreshold {
		table.failWith(errkind.PlatformUnavailable)
		_, _ = breaker.Get(ctx, "k")
		table.failWith("")
		_, _ = breaker.Get(ctx, "k")
	}
	assert.Assert(t, !breaker.IsOpen())

	table.failWith(errkind.PlatformUnavailable)
	canceledCtx, cancel := context.WithCancel(ctx)
	cancel()
	for range 2 * platform.DefaultFailureThreshold {
		_, _ = breaker.Get(canceledCtx, "k")
	}
	assert.Assert(t, !breaker.IsOpen())
}

// Guards against a breaker that turns a rate limit into an outage. It would do so
// by counting 429 responses as failures and then refusing all calls.
func TestBreakerIgnoresRateLimit(t *testing.T) {
	client := newClient(t, respondWith(429, platform.HeaderNotApplied, ""))
	breaker := platform.NewBreaker(client, platform.BreakerOptions{})
	defer breaker.Close()
	for range 2 * platform.DefaultFailureThreshold {
		_, err := breaker.Get(context.Background(), "k")
		assert.Assert(t, platform.RateLimited(err))
	}
	assert.Assert(t, !breaker.IsOpen())
}

func pollResult(ok bool, message string) poll.Result {
	if ok {
		return poll.Success()
	}
	return poll.Continue("%s", message)
}
