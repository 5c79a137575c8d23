// Package platform provides access to the services of the platform: the
// transactional table, the object store, the weight store and the host list.
// Other packages reach these services only through it.
package platform

import (
	"context"

	"tarragonridge.example/tarragonridge/internal/core/errkind"

	"tarragonridge.example/tarragonridge/internal/core/era"
)

// Version is the version of a row.
type Version = era.Version

// Row is a versioned row of the table.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
}

// Condition requires a row to have the given version. The zero version requires
// that the row does not exist.
type Condition struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction. It is applied atomically if all of its conditions hold,
// and otherwise not at all.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TxnResult is the result of Table.Commit.
type TxnResult struct {
	Committed bool               `json:"committed"`
	Versions  map[string]Version `json:"versions,omitempty"` // new versions of the written rows by key
	Current   []Row              `json:"current,omitempty"`  // current rows of the failed conditions, as far as they exist
}

// Table is the transactional table service.
//
// Errors have the kind errkind.PlatformUnavailable if the call is known not to
// have been applied, and errkind.PlatformUncertain if a Commit may have been
// applied. After the second, the caller must read the rows back before it
// decides what to do. errkind.PlatformRefused says that a transaction was not applied
// and is refused for what it is, such as a key that is too long.
type Table interface {
	// Get returns the row, or errkind.NotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are
	// greater than after, ordered by key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction if its conditions hold.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// ScanPageSize is the number of rows that ScanAll requests per Scan.
const ScanPageSize = 500

// MaxScanBytes bounds what ScanAll reads.
const MaxScanBytes = 64 << 20

// ScanAll returns all rows whose keys start with prefix. It fails with
// errkind.PlatformUnavailable if the pages do not go on, or hold over MaxScanBytes.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after, bytes := "", 0
	for {
		page, err := t.Scan(ctx, prefix, after, ScanPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < ScanPageSize {
			return all, nil
		}
		for _, row := range page {
			bytes += len(row.Key) + len(row.Value)
		}
		last := page[len(page)-1].Key
		if last <= after || bytes > MaxScanBytes {
			return nil, errkind.New(errkind.PlatformUnavailable, "rows %q do not end: %d bytes up to %q", prefix, bytes, last)
		}
		after = last
	}
}
