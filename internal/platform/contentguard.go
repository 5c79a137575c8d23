package platform

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/rowkey"
)

// ContentGuard makes conditions on versions hold only for the content that was read. In
// a table that is restored from older copies, the numbers of versions are given out
// again, so that a transaction prepared on one content could be applied to another: at
// once, or seconds later, if its answer was lost before the restore.
//
// Each write of a row gets a random mark, which is stored in front of the value and in
// the key of a companion row with the same first segment. A condition on the row becomes
// one on the row and on its companion, which exists only beside that content. Rows that
// are written without a condition on their earlier version leave their companions
// behind, so they must not be used in conditions. Scans whose prefix is a first segment
// alone return short pages.
//
// It is safe for concurrent use.
type ContentGuard struct {
	table Table
	era   func() int64
}

var _ Table = (*ContentGuard)(nil)

// NewContentGuard returns a guard for a table. era returns the era of the table's
// latest answer; while it is 0, the table is not restored and nothing is marked.
func NewContentGuard(table Table, era func() int64) *ContentGuard {
	return &ContentGuard{table: table, era: era}
}

const (
	markPrefix  = "mark:"
	markLength  = 16 // hexadecimal digits
	headerBytes = len(markPrefix) + markLength + 1
)

// RemoveMark returns a row as it was written, with its mark in the version.
func RemoveMark(row Row) Row {
	if len(row.Value) >= headerBytes && bytes.HasPrefix(row.Value, []byte(markPrefix)) {
		row.Version.Mark = string(row.Value[len(markPrefix) : headerBytes-1])
		row.Value = row.Value[headerBytes:]
	}
	return row
}

// removeMarks removes the marks of rows, and the companions among them.
func removeMarks(rows []Row) []Row {
	kept := rows[:0]
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, FirstSegment(row.Key)+companionSegment) {
			kept = append(kept, RemoveMark(row))
		}
	}
	return kept
}

// Get implements Table.
func (g *ContentGuard) Get(ctx context.Context, key string) (Row, error) {
	row, err := g.table.Get(ctx, key)
	return RemoveMark(row), err
}

// Scan implements Table.
func (g *ContentGuard) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := g.table.Scan(ctx, prefix, after, limit)
	return removeMarks(rows), err
}

// Commit implements Table. A transaction with a condition on a version of another era
// than that of the latest answer is not sent and counts as not committed.
func (g *ContentGuard) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	era := g.era()
	if era == 0 {
		return g.table.Commit(ctx, txn)
	}
	var marked Txn
	companions := map[string]string{} // that a write of a row replaces, by the row's key
	for _, c := range txn.Conditions {
		if !c.Version.IsZero() && c.Version.Era != era {
			return TxnResult{}, nil
		}
		marked.Conditions = append(marked.Conditions, c)
		if c.Version.Mark != "" {
			companion := CompanionKey(c.Key, c.Version.Mark)
			marked.Conditions = append(marked.Conditions, Condition{Key: companion, Version: c.Version})
			companions[c.Key] = companion
		}
	}
	deleteCompanion := func(key string) {
		if companion, ok := companions[key]; ok {
			marked.Deletes = append(marked.Deletes, companion)
		}
	}
	mark := fmt.Sprintf("%0*x", markLength, rand.Uint64())
	for _, p := range txn.Puts {
		value := append([]byte(markPrefix+mark+"\n"), p.Value...)
		marked.Puts = append(marked.Puts, Put{Key: p.Key, Value: value}, Put{Key: CompanionKey(p.Key, mark), Value: []byte("{}")})
		deleteCompanion(p.Key)
	}
	for _, key := range txn.Deletes {
		marked.Deletes = append(marked.Deletes, key)
		deleteCompanion(key)
	}
	res, err := g.table.Commit(ctx, marked)
	if err != nil {
		return res, err
	}
	res.Current = removeMarks(res.Current)
	if res.Committed {
		versions := make(map[string]Version, len(txn.Puts))
		for _, p := range txn.Puts {
			version := res.Versions[p.Key]
			version.Mark = mark
			versions[p.Key] = version
		}
		res.Versions = versions
	}
	return res, nil
}

const companionSegment = "companion/"

// CompanionKey returns the key of the companion of a row with a mark.
func CompanionKey(key, mark string) string {
	first := FirstSegment(key)
	maxBytes := rowkey.MaxBytes - len(first) - len(companionSegment) - len("/") - len(mark)
	return first + companionSegment + rowkey.Name(strings.TrimPrefix(key, first), maxBytes) + "/" + mark
}

// FirstSegment returns the first segment of a key, with the slash at its end.
func FirstSegment(key string) string {
	first, _, _ := strings.Cut(key, "/")
	return first + "/"
}
