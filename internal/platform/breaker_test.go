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

const fastProbe = 10 * time.Millisecond

// Guards against an outage that costs each call a full timeout, and against a
// breaker that stays open after the table has recovered.
func TestBreakerOpensAndRecovers(t *testing.T) {
	ctx := context.Background()
	direct := newPath(platform.NewMemoryTable(), errkind.PlatformUncertain)
	breaker := platform.NewBreaker(direct, platform.BreakerOptions{ProbeInterval: fastProbe})
	defer breaker.Close()
	for range platform.DefaultFailureThreshold {
		_, err := breaker.Commit(ctx, putOne)
		assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain)
	}
	assert.Assert(t, breaker.IsOpen())
	_, err := breaker.Commit(ctx, putOne)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "a call that was not sent is not uncertain")

	calls := direct.calls.Load()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return check(direct.calls.Load() > calls, "no probe yet")
	}, poll.WithDelay(fastProbe))
	assert.Assert(t, breaker.IsOpen(), "a failed probe keeps the breaker open")
	direct.fail("")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return check(!breaker.IsOpen(), "still open")
	}, poll.WithDelay(fastProbe))
	_, err = breaker.Commit(ctx, putOne)
	assert.NilError(t, err)
}

// Guards against single failures, and failures that their callers caused,
// opening the breaker.
func TestBreakerStaysClosed(t *testing.T) {
	direct := newPath(platform.NewMemoryTable(), errkind.PlatformUnavailable)
	breaker := platform.NewBreaker(direct, platform.BreakerOptions{})
	defer breaker.Close()
	ctx := context.Background()
	for range 2 * platform.DefaultFailureThreshold {
		direct.fail(errkind.PlatformUnavailable)
		_, _ = breaker.Get(ctx, "k")
		direct.fail("")
		_, _ = breaker.Get(ctx, "k")
	}
	assert.Assert(t, !breaker.IsOpen())

	direct.fail(errkind.PlatformUnavailable)
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	for range 2 * platform.DefaultFailureThreshold {
		_, _ = breaker.Get(canceled, "k")
	}
	assert.Assert(t, !breaker.IsOpen())
}

// Guards against a rate limit that the breaker turns into an outage.
func TestBreakerIgnoresRateLimit(t *testing.T) {
	client := clientOf(t, answer(429, platform.HeaderNotApplied, ""))
	breaker := platform.NewBreaker(client, platform.BreakerOptions{})
	defer breaker.Close()
	for range 2 * platform.DefaultFailureThreshold {
		_, err := breaker.Get(context.Background(), "k")
		assert.Assert(t, platform.RateLimited(err))
	}
	assert.Assert(t, !breaker.IsOpen())
}

func check(ok bool, otherwise string) poll.Result {
	if ok {
		return poll.Success()
	}
	return poll.Continue("%s", otherwise)
}
