package platform

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// HealthyWindow is how long the direct path counts as healthy after a
// successful call.
const HealthyWindow = time.Second

// DirectTable is the direct path to the table, without peers. It records when a
// call last succeeded. A call that it serves for another router is never relayed
// onward.
type DirectTable struct {
	table       Table
	now         func() time.Time
	lastSuccess atomic.Pointer[time.Time]
	sharedProbe singleflight.Group
}

var _ Table = (*DirectTable)(nil)

// NewDirectTable wraps a table, which must not be a Relay. A nil now means
// time.Now.
func NewDirectTable(table Table, now func() time.Time) *DirectTable {
	if now == nil {
		now = time.Now
	}
	return &DirectTable{table: table, now: now}
}

// LastSuccess returns the time of the latest successful call. It is zero if
// there was none.
func (d *DirectTable) LastSuccess() time.Time {
	if lastSuccess := d.lastSuccess.Load(); lastSuccess != nil {
		return *lastSuccess
	}
	return time.Time{}
}

// Healthy reports whether a call succeeded within HealthyWindow.
func (d *DirectTable) Healthy() bool {
	lastSuccess := d.lastSuccess.Load()
	return lastSuccess != nil && d.now().Sub(*lastSuccess) <= HealthyWindow
}

// CheckHealth reports whether the direct path is healthy. It sends a probe if
// there was no recent success; concurrent calls share one probe.
func (d *DirectTable) CheckHealth(ctx context.Context) bool {
	if d.Healthy() {
		return true
	}
	done := d.sharedProbe.DoChan("", func() (any, error) {
		// The probe is shared, so a canceled caller must not cancel it. Its
		// duration is limited by the table's own timeout.
		_, err := d.Get(context.WithoutCancel(ctx), ProbeKey)
		return isSuccess(err), nil
	})
	select {
	case result := <-done:
		return result.Val.(bool)
	case <-ctx.Done():
		return false
	}
}

// Get implements Table.
func (d *DirectTable) Get(ctx context.Context, key string) (Row, error) {
	row, err := d.table.Get(ctx, key)
	d.recordSuccess(err)
	return row, err
}

// Scan implements Table.
func (d *DirectTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := d.table.Scan(ctx, prefix, after, limit)
	d.recordSuccess(err)
	return rows, err
}

// Commit implements Table.
func (d *DirectTable) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	result, err := d.table.Commit(ctx, txn)
	d.recordSuccess(err)
	return result, err
}

func (d *DirectTable) recordSuccess(err error) {
	if isSuccess(err) {
		now := d.now()
		d.lastSuccess.Store(&now)
	}
}

// isSuccess reports whether the table answered. A missing row is an answer.
func isSuccess(err error) bool {
	return err == nil || errkind.Is(err, errkind.NotFound)
}
