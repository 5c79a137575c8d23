package prepaid

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// layoutKey is the key of the row that says how budgets are divided. It is written once:
// with another number of stripes, a part of each budget would be given out twice.
const layoutKey = "layout/stripes"

// unstatedStripes is the number of stripes in a table without a layout row that holds
// budgets already.
const unstatedStripes = 4

// layout is the value of the layout row.
type layout struct {
	Stripes int `json:"stripes"`
}

// layoutKnown reports whether the number of stripes was read. m.mu is held.
func (m *Manager) layoutKnown() bool { return m.stripes > 0 }

// readLayout reads the number of stripes at the first exchange, and stores it if this is
// the first router of the table. It reports whether the number is known.
func (m *Manager) readLayout(ctx context.Context) bool {
	m.mu.Lock()
	known := m.layoutKnown()
	m.mu.Unlock()
	if known {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.nextCallTimeout())
	defer cancel()
	start := m.startCall()
	stripes, err := m.agreeOnStripes(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordCall(ctx, start, err)
	if err != nil {
		m.opt.Logger.Warn("failed to read how budgets are divided", "err", err)
		return false
	}
	m.setStripes(stripes)
	return true
}

func (m *Manager) agreeOnStripes(ctx context.Context) (int, error) {
	row, err := m.opt.Table.Get(ctx, layoutKey)
	if err == nil {
		return decodeLayout(row.Value)
	}
	if !errkind.Is(err, errkind.NotFound) {
		return 0, err
	}
	first := layout{m.opt.Stripes}
	totals, err := m.opt.Table.Scan(ctx, totalKey(0, ""), "", 1)
	if err != nil {
		return 0, err
	}
	if len(totals) > 0 || first.Stripes < 1 || first.Stripes > budget.MaxStripes {
		first.Stripes = unstatedStripes
	}
	value, err := json.Marshal(first)
	if err != nil {
		return 0, err
	}
	res, err := m.opt.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: layoutKey}},
		Puts:       []platform.Put{{Key: layoutKey, Value: value}},
	})
	switch {
	case err != nil:
		return 0, err // the next exchange reads the row
	case res.Committed:
		return first.Stripes, nil
	case len(res.Current) == 1:
		return decodeLayout(res.Current[0].Value)
	}
	return 0, errkind.New(errkind.PlatformUnavailable, "the row %s has changed and is gone", layoutKey)
}

func decodeLayout(value []byte) (int, error) {
	var stored layout
	if err := json.Unmarshal(value, &stored); err != nil {
		return 0, errkind.Wrap(err, errkind.Internal, "decode the row %s", layoutKey)
	}
	if stored.Stripes < 1 || stored.Stripes > budget.MaxStripes {
		return 0, errkind.New(errkind.Internal, "the row %s has %d stripes", layoutKey, stored.Stripes)
	}
	return stored.Stripes, nil
}

// setStripes sets the number of stripes. m.mu is held.
func (m *Manager) setStripes(stripes int) {
	m.stripes = stripes
	m.home = int(xxhash.Sum64String(m.opt.Host) % uint64(stripes))
	m.others = make([]otherStripe, stripes)
	for _, t := range m.teams {
		t.stripes, t.sent = make([]stripeRow, stripes), make([]budget.GrantHistory, stripes)
	}
}
