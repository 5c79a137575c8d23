// Package platformtest provides a table that misbehaves as the platform may:
// it is down, loses answers after applying a write, and applies writes late.
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

// Faults are the probabilities of faults per call, from 0 to 1.
type Faults struct {
	RefuseRate     float64       // known not applied: PlatformUnavailable
	LostAnswerRate float64       // applied, answered as PlatformUncertain
	LateApplyRate  float64       // answered as PlatformUncertain, applied before a later call, or never
	MaxDelay       time.Duration // longest delay of a call
}

// FaultyTable wraps a table. It is safe for concurrent use.
type FaultyTable struct {
	inner platform.Table

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	down   bool
	late   []platform.Txn
	next   []error // scripted results of the next commits
	loseOn string  // prefix of a key; the commit that writes one loses its answer
}

// New returns a table without faults over inner. The seed determines which
// calls fail.
func New(inner platform.Table, seed uint64) *FaultyTable {
	return &FaultyTable{inner: inner, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetFaults replaces the probabilities.
func (f *FaultyTable) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetDown makes every call fail as PlatformUnavailable, or none.
func (f *FaultyTable) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// LoseNextAnswers makes the next n commits lose their answers after applying.
func (f *FaultyTable) LoseNextAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		f.next = append(f.next, errkind.New(errkind.PlatformUncertain, "answer lost"))
	}
}

// LoseAnswerThenFail makes the next commit that writes a key with the prefix lose
// its answer after applying; from then on the table is down.
func (f *FaultyTable) LoseAnswerThenFail(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseOn = prefix
}

// IsDown reports whether the table is down.
func (f *FaultyTable) IsDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// ApplyLateWrites applies all writes that are still on their way, as far as their
// conditions hold.
func (f *FaultyTable) ApplyLateWrites(ctx context.Context) error {
	f.mu.Lock()
	late := f.late
	f.late = nil
	f.mu.Unlock()
	for _, txn := range late {
		if _, err := f.inner.Commit(ctx, txn); err != nil {
			return err
		}
	}
	return nil
}

// enter applies a late write now and then and reports whether the call is
// refused.
func (f *FaultyTable) enter(ctx context.Context) error {
	f.mu.Lock()
	var late *platform.Txn
	if len(f.late) > 0 && f.random.Float64() < 0.5 {
		late = &f.late[0]
		f.late = f.late[1:]
	}
	refused := f.down || f.random.Float64() < f.faults.RefuseRate
	delay := time.Duration(f.random.Float64() * float64(f.faults.MaxDelay))
	f.mu.Unlock()
	if late != nil {
		if _, err := f.inner.Commit(ctx, *late); err != nil {
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
	if err := f.enter(ctx); err != nil {
		return platform.Row{}, err
	}
	return f.inner.Get(ctx, key)
}

// Scan implements platform.Table.
func (f *FaultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	return f.inner.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (f *FaultyTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := f.enter(ctx); err != nil {
		return platform.TxnResult{}, err
	}
	lose, postpone := f.draw(txn)
	if postpone {
		return platform.TxnResult{}, errkind.New(errkind.PlatformUncertain, "no answer")
	}
	res, err := f.inner.Commit(ctx, txn)
	if err == nil && lose != nil {
		return platform.TxnResult{}, lose
	}
	return res, err
}

func writes(txn platform.Txn, prefix string) bool {
	return slices.ContainsFunc(txn.Puts, func(p platform.Put) bool { return strings.HasPrefix(p.Key, prefix) })
}

// draw decides the fate of a commit.
func (f *FaultyTable) draw(txn platform.Txn) (lose error, postpone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.next) > 0 {
		lose, f.next = f.next[0], f.next[1:]
		return lose, false
	}
	if f.loseOn != "" && writes(txn, f.loseOn) {
		f.loseOn = ""
		f.down = true
		return errkind.New(errkind.PlatformUncertain, "answer lost"), false
	}
	p := f.random.Float64()
	switch {
	case p < f.faults.LateApplyRate:
		f.late = append(f.late, txn)
		return nil, true
	case p < f.faults.LateApplyRate+f.faults.LostAnswerRate:
		return errkind.New(errkind.PlatformUncertain, "answer lost"), false
	}
	return nil, false
}
