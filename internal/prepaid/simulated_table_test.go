package prepaid

import (
	"context"
	"strings"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// simulatedTable is a table in memory with latency and limited capacity, for tests
// with a virtual clock.
type simulatedTable struct {
	inner *platform.MemoryTable

	mu        sync.Mutex
	busyUntil map[string]time.Time // end of the last accepted transaction, by part
	commits   int
	conflicts int
	reads     int
	slowness  int // factor of all durations; 0 counts as 1
}

func newSimulatedTable() *simulatedTable {
	return &simulatedTable{inner: platform.NewMemoryTable(), busyUntil: map[string]time.Time{}}
}

// times returns a duration, multiplied while the table is slow. s.mu is held.
func (s *simulatedTable) times(d time.Duration) time.Duration {
	return d * time.Duration(max(s.slowness, 1))
}

// setSlowness changes the factor of all durations.
func (s *simulatedTable) setSlowness(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = factor
}

// tableClient is one router's access to the simulated table.
type tableClient struct {
	shared    *simulatedTable
	routerCtx context.Context // ends with the router

	mu         sync.Mutex
	lastAnswer time.Time
}

// LastReading implements TableClock.
func (c *tableClient) LastReading() (int64, time.Time, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswer.UnixMilli(), c.lastAnswer, c.lastAnswer
}

func (c *tableClient) recordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswer = time.Now()
}

// wait waits for d. It returns the error of ctx if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkRunning returns an error if the router has ended.
func (c *tableClient) checkRunning() error {
	if c.routerCtx.Err() != nil {
		return errkind.New(errkind.PlatformUnavailable, "the router has ended")
	}
	return nil
}

func (c *tableClient) read(ctx context.Context) error {
	if err := c.checkRunning(); err != nil {
		return err
	}
	c.shared.mu.Lock()
	c.shared.reads++
	duration := c.shared.times(tableLatency + partReadTime)
	c.shared.mu.Unlock()
	if err := wait(ctx, duration); err != nil {
		return errkind.Wrap(err, errkind.PlatformUnavailable, "read")
	}
	return nil
}

// Get implements platform.Table.
func (c *tableClient) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := c.read(ctx); err != nil {
		return platform.Row{}, err
	}
	row, err := c.shared.inner.Get(ctx, key)
	c.recordAnswer()
	return row, err
}

// Scan implements platform.Table.
func (c *tableClient) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := c.read(ctx); err != nil {
		return nil, err
	}
	rows, err := c.shared.inner.Scan(ctx, prefix, after, limit)
	c.recordAnswer()
	return rows, err
}

// Commit implements platform.Table.
func (c *tableClient) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := c.checkRunning(); err != nil {
		return platform.TxnResult{}, errkind.Wrap(err, errkind.PlatformUncertain, "commit")
	}
	sharedTable := c.shared
	sharedTable.mu.Lock()
	now := time.Now()
	part, _, _ := strings.Cut(txn.Conditions[0].Key, "/")
	for _, cond := range txn.Conditions {
		if !strings.HasPrefix(cond.Key, part+"/") {
			sharedTable.mu.Unlock()
			return platform.TxnResult{}, errkind.New(errkind.Internal, "transaction spans more than one part")
		}
	}
	queue := max(sharedTable.busyUntil[part].Sub(now), 0)
	if queue > partQueueLimit {
		sharedTable.mu.Unlock()
		return platform.TxnResult{}, errkind.New(errkind.PlatformUnavailable, "queue of the part is full")
	}
	duration := sharedTable.times(partTxnTime)
	sharedTable.busyUntil[part] = now.Add(queue + duration)
	sharedTable.commits++
	sharedTable.mu.Unlock()
	// The write takes effect even if the caller no longer waits.
	type outcome struct {
		res platform.TxnResult
		err error
	}
	done := make(chan outcome, 1)
	time.AfterFunc(tableLatency+queue+duration, func() {
		res, err := sharedTable.inner.Commit(context.Background(), txn)
		sharedTable.mu.Lock()
		if err == nil && !res.Committed {
			sharedTable.conflicts++
		}
		sharedTable.mu.Unlock()
		done <- outcome{res, err}
	})
	select {
	case o := <-done:
		c.recordAnswer()
		return o.res, o.err
	case <-ctx.Done():
		return platform.TxnResult{}, errkind.Wrap(ctx.Err(), errkind.PlatformUncertain, "commit")
	}
}

func (s *simulatedTable) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}
