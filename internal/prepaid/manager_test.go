package prepaid

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/platform/platformtest"
)

// testStripes is the number of stripes in the tests that do not choose another one.
const testStripes = 4

// clock is the clock of the routers and of the table in a test.
type clock struct {
	mu      sync.Mutex
	current time.Time
}

func newClock() *clock { return &clock{current: time.Unix(1000, 0)} }

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = c.current.Add(d)
}

// LastReading implements TableClock.
func (c *clock) LastReading() (int64, time.Time, time.Time) {
	now := c.now()
	return now.UnixMilli(), now, now
}

func (c *clock) newManager(table platform.Table, host, incarnation string, prepaid int64) *Manager {
	m := New(Options{
		Table: table, Host: host, Incarnation: incarnation, Stripes: testStripes, Logger: slog.New(slog.DiscardHandler),
		Clock: c.now, TableClock: c, Started: c.now(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	m.SetPrepaid(map[string]int64{"t": prepaid})
	return m
}

// reserveLocal reserves tokens of team t from the local share, without the table.
// It returns nil if the share does not cover them.
func (m *Manager) reserveLocal(tokens int64) *Reservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.team("t")
	t.demand.Add(m.opt.Clock(), tokens)
	if !m.tryReserve(t, tokens) {
		return nil
	}
	return &Reservation{manager: m, team: t, tokens: tokens}
}

// reserveInRound reserves tokens of team t in a round of exchanges with the table.
func (m *Manager) reserveInRound(ctx context.Context, tokens int64) (*Reservation, error) {
	m.mu.Lock()
	t := m.team("t")
	w := &waiter{tokens: tokens, done: make(chan error, 1)}
	t.waiters = append(t.waiters, w)
	m.mu.Unlock()
	m.round(ctx, false)
	if err := <-w.done; err != nil {
		return nil, err
	}
	return &Reservation{manager: m, team: t, tokens: tokens}, nil
}

// checkStored checks the stored stripes of team t's budget against the stored
// holdings and returns their sum.
func checkStored(t assert.TestingT, table platform.Table) (sum budget.Total) {
	row, err := table.Get(context.Background(), layoutKey)
	assert.NilError(t, err)
	stripes, err := decodeLayout(row.Value)
	assert.NilError(t, err)
	for stripe := range stripes {
		total := readTotal(t, table, stripe, "t")
		rows, err := platform.ScanAll(context.Background(), table, stripePrefix(stripe)+holdingPrefix)
		assert.NilError(t, err)
		var granted, reported int64
		holders := 0
		for _, row := range rows {
			var h budget.Holding
			assert.NilError(t, decodeRow(row.Value, &h))
			if g, ok := h.Grants["t"]; ok {
				granted += g.Granted
				reported += g.Reported
				holders++
			}
		}
		assert.Equal(t, total.Granted, granted)
		assert.Equal(t, total.Settled, reported)
		assert.Equal(t, total.Holders, holders)
		assert.NilError(t, total.Check())
		sum = sum.Add(total)
	}
	for receiver := range stripes {
		total := readTotal(t, table, receiver, "t")
		for sender := range stripes {
			sent := readTotal(t, table, sender, "t").Sent.Of(receiver)
			assert.Assert(t, total.Taken.Of(sender) <= sent, "%d of %d taken", total.Taken.Of(sender), sent)
		}
	}
	return sum
}

// Guards against a budget that is overspent because tokens are granted twice, or
// count as free again although a router has spent them. That may happen when answers
// are lost, writes take effect late, time passes, or routers are killed at any
// moment and start again on their host, each time with another setting of the number of
// stripes.
func TestNoOverspend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		const prepaid = 300_000
		memory := platform.NewMemoryTable()
		table := platformtest.New(memory, rapid.Uint64().Draw(t, "seed"))
		table.SetFaults(platformtest.Faults{RefuseRate: 0.1, LostAnswerRate: 0.2, LateApplyRate: 0.2})
		c := newClock()
		var managers []*Manager
		starts := 0
		start := func(host int) *Manager {
			starts++
			m := c.newManager(table, fmt.Sprintf("host%d", host), fmt.Sprint(starts), prepaid)
			m.opt.Stripes = rapid.IntRange(1, 6).Draw(t, "stripes")
			return m
		}
		for host := range 3 {
			managers = append(managers, start(host))
		}
		var spent int64
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			c.advance(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond)
			host := rapid.IntRange(0, 2).Draw(t, "host")
			m := managers[host]
			switch rapid.SampledFrom([]string{"spend", "spend", "spend", "round", "round", "kill", "stop"}).Draw(t, "step") {
			case "spend":
				tokens := rapid.Int64Range(1, 15_000).Draw(t, "tokens")
				if r := m.reserveLocal(tokens); r != nil {
					charged := rapid.Int64Range(0, tokens).Draw(t, "charged")
					r.Settle(charged)
					spent += charged
				}
			case "round":
				m.round(ctx, true)
			case "kill":
				managers[host] = start(host)
			case "stop":
				m.Close(ctx)
				managers[host] = start(host)
			}
			if spent > prepaid {
				t.Fatalf("spent %d of %d", spent, prepaid)
			}
		}
		table.SetFaults(platformtest.Faults{})
		assert.NilError(t, table.ApplyLateWrites(ctx))
		for host, m := range managers {
			m.round(ctx, true)
			m.Close(ctx)
			managers[host] = start(host)
			managers[host].round(ctx, true)
		}
		c.advance(holdingsScanInterval) // the next rounds find late writes of ended processes
		for _, m := range managers {
			m.round(ctx, true)
			m.Close(ctx)
		}
		total := checkStored(t, table)
		if total.ClosedSpent < spent {
			t.Fatalf("%d closed of %d spent", total.ClosedSpent, spent)
		}
		if total.Holders != 0 {
			t.Fatalf("%d holdings are left", total.Holders)
		}
	})
}

// Guards against refusals of requests that the budget covers, right after a power
// failure of all routers. They come about if too many of the tokens that the ended
// processes held are written off.
func TestBudgetIsThereAfterAllRoutersDied(t *testing.T) {
	ctx := context.Background()
	table := platform.NewMemoryTable()
	c := newClock()
	const prepaid, request = 1_000_000, 5_000
	var managers []*Manager
	for host := range 5 {
		managers = append(managers, c.newManager(table, fmt.Sprint("host", host), "1", prepaid))
	}
	var spent int64
	for range 50 { // five seconds with 20 requests per second
		for _, m := range managers[:2] {
			r := m.reserveLocal(request)
			if r == nil {
				var err error
				r, err = m.reserveInRound(ctx, request)
				assert.NilError(t, err)
			}
			r.Settle(request)
			spent += request
			m.round(ctx, true)
		}
		c.advance(100 * time.Millisecond)
	}
	c.advance(time.Second)
	var left int64
	for host := range 5 {
		m := c.newManager(table, fmt.Sprint("host", host), "2", prepaid)
		m.round(ctx, true)
	}
	total := checkStored(t, table)
	left = total.Left()
	assert.Assert(t, left >= prepaid-spent-400_000, "%d left after %d spent, %d lost", left, spent, total.Lost)
}

// Guards against a final refusal (BudgetExhausted) while the budget may still cover
// the request, because another request has reserved tokens that it may not consume.
// Also guards against waiting for a table that is known to be unreachable.
func TestRefusals(t *testing.T) {
	ctx := context.Background()
	memory := platform.NewMemoryTable()
	table := platformtest.New(memory, 1)
	c := newClock()
	a := c.newManager(table, "a", "1", 100_000)
	run, stop := context.WithCancel(ctx)
	defer stop()
	go a.Run(run)
	r, err := a.Reserve(ctx, "t", 60_000)
	assert.NilError(t, err)
	_, err = a.Reserve(ctx, "t", 60_000)
	assert.Assert(t, errkind.Is(err, errkind.BudgetBusy), "the first request may leave enough: %v", err)
	r.Settle(60_000)
	a.round(ctx, true)
	_, err = a.Reserve(ctx, "t", 60_000)
	assert.Assert(t, errkind.Is(err, errkind.BudgetExhausted), "%v", err)
	r, err = a.Reserve(ctx, "t", 30_000)
	assert.NilError(t, err)
	r.Settle(0)
	r, err = a.ReserveWithin(ctx, "other", Need{Tokens: 60_000, Wait: MinMaxWait, Unlimited: true})
	assert.NilError(t, err, "a team without a limit")
	r.Settle(1)
	a.SetPrepaid(map[string]int64{"t": 200_000})
	r, err = a.Reserve(ctx, "t", 100_000)
	assert.NilError(t, err, "after a top-up")
	r.Settle(0)

	table.SetDown(true)
	c.advance(2 * time.Second)
	a.round(ctx, true)
	_, err = a.Reserve(ctx, "t", 150_000)
	assert.Assert(t, errkind.Is(err, errkind.PlatformUnavailable), "%v", err)
	assert.Equal(t, errkind.From(err).Response().Ran, errkind.RanNo)
}

// Guards against a share that a stopped router keeps, because the answer to the
// write that returns the share is lost.
func TestCloseReturnsTheShare(t *testing.T) {
	ctx := context.Background()
	table := platformtest.New(platform.NewMemoryTable(), 1)
	c := newClock()
	m := c.newManager(table, "a", "1", 100_000)
	r, err := m.reserveInRound(ctx, 1000)
	assert.NilError(t, err)
	r.Settle(700)
	table.LoseNextAnswers(1)
	m.Close(ctx)
	total := checkStored(t, table)
	assert.Equal(t, total.Holders, 0)
	assert.Equal(t, total.ClosedSpent, int64(700))
	assert.Equal(t, total.Lost, int64(0))
}

// readTotal reads the row of one stripe of a team's budget, zero if there is none.
func readTotal(t assert.TestingT, table platform.Table, stripe int, team string) (total budget.Total) {
	row, err := table.Get(context.Background(), totalKey(stripe, team))
	if errkind.Is(err, errkind.NotFound) {
		return total
	}
	assert.NilError(t, err)
	assert.NilError(t, decodeRow(row.Value, &total))
	return total
}

// Guards against a successor that loses or duplicates the tokens that its
// predecessor held. The answer to the takeover is lost, and the predecessor's last
// write comes late.
func TestSuccessorTakesOverTheHolding(t *testing.T) {
	ctx := context.Background()
	table := platformtest.New(platform.NewMemoryTable(), 1)
	c := newClock()
	predecessor := c.newManager(table, "a", "1", 100_000)
	r, err := predecessor.reserveInRound(ctx, 5000)
	assert.NilError(t, err)
	r.Settle(4000)
	predecessor.round(ctx, true)
	before := checkStored(t, table)
	c.advance(time.Second)
	successor := c.newManager(table, "a", "2", 100_000)
	table.LoseNextAnswers(1)
	successor.round(ctx, true)
	r, err = successor.reserveInRound(ctx, 3000)
	assert.NilError(t, err)
	r.Settle(3000)
	assert.Equal(t, checkStored(t, table).Holders, 1)
	assert.Equal(t, checkStored(t, table).ClosedSpent, int64(0), "nothing went back to the total")
	_, err = predecessor.reserveInRound(ctx, 12_000)
	assert.Assert(t, err != nil, "the predecessor's holding is gone")
	assert.Assert(t, predecessor.reserveLocal(1) == nil, "the predecessor has nothing left")
	successor.Close(ctx)
	total := checkStored(t, table)
	assert.Equal(t, total.Holders, 0)
	assert.Equal(t, total.Spent(), int64(7000))
	assert.Assert(t, total.Lost <= before.Granted-4000, "%d lost", total.Lost)
	assert.Equal(t, total.Left(), total.ToppedUp-7000-total.Lost)
}

// Guards against tokens that two processes spend. A successor on the host writes off a
// holding of more teams than fit into one transaction, so it stores the rest with the
// next sequence number. The process that it takes for dead has sent an operation with
// the same number, whose result is unknown, and takes its own for applied.
func TestPartlyClosedHoldingFencesItsRouter(t *testing.T) {
	ctx := context.Background()
	const prepaid, teams = 300_000, maxTeamsPerTxn + 1
	totals := map[string]int64{}
	for i := range teams - 1 {
		totals[fmt.Sprint("team", i)] = prepaid
	}
	c := newClock()
	table := platform.NewMemoryTable()
	olderTable := platformtest.New(table, 1)
	older := c.newManager(olderTable, "host", "1", prepaid)
	newer := c.newManager(table, "host", "2", prepaid)
	for _, m := range []*Manager{older, newer} {
		m.SetPrepaid(totals)
		assert.Assert(t, m.refreshHome(ctx, 0)) // neither sees a holding of the other
	}
	for _, m := range []*Manager{newer, older} {
		for len(m.holding.Grants) < teams {
			m.round(ctx, true)
			c.advance(time.Second)
		}
	}
	reservation, err := older.reserveInRound(ctx, minSettleTokens)
	assert.NilError(t, err)
	reservation.Settle(minSettleTokens)
	olderTable.SetFaults(platformtest.Faults{LateApplyRate: 1})
	assert.Equal(t, older.exchangeOnce(ctx, true), exchangeFailed)
	assert.Assert(t, older.pendingOp != nil)

	olderTable.SetFaults(platformtest.Faults{})
	c.advance(holdingsScanInterval)
	assert.Assert(t, newer.refreshHome(ctx, 0))
	assert.Equal(t, len(newer.predecessors), 1)
	assert.Equal(t, newer.exchangeOnce(ctx, true), exchangeAgain)
	assert.Equal(t, len(newer.predecessors[0].holding.Grants), 1, "one transaction must not close all teams")

	_, err = older.reserveInRound(ctx, 1)
	assert.Assert(t, errkind.Is(err, errkind.PlatformUnavailable), "%v", err)
	newer.round(ctx, true)
	assert.Equal(t, len(newer.predecessors), 0)
	checkStored(t, table)
}
