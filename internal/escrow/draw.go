package escrow

import (
	"context"
	"maps"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/timing"
)

const (
	// releaseTimeout bounds the wait for peers that return idle share.
	releaseTimeout = 500 * time.Millisecond
	// firstRecheck is the pause before the account is read again while
	// reservations in flight hold the budget. It doubles up to
	// firstRecheck << maxRecheckDoublings.
	firstRecheck        = 50 * time.Millisecond
	maxRecheckDoublings = 3
)

// serve draws for the waiters of a team until there are none.
func (m *Manager) serve(t *team) {
	for n := 0; m.hasWaiters(t); n++ {
		seen, err := m.draw(t)
		if err != nil {
			m.refuseShort(t, err)
			continue
		}
		if m.drawn(t) {
			continue
		}
		if others := m.otherHolders(t, seen); len(others) > 0 {
			m.askPeers(t, others)
			if seen, err = m.draw(t); err != nil {
				m.refuseShort(t, err)
				continue
			}
		}
		if m.drawn(t) || m.refuseHopeless(t, seen) {
			continue
		}
		if !timing.Sleep(t.inc.ctx, firstRecheck<<min(n, maxRecheckDoublings)) {
			m.refuseShort(t, errkind.New(errkind.PlatformUnavailable, "holder was given up"))
		}
	}
}

// hasWaiters reports whether waiters remain that the share does not cover. If
// not, the serving goroutine has to end.
func (m *Manager) hasWaiters(t *team) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admit(t)
	t.serving = len(t.waiters) > 0
	return t.serving
}

// drawn admits waiters and reports whether the first one changed or is gone.
func (m *Manager) drawn(t *team) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admit(t)
	return t.need() <= 0
}

// need returns the tokens that the first waiter lacks. m.mu is held.
func (t *team) need() int64 {
	if len(t.waiters) == 0 {
		return 0
	}
	return t.waiters[0].tokens - t.holder.Available()
}

// draw makes one draw for the first waiter if the account can cover it, and
// returns the account as it was before.
func (m *Manager) draw(t *team) (budget.Account, error) {
	var seen budget.Account
	if err := t.lock(t.inc.ctx); err != nil {
		return seen, err
	}
	defer t.unlock()
	err := m.change(t, func(a budget.Account) int64 {
		seen = a
		need := t.need()
		if need <= 0 {
			return 0
		}
		size := t.holder.DrawSize(m.opt.Clock(), need, a.Left())
		if size > 0 {
			t.waitKind = errkind.PlatformUnavailable
		}
		return size
	})
	return seen, err
}

// refuseShort answers the waiters when the table cannot be reached.
func (m *Manager) refuseShort(t *team, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admit(t)
	t.fail(unavailable(err), everyWaiter)
}

func (m *Manager) otherHolders(t *team, a budget.Account) []string {
	if m.opt.Peers == nil {
		return nil
	}
	others := maps.Clone(a.Grants)
	maps.DeleteFunc(others, func(inc string, g budget.Grant) bool { return inc == t.inc.id || g.Held() == 0 })
	return slices.Sorted(maps.Keys(others))
}

func (m *Manager) askPeers(t *team, holders []string) {
	ctx, cancel := context.WithTimeout(t.inc.ctx, releaseTimeout)
	defer cancel()
	m.opt.Peers.ReleaseAll(ctx, t.name, holders)
}

// refuseHopeless answers the waiters that no reservation in flight can help,
// and reports whether there were any. The others go on waiting for budget that
// is held.
func (m *Manager) refuseHopeless(t *team, a budget.Account) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	unsettled := t.holder.Consumed() - a.Grants[t.inc.id].Settled
	most := a.Left() + a.Held() - unsettled
	before := len(t.waiters)
	err := errkind.New(errkind.BudgetExhausted, "budget does not cover the request")
	t.fail(err, func(w *waiter) bool { return w.tokens > most })
	t.waitKind = errkind.BudgetBusy
	return len(t.waiters) < before
}
