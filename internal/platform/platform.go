// Package platform is the only access to the services that the platform runs:
// the transactional table, the object store, the weight store and the host
// list.
package platform

import "context"

// Row is a versioned row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"` // at least 1
}

// Condition requires that a row has a version. Version 0 requires that the
// row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is applied as a whole if all conditions hold, otherwise not at all.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TxnResult is the outcome of a Commit.
type TxnResult struct {
	Committed bool             `json:"committed"`
	Versions  map[string]int64 `json:"versions,omitempty"` // new versions of the rows written
	Current   []Row            `json:"current,omitempty"`  // existing rows of failed conditions
}

// Table is the transactional table service.
//
// Errors carry errkind.PlatformUnavailable if the call is known not to have
// taken effect and errkind.PlatformUncertain if a Commit may have. A caller
// that gets the second reads back before it decides.
type Table interface {
	// Get returns the row, or errkind.NotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are
	// greater than after, ordered by key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// ScanPageSize is the number of rows that ScanAll asks for at once.
const ScanPageSize = 500

// ScanAll returns all rows with the prefix.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after, ScanPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < ScanPageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}
