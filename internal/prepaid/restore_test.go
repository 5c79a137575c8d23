package prepaid

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/platform/platformtest"
)

// testOldestCopy is the greatest age of a copy in the tests.
const testOldestCopy = 5 * time.Second

// eraClient is a router's client of a table: it notes the era of the latest answer.
type eraClient struct {
	platform.Table
	memory *platform.MemoryTable
	era    atomic.Int64
}

// Era implements EraSource.
func (c *eraClient) Era() int64 { return c.era.Load() }

func (c *eraClient) observe(err error) {
	if err == nil || errkind.Is(err, errkind.NotFound) {
		c.era.Store(c.memory.Era())
	}
}

func (c *eraClient) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := c.Table.Get(ctx, key)
	c.observe(err)
	return row, err
}

func (c *eraClient) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := c.Table.Scan(ctx, prefix, after, limit)
	c.observe(err)
	return rows, err
}

func (c *eraClient) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	res, err := c.Table.Commit(ctx, txn)
	c.observe(err)
	return res, err
}

// unmarked returns a table as a router sees it.
func unmarked(memory *platform.MemoryTable) platform.Table {
	return platform.NewContentGuard(memory, memory.Era)
}

// copyAt is a copy of the table with its time.
type copyAt struct {
	at   time.Time
	copy platform.Copy
}

// restorableTable is a table that can be restored from copies of up to testOldestCopy.
type restorableTable struct {
	*platformtest.FaultyTable
	memory      *platform.MemoryTable
	clock       *clock
	copies      []copyAt
	lateApplied time.Time
}

func newRestorableTable(c *clock, seed uint64) *restorableTable {
	memory := platform.NewMemoryTable()
	memory.StartEras()
	return &restorableTable{FaultyTable: platformtest.New(memory, seed), memory: memory, clock: c, lateApplied: c.now()}
}

// safeguards are the mechanisms that a play of restores uses. Without one of them, some
// play must fail.
type safeguards struct {
	contentGuard bool          // conditions hold only for the content that was read
	oldestCopy   time.Duration // age that the routers assume; the copies have up to testOldestCopy
}

var allSafeguards = safeguards{contentGuard: true, oldestCopy: testOldestCopy}

// newManager starts a router with the table.
func (r *restorableTable) newManager(host, incarnation string, prepaid int64, s safeguards) *Manager {
	client := &eraClient{Table: r.FaultyTable, memory: r.memory}
	var table platform.Table = client
	if s.contentGuard {
		table = platform.NewContentGuard(client, client.Era)
	}
	m := r.clock.newManager(table, host, incarnation, prepaid)
	m.opt.Eras, m.opt.OldestCopy = client, s.oldestCopy
	return m
}

// advance lets time pass, in which copies are made and late writes take effect.
func (r *restorableTable) advance(d time.Duration) error {
	r.clock.advance(d)
	r.copies = append(r.copies, copyAt{r.clock.now(), r.memory.Copy()})
	for r.clock.now().Sub(r.copies[0].at) > testOldestCopy {
		r.copies = r.copies[1:]
	}
	if r.clock.now().Sub(r.lateApplied) < budget.LateWriteMargin-time.Second {
		return nil
	}
	r.lateApplied = r.clock.now()
	return r.ApplyLateWrites(context.Background())
}

// playFailure is the panic with which an assertion ends a play.
type playFailure struct{ message string }

// playT collects the messages of assertions and ends a play at the first that fails.
type playT struct{ message string }

func (t *playT) Log(args ...any) { t.message += fmt.Sprint(args...) }
func (t *playT) Fail()           { t.FailNow() }
func (t *playT) FailNow()        { panic(playFailure{t.message}) }

// restorePlay is a play of random steps of three hosts with restores.
type restorePlay struct {
	t        *playT
	random   *rand.Rand
	table    *restorableTable
	guards   safeguards
	managers []*Manager
	starts   int
	open     []*Reservation
	spent    int64
}

const restorePlayPrepaid = 300_000

func (p *restorePlay) start(host int) *Manager {
	p.starts++
	return p.table.newManager(fmt.Sprintf("host%d", host), fmt.Sprint(p.starts), restorePlayPrepaid, p.guards)
}

// end charges a random part of the open reservations of a manager, or all of their
// tokens if it dies.
func (p *restorePlay) end(m *Manager, dies bool) {
	p.open = slices.DeleteFunc(p.open, func(r *Reservation) bool {
		if r.manager != m {
			return false
		}
		charged := r.tokens
		if !dies {
			charged = p.random.Int64N(r.tokens + 1)
			r.Settle(charged)
		}
		p.spent += charged
		return true
	})
}

func (p *restorePlay) step() {
	ctx := context.Background()
	assert.NilError(p.t, p.table.advance(time.Duration(p.random.IntN(900))*time.Millisecond))
	host := p.random.IntN(len(p.managers))
	m := p.managers[host]
	switch kind := p.random.IntN(14); {
	case kind < 4:
		if r := m.reserveLocal(1 + p.random.Int64N(15_000)); r != nil {
			p.open = append(p.open, r)
		}
	case kind < 6:
		p.end(m, false)
	case kind < 8:
		if r, err := m.reserveInRound(ctx, 1+p.random.Int64N(3_000)); err == nil {
			p.open = append(p.open, r)
		}
	case kind < 11:
		m.round(ctx, true)
	case kind < 12:
		p.end(m, true) // what is in progress ends with the process
		if p.random.IntN(2) == 0 {
			m.Close(ctx)
		}
		p.managers[host] = p.start(host)
	default:
		p.table.memory.Restore(p.table.copies[p.random.IntN(len(p.table.copies))].copy)
	}
	assert.Assert(p.t, p.spent <= restorePlayPrepaid, "spent %d of %d", p.spent, restorePlayPrepaid)
}

// finish closes all holdings and checks the stored rows.
func (p *restorePlay) finish() {
	ctx := context.Background()
	for _, m := range p.managers {
		p.end(m, false)
	}
	p.table.SetFaults(platformtest.Faults{})
	assert.NilError(p.t, p.table.ApplyLateWrites(ctx))
	for range 2 {
		for host, m := range p.managers {
			m.round(ctx, true)
			m.Close(ctx)
			p.managers[host] = p.start(host)
			p.managers[host].round(ctx, true)
		}
		p.table.clock.advance(holdingsScanInterval) // the next rounds find late writes of ended processes
	}
	for _, m := range p.managers {
		m.round(ctx, true)
		m.Close(ctx)
	}
	total := checkStored(p.t, unmarked(p.table.memory))
	assert.Assert(p.t, total.ClosedSpent >= p.spent, "%d closed of %d spent", total.ClosedSpent, p.spent)
	assert.Equal(p.t, total.Holders, 0, "holdings are left")
}

// playRestores plays the steps of a seed.
func playRestores(seed uint64, guards safeguards) (err error) {
	defer func() {
		if failure, failed := recover().(playFailure); failed {
			err = errors.New(failure.message)
		}
	}()
	c := newClock()
	p := &restorePlay{t: &playT{}, random: rand.New(rand.NewPCG(seed, seed)), table: newRestorableTable(c, seed), guards: guards}
	p.table.SetFaults(platformtest.Faults{RefuseRate: 0.1, LostAnswerRate: 0.15, LateApplyRate: 0.15})
	for host := range 3 {
		p.managers = append(p.managers, p.start(host))
	}
	for range 20 + p.random.IntN(120) {
		p.step()
	}
	p.finish()
	return nil
}

// Guards against a budget that is overspent because the table forgets, with the writes
// since an older copy, which router holds which tokens: others draw them again. Routers
// are killed and stopped at any moment, answers are lost, and writes take effect late,
// also after a restore.
func TestRestoreNoOverspend(t *testing.T) {
	for seed := range uint64(1000) {
		assert.NilError(t, playRestores(seed, allSafeguards), "seed %d", seed)
	}
}

// Guards against plays that would not notice a missing safeguard.
func TestRestoreSafeguardsAreNeeded(t *testing.T) {
	for name, guards := range map[string]safeguards{
		"conditions compare numbers":   {oldestCopy: testOldestCopy},
		"draws are spent at once":      {contentGuard: true},
		"copies are older than stated": {contentGuard: true, oldestCopy: testOldestCopy / 2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20_000) {
				if err := playRestores(seed, guards); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no play fails")
		})
	}
}
