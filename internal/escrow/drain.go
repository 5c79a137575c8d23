package escrow

import (
	"context"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Drain ends this router's use of the budgets: it refuses new reservations,
// stores all records, and closes its grants and its holder row. Run must still
// be running. Drain retries until the context ends, except after Fenced, which it
// returns at once. When the context ends, it returns the error of the last
// attempt, which is Conflict if reservations were still in flight or records not
// yet stored. The holder row then stays live but is no longer renewed, so another
// router recovers it.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	inc := m.inc
	m.failAllWaiters(inc, errkind.New(errkind.Stopping, "router is stopping"))
	m.mu.Unlock()
	m.flushMu.Lock()
	defer m.flushMu.Unlock()
	for n := 0; ; n++ {
		err := m.drainOnce(ctx, inc)
		if err == nil || errkind.Is(err, errkind.Fenced) {
			return err
		}
		if !platform.WaitBackoff(ctx, n) {
			return err
		}
	}
}

// drainOnce makes one attempt to drain the incarnation.
func (m *Manager) drainOnce(ctx context.Context, inc *incarnation) error {
	version := m.holderVersion(inc)
	if version.IsZero() {
		return nil // never registered, or given up; recovery closes its grants
	}
	if err := m.renew(ctx, inc); err != nil {
		return err
	}
	if err := m.flushAll(ctx, inc); err != nil {
		return err
	}
	unlock, err := m.lockTeams(ctx, inc)
	defer unlock()
	if err != nil {
		return err
	}
	if err := m.checkHolder(ctx, inc); err != nil {
		return m.acceptOwnClose(ctx, inc, err)
	}
	if m.inUse(inc) {
		return errkind.New(errkind.Conflict, "reservations are in flight")
	}
	closer := &holderCloser{m: m, holder: m.holderRow(inc), rowVersion: m.holderVersion(inc)}
	if err := closer.closeHolder(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endIncarnation(inc)
	return nil
}

// acceptOwnClose returns nil if the holder row is already closed, which happens
// if an earlier attempt to drain closed it and the answer was lost. Otherwise
// it returns cause.
func (m *Manager) acceptOwnClose(ctx context.Context, inc *incarnation, cause error) error {
	if !errkind.Is(cause, errkind.Fenced) {
		return cause
	}
	row, err := m.get(ctx, holderKey(inc.id))
	if err != nil {
		return cause
	}
	var holder member.HolderRow
	if err := decode(row, &holder); err != nil {
		return err
	}
	if holder.State == member.HolderClosed {
		return nil
	}
	return cause
}

// lockTeams takes the operation locks of all teams, so that operations in
// flight end and no new ones start. The returned function releases the locks
// taken so far, also if an error is returned.
func (m *Manager) lockTeams(ctx context.Context, inc *incarnation) (func(), error) {
	m.mu.Lock()
	teams := make([]*team, 0, len(inc.teams))
	for _, t := range inc.teams {
		teams = append(teams, t)
	}
	m.mu.Unlock()
	locked := 0
	unlock := func() {
		for _, t := range teams[:locked] {
			t.unlock()
		}
	}
	for _, t := range teams {
		if err := t.lock(ctx); err != nil {
			return unlock, err
		}
		locked++
	}
	return unlock, nil
}

// inUse reports whether reservations are open or records are not yet stored.
func (m *Manager) inUse(inc *incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range inc.teams {
		if t.share.Reserved() > 0 {
			return true
		}
	}
	return len(inc.queuedRecords) > 0 || inc.pendingFlush != nil
}
