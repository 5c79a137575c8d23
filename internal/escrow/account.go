package escrow

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// deltaFunc returns the change to make to the grant, in tokens, given the
// stored account. 0 means that no change is needed. It is called with m.mu
// held.
type deltaFunc func(budget.Account) int64

// operation is one draw from an account or one return to it. The team's
// operation lock is held for its whole duration.
type operation struct {
	m                *Manager
	t                *team
	chooseDelta      deltaFunc
	attemptedVersion platform.Version // account version that the latest attempt is conditional on; neverAttempted before the first
	uncertain        bool             // the answer to an attempt was lost, so it may have been applied
	nextAccount      budget.Account   // account that the latest attempt writes
}

// neverAttempted is no version of any row.
var neverAttempted = platform.Version{Number: -1}

// changeGrant draws or returns tokens. It returns once the operation is
// confirmed or can no longer be applied, or once the incarnation is given up.
// As long as the result of a write is unknown and the table cannot be read, it
// keeps retrying in the caller's goroutine. Every write is conditional on the
// holder row, so a fenced holder cannot change its grant.
func (m *Manager) changeGrant(t *team, chooseDelta deltaFunc) error {
	op := &operation{m: m, t: t, chooseDelta: chooseDelta, attemptedVersion: neverAttempted}
	for n := 0; ; n++ {
		done, err := op.attempt()
		if done {
			return err
		}
		if !platform.WaitBackoff(t.inc.ctx, n) {
			return errkind.New(errkind.PlatformUnavailable, "holder was given up")
		}
	}
}

// attempt reads the account and tries to commit the operation once. done is
// false if the operation has to be tried again.
func (op *operation) attempt() (done bool, err error) {
	current, err := op.m.readAccount(op.t.inc.ctx, op.t.name)
	if err != nil {
		return op.handleUnavailable(err), err
	}
	txn, done, err := op.nextTxn(current)
	if done {
		return true, err
	}
	op.attemptedVersion = current.version
	res, err := op.m.commit(op.t.inc.ctx, txn)
	switch {
	case err == nil && res.Committed:
		op.m.mu.Lock()
		defer op.m.mu.Unlock()
		op.confirm()
		op.t.cachedAccount = &storedAccount{account: op.nextAccount, version: res.Versions[accountKey(op.t.name)]}
		return true, nil
	case err == nil:
		err = op.m.checkConflict(op.t.inc.ctx, op.t.inc, res)
		return errkind.Is(err, errkind.Fenced), err
	case errkind.Is(err, errkind.PlatformUnavailable):
		return op.handleUnavailable(err), err
	}
	op.uncertain = true
	return false, err
}

// handleUnavailable handles a table that cannot be reached. It reports whether
// the operation ends: it is dropped if no attempt can have been applied. After
// a lost answer it has to continue until the account can be read back.
func (op *operation) handleUnavailable(err error) bool {
	op.m.mu.Lock()
	defer op.m.mu.Unlock()
	if !op.uncertain {
		op.t.share.Drop()
		return true
	}
	op.m.markUnresolved(op.t, err)
	return false
}

// nextTxn compares the pending operation with the stored account. It returns
// the next transaction, or true if the operation has ended: it was found to be
// stored, no change is needed, or it failed. If the account has changed since the
// last attempt and does not include the operation, no earlier attempt can be
// applied any more, so the change is computed anew. If the account has not
// changed, the same values are written again.
func (op *operation) nextTxn(current storedAccount) (platform.Txn, bool, error) {
	op.m.mu.Lock()
	defer op.m.mu.Unlock()
	t := op.t
	if t.inc.ended {
		return platform.Txn{}, true, errkind.New(errkind.PlatformUnavailable, "holder was given up")
	}
	t.unresolved = false
	pending, ok := t.share.Pending()
	if ok && current.account.Grants[t.inc.id].Seq == pending.Seq {
		op.confirm()
		return platform.Txn{}, true, nil
	}
	if ok && current.version != op.attemptedVersion {
		t.share.Drop()
		ok = false
	}
	var delta int64
	if !ok {
		delta = op.chooseDelta(current.account)
		if delta == 0 {
			return platform.Txn{}, true, nil
		}
	}
	grant := t.share.Begin(delta, 0)
	account, err := current.account.SetGrant(t.inc.id, grant.Seq, grant.Granted, grant.Settled)
	if err != nil {
		t.share.Drop()
		return platform.Txn{}, true, err
	}
	op.nextAccount = account
	return platform.Txn{
		Conditions: []platform.Condition{
			{Key: accountKey(t.name), Version: current.version},
			{Key: holderKey(t.inc.id), Version: t.inc.rowVersion},
		},
		Puts: []platform.Put{{Key: accountKey(t.name), Value: encode(account)}},
	}, false, nil
}

// confirm applies the stored operation to the local share and admits waiters.
// m.mu is held.
func (op *operation) confirm() {
	op.t.share.Confirm()
	op.t.cachedAccount = nil
	op.t.unresolved = false
	op.m.admitWaiters(op.t)
}

// markUnresolved records that the result of the team's current operation is
// unknown because the table cannot be reached, and fails all waiters of the
// team. m.mu is held.
func (m *Manager) markUnresolved(t *team, cause error) {
	t.unresolved, t.unresolvedAt = true, m.opt.Clock()
	t.failWaiters(unavailableError(cause), everyWaiter)
}

// Release immediately returns the idle share of a team's budget, because
// another router needs it.
func (m *Manager) Release(ctx context.Context, team string) {
	m.mu.Lock()
	t, ok := m.inc.teams[team]
	idle := ok && !m.inc.rowVersion.IsZero() && t.share.Available() > 0
	m.mu.Unlock()
	if !idle {
		return
	}
	if err := t.lock(ctx); err != nil {
		return
	}
	done := make(chan struct{})
	m.mu.Lock()
	started := m.spawn(func() {
		defer close(done)
		defer t.unlock()
		m.returnTokens(t, func() int64 { return t.share.Available() })
	})
	m.mu.Unlock()
	if !started {
		t.unlock()
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// returnTokens returns size() tokens of the idle share to the account. The
// team's operation lock is held; size is called with m.mu held.
func (m *Manager) returnTokens(t *team, size func() int64) {
	err := m.changeGrant(t, func(budget.Account) int64 { return -max(size(), 0) })
	if err != nil {
		m.opt.Logger.Warn("returning idle share failed", "team", t.name, "holder", t.inc.id, "err", err)
	}
}

// dropCacheIfIdle drops the cached account of a team without demand. At any
// time most teams are idle at a given router, so their accounts are not worth
// keeping. m.mu is held.
func (t *team) dropCacheIfIdle(now time.Time) {
	if t.cachedAccount != nil && t.share.Idle(now) && t.tryLock() {
		t.cachedAccount = nil
		t.unlock()
	}
}

// openRunReturnDelay is the longest time for which the return of idle share
// waits for an open run of the team to end.
const openRunReturnDelay = 30 * time.Second

// returnDue reports whether idle share is to be returned in a transaction of
// its own. While a run of the team is open the return waits, because the flush
// of the run's record can include it. Routers that need the tokens sooner ask
// for them. m.mu is held.
func (t *team) returnDue(now time.Time) bool {
	if t.share.ReturnSize(now) == 0 {
		t.idleSince = time.Time{}
		return false
	}
	if t.idleSince.IsZero() {
		t.idleSince = now
	}
	return t.share.Reserved() == 0 || now.Sub(t.idleSince) >= openRunReturnDelay
}

// returnIdleShares starts the return of every share that has been idle long
// enough. Teams with waiters or with an operation in flight are skipped.
func (m *Manager) returnIdleShares(inc *incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock()
	for _, t := range inc.teams {
		if inc.ended || len(t.waiters) > 0 {
			continue
		}
		t.dropCacheIfIdle(now)
		if !t.returnDue(now) || !t.tryLock() {
			continue
		}
		started := m.spawn(func() {
			defer t.unlock()
			m.returnTokens(t, func() int64 { return t.share.ReturnSize(m.opt.Clock()) })
		})
		if !started {
			t.unlock()
		}
	}
}
