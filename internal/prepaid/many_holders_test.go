package prepaid

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are refused although their budgets have the tokens, because
// the transactions of a stripe with many holders change few totals and a round has six.
func TestFirstRequestsOfManyTeamsWithManyHoldersAreServed(t *testing.T) {
	for _, holders := range []int{2, 12} {
		t.Run(fmt.Sprint(holders, " holders"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const teams = 24
				f := newFleetOf(fleetLoad{routers: holders, teams: teams, perSecond: 10, stripes: 1}, 1, time.Hour)
				defer f.stop()
				time.Sleep(60 * time.Second) // all hold a minimum share
				m := f.managers[0]
				var served atomic.Int64
				var mu sync.Mutex
				refusals := map[string]int{}
				var all sync.WaitGroup
				for i := range teams {
					f.inProgress.Add(1)
					all.Add(1)
					go func() {
						defer f.inProgress.Done()
						defer all.Done()
						name := fmt.Sprint("team", i)
						m.mu.Lock()
						tokens := m.team(name).share.Available() + 2000
						m.mu.Unlock()
						began := time.Now()
						r, err := m.ReserveWithin(context.Background(), name, Need{Tokens: tokens, Wait: 2 * time.Second})
						if err == nil {
							r.Settle(0)
							served.Add(1)
							return
						}
						mu.Lock()
						refusals[fmt.Sprint(time.Since(began), " ", err)]++
						mu.Unlock()
					}()
				}
				all.Wait()
				m.mu.Lock()
				t.Logf("%d holders, %d totals per transaction", m.homeHolders(), m.teamsPerTxn(m.team("team0")))
				m.mu.Unlock()
				assert.Equal(t, served.Load(), int64(teams), "%v", refusals)
			})
		})
	}
}

// Guards against a draining router that keeps the shares of most teams until it ends, because the
// transactions of a stripe with many holders change few totals and a round has one.
func TestDrainingRouterReturnsAllSharesWithManyHolders(t *testing.T) {
	for _, holders := range []int{2, 12} {
		t.Run(fmt.Sprint(holders, " holders"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const teams = 24
				f := newFleetOf(fleetLoad{routers: holders, teams: teams, perSecond: 10, stripes: 1}, 1, time.Hour)
				defer f.stop()
				time.Sleep(60 * time.Second) // all hold a minimum share
				m := f.managers[0]
				before := m.heldTokens()
				m.Drain()
				time.Sleep(2500 * time.Millisecond)
				after := m.heldTokens()
				t.Logf("%d tokens held before, %d 2.5 s after the drain began", before, after)
				assert.Assert(t, after <= before/10, "%d of %d held", after, before)
			})
		})
	}
}

// Guards against scarce tokens that stay for many seconds in the shares of routers without
// demand, because the transactions of a stripe with many holders change few totals: the
// requests at other routers are refused meanwhile.
func TestScarceTokensOfManyTeamsComeBackWithManyHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const teams = 24
		f := newFleetOf(fleetLoad{routers: 13, teams: teams, perSecond: 10, stripes: 1}, 1, time.Hour)
		defer f.stop()
		time.Sleep(60 * time.Second) // all hold a minimum share
		spender, idle := f.managers[0], f.managers[1:]
		held := func() (tokens int64) {
			for _, m := range idle {
				tokens += m.heldTokens()
			}
			return tokens
		}
		before, began := held(), time.Now()
		var spending sync.WaitGroup
		for i := range teams { // leaves a tenth of each budget
			spending.Go(func() {
				name := fmt.Sprint("team", i)
				for range 18 {
					r, err := spender.ReserveWithin(context.Background(), name, Need{Tokens: f.prepaid[name] / 20, Wait: 2 * time.Second})
					if err != nil {
						return // the rest is held
					}
					r.Settle(f.prepaid[name] / 20)
				}
			})
		}
		spending.Wait()
		t.Logf("spent after %v, %d held", time.Since(began), held())
		time.Sleep(4 * time.Second)
		var stillScarce int64 // a team of which enough was returned is not scarce any more
		for _, m := range idle {
			m.mu.Lock()
			for _, t := range m.teams {
				if m.homeIsScarce(t) {
					stillScarce += max(t.share.Available(), 0)
				}
			}
			m.mu.Unlock()
		}
		t.Logf("%d tokens held before, %d 4 s after they became scarce, %d of them scarce", before, held(), stillScarce)
		assert.Assert(t, stillScarce <= before/10, "%d of %d held", stillScarce, before)
	})
}
