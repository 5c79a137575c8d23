package platform

import (
	"context"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Defaults of BreakerOptions.
const (
	DefaultFailureThreshold = 3
	DefaultProbeInterval    = 500 * time.Millisecond
)

// ProbeKey is the row that probes read. It need not exist.
const ProbeKey = "config/head"

// BreakerOptions configures a Breaker.
type BreakerOptions struct {
	FailureThreshold int           // consecutive failures that open the breaker; DefaultBreakerFailures if 0
	ProbeInterval    time.Duration // DefaultProbeInterval if 0
}

// Breaker is a Table that fails at once with errkind.PlatformUnavailable while
// the table behind it is out, so that a long outage does not add the full
// timeout to each call. While it is open, one goroutine reads ProbeKey every
// ProbeInterval and closes it at the first success.
type Breaker struct {
	table   Table
	options BreakerOptions
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	probes  sync.WaitGroup

	mu       sync.Mutex
	failures int // consecutive
	open     bool
	closed   bool // Close was called
}

var _ Table = (*Breaker)(nil)

// NewBreaker returns a closed breaker in front of table.
func NewBreaker(table Table, o BreakerOptions) *Breaker {
	if o.FailureThreshold <= 0 {
		o.FailureThreshold = DefaultFailureThreshold
	}
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = DefaultProbeInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Breaker{table: table, options: o, ctx: ctx, cancel: cancel}
}

// Close ends a running probe and waits for it.
func (b *Breaker) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.probes.Wait()
}

// IsOpen reports whether calls fail at once.
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Get implements Table.
func (b *Breaker) Get(ctx context.Context, key string) (Row, error) {
	if err := b.allow(); err != nil {
		return Row{}, err
	}
	row, err := b.table.Get(ctx, key)
	b.observe(ctx, err)
	return row, err
}

// Scan implements Table.
func (b *Breaker) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := b.allow(); err != nil {
		return nil, err
	}
	rows, err := b.table.Scan(ctx, prefix, after, limit)
	b.observe(ctx, err)
	return rows, err
}

// Commit implements Table.
func (b *Breaker) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	if err := b.allow(); err != nil {
		return TxnResult{}, err
	}
	result, err := b.table.Commit(ctx, txn)
	b.observe(ctx, err)
	return result, err
}

func (b *Breaker) allow() error {
	if b.IsOpen() {
		return errkind.New(errkind.PlatformUnavailable, "circuit breaker is open")
	}
	return nil
}

// observe counts the outcome of a call. A call that its caller cancelled says
// nothing about the table.
func (b *Breaker) observe(ctx context.Context, err error) {
	failed := isOutage(err)
	if failed && ctx.Err() == context.Canceled {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed {
		b.failures = 0
		return
	}
	b.failures++
	if b.open || b.closed || b.failures < b.options.FailureThreshold {
		return
	}
	b.open = true
	b.probes.Add(1)
	go b.probe()
}

// isOutage reports whether err shows that the table cannot be used. A rate
// limit does not: failing all calls at once would turn it into an outage.
func isOutage(err error) bool {
	if RateLimited(err) {
		return false
	}
	return errkind.Is(err, errkind.PlatformUnavailable) || errkind.Is(err, errkind.PlatformUncertain)
}

func (b *Breaker) probe() {
	defer b.probes.Done()
	ticker := time.NewTicker(b.options.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := b.table.Get(b.ctx, ProbeKey); !isOutage(err) {
			b.reset()
			return
		}
	}
}

func (b *Breaker) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = false
	b.failures = 0
}
