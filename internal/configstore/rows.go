package configstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Row keys of the configuration table.
const (
	headRowKey      = "config/head"
	documentRowKey  = "config/doc"
	teamRowPrefix   = "config/team/"
	changeRowPrefix = "config/change/"
)

// changeRowKey zero-pads the version, so that the lexical order of the keys is
// the order of the versions.
func changeRowKey(version int64) string { return fmt.Sprintf("%s%012d", changeRowPrefix, version) }

// headRow is the value of the row config/head.
type headRow struct {
	Version    int64            `json:"version"`
	rowVersion platform.Version // of the row itself, as counted by the table; not stored in the value
}

// changeRow is the value of the row config/change/<version>. ID is unique for
// each attempt to commit a change: a router that reads the row back after an
// uncertain commit can tell whether its own change was stored.
type changeRow struct {
	ID       string   `json:"id"`
	Version  int64    `json:"version"`
	Operator string   `json:"operator"`
	AtUS     int64    `json:"at_us"`
	Keys     []string `json:"keys"`
}

func newChangeID() string { return ulid.Make().String() }

func (s *Store) readHead(ctx context.Context) (headRow, error) {
	row, err := s.table.Get(ctx, headRowKey)
	if err != nil {
		return headRow{}, err
	}
	head := headRow{rowVersion: row.Version}
	return head, decodeRow(row, &head)
}

func (s *Store) readDocument(ctx context.Context) (policy.Document, error) {
	var doc policy.Document
	row, err := s.table.Get(ctx, documentRowKey)
	if err != nil {
		return doc, err
	}
	return doc, decodeRow(row, &doc)
}

func (s *Store) readChange(ctx context.Context, version int64) (changeRow, error) {
	var change changeRow
	row, err := s.table.Get(ctx, changeRowKey(version))
	if err != nil {
		return change, err
	}
	return change, decodeRow(row, &change)
}

func decodeRow(row platform.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return eris.Wrapf(err, "decode row %s", row.Key)
	}
	return nil
}

// newChangeTxn builds the transaction that commits a change. Every change
// writes the document, even if only teams differ, so that the version in the
// document always equals the version in config/head.
func newChangeTxn(head headRow, doc policy.Document, change changeRow, teams []policy.Team) platform.Txn {
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: headRowKey, Version: head.rowVersion}},
		Puts: []platform.Put{
			newPut(headRowKey, headRow{Version: doc.Version}),
			newPut(documentRowKey, doc),
			newPut(changeRowKey(doc.Version), change),
		},
	}
	for _, t := range teams {
		txn.Puts = append(txn.Puts, newPut(teamRowPrefix+t.Name, t))
	}
	return txn
}

// newPut encodes the value of a row as JSON. It panics on an encoding error,
// which cannot occur: the row types hold only values that JSON can represent,
// and they have passed validation.
func newPut(key string, value any) platform.Put {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return platform.Put{Key: key, Value: data}
}
