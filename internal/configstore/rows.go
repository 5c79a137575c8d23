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

// Keys of the table.
const (
	keyHead      = "config/head"
	keyDoc       = "config/doc"
	prefixTeam   = "config/team/"
	prefixChange = "config/change/"
)

// changeKey pads the version, so that key order equals version order.
func changeKey(version int64) string { return fmt.Sprintf("%s%012d", prefixChange, version) }

// headRow is the row config/head. row is its version in the table.
type headRow struct {
	Version int64 `json:"version"`
	row     int64
}

// changeRow is the row config/change/<version>. ID is unique per attempt of a
// change, so that an operator's router recognizes its own commit.
type changeRow struct {
	ID       string   `json:"id"`
	Version  int64    `json:"version"`
	Operator string   `json:"operator"`
	AtUS     int64    `json:"at_us"`
	Keys     []string `json:"keys"`
}

func newChangeID() string { return ulid.Make().String() }

func (s *Store) readHead(ctx context.Context) (headRow, error) {
	row, err := s.table.Get(ctx, keyHead)
	if err != nil {
		return headRow{}, err
	}
	head := headRow{row: row.Version}
	return head, decode(row, &head)
}

func (s *Store) readDoc(ctx context.Context) (policy.Document, error) {
	var doc policy.Document
	row, err := s.table.Get(ctx, keyDoc)
	if err != nil {
		return doc, err
	}
	return doc, decode(row, &doc)
}

func (s *Store) readChange(ctx context.Context, version int64) (changeRow, error) {
	var change changeRow
	row, err := s.table.Get(ctx, changeKey(version))
	if err != nil {
		return change, err
	}
	return change, decode(row, &change)
}

func decode(row platform.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return eris.Wrapf(err, "row %s", row.Key)
	}
	return nil
}

// changeTxn builds the transaction of a change. Every change writes the
// document, so that its version equals the version of the head.
func changeTxn(head headRow, doc policy.Document, change changeRow, teams []policy.Team) platform.Txn {
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: keyHead, Version: head.row}},
		Puts: []platform.Put{
			put(keyHead, headRow{Version: doc.Version}),
			put(keyDoc, doc),
			put(changeKey(doc.Version), change),
		},
	}
	for _, t := range teams {
		txn.Puts = append(txn.Puts, put(prefixTeam+t.Name, t))
	}
	return txn
}

// put encodes a row. The types consist of JSON values only and have passed
// validation, so encoding cannot fail.
func put(key string, v any) platform.Put {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return platform.Put{Key: key, Value: data}
}
