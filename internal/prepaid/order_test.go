package prepaid

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Guards against the rest of a budget that goes to whoever comes first: 40 requests of
// 1,000 tokens and one of 30,000 compete for 20,000 tokens while an exchange is under way.
// The urgent ones must be served, although they come last, and the large one must not hold
// up the others.
func TestRestOfABudgetGoesToTheUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &slowTable{Table: platform.NewMemoryTable()}
		f := startOneRouter(table)
		defer f.stop()
		time.Sleep(time.Second)
		r, err := f.managers[0].Reserve(context.Background(), "t", 80_000)
		assert.NilError(t, err)
		r.Settle(80_000)
		table.delay.Store(int64(100 * time.Millisecond))
		var served [2]atomic.Int64 // by rank
		send := func(rank int, tokens int64) {
			f.inProgress.Add(1)
			go func() {
				defer f.inProgress.Done()
				if _, err := f.managers[0].ReserveWithin(context.Background(), "t", Need{Tokens: tokens, Rank: rank, Wait: 2 * time.Second}); err == nil {
					served[rank].Add(1)
				}
			}()
		}
		send(1, 1000)
		time.Sleep(10 * time.Millisecond) // the exchange is under way
		send(1, 30_000)
		for range 24 {
			send(1, 1000)
		}
		for range 15 {
			send(0, 1000)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, served[0].Load(), int64(15))
		assert.Equal(t, served[1].Load(), int64(5))
	})
}

// silentTable gives no answer to a number of calls.
type silentTable struct {
	platform.Table
	silent atomic.Int64
}

func (s *silentTable) hangs(ctx context.Context) bool {
	if s.silent.Add(-1) < 0 {
		return false
	}
	<-ctx.Done()
	return true
}

func (s *silentTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if s.hangs(ctx) {
		return nil, errkind.New(errkind.PlatformUnavailable, "no answer")
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

func (s *silentTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if s.hangs(ctx) {
		return platform.TxnResult{}, errkind.New(errkind.PlatformUncertain, "no answer")
	}
	return s.Table.Commit(ctx, txn)
}

// Guards against requests that are refused because the first path to the table gives no
// answer although the second would in time: half of an objective of 0.4 s. Requests that
// come in between must wait for the second too.
func TestSecondPathIsTriedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &silentTable{Table: platform.NewMemoryTable()}
		f := startOneRouter(table)
		defer f.stop()
		time.Sleep(time.Second)
		table.silent.Store(1)
		var served atomic.Int64
		for range 5 {
			f.inProgress.Add(1)
			go func() {
				defer f.inProgress.Done()
				if _, err := f.managers[0].ReserveWithin(context.Background(), "t", Need{Tokens: 10_000, Wait: 200 * time.Millisecond}); err == nil {
					served.Add(1)
				}
			}()
			time.Sleep(35 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Equal(t, served.Load(), int64(5))
	})
}
