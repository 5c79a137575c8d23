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
	// releaseTimeout bounds the wait for peers to return their idle share.
	releaseTimeout = 500 * time.Millisecond
	// firstRecheckDelay is the delay before the account is read again while
	// reservations in flight hold the budget. The delay doubles each time, up to
	// firstRecheckDelay << maxRecheckDoublings.
	firstRecheckDelay   = 50 * time.Millisecond
	maxRecheckDoublings = 3
)

// serveWaiters draws tokens for the waiters of a team until none are left.
func (m *Manager) serveWaiters(t *team) {
	for n := 0; m.keepServing(t); n++ {
		endedTopUps := m.endedTopUps(t.name)
		account, err := m.draw(t)
		if err != nil {
			m.failUnavailable(t, err)
			continue
		}
		if m.allAdmitted(t) {
			continue
		}
		if others := m.otherHolders(t, account); len(others) > 0 {
			m.askPeersToRelease(t, others)
			if account, err = m.draw(t); err != nil {
				m.failUnavailable(t, err)
				continue
			}
		}
		if m.allAdmitted(t) || m.refuseUncoverable(t, account, endedTopUps) {
			continue
		}
		if !timing.Sleep(t.inc.ctx, firstRecheckDelay<<min(n, maxRecheckDoublings)) {
			m.failUnavailable(t, errkind.New(errkind.PlatformUnavailable, "holder was given up"))
		}
	}
}

// keepServing admits the waiters that the share covers and reports whether
// others remain. If none remain, the calling goroutine has to end, because the next
// waiter starts a new one.
func (m *Manager) keepServing(t *team) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admitWaiters(t)
	t.serving = len(t.waiters) > 0
	return t.serving
}

// allAdmitted admits the waiters that the share covers and reports whether none
// is left.
func (m *Manager) allAdmitted(t *team) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admitWaiters(t)
	return t.shortfall() <= 0
}

// shortfall returns the tokens that the share lacks for the first waiter. m.mu
// is held.
func (t *team) shortfall() int64 {
	if len(t.waiters) == 0 {
		return 0
	}
	return t.waiters[0].tokens - t.share.Available()
}

// draw makes one draw for the first waiter if the account can cover it. It
// returns the account as it was before the draw.
func (m *Manager) draw(t *team) (budget.Account, error) {
	var account budget.Account
	if err := t.lock(t.inc.ctx); err != nil {
		return account, err
	}
	defer t.unlock()
	err := m.changeGrant(t, func(current budget.Account) int64 {
		account = current
		shortfall := t.shortfall()
		if shortfall <= 0 {
			return 0
		}
		size := t.share.DrawSize(m.opt.Clock(), shortfall, current.Left())
		if size > 0 {
			t.deadlineKind = errkind.PlatformUnavailable
		}
		return size
	})
	return account, err
}

// failUnavailable fails the waiters that the share does not cover, because the
// table cannot be reached.
func (m *Manager) failUnavailable(t *team, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admitWaiters(t)
	t.failWaiters(unavailableError(err), everyWaiter)
}

// otherHolders returns the other holders that hold tokens of the account, or nil
// if this router has no peers to ask.
func (m *Manager) otherHolders(t *team, account budget.Account) []string {
	if m.opt.Peers == nil {
		return nil
	}
	others := maps.Clone(account.Grants)
	maps.DeleteFunc(others, func(holder string, grant budget.Grant) bool { return holder == t.inc.id || grant.Held() == 0 })
	return slices.Sorted(maps.Keys(others))
}

func (m *Manager) askPeersToRelease(t *team, holders []string) {
	ctx, cancel := context.WithTimeout(t.inc.ctx, releaseTimeout)
	defer cancel()
	m.opt.Peers.ReleaseAll(ctx, t.name, holders)
}

// refuseUncoverable refuses the waiters whose requests exceed the budget even
// if all reservations in flight were released, and reports whether there were
// any. The others keep waiting for tokens that are held. All of them wait if the
// account may lack a top-up: one by this router that was in progress when the account
// was read, after endedTopUps others, or has begun since.
func (m *Manager) refuseUncoverable(t *team, account budget.Account, endedTopUps int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.topUps[t.name].begun != endedTopUps {
		t.deadlineKind = errkind.BudgetBusy
		return false
	}
	unsettled := t.share.Consumed() - account.Grants[t.inc.id].Settled
	releasable := account.Left() + account.Held() - unsettled
	waiting := len(t.waiters)
	err := errkind.New(errkind.BudgetExhausted, "budget does not cover the request")
	t.failWaiters(err, func(w *waiter) bool { return w.tokens > releasable })
	t.deadlineKind = errkind.BudgetBusy
	return len(t.waiters) < waiting
}
