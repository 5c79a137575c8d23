package platform

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// HealthyWindow is the time for which a success shows that the direct path
// works.
const HealthyWindow = time.Second

// DirectTable is the direct path to the table. It records when a call last
// succeeded. DirectTable never uses peers, so a call that it serves for another
// router is not relayed onward.
type DirectTable struct {
	direct      Table
	now         func() time.Time
	lastSuccess atomic.Pointer[time.Time]
	probes      singleflight.Group
}

var _ Table = (*DirectTable)(nil)

// NewDirectTable wraps the direct table. It must not be a Relay. now is time.Now
// if nil.
func NewDirectTable(direct Table, now func() time.Time) *DirectTable {
	if now == nil {
		now = time.Now
	}
	return &DirectTable{direct: direct, now: now}
}

// LastSuccess returns the time of the latest success, zero if there was none.
func (h *DirectTable) LastSuccess() time.Time {
	if at := h.lastSuccess.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Healthy reports whether a call succeeded within HealthWindow.
func (h *DirectTable) Healthy() bool {
	at := h.lastSuccess.Load()
	return at != nil && h.now().Sub(*at) <= HealthyWindow
}

// CheckHealth reports whether the direct path is healthy and probes it if not.
// Concurrent calls share one probe.
func (h *DirectTable) CheckHealth(ctx context.Context) bool {
	if h.Healthy() {
		return true
	}
	done := h.probes.DoChan("", func() (any, error) {
		// The probe is shared, so the end of one caller must not end it. The
		// table's own timeout limits it.
		_, err := h.Get(context.WithoutCancel(ctx), ProbeKey)
		return succeeded(err), nil
	})
	select {
	case result := <-done:
		return result.Val.(bool)
	case <-ctx.Done():
		return false
	}
}

// Get implements Table.
func (h *DirectTable) Get(ctx context.Context, key string) (Row, error) {
	row, err := h.direct.Get(ctx, key)
	h.observe(err)
	return row, err
}

// Scan implements Table.
func (h *DirectTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := h.direct.Scan(ctx, prefix, after, limit)
	h.observe(err)
	return rows, err
}

// Commit implements Table.
func (h *DirectTable) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	result, err := h.direct.Commit(ctx, txn)
	h.observe(err)
	return result, err
}

func (h *DirectTable) observe(err error) {
	if succeeded(err) {
		at := h.now()
		h.lastSuccess.Store(&at)
	}
}

func succeeded(err error) bool {
	return err == nil || errkind.Is(err, errkind.NotFound)
}
