package platform

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// callSeconds are the buckets of a call to the table, which takes some 10 ms.
var callSeconds = []float64{.005, .01, .02, .05, .1, .25, .5, 1, 3}

// measured counts and times the calls to a table.
type measured struct {
	inner   Table
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

// NewInstrumentedTable returns a table that counts its calls by result and times them.
func NewInstrumentedTable(inner Table, r prometheus.Registerer) Table {
	m := &measured{
		inner: inner,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_table_calls_total",
			Help: "Calls to the platform's table by call and result: ok, conflict, or an error kind.",
		}, []string{"call", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tarragonridge_table_call_seconds", Help: "Time of a call to the platform's table.", Buckets: callSeconds,
		}, []string{"call"}),
	}
	r.MustRegister(m.calls, m.seconds)
	return m
}

// note counts a call. conflict is set for a transaction that was not applied.
func (m *measured) note(call string, began time.Time, conflict bool, err error) {
	result := "ok"
	switch {
	case err != nil && !errkind.Is(err, errkind.NotFound):
		result = string(errkind.From(err).Kind)
	case conflict:
		result = "conflict"
	}
	m.calls.WithLabelValues(call, result).Inc()
	m.seconds.WithLabelValues(call).Observe(time.Since(began).Seconds())
}

// Get implements Table.
func (m *measured) Get(ctx context.Context, key string) (Row, error) {
	began := time.Now()
	row, err := m.inner.Get(ctx, key)
	m.note("get", began, false, err)
	return row, err
}

// Scan implements Table.
func (m *measured) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	began := time.Now()
	rows, err := m.inner.Scan(ctx, prefix, after, limit)
	m.note("scan", began, false, err)
	return rows, err
}

// Commit implements Table.
func (m *measured) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	began := time.Now()
	res, err := m.inner.Commit(ctx, txn)
	m.note("commit", began, !res.Committed, err)
	return res, err
}
