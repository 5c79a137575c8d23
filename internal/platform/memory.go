package platform

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// MemoryTable is an in-memory Table for the stand-in platform and for tests.
// The zero value is not usable; call NewMemoryTable.
type MemoryTable struct {
	mu sync.Mutex
	tableContent
	era int64
}

// tableContent is the content of a MemoryTable.
type tableContent struct {
	rows    map[string]Row
	keys    []string // sorted
	version int64    // number of the latest committed transaction
}

func (c tableContent) clone() tableContent {
	return tableContent{rows: maps.Clone(c.rows), keys: slices.Clone(c.keys), version: c.version}
}

// Copy is the content of a MemoryTable at one moment.
type Copy struct{ content tableContent }

// Copy returns a copy of the content.
func (m *MemoryTable) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{m.clone()}
}

// Restore replaces the content by an earlier copy and starts the next era. Numbers of
// versions since the copy are given out again.
func (m *MemoryTable) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.tableContent = c.content.clone()
	for key, row := range m.rows {
		row.Version.Era = m.era
		m.rows[key] = row
	}
}

// StartEras makes the table report eras, from 1.
func (m *MemoryTable) StartEras() { m.Restore(m.Copy()) }

// Era returns the era in which the table answers, 0 if it does not report eras.
func (m *MemoryTable) Era() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable {
	return &MemoryTable{tableContent: tableContent{rows: map[string]Row{}}}
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

// Commit implements Table. Like the platform's table it compares only the numbers of
// versions, because a transaction that arrives late does not tell its era.
func (m *MemoryTable) Commit(_ context.Context, txn Txn) (TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var conflicting []Row
	conditionsHold := true
	for _, c := range txn.Conditions {
		row := m.rows[c.Key] // the zero version if absent
		if row.Version.Number == c.Version.Number {
			continue
		}
		conditionsHold = false
		if !row.Version.IsZero() {
			conflicting = append(conflicting, row)
		}
	}
	if !conditionsHold {
		return TxnResult{Current: conflicting}, nil
	}
	m.version++
	version := Version{Era: m.era, Number: m.version}
	versions := make(map[string]Version, len(txn.Puts))
	for _, p := range txn.Puts {
		m.put(Row{Key: p.Key, Value: append([]byte(nil), p.Value...), Version: version})
		versions[p.Key] = version
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
