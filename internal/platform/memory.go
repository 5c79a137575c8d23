package platform

import (
	"context"
	"sort"
	"strings"
	"sync"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// MemoryTable is a Table in memory. The stand-in platform serves it, and tests use
// it directly. The zero value is not usable; call NewMemory.
type MemoryTable struct {
	mu      sync.Mutex
	rows    map[string]Row
	keys    []string // sorted
	version int64    // of the latest transaction
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable {
	return &MemoryTable{rows: map[string]Row{}}
}

// Get implements Table.
func (m *MemoryTable) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return Row{}, errkind.New(errkind.NotFound, "row %s", key)
	}
	return row, nil
}

// Scan implements Table.
func (m *MemoryTable) Scan(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	start := prefix
	if after >= start && after != "" {
		start = after + "\x00"
	}
	var out []Row
	for i := sort.SearchStrings(m.keys, start); i < len(m.keys) && len(out) < limit; i++ {
		if !strings.HasPrefix(m.keys[i], prefix) {
			break
		}
		out = append(out, m.rows[m.keys[i]])
	}
	return out, nil
}

// Commit implements Table.
func (m *MemoryTable) Commit(_ context.Context, txn Txn) (TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var failed []Row
	ok := true
	for _, c := range txn.Conditions {
		row := m.rows[c.Key] // version 0 if absent
		if row.Version == c.Version {
			continue
		}
		ok = false
		if row.Version != 0 {
			failed = append(failed, row)
		}
	}
	if !ok {
		return TxnResult{Current: failed}, nil
	}
	m.version++
	versions := make(map[string]int64, len(txn.Puts))
	for _, p := range txn.Puts {
		m.put(Row{Key: p.Key, Value: append([]byte(nil), p.Value...), Version: m.version})
		versions[p.Key] = m.version
	}
	for _, k := range txn.Deletes {
		m.remove(k)
	}
	return TxnResult{Committed: true, Versions: versions}, nil
}

func (m *MemoryTable) put(row Row) {
	if _, ok := m.rows[row.Key]; !ok {
		i := sort.SearchStrings(m.keys, row.Key)
		m.keys = append(m.keys, "")
		copy(m.keys[i+1:], m.keys[i:])
		m.keys[i] = row.Key
	}
	m.rows[row.Key] = row
}

func (m *MemoryTable) remove(key string) {
	if _, ok := m.rows[key]; !ok {
		return
	}
	i := sort.SearchStrings(m.keys, key)
	m.keys = append(m.keys[:i], m.keys[i+1:]...)
	delete(m.rows, key)
}
