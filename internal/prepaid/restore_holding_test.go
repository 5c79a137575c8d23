package prepaid

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/platform/platformtest"
)

// reserveTeamInRound is reserveInRound for a team.
func reserveTeamInRound(m *Manager, name string, tokens int64) (*Reservation, error) {
	m.mu.Lock()
	t := m.team(name)
	t.demand.Add(m.opt.Clock(), tokens)
	w := &waiter{tokens: tokens, done: make(chan error, 1)}
	t.waiters = append(t.waiters, w)
	m.mu.Unlock()
	m.round(context.Background(), false)
	if err := <-w.done; err != nil {
		return nil, err
	}
	return &Reservation{manager: m, team: t, tokens: tokens}, nil
}

// Guards against a budget that is overspent because a router that closes its holding after
// a restore, in several transactions, stores the pledges of the copy as pledges of the
// new era, and is killed before the last of them.
func TestKilledWhileClosingAfterARestoreDoesNotOverspend(t *testing.T) {
	ctx := context.Background()
	const prepaid, teams = 300_000, maxMarkedTeamsPerTxn + 2
	c := newClock()
	table := newRestorableTable(c, 1)
	totals := map[string]int64{}
	for i := range teams {
		totals[fmt.Sprint("team", i)] = prepaid
	}
	m := table.newManager("a", "1", prepaid, allSafeguards)
	m.prepaidTotals = map[string]int64{}
	m.SetPrepaid(totals)
	spent := map[string]int64{}
	for range 60 {
		assert.NilError(t, table.advance(500*time.Millisecond))
		m.mu.Lock()
		for name := range totals {
			tm := m.team(name)
			tm.demand.Add(c.now(), 500)
			if m.tryReserve(tm, 500) {
				tm.share.Settle(500, 500)
				spent[name] += 500
			}
		}
		m.mu.Unlock()
		m.round(ctx, true)
	}
	stored := table.memory.Copy()
	for name := range totals {
		m.mu.Lock()
		tokens := min(m.spendable(m.team(name)), m.team(name).share.Available())
		m.mu.Unlock()
		r, err := reserveTeamInRound(m, name, tokens)
		assert.NilError(t, err)
		r.Settle(tokens)
		spent[name] += tokens
	}
	m.round(ctx, true)
	table.memory.Restore(stored)
	m.stopping = true
	for range 6 {
		m.exchangeOnce(ctx, true)
		if n := len(m.holding.Grants); n > 0 && n < teams {
			break
		}
	}
	remaining := m.holding.Grants
	assert.Assert(t, len(remaining) > 0 && len(remaining) < teams)
	// Killed here.
	successor := table.newManager("a", "2", prepaid, allSafeguards)
	successor.prepaidTotals = map[string]int64{}
	successor.SetPrepaid(totals)
	successor.round(ctx, true)
	for name := range remaining {
		settled := successor.holding.Grants[name].Settled
		assert.Check(t, settled >= spent[name], "%s: the successor may spend %d tokens again", name, spent[name]-settled)
	}
}

// Guards against tokens that are spent although their return, with an unknown result, was
// given up at a restore and takes effect after the router has read its holding again. The
// return takes effect that late only with some of the seeds.
func TestReturnGivenUpAtARestoreIsNotSpent(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playReturnGivenUp(t, seed) })
	}
}

func playReturnGivenUp(t *testing.T, seed uint64) {
	ctx := context.Background()
	c := newClock()
	table := newRestorableTable(c, seed)
	m := table.newManager("a", "1", 3_000_000, allSafeguards)
	var spent int64
	for range 60 {
		assert.NilError(t, table.advance(500*time.Millisecond))
		m.mu.Lock()
		tm := m.team("t")
		tm.demand.Add(c.now(), 10_000)
		if m.tryReserve(tm, 10_000) {
			tm.share.Settle(10_000, 500)
			spent += 500
		}
		m.mu.Unlock()
		m.round(ctx, true)
	}
	stored := table.memory.Copy()
	m.Drain()
	table.SetFaults(platformtest.Faults{LateApplyRate: 1})
	assert.Equal(t, m.exchangeOnce(ctx, true), exchangeFailed)
	table.SetFaults(platformtest.Faults{})
	table.memory.Restore(stored)
	// The router learns of the new era, by a read, and reads its holding.
	for range 4 {
		m.refreshHome(ctx, 0)
	}
	m.mu.Lock()
	tm := m.team("t")
	for m.tryReserve(tm, 50) {
		tm.share.Settle(50, 50)
		spent += 50
	}
	m.mu.Unlock()
	assert.NilError(t, table.ApplyLateWrites(ctx))
	m.round(ctx, true)
	m.Close(ctx)
	total := checkStored(t, unmarked(table.memory))
	assert.Assert(t, total.ClosedSpent >= spent, "%d closed of %d spent", total.ClosedSpent, spent)
}
