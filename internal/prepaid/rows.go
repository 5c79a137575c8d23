package prepaid

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// encodeRow encodes the value of a total or a holding. A router writes its whole holding
// with each operation, so field names would be most of the bytes at the table.
func encodeRow(v any) ([]byte, error) { return cbor.Marshal(v) }

// decodeRow decodes the value of a total or a holding, also one that an earlier version
// has written as JSON.
func decodeRow(data []byte, v any) error {
	if len(data) > 0 && data[0] == '{' {
		return json.Unmarshal(data, v)
	}
	return cbor.Unmarshal(data, v)
}
