package escrow

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// chooser returns the change of the grant, in tokens, for an account as it is
// stored. 0 means that nothing is to be done. It is called with m.mu held.
type chooser func(budget.Account) int64

// operation is one draw or return. The team's operation lock is held.
type operation struct {
	m         *Manager
	t         *team
	choose    chooser
	tried     int64          // account version in the latest attempt that may be applied; -1 if none
	uncertain bool           // an attempt's answer was lost
	next      budget.Account // what the latest attempt writes
}

// change draws or returns tokens. It ends only when the operation is confirmed
// or can no longer be applied, or when the incarnation is given up; while
// the table cannot be read back it keeps trying in the caller's goroutine.
// The holder row is a condition, so a fenced holder cannot change a grant.
func (m *Manager) change(t *team, choose chooser) error {
	op := &operation{m: m, t: t, choose: choose, tried: -1}
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

func (op *operation) attempt() (done bool, err error) {
	s, err := op.m.readAccount(op.t.inc.ctx, op.t.name)
	if err != nil {
		return op.unreadable(err), err
	}
	txn, done, err := op.plan(s)
	if done {
		return true, err
	}
	op.tried = s.version
	res, err := op.m.commit(op.t.inc.ctx, txn)
	switch {
	case err == nil && res.Committed:
		op.m.mu.Lock()
		defer op.m.mu.Unlock()
		op.confirm()
		op.t.cached = &stored{account: op.next, version: res.Versions[accountKey(op.t.name)]}
		return true, nil
	case err == nil:
		err = op.m.checkConflict(op.t.inc.ctx, op.t.inc, res)
		return errkind.Is(err, errkind.Fenced), err
	case errkind.Is(err, errkind.PlatformUnavailable):
		return op.unreadable(err), err
	}
	op.uncertain = true
	return false, err
}

// unreadable reports whether the operation ends because the table cannot be
// reached. After a lost answer it has to go on.
func (op *operation) unreadable(err error) bool {
	op.m.mu.Lock()
	defer op.m.mu.Unlock()
	if !op.uncertain {
		op.t.holder.Drop()
		return true
	}
	op.m.stall(op.t, err)
	return false
}

// plan compares the operation with the stored account and returns the next
// transaction. If the account has changed since the last attempt and does not
// contain the operation, no attempt can be applied any more, and the size is
// chosen anew. If it has not changed, the same values are written again.
func (op *operation) plan(s stored) (platform.Txn, bool, error) {
	op.m.mu.Lock()
	defer op.m.mu.Unlock()
	t := op.t
	if t.inc.dead {
		return platform.Txn{}, true, errkind.New(errkind.PlatformUnavailable, "holder was given up")
	}
	t.unresolved = false
	pending, ok := t.holder.Pending()
	if ok && s.account.Grants[t.inc.id].Seq == pending.Seq {
		op.confirm()
		return platform.Txn{}, true, nil
	}
	if ok && s.version != op.tried {
		t.holder.Drop()
		ok = false
	}
	var delta int64
	if !ok {
		delta = op.choose(s.account)
		if delta == 0 {
			return platform.Txn{}, true, nil
		}
	}
	next := t.holder.Begin(delta, 0)
	account, err := s.account.SetGrant(t.inc.id, next.Seq, next.Granted, next.Settled)
	if err != nil {
		t.holder.Drop()
		return platform.Txn{}, true, err
	}
	op.next = account
	return platform.Txn{
		Conditions: []platform.Condition{
			{Key: accountKey(t.name), Version: s.version},
			{Key: holderKey(t.inc.id), Version: t.inc.version},
		},
		Puts: []platform.Put{{Key: accountKey(t.name), Value: encode(account)}},
	}, false, nil
}

// confirm counts the operation. m.mu is held.
func (op *operation) confirm() {
	op.t.holder.Confirm()
	op.t.cached = nil
	op.t.unresolved = false
	op.m.admit(op.t)
}

// stall answers the waiters of a team whose account cannot be changed for now.
// m.mu is held.
func (m *Manager) stall(t *team, cause error) {
	t.unresolved = true
	t.fail(unavailable(cause), everyWaiter)
}

// Release returns the idle share of a team at once, because another router
// needs it.
func (m *Manager) Release(ctx context.Context, team string) {
	m.mu.Lock()
	t, ok := m.inc.teams[team]
	idle := ok && m.inc.version > 0 && t.holder.Available() > 0
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
		m.giveBack(t, func() int64 { return t.holder.Available() })
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

// giveBack returns tokens of the idle share. The operation lock is held; size
// is called with m.mu held.
func (m *Manager) giveBack(t *team, size func() int64) {
	err := m.change(t, func(budget.Account) int64 { return -max(size(), 0) })
	if err != nil {
		m.opt.Logger.Warn("idle share not returned", "team", t.name, "holder", t.inc.id, "err", err)
	}
}

// forgetIfIdle drops the cached account of a team without demand: most of the
// teams are idle at a router at any time. m.mu is held.
func (t *team) forgetIfIdle(now time.Time) {
	if t.cached != nil && t.holder.Idle(now) && t.tryLock() {
		t.cached = nil
		t.unlock()
	}
}

// openRunReturn bounds the time for which idle share stays because a run of the
// team is open.
const openRunReturn = 30 * time.Second

// returnDue reports whether idle share goes back in a transaction of its own.
// While a run of the team is open it waits, because the flush of the run's
// record takes it along; routers that need it ask for it. m.mu is held.
func (t *team) returnDue(now time.Time) bool {
	if t.holder.ReturnSize(now) == 0 {
		t.idleSince = time.Time{}
		return false
	}
	if t.idleSince.IsZero() {
		t.idleSince = now
	}
	return t.holder.Reserved() == 0 || now.Sub(t.idleSince) >= openRunReturn
}

// returnIdle returns what has been idle long enough.
func (m *Manager) returnIdle(inc *incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock()
	for _, t := range inc.teams {
		if inc.dead || len(t.waiters) > 0 {
			continue
		}
		t.forgetIfIdle(now)
		if !t.returnDue(now) || !t.tryLock() {
			continue
		}
		started := m.spawn(func() {
			defer t.unlock()
			m.giveBack(t, func() int64 { return t.holder.ReturnSize(m.opt.Clock()) })
		})
		if !started {
			t.unlock()
		}
	}
}
