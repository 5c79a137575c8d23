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

// ProbeKey is the key that probes read. The row need not exist.
const ProbeKey = "config/head"

// BreakerOptions configures a Breaker.
type BreakerOptions struct {
	FailureThreshold int           // consecutive failures that open the breaker; DefaultFailureThreshold if 0
	ProbeInterval    time.Duration // interval of probes while the breaker is open; DefaultProbeInterval if 0
}

// Breaker is a circuit breaker for a Table. While it is open, calls fail
// immediately with errkind.PlatformUnavailable, so that a long outage does not
// cost each call the full timeout. One goroutine then reads ProbeKey every
// ProbeInterval and closes the breaker at the first success.
type Breaker struct {
	table   Table
	options BreakerOptions
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	probes  sync.WaitGroup

	mu                  sync.Mutex
	consecutiveFailures int
	open                bool // calls fail immediately
	stopped             bool // set by Close
}

var _ Table = (*Breaker)(nil)

// NewBreaker returns a closed breaker for the table.
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

// Close cancels a running probe and waits until it has ended.
func (b *Breaker) Close() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.cancel()
	b.probes.Wait()
}

// IsOpen reports whether calls fail immediately.
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Get implements Table.
func (b *Breaker) Get(ctx context.Context, key string) (Row, error) {
	if err := b.refuseIfOpen(); err != nil {
		return Row{}, err
	}
	row, err := b.table.Get(ctx, key)
	b.recordOutcome(ctx, err)
	return row, err
}

// Scan implements Table.
func (b *Breaker) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := b.refuseIfOpen(); err != nil {
		return nil, err
	}
	rows, err := b.table.Scan(ctx, prefix, after, limit)
	b.recordOutcome(ctx, err)
	return rows, err
}

// Commit implements Table.
func (b *Breaker) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	if err := b.refuseIfOpen(); err != nil {
		return TxnResult{}, err
	}
	result, err := b.table.Commit(ctx, txn)
	b.recordOutcome(ctx, err)
	return result, err
}

func (b *Breaker) refuseIfOpen() error {
	if b.IsOpen() {
		return errkind.New(errkind.PlatformUnavailable, "circuit breaker is open")
	}
	return nil
}

// recordOutcome counts consecutive failures and opens the breaker at the
// threshold. A failure that the caller caused by canceling is not counted.
func (b *Breaker) recordOutcome(ctx context.Context, err error) {
	failed := isOutage(err)
	if failed && ctx.Err() == context.Canceled {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed {
		b.consecutiveFailures = 0
		return
	}
	b.consecutiveFailures++
	if b.open || b.stopped || b.consecutiveFailures < b.options.FailureThreshold {
		return
	}
	b.open = true
	b.probes.Add(1)
	go b.probeUntilUp()
}

// isOutage reports whether err shows that the table is unusable. A rate
// limit does not count, because an open breaker would turn it into an outage.
func isOutage(err error) bool {
	if RateLimited(err) {
		return false
	}
	return errkind.Is(err, errkind.PlatformUnavailable) || errkind.Is(err, errkind.PlatformUncertain)
}

func (b *Breaker) probeUntilUp() {
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
			b.closeCircuit()
			return
		}
	}
}

func (b *Breaker) closeCircuit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = false
	b.consecutiveFailures = 0
}
