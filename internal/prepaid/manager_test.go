package prepaid

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
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

// clock is the time of the routers and of the table in a test.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// LastReading implements TableClock.
func (c *clock) LastReading() (int64, time.Time, time.Time) { return c.now.UnixMilli(), c.now, c.now }

func (c *clock) manager(table platform.Table, host, incarnation string, prepaid int64) *Manager {
	m := New(Options{
		Table: table, Host: host, Incarnation: incarnation, Logger: slog.New(slog.DiscardHandler),
		Clock: func() time.Time { return c.now }, TableClock: c, Started: c.now, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	m.SetPrepaid(map[string]int64{"t": prepaid})
	return m
}

// try reserves without waiting for the table.
func (m *Manager) try(tokens int64) *Reservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.team("t")
	t.demand.Add(m.opt.Clock(), tokens)
	if !m.reserve(t, tokens) {
		return nil
	}
	return &Reservation{m: m, team: t, tokens: tokens}
}

// exchange reserves with a round of the table.
func (m *Manager) exchange(ctx context.Context, tokens int64) (*Reservation, error) {
	m.mu.Lock()
	t := m.team("t")
	w := &waiter{tokens: tokens, done: make(chan error, 1)}
	t.waiters = append(t.waiters, w)
	m.mu.Unlock()
	m.round(ctx, false)
	if err := <-w.done; err != nil {
		return nil, err
	}
	return &Reservation{m: m, team: t, tokens: tokens}, nil
}

// stored reads the sum of the stripes of the team's budget and checks each
// against the holdings.
func stored(t assert.TestingT, table platform.Table) (sum budget.Total) {
	for stripe := range budget.Stripes {
		total := readTotal(t, table, stripe, "t")
		rows, err := platform.ScanAll(context.Background(), table, stripePrefix(stripe)+holdingPrefix)
		assert.NilError(t, err)
		var granted, reported int64
		holders := 0
		for _, row := range rows {
			var h budget.Holding
			assert.NilError(t, json.Unmarshal(row.Value, &h))
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
	for receiver := range budget.Stripes {
		total := readTotal(t, table, receiver, "t")
		for sender := range budget.Stripes {
			sent := readTotal(t, table, sender, "t").Sent[receiver]
			assert.Assert(t, total.Taken[sender] <= sent, "%d of %d taken", total.Taken[sender], sent)
		}
	}
	return sum
}

// Guards against an overspent budget: answers are lost, writes are late, routers
// are killed at any moment and start again on their host, and clocks go on.
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
			return c.manager(table, fmt.Sprintf("host%d", host), fmt.Sprint(starts), prepaid)
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
				if r := m.try(tokens); r != nil {
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
		c.advance(scanEvery) // late writes of ended processes are found by then
		for _, m := range managers {
			m.round(ctx, true)
			m.Close(ctx)
		}
		total := stored(t, table)
		if total.Closed < spent {
			t.Fatalf("%d closed of %d spent", total.Closed, spent)
		}
		if total.Holders != 0 {
			t.Fatalf("%d holdings are left", total.Holders)
		}
	})
}

// Guards against a refusal although the budget covers the request, right after
// a loss of power of all routers.
func TestBudgetIsThereAfterAllRoutersDied(t *testing.T) {
	ctx := context.Background()
	table := platform.NewMemoryTable()
	c := newClock()
	const prepaid, request = 1_000_000, 5_000
	var managers []*Manager
	for host := range 5 {
		managers = append(managers, c.manager(table, fmt.Sprint("host", host), "1", prepaid))
	}
	var spent int64
	for range 50 { // five seconds with 20 requests a second
		for _, m := range managers[:2] {
			r := m.try(request)
			if r == nil {
				var err error
				r, err = m.exchange(ctx, request)
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
		m := c.manager(table, fmt.Sprint("host", host), "2", prepaid)
		m.round(ctx, true)
	}
	total := stored(t, table)
	left = total.Left()
	assert.Assert(t, left >= prepaid-spent-400_000, "%d left after %d spent, %d lost", left, spent, total.Lost)
}

// Guards against refusals for good that are not true, and against waiting for a
// table that is known to be out of reach.
func TestRefusals(t *testing.T) {
	ctx := context.Background()
	memory := platform.NewMemoryTable()
	table := platformtest.New(memory, 1)
	c := newClock()
	a := c.manager(table, "a", "1", 100_000)
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
	r, err = a.Reserve(ctx, "other", 60_000)
	assert.NilError(t, err, "a team without a limit")
	r.Settle(1)
	a.SetPrepaid(map[string]int64{"t": 200_000})
	r, err = a.Reserve(ctx, "t", 100_000)
	assert.NilError(t, err, "after a top-up")
	r.Settle(0)

	table.SetDown(true)
	a.round(ctx, true)
	_, err = a.Reserve(ctx, "t", 150_000)
	assert.Assert(t, errkind.Is(err, errkind.PlatformUnavailable), "%v", err)
	assert.Equal(t, errkind.From(err).Response().Ran, errkind.RanNo)
}

// Guards against a share that stays with a router that has stopped.
func TestCloseReturnsTheShare(t *testing.T) {
	ctx := context.Background()
	table := platformtest.New(platform.NewMemoryTable(), 1)
	c := newClock()
	m := c.manager(table, "a", "1", 100_000)
	r, err := m.exchange(ctx, 1000)
	assert.NilError(t, err)
	r.Settle(700)
	table.LoseNextAnswers(1)
	m.Close(ctx)
	total := stored(t, table)
	assert.Equal(t, total.Holders, 0)
	assert.Equal(t, total.Closed, int64(700))
	assert.Equal(t, total.Lost, int64(0))
}

// readTotal reads a stripe of a team's budget, zero if there is none.
func readTotal(t assert.TestingT, table platform.Table, stripe int, team string) (total budget.Total) {
	row, err := table.Get(context.Background(), totalKey(stripe, team))
	if errkind.Is(err, errkind.NotFound) {
		return total
	}
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(row.Value, &total))
	return total
}

// Guards against a successor that loses or doubles what its predecessor held:
// the answer to the takeover is lost, and the predecessor's last write comes late.
func TestSuccessorTakesOverTheHolding(t *testing.T) {
	ctx := context.Background()
	table := platformtest.New(platform.NewMemoryTable(), 1)
	c := newClock()
	old := c.manager(table, "a", "1", 100_000)
	r, err := old.exchange(ctx, 5000)
	assert.NilError(t, err)
	r.Settle(4000)
	old.round(ctx, true)
	before := stored(t, table)
	c.advance(time.Second)
	heir := c.manager(table, "a", "2", 100_000)
	table.LoseNextAnswers(1)
	heir.round(ctx, true)
	r, err = heir.exchange(ctx, 3000)
	assert.NilError(t, err)
	r.Settle(3000)
	assert.Equal(t, stored(t, table).Holders, 1)
	assert.Equal(t, stored(t, table).Closed, int64(0), "nothing went back to the total")
	old.round(ctx, true)
	assert.Assert(t, old.try(1) == nil, "the predecessor has nothing left")
	heir.Close(ctx)
	total := stored(t, table)
	assert.Equal(t, total.Holders, 0)
	assert.Equal(t, total.Spent(), int64(7000))
	assert.Assert(t, total.Lost <= before.Granted-4000, "%d lost", total.Lost)
	assert.Equal(t, total.Left(), total.ToppedUp-7000-total.Lost)
}
