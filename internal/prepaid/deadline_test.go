package prepaid

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Guards against an answer that says that the caller has left (499) to a caller that still
// waits, because its deadline ends while its request waits for tokens.
func TestDeadlineWhileWaitingForTokensIsNoCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &slowTable{Table: platform.NewMemoryTable()}
		f := startOneRouter(table)
		defer f.stop()
		time.Sleep(time.Second)
		table.delay.Store(int64(140 * time.Millisecond))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := f.managers[0].Reserve(ctx, "t", 50_000)
		assert.Assert(t, errkind.Is(err, errkind.PlatformUnavailable), "%v", err)
		assert.Equal(t, errkind.From(err).Response().Ran, errkind.RanNo)
	})
}
