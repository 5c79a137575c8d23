package platform

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// callDurationBuckets are histogram buckets in seconds for a call to the table,
// which takes about 10 ms.
var callDurationBuckets = []float64{.005, .01, .02, .05, .1, .25, .5, 1, 3}

// instrumentedTable exports metrics on the calls to a table.
type instrumentedTable struct {
	table    Table
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewInstrumentedTable returns a table that exports the number of its calls by
// result and their duration.
func NewInstrumentedTable(table Table, registerer prometheus.Registerer) Table {
	m := &instrumentedTable{
		table: table,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_table_calls_total",
			Help: "Calls to the platform's table by call and result: ok, conflict, or an error kind.",
		}, []string{"call", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tarragonridge_table_call_seconds", Help: "Time of a call to the platform's table.", Buckets: callDurationBuckets,
		}, []string{"call"}),
	}
	registerer.MustRegister(m.calls, m.duration)
	return m
}

// observe records a call. conflict is set for a transaction whose conditions
// did not hold.
func (m *instrumentedTable) observe(call string, started time.Time, conflict bool, err error) {
	result := "ok"
	switch {
	case err != nil && !errkind.Is(err, errkind.NotFound):
		result = string(errkind.From(err).Kind)
	case conflict:
		result = "conflict"
	}
	m.calls.WithLabelValues(call, result).Inc()
	m.duration.WithLabelValues(call).Observe(time.Since(started).Seconds())
}

// Get implements Table.
func (m *instrumentedTable) Get(ctx context.Context, key string) (Row, error) {
	started := time.Now()
	row, err := m.table.Get(ctx, key)
	m.observe("get", started, false, err)
	return row, err
}

// Scan implements Table.
func (m *instrumentedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	started := time.Now()
	rows, err := m.table.Scan(ctx, prefix, after, limit)
	m.observe("scan", started, false, err)
	return rows, err
}

// Commit implements Table.
func (m *instrumentedTable) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	started := time.Now()
	result, err := m.table.Commit(ctx, txn)
	m.observe("commit", started, !result.Committed, err)
	return result, err
}
