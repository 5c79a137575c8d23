package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// readingAge returns the age at which the totals are read again.
func (m *Manager) readingAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(refreshEvery, readingFactor*m.answered)
}

// load reads the totals of the home stripe and the holdings of earlier processes
// of this host: at first, after each failure of the table and now and then.
// Without the second, a router that has nothing to write would not notice the
// table's return.
func (m *Manager) load(ctx context.Context, maxAge time.Duration) bool {
	m.mu.Lock()
	now := m.opt.Clock()
	done := m.reached && !m.stale && now.Sub(m.refreshed) < maxAge
	scan := m.stale || now.Sub(m.scanned) >= scanEvery
	m.mu.Unlock()
	if done {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	began := m.begin()
	totals, err := platform.ScanAll(ctx, m.opt.Table, totalKey(m.home, ""))
	var holdings []platform.Row
	if err == nil && scan {
		holdings, err = platform.ScanAll(ctx, m.opt.Table, m.holdingsKey())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(ctx, began, err)
	if err != nil {
		m.opt.Logger.Warn("budgets not read", "err", err)
		return false
	}
	for _, row := range totals {
		m.takeTotal(row)
	}
	m.refreshed, m.stale = began, false
	if !scan {
		return true
	}
	m.predecessors = nil
	for _, row := range holdings {
		if row.Key != m.key() {
			m.predecessors = append(m.predecessors, m.predecessor(row))
		}
	}
	if m.scanned.IsZero() {
		ms, sent, _ := m.opt.TableClock.LastReading()
		m.diedMS = ms - sent.Sub(m.opt.Started).Milliseconds()
	}
	m.scanned = began
	return true
}

// outdated returns the other stripes whose totals are to be read again: now and
// then, and more often if a request lacks tokens that they may have.
func (m *Manager) outdated() []int {
	age := m.readingAge()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.starved() {
		age = max(age, surveyEvery)
	}
	now := m.opt.Clock()
	return slices.DeleteFunc(m.others(), func(stripe int) bool { return now.Sub(m.surveyed[stripe]) < age })
}

// starved reports whether a request waits that the known rest of its budget does
// not cover. m.mu is held.
func (m *Manager) starved() bool {
	for _, t := range m.teams {
		if len(t.waiters) > 0 && t.waiters[0].tokens > m.coverable(t) {
			return true
		}
	}
	return false
}

// others returns the stripes but that of this host.
func (m *Manager) others() (stripes []int) {
	for stripe := range budget.Stripes {
		if stripe != m.home {
			stripes = append(stripes, stripe)
		}
	}
	return stripes
}

// survey reads the totals of other stripes. While one cannot be read no tokens
// are fetched from it.
func (m *Manager) survey(ctx context.Context, stripes []int) {
	if len(stripes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	began := m.begin()
	rows := make([][]platform.Row, len(stripes))
	errs := make([]error, len(stripes))
	var reads sync.WaitGroup
	for i, stripe := range stripes {
		reads.Go(func() { rows[i], errs[i] = platform.ScanAll(ctx, m.opt.Table, totalKey(stripe, "")) })
	}
	reads.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calling = time.Time{}
	for i, stripe := range stripes {
		m.surveyed[stripe], m.readable[stripe] = began, errs[i] == nil
		for _, row := range rows[i] {
			m.takeTotal(row)
		}
	}
	if err := errors.Join(errs...); err != nil {
		m.opt.Logger.Warn("budgets of other stripes not read", "err", err)
	}
}

// othersRead reports whether all other stripes were readable. m.mu is held.
func (m *Manager) othersRead() bool {
	return !slices.ContainsFunc(m.others(), func(stripe int) bool { return !m.readable[stripe] })
}

// stripe returns a stripe of a team's budget, with its part of the prepaid total
// and what the others have sent to it.
func (m *Manager) stripe(t *team, stripe int) budget.Total {
	total := t.stripes[stripe].total.RaisePrepaid(budget.StripePrepaid(m.prepaid[t.name], stripe))
	for sender := range budget.Stripes {
		total = total.Take(sender, t.stripes[sender].total, stripe)
	}
	return total
}

// sum returns all stripes of a team's budget together.
func (m *Manager) sum(t *team) (sum budget.Total) {
	for stripe := range budget.Stripes {
		sum = sum.Add(m.stripe(t, stripe))
	}
	return sum
}

// left returns the tokens that this router can draw.
func (m *Manager) left(t *team) int64 {
	left := m.stripe(t, m.home).Left()
	for _, stripe := range m.others() {
		if m.readable[stripe] {
			left += m.stripe(t, stripe).Left()
		}
	}
	return left
}

// coverable returns the tokens that a request could get: what is free here and
// what can be drawn. m.mu is held.
func (m *Manager) coverable(t *team) int64 { return max(t.holder.Available(), 0) + m.left(t) }

// takeTotal adopts a stored total. m.mu is held.
func (m *Manager) takeTotal(row platform.Row) {
	stripe, name, ok := parseTotalKey(row.Key)
	if !ok {
		return // a holding, which resolve reads by itself
	}
	var total budget.Total
	if err := json.Unmarshal(row.Value, &total); err != nil {
		m.opt.Logger.Error("total not readable", "key", row.Key, "err", err)
		return
	}
	m.team(name).stripes[stripe] = account{total, row.Version}
}

func (m *Manager) predecessor(row platform.Row) predecessor {
	p := predecessor{key: row.Key, version: row.Version}
	if err := json.Unmarshal(row.Value, &p.holding); err != nil {
		m.opt.Logger.Error("holding not readable; it stays held", "key", row.Key, "err", err)
	}
	return p
}
