package escrow

import (
	"context"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// flush is one transaction that stores run records as a segment. The operation
// locks of its teams are held until its result is known. Its segment and the
// values of its grants are the same in every attempt, so it does not matter
// which attempt is applied.
type flush struct {
	segment      ledger.Segment
	teams        []*team
	charges      map[string]int64          // tokens to settle, by team
	nextAccounts map[string]budget.Account // accounts that the latest attempt writes, by team
	uncertain    bool                      // the answer to an attempt was lost, so it may have been applied
}

// maxFlushAttempts bounds the attempts of one flush within one round. A busy
// account may need several, because other routers change it at the same time.
const maxFlushAttempts = 20

// flushAll stores all settled records except those of teams that have another
// operation in flight.
func (m *Manager) flushAll(ctx context.Context, inc *incarnation) error {
	for {
		f := m.nextFlush(inc)
		if f == nil {
			return nil
		}
		if err := m.storeFlush(ctx, inc, f); err != nil {
			return err
		}
	}
}

// nextFlush returns the pending flush, whose result is unknown, or a new one.
// It returns nil if there is nothing to store or the incarnation has ended.
func (m *Manager) nextFlush(inc *incarnation) *flush {
	m.mu.Lock()
	defer m.mu.Unlock()
	if inc.ended {
		return nil
	}
	if inc.pendingFlush != nil {
		return inc.pendingFlush
	}
	f := &flush{
		segment:      ledger.Segment{Holder: inc.id, Seq: inc.lastSegment + 1},
		charges:      map[string]int64{},
		nextAccounts: map[string]budget.Account{},
	}
	inc.queuedRecords = f.takeRecords(inc, inc.queuedRecords)
	if len(f.segment.Records) == 0 {
		return nil
	}
	inc.pendingFlush = f
	return f
}

// takeRecords moves records into the flush and returns those that stay queued
// because their team cannot be part of it.
func (f *flush) takeRecords(inc *incarnation, records []ledger.Record) []ledger.Record {
	var remaining []ledger.Record
	busy := map[string]bool{}
	for _, r := range records {
		if _, ok := f.charges[r.Team]; !ok && !busy[r.Team] {
			busy[r.Team] = !f.lockTeam(inc.team(r.Team))
		}
		if busy[r.Team] {
			remaining = append(remaining, r)
			continue
		}
		f.charges[r.Team] += r.Charged
		f.segment.Records = append(f.segment.Records, r)
	}
	return remaining
}

// lockTeam adds a team to the flush and takes its operation lock. It returns
// false if the lock is taken or the transaction is full.
func (f *flush) lockTeam(t *team) bool {
	if len(f.teams) >= maxAccountsPerTxn || !t.tryLock() {
		return false
	}
	f.teams = append(f.teams, t)
	f.charges[t.name] = 0
	return true
}

// storeFlush commits the flush. If it returns an error, the flush has either
// been undone or stays pending for the next round.
func (m *Manager) storeFlush(ctx context.Context, inc *incarnation, f *flush) error {
	var lastErr error
	for n := range maxFlushAttempts {
		done, err := m.attemptFlush(ctx, inc, f)
		if done {
			return err
		}
		lastErr = err
		if !platform.WaitBackoff(ctx, n) {
			break
		}
	}
	return errkind.Wrap(lastErr, errkind.PlatformUnavailable, "flush was not confirmed")
}

// attemptFlush makes one attempt to commit the flush. It returns false if
// another attempt may succeed.
func (m *Manager) attemptFlush(ctx context.Context, inc *incarnation, f *flush) (bool, error) {
	if f.uncertain {
		found, err := m.readBackSegment(ctx, inc, f)
		if found || err != nil {
			return true, err
		}
	}
	txn, err := m.flushTxn(ctx, inc, f)
	if err != nil {
		m.postponeFlush(inc, f, err)
		return true, err
	}
	res, err := m.commit(ctx, txn)
	switch {
	case err == nil && res.Committed:
		m.adoptVersion(inc, res.Versions[holderKey(inc.id)])
		m.confirmFlush(inc, f, res.Versions)
		return true, nil
	case err == nil:
		return m.handleFlushConflict(ctx, inc, f, res)
	case errkind.Is(err, errkind.PlatformUnavailable):
		m.postponeFlush(inc, f, err)
		return true, err
	}
	f.uncertain = true
	return false, err
}

// handleFlushConflict caches the account rows that failed the conditions, and
// checks whether the holder row is still live. It returns true if the flush
// cannot be retried now.
func (m *Manager) handleFlushConflict(ctx context.Context, inc *incarnation, f *flush, res platform.TxnResult) (bool, error) {
	m.mu.Lock()
	for _, row := range res.Current {
		name, ok := strings.CutPrefix(row.Key, accountPrefix)
		if !ok {
			continue
		}
		inc.team(name).cachedAccount = nil
		if s, err := decodeAccount(row); err == nil {
			inc.team(name).cachedAccount = &s
		}
	}
	m.mu.Unlock()
	err := m.checkConflict(ctx, inc, res)
	if err != nil && !errkind.Is(err, errkind.Fenced) {
		m.postponeFlush(inc, f, err)
	}
	return err != nil, err
}

// readBackSegment reports whether the segment of a flush whose answer was lost
// is stored. If so, it confirms the flush.
func (m *Manager) readBackSegment(ctx context.Context, inc *incarnation, f *flush) (bool, error) {
	_, err := m.get(ctx, f.segment.Key())
	if errkind.Is(err, errkind.NotFound) {
		m.dropCachedAccounts(f)
		return false, m.checkHolder(ctx, inc)
	}
	if err != nil {
		m.postponeFlush(inc, f, err)
		return false, unavailableError(err)
	}
	m.confirmFlush(inc, f, nil)
	return true, m.checkHolder(ctx, inc)
}

// flushTxn builds the transaction from the cached accounts. It reads those that
// are not cached.
func (m *Manager) flushTxn(ctx context.Context, inc *incarnation, f *flush) (platform.Txn, error) {
	for _, t := range f.teams {
		if err := m.cacheAccount(ctx, t); err != nil {
			return platform.Txn{}, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if inc.ended {
		return platform.Txn{}, errkind.New(errkind.Fenced, "holder was given up")
	}
	renewal := m.renewalPut(inc)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: renewal.Key, Version: inc.rowVersion}, {Key: f.segment.Key()}},
		Puts:       []platform.Put{renewal, {Key: f.segment.Key(), Value: encode(f.segment)}},
	}
	for _, t := range f.teams {
		grant := t.share.Begin(t.flushDelta(m.opt.Clock()), f.charges[t.name])
		account, err := t.cachedAccount.account.SetGrant(inc.id, grant.Seq, grant.Granted, grant.Settled)
		if err != nil {
			return platform.Txn{}, err
		}
		f.nextAccounts[t.name] = account
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: accountKey(t.name), Version: t.cachedAccount.version})
		txn.Puts = append(txn.Puts, platform.Put{Key: accountKey(t.name), Value: encode(account)})
	}
	return txn, nil
}

// flushDelta returns the change of a team's grant that a flush includes. It is 0
// while requests wait for the budget. Otherwise the flush returns idle share: for
// a team with few requests, demand ends with the run, and returning the share in
// the same transaction saves a write per request. If no share is idle, the flush
// refills the minimum share that the run has used. m.mu is held.
func (t *team) flushDelta(now time.Time) int64 {
	if len(t.waiters) > 0 {
		return 0
	}
	if idle := t.share.ReturnSize(now); idle > 0 {
		return -idle
	}
	return t.share.RefillSize(now, t.cachedAccount.account.Left())
}

// cacheAccount reads the account of a team into the cache unless it is there.
func (m *Manager) cacheAccount(ctx context.Context, t *team) error {
	if t.cachedAccount != nil {
		return nil
	}
	account, err := m.readAccount(ctx, t.name)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.cachedAccount = &account
	return nil
}

// dropCachedAccounts drops the cached accounts of the flush's teams, which may
// be outdated.
func (m *Manager) dropCachedAccounts(f *flush) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range f.teams {
		t.cachedAccount = nil
	}
}

// postponeFlush ends a round in which the flush could not be committed. If no
// attempt can have been applied, the flush is undone and its records return to
// the queue. Otherwise it stays pending.
func (m *Manager) postponeFlush(inc *incarnation, f *flush, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.uncertain {
		for _, t := range f.teams {
			m.markUnresolved(t, cause)
		}
		return
	}
	for _, t := range f.teams {
		t.share.Drop()
		t.unlock()
	}
	inc.queuedRecords = append(f.segment.Records, inc.queuedRecords...)
	inc.pendingFlush = nil
}

// confirmFlush applies a stored flush to the local shares and reports its
// records as durable. versions holds the new versions of the accounts, if
// known.
func (m *Manager) confirmFlush(inc *incarnation, f *flush, versions map[string]platform.Version) {
	m.mu.Lock()
	inc.pendingFlush = nil
	inc.lastSegment = f.segment.Seq
	for _, t := range f.teams {
		t.share.Confirm()
		t.cachedAccount = nil
		if version, ok := versions[accountKey(t.name)]; ok {
			t.cachedAccount = &storedAccount{account: f.nextAccounts[t.name], version: version}
		}
		t.unresolved = false
		m.admitWaiters(t)
		t.unlock()
	}
	m.mu.Unlock()
	m.opt.OnDurable(f.segment.Records)
}
