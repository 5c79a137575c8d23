package escrow

import (
	"context"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Drain ends this router's use of the budgets: it refuses new reservations,
// stores all records, closes its grants and its holder row. Run must still be
// running. It tries until the context ends. If reservations are still in
// flight, it returns Conflict, and the holder stays live without renewal, so
// that another router recovers it.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	inc := m.inc
	m.failAll(inc, errkind.New(errkind.Stopping, "router is stopping"))
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

func (m *Manager) drainOnce(ctx context.Context, inc *incarnation) error {
	version := m.holderVersion(inc)
	if version == 0 {
		return nil // never registered, or given up and left to recovery
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
		return m.closedByUs(ctx, inc, err)
	}
	if m.inUse(inc) {
		return errkind.New(errkind.Conflict, "reservations are in flight")
	}
	c := &closing{m: m, holder: m.holderRow(inc), version: m.holderVersion(inc)}
	if err := c.run(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bury(inc)
	return nil
}

// closedByUs tells a row that a lost answer had closed from a fenced one.
func (m *Manager) closedByUs(ctx context.Context, inc *incarnation, cause error) error {
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

// lockTeams waits for the operations in flight and holds off new ones. The
// returned function releases what was taken.
func (m *Manager) lockTeams(ctx context.Context, inc *incarnation) (func(), error) {
	m.mu.Lock()
	teams := make([]*team, 0, len(inc.teams))
	for _, t := range inc.teams {
		teams = append(teams, t)
	}
	m.mu.Unlock()
	taken := 0
	unlock := func() {
		for _, t := range teams[:taken] {
			t.unlock()
		}
	}
	for _, t := range teams {
		if err := t.lock(ctx); err != nil {
			return unlock, err
		}
		taken++
	}
	return unlock, nil
}

// inUse reports whether reservations or unstored records exist.
func (m *Manager) inUse(inc *incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range inc.teams {
		if t.holder.Reserved() > 0 {
			return true
		}
	}
	return len(inc.records) > 0 || inc.flush != nil
}
