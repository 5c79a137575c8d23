package prepaid

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// probedTable answers through a relay in 10 ms, except for one read a second, which tries
// the direct path and gets no answer.
type probedTable struct {
	platform.Table
	mu       sync.Mutex
	cut      bool
	probedAt time.Time
	longest  time.Duration // probe
	hung     time.Duration // all probes
}

func (p *probedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	began := time.Now()
	p.mu.Lock()
	probes := p.cut && began.Sub(p.probedAt) >= time.Second
	if probes {
		p.probedAt = began
	}
	p.mu.Unlock()
	if probes {
		<-ctx.Done()
		p.mu.Lock()
		p.longest = max(p.longest, time.Since(began))
		p.hung += time.Since(began)
		p.mu.Unlock()
		return nil, errkind.New(errkind.PlatformUnavailable, "no answer")
	}
	time.Sleep(10 * time.Millisecond)
	return p.Table.Scan(ctx, prefix, after, limit)
}

func (p *probedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	time.Sleep(10 * time.Millisecond)
	return p.Table.Commit(ctx, txn)
}

// Guards against a router that gives up most of its time to a direct path without answers
// while a relay answers in 10 ms: the timeouts of the probes must not make those of the
// next probes longer.
func TestProbesOfADeadPathStayShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &probedTable{Table: platform.NewMemoryTable()}
		f := startOneRouter(table)
		defer f.stop()
		f.managers[0].SetPrepaid(map[string]int64{"t": 2_000_000})
		asked, refused := 0, 0
		for i := range 1200 { // a minute with 20 requests of 1,000 tokens a second
			if i == 200 {
				table.mu.Lock()
				table.cut = true
				table.mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
			f.inProgress.Add(1)
			go func() {
				defer f.inProgress.Done()
				r, err := f.managers[0].Reserve(context.Background(), "t", 1000)
				table.mu.Lock()
				defer table.mu.Unlock()
				if asked++; err != nil {
					refused++
					return
				}
				r.Settle(1000)
			}()
		}
		time.Sleep(time.Second)
		table.mu.Lock()
		defer table.mu.Unlock()
		t.Logf("%d asked, %d refused, longest probe %v, all probes %v of 50 s", asked, refused, table.longest, table.hung)
		assert.Assert(t, table.longest <= 500*time.Millisecond, "%v", table.longest)
		assert.Assert(t, refused <= asked/100, "%d of %d refused", refused, asked)
	})
}

// lossyTable gives no answer to one of a number of calls.
type lossyTable struct {
	platform.Table
	calls atomic.Int64
	every int64
}

func (l *lossyTable) lose(ctx context.Context) error {
	if l.calls.Add(1)%l.every == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(10 * time.Millisecond)
	return nil
}
func (l *lossyTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := l.lose(ctx); err != nil {
		return platform.Row{}, err
	}
	return l.Table.Get(ctx, key)
}
func (l *lossyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := l.lose(ctx); err != nil {
		return nil, err
	}
	return l.Table.Scan(ctx, prefix, after, limit)
}
func (l *lossyTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := l.lose(ctx); err != nil {
		return platform.TxnResult{}, err
	}
	return l.Table.Commit(ctx, txn)
}

// Guards against timeouts that grow with each call that is lost although every call that is
// answered takes 10 ms: a call that has timed out says nothing about the duration of a call.
func TestLostCallsDoNotLengthenTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &lossyTable{Table: platform.NewMemoryTable(), every: 10}
		f := startOneRouter(table)
		defer f.stop()
		f.managers[0].SetPrepaid(map[string]int64{"t": 10_000_000})
		var longest time.Duration
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			if r, err := f.managers[0].Reserve(context.Background(), "t", 1000); err == nil {
				r.Settle(1000)
			}
			f.managers[0].mu.Lock()
			if f.managers[0].consecutiveTimeouts == 0 {
				longest = max(longest, f.managers[0].callTimeout())
			}
			f.managers[0].mu.Unlock()
		}
		assert.Assert(t, longest < secondCallTimeout, "the first call may take %v", longest)
	})
}

// Guards against requests that are held for their whole wait in the middle of a long outage
// of the table, although it is known to be unreachable.
func TestRequestsAreRefusedAtOnceThroughALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &slowTable{Table: platform.NewMemoryTable()}
		f := startOneRouter(table)
		defer f.stop()
		time.Sleep(time.Second)
		table.delay.Store(int64(time.Hour))
		r, err := f.managers[0].Reserve(context.Background(), "t", 80_000)
		if err == nil {
			r.Settle(80_000)
		}
		time.Sleep(8 * time.Second)
		held, asked := 0, 0
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			f.inProgress.Add(1)
			began := time.Now()
			_, err := f.managers[0].Reserve(context.Background(), "t", 80_000)
			f.inProgress.Done()
			assert.Assert(t, err != nil)
			asked++
			if time.Since(began) > 100*time.Millisecond {
				held++
			}
		}
		assert.Assert(t, held == 0, "%d of %d were held", held, asked)
	})
}
