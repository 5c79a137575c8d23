package prepaid

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Guards against routers that divide a budget differently, so that a part of it is given
// out twice: one with another setting, one at a table of an earlier version, and one that
// cannot read how the budget is divided.
func TestRoutersAgreeOnTheStripes(t *testing.T) {
	ctx := context.Background()
	put := func(table platform.Table, key, value string) {
		_, err := table.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte(value)}}})
		assert.NilError(t, err)
	}
	for name, c := range map[string]struct {
		setting int
		prepare func(platform.Table)
		want    int
	}{
		"first":                     {7, func(platform.Table) {}, 7},
		"not set":                   {0, func(platform.Table) {}, unstatedStripes},
		"set too high":              {budget.MaxStripes + 1, func(platform.Table) {}, unstatedStripes},
		"after another setting":     {20, func(table platform.Table) { put(table, layoutKey, `{"stripes":3}`) }, 3},
		"table of an older version": {20, func(table platform.Table) { put(table, totalKey(0, "t"), `{"topped_up":1}`) }, unstatedStripes},
		"unreadable":                {20, func(table platform.Table) { put(table, layoutKey, `{"stripes":0}`) }, 0},
	} {
		table := platform.NewMemoryTable()
		c.prepare(table)
		m := newClock().newManager(table, "a", "1", 100_000)
		m.opt.Stripes = c.setting
		_, err := m.reserveInRound(ctx, 1000)
		assert.Equal(t, m.stripes, c.want, name)
		if c.want == 0 {
			assert.Assert(t, errkind.Is(err, errkind.PlatformUnavailable), "%s: %v", name, err)
			continue
		}
		assert.NilError(t, err, name)
	}
}

// Guards against requests that wait for an exchange with the table although the last one
// showed that nobody has left what they need, and against ones that are refused for it
// although the share covers them or it is long ago.
func TestKnownShortageIsRefusedAtOnce(t *testing.T) {
	ctx := context.Background()
	table := platform.NewMemoryTable()
	c := newClock()
	m := c.newManager(table, "a", "1", 10_000)
	_, err := m.reserveInRound(ctx, 9_000)
	assert.NilError(t, err)
	_, err = m.reserveInRound(ctx, 5_000)
	assert.Assert(t, err != nil)
	c.advance(shortageValidFor)
	refused := func(tokens int64) bool { // without a round, which nobody runs here
		waited, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := m.Reserve(waited, "t", tokens)
		return errkind.Is(err, errkind.BudgetBusy) || errkind.Is(err, errkind.BudgetExhausted)
	}
	assert.Assert(t, refused(6_000))
	m.mu.Lock()
	free := m.team("t").share.Available()
	m.mu.Unlock()
	if free > 0 {
		assert.Assert(t, !refused(min(free, 100)))
	}
	c.advance(busyRetryAfter)
	assert.Assert(t, !refused(6_000), "the shortage is long ago")
}
