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

// interruptedTable fails some consecutive calls, and lets a test act while the first of
// them is in progress.
type interruptedTable struct {
	platform.Table
	outage
	during func()

	calls atomic.Int64
}

// outage is a number of consecutive calls to a table that fail.
type outage struct {
	first   int64 // number of the first of them, from 1
	calls   int64
	applies bool // a commit among them is applied
}

func (i *interruptedTable) call() error {
	n := i.calls.Add(1)
	if n == i.first {
		i.during()
	}
	if n >= i.first && n < i.first+i.outage.calls {
		return errkind.New(errkind.PlatformUncertain, "call %d interrupted", n)
	}
	return nil
}

// Get implements platform.Table.
func (i *interruptedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := i.call(); err != nil {
		return platform.Row{}, err
	}
	return i.Table.Get(ctx, key)
}

// Scan implements platform.Table.
func (i *interruptedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := i.call(); err != nil {
		return nil, err
	}
	return i.Table.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (i *interruptedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	err := i.call()
	if err != nil && !i.applies {
		return platform.TxnResult{}, err
	}
	res, commitErr := i.Table.Commit(ctx, txn)
	if err == nil {
		err = commitErr
	}
	return res, err
}

// startPrepaid is the budget of the team in the tests of starts.
const startPrepaid = 40_000

// Requests of the tests of starts.
var (
	ordinary = Need{Tokens: 1000, Rank: 1, Wait: time.Second}
	urgent   = Need{Tokens: 500, Wait: time.Second}
	tooLarge = Need{Tokens: 2 * startPrepaid, Rank: 2, Wait: time.Second}
)

// startCase is an order of the events of a router's start.
type startCase struct {
	waiting []Need // when the first exchange begins
	during  string // what happens in the first call that fails
	stops   bool   // the router stops while the table may still fail
	outage  outage
}

// startCases returns every order of the events of a router's start: the table fails at each
// call of the first exchange.
func startCases() (cases []startCase) {
	const lastCall = 9 // one more than the first exchange makes
	var outages []outage
	for first := range int64(lastCall) {
		for _, calls := range []int64{1, 2, 4, 1000} {
			outages = append(outages, outage{first + 1, calls, false}, outage{first + 1, calls, true})
		}
	}
	for _, waiting := range [][]Need{nil, {ordinary}, {ordinary, ordinary}, {tooLarge}, {ordinary, tooLarge}} {
		for _, during := range []string{"nothing", "ordinary", "urgent", "configuration", "drain", "inspection"} {
			for _, o := range outages {
				cases = append(cases, startCase{waiting, during, false, o}, startCase{waiting, during, true, o})
			}
		}
	}
	return cases
}

// Guards against a decision from totals that were not read yet, which divided by the number
// of stripes before that was known (review/6), and against tokens that are handed out
// before the table has granted them.
func TestStartInterruptedAtEveryCall(t *testing.T) {
	for _, c := range startCases() {
		synctest.Test(t, func(t *testing.T) { c.run(t) })
		if t.Failed() {
			t.Fatalf("failed in %+v", c)
		}
	}
}

func (c startCase) run(t *testing.T) {
	ctx, memory, clock := t.Context(), platform.NewMemoryTable(), newClock()
	table := &interruptedTable{Table: memory, outage: c.outage}
	m := clock.newManager(table, "a", "1", startPrepaid)
	var granted atomic.Int64
	request := func(need Need) {
		go func() {
			if r, err := m.ReserveWithin(ctx, "t", need); err == nil {
				granted.Add(r.tokens)
			}
		}()
		synctest.Wait()
	}
	table.during = func() {
		switch c.during {
		case "ordinary":
			request(ordinary)
		case "urgent":
			request(urgent)
		case "configuration":
			m.SetPrepaid(map[string]int64{"t": startPrepaid, "u": startPrepaid})
		case "drain":
			m.Drain()
		case "inspection":
			m.Inspect("t", 1)
		}
	}
	for _, need := range c.waiting {
		request(need)
	}
	m.round(ctx, false)
	if c.stops {
		m.Close(ctx)
	}

	table.outage.calls = 0 // the table is back
	clock.advance(holdingsScanInterval)
	m.round(ctx, true)
	time.Sleep(2 * time.Second) // the waits have ended
	synctest.Wait()
	total := checkStored(t, memory)
	assert.Assert(t, granted.Load() <= total.Granted+total.ClosedSpent, "%d handed out, %+v granted", granted.Load(), total)
	if !c.stops {
		_, err := m.reserveInRound(ctx, ordinary.Tokens)
		assert.NilError(t, err)
	}
	for range 3 {
		m.Close(ctx)
	}
	assert.Equal(t, checkStored(t, memory).Holders, 0)
}

// Guards against requests that run without a charge before the budget of their team is known.
func TestRequestOfATeamWithAnUnknownBudget(t *testing.T) {
	m := newClock().newManager(platform.NewMemoryTable(), "a", "1", startPrepaid)
	_, err := m.ReserveWithin(t.Context(), "other", ordinary)
	assert.Assert(t, errkind.Is(err, errkind.PlatformUnavailable), "%v", err)
	assert.Equal(t, errkind.From(err).Response().Ran, errkind.RanNo)
	assert.Assert(t, errkind.From(err).RetryAfter > 0)
	_, err = m.ReserveWithin(t.Context(), "other", Need{Tokens: 1, Unlimited: true})
	assert.NilError(t, err)
}
