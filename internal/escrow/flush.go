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

// flush is one transaction of records. The operation locks of its teams are
// held until its result is known. Its segment and the values of its grants
// stay the same in every attempt, so it does not matter which one is applied.
type flush struct {
	segment   ledger.Segment
	teams     []*team
	settle    map[string]int64          // tokens by team
	next      map[string]budget.Account // what the latest attempt writes, by team
	uncertain bool                      // an attempt's answer was lost
}

// maxFlushRounds bounds the attempts of one flush within one round, which a
// busy account may need because other routers change it too.
const maxFlushRounds = 20

// flushAll stores all settled records whose teams have no other operation in
// flight.
func (m *Manager) flushAll(ctx context.Context, inc *incarnation) error {
	for {
		f := m.nextFlush(inc)
		if f == nil {
			return nil
		}
		if err := m.store(ctx, inc, f); err != nil {
			return err
		}
	}
}

// nextFlush returns the flush whose result is unknown, or a new one.
func (m *Manager) nextFlush(inc *incarnation) *flush {
	m.mu.Lock()
	defer m.mu.Unlock()
	if inc.dead {
		return nil
	}
	if inc.flush != nil {
		return inc.flush
	}
	f := &flush{
		segment: ledger.Segment{Holder: inc.id, Seq: inc.segment + 1},
		settle:  map[string]int64{},
		next:    map[string]budget.Account{},
	}
	inc.records = f.take(inc, inc.records)
	if len(f.segment.Records) == 0 {
		return nil
	}
	inc.flush = f
	return f
}

// take moves records into the flush and returns those that stay queued.
func (f *flush) take(inc *incarnation, records []ledger.Record) []ledger.Record {
	var rest []ledger.Record
	busy := map[string]bool{}
	for _, r := range records {
		if _, ok := f.settle[r.Team]; !ok && !busy[r.Team] {
			busy[r.Team] = !f.claim(inc.team(r.Team))
		}
		if busy[r.Team] {
			rest = append(rest, r)
			continue
		}
		f.settle[r.Team] += r.Charged
		f.segment.Records = append(f.segment.Records, r)
	}
	return rest
}

// claim takes the operation lock of a team, if the transaction has room.
func (f *flush) claim(t *team) bool {
	if len(f.teams) >= maxAccountsPerTxn || !t.tryLock() {
		return false
	}
	f.teams = append(f.teams, t)
	f.settle[t.name] = 0
	return true
}

// store commits the flush. If it returns an error, the flush is either
// undone or kept for the next round.
func (m *Manager) store(ctx context.Context, inc *incarnation, f *flush) error {
	var last error
	for n := range maxFlushRounds {
		done, err := m.storeOnce(ctx, inc, f)
		if done {
			return err
		}
		last = err
		if !platform.WaitBackoff(ctx, n) {
			break
		}
	}
	return errkind.Wrap(last, errkind.PlatformUnavailable, "flush is not confirmed")
}

// storeOnce makes one attempt. done is false if another one may succeed.
func (m *Manager) storeOnce(ctx context.Context, inc *incarnation, f *flush) (bool, error) {
	if f.uncertain {
		found, err := m.findSegment(ctx, inc, f)
		if found || err != nil {
			return true, err
		}
	}
	txn, err := m.flushTxn(ctx, inc, f)
	if err != nil {
		m.postpone(inc, f, err)
		return true, err
	}
	res, err := m.commit(ctx, txn)
	switch {
	case err == nil && res.Committed:
		m.adopt(inc, res.Versions[holderKey(inc.id)])
		m.flushed(inc, f, res.Versions)
		return true, nil
	case err == nil:
		return m.flushConflict(ctx, inc, f, res)
	case errkind.Is(err, errkind.PlatformUnavailable):
		m.postpone(inc, f, err)
		return true, err
	}
	f.uncertain = true
	return false, err
}

// flushConflict takes over the rows that the failed conditions met.
func (m *Manager) flushConflict(ctx context.Context, inc *incarnation, f *flush, res platform.TxnResult) (bool, error) {
	m.mu.Lock()
	for _, row := range res.Current {
		name, ok := strings.CutPrefix(row.Key, accountPrefix)
		if !ok {
			continue
		}
		inc.team(name).cached = nil
		if s, err := decodeAccount(row); err == nil {
			inc.team(name).cached = &s
		}
	}
	m.mu.Unlock()
	err := m.checkConflict(ctx, inc, res)
	if err != nil && !errkind.Is(err, errkind.Fenced) {
		m.postpone(inc, f, err)
	}
	return err != nil, err
}

// findSegment reads back the segment of a flush whose answer was lost.
func (m *Manager) findSegment(ctx context.Context, inc *incarnation, f *flush) (bool, error) {
	_, err := m.get(ctx, f.segment.Key())
	if errkind.Is(err, errkind.NotFound) {
		m.forget(f)
		return false, m.checkHolder(ctx, inc)
	}
	if err != nil {
		m.postpone(inc, f, err)
		return false, unavailable(err)
	}
	m.flushed(inc, f, nil)
	return true, m.checkHolder(ctx, inc)
}

// flushTxn builds the transaction from the accounts as last seen.
func (m *Manager) flushTxn(ctx context.Context, inc *incarnation, f *flush) (platform.Txn, error) {
	for _, t := range f.teams {
		if err := m.fill(ctx, t); err != nil {
			return platform.Txn{}, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if inc.dead {
		return platform.Txn{}, errkind.New(errkind.Fenced, "holder was given up")
	}
	own := m.renewal(inc)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: own.Key, Version: inc.version}, {Key: f.segment.Key()}},
		Puts:       []platform.Put{own, {Key: f.segment.Key(), Value: encode(f.segment)}},
	}
	for _, t := range f.teams {
		next := t.holder.Begin(t.flushDelta(m.opt.Clock()), f.settle[t.name])
		account, err := t.cached.account.SetGrant(inc.id, next.Seq, next.Granted, next.Settled)
		if err != nil {
			return platform.Txn{}, err
		}
		f.next[t.name] = account
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: accountKey(t.name), Version: t.cached.version})
		txn.Puts = append(txn.Puts, platform.Put{Key: accountKey(t.name), Value: encode(account)})
	}
	return txn, nil
}

// flushDelta returns the change of a team's grant that a flush takes along. It
// gives idle share back: for a team with few requests the end of a run is also
// the end of the demand, and the return in the same transaction saves a write per
// request. Or it fills the standing share up again, which the run has used. m.mu
// is held.
func (t *team) flushDelta(now time.Time) int64 {
	if len(t.waiters) > 0 {
		return 0
	}
	if idle := t.holder.ReturnSize(now); idle > 0 {
		return -idle
	}
	return t.holder.RefillSize(now, t.cached.account.Left())
}

// fill reads the account of a team unless it is cached.
func (m *Manager) fill(ctx context.Context, t *team) error {
	if t.cached != nil {
		return nil
	}
	s, err := m.readAccount(ctx, t.name)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.cached = &s
	return nil
}

// forget drops the cached accounts after a conflict.
func (m *Manager) forget(f *flush) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range f.teams {
		t.cached = nil
	}
}

// postpone ends a round that could not reach the table. If no attempt can have
// been applied, the records go back to the queue; otherwise the flush stays.
func (m *Manager) postpone(inc *incarnation, f *flush, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.uncertain {
		for _, t := range f.teams {
			m.stall(t, cause)
		}
		return
	}
	for _, t := range f.teams {
		t.holder.Drop()
		t.unlock()
	}
	inc.records = append(f.segment.Records, inc.records...)
	inc.flush = nil
}

// flushed counts a stored flush and reports its records as durable. versions
// holds the new versions of the accounts, if known.
func (m *Manager) flushed(inc *incarnation, f *flush, versions map[string]int64) {
	m.mu.Lock()
	inc.flush = nil
	inc.segment = f.segment.Seq
	for _, t := range f.teams {
		t.holder.Confirm()
		t.cached = nil
		if version, ok := versions[accountKey(t.name)]; ok {
			t.cached = &stored{account: f.next[t.name], version: version}
		}
		t.unresolved = false
		m.admit(t)
		t.unlock()
	}
	m.mu.Unlock()
	m.opt.OnDurable(f.segment.Records)
}
