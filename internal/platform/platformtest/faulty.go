// Package platformtest provides a table with the faults that the platform may
// have: it is down, loses responses of applied writes, or applies writes late.
package platformtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Faults sets how often calls fail. Rates are probabilities per call, from 0 to
// 1.
type Faults struct {
	RefuseRate     float64       // not applied, fails with PlatformUnavailable
	LostAnswerRate float64       // commit applied, fails with PlatformUncertain
	LateApplyRate  float64       // commit fails with PlatformUncertain and is applied before a later call or never
	MaxDelay       time.Duration // longest random delay of a call
}

// FaultyTable injects faults into the calls to a table. It is safe for
// concurrent use.
type FaultyTable struct {
	table platform.Table

	mu               sync.Mutex
	random           *rand.Rand
	faults           Faults
	down             bool
	lateWrites       []platform.Txn // postponed commits, which were reported as uncertain
	nextCommitErrors []error        // returned by the next commits after they are applied
	loseAnswerPrefix string         // the next commit that writes a key with this prefix loses its response, and the table goes down
}

// New wraps a table, at first without faults. The seed determines which calls
// fail.
func New(table platform.Table, seed uint64) *FaultyTable {
	return &FaultyTable{table: table, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetFaults replaces the fault rates.
func (f *FaultyTable) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetDown sets whether the table is down. While it is down, every call fails
// with PlatformUnavailable.
func (f *FaultyTable) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// LoseNextAnswers makes the next n commits fail with PlatformUncertain after
// they are applied.
func (f *FaultyTable) LoseNextAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		f.nextCommitErrors = append(f.nextCommitErrors, errkind.New(errkind.PlatformUncertain, "answer lost"))
	}
}

// LoseAnswerThenFail makes the next commit that writes a key with the prefix
// fail with PlatformUncertain after it is applied. From then on the table is
// down.
func (f *FaultyTable) LoseAnswerThenFail(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswerPrefix = prefix
}

// IsDown reports whether the table is down.
func (f *FaultyTable) IsDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// ApplyLateWrites applies all postponed writes whose conditions hold.
func (f *FaultyTable) ApplyLateWrites(ctx context.Context) error {
	f.mu.Lock()
	lateWrites := f.lateWrites
	f.lateWrites = nil
	f.mu.Unlock()
	for _, txn := range lateWrites {
		if _, err := f.table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	return nil
}

// beforeCall randomly applies a postponed write and delays the call. It returns
// an error if the call is refused.
func (f *FaultyTable) beforeCall(ctx context.Context) error {
	f.mu.Lock()
	var lateWrite *platform.Txn
	if len(f.lateWrites) > 0 && f.random.Float64() < 0.5 {
		lateWrite = &f.lateWrites[0]
		f.lateWrites = f.lateWrites[1:]
	}
	refused := f.down || f.random.Float64() < f.faults.RefuseRate
	delay := time.Duration(f.random.Float64() * float64(f.faults.MaxDelay))
	f.mu.Unlock()
	if lateWrite != nil {
		if _, err := f.table.Commit(ctx, *lateWrite); err != nil {
			return err
		}
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	if refused {
		return errkind.New(errkind.PlatformUnavailable, "table is down")
	}
	return nil
}

// Get implements platform.Table.
func (f *FaultyTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := f.beforeCall(ctx); err != nil {
		return platform.Row{}, err
	}
	return f.table.Get(ctx, key)
}

// Scan implements platform.Table.
func (f *FaultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := f.beforeCall(ctx); err != nil {
		return nil, err
	}
	return f.table.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (f *FaultyTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := f.beforeCall(ctx); err != nil {
		return platform.TxnResult{}, err
	}
	lostAnswerErr, postpone := f.drawCommitFault(txn)
	if postpone {
		return platform.TxnResult{}, errkind.New(errkind.PlatformUncertain, "no answer")
	}
	result, err := f.table.Commit(ctx, txn)
	if err == nil && lostAnswerErr != nil {
		return platform.TxnResult{}, lostAnswerErr
	}
	return result, err
}

func writesPrefix(txn platform.Txn, prefix string) bool {
	return slices.ContainsFunc(txn.Puts, func(p platform.Put) bool { return strings.HasPrefix(p.Key, prefix) })
}

// drawCommitFault chooses the fault of a commit: the error to return after it is
// applied, or to postpone it.
func (f *FaultyTable) drawCommitFault(txn platform.Txn) (lostAnswerErr error, postpone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.nextCommitErrors) > 0 {
		lostAnswerErr, f.nextCommitErrors = f.nextCommitErrors[0], f.nextCommitErrors[1:]
		return lostAnswerErr, false
	}
	if f.loseAnswerPrefix != "" && writesPrefix(txn, f.loseAnswerPrefix) {
		f.loseAnswerPrefix = ""
		f.down = true
		return errkind.New(errkind.PlatformUncertain, "answer lost"), false
	}
	draw := f.random.Float64()
	switch {
	case draw < f.faults.LateApplyRate:
		f.lateWrites = append(f.lateWrites, txn)
		return nil, true
	case draw < f.faults.LateApplyRate+f.faults.LostAnswerRate:
		return errkind.New(errkind.PlatformUncertain, "answer lost"), false
	}
	return nil, false
}
