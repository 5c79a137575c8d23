package prepaid

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/budget"
)

// Guards against rows that lose a field, that cannot be read after an upgrade, and whose
// size makes holdings of many teams the bulk of the traffic with the table: 50 bytes for
// each team, beside its name.
func TestRowsAreSmallAndReadable(t *testing.T) {
	holding := budget.Holding{Seq: 7, Era: 2, Closing: true, Grants: map[string]budget.Grant{}}
	for i := range 40 {
		holding.Grants[fmt.Sprintf("team%04d", i)] = budget.Grant{
			Seq: 1234, Granted: 1_234_567, Settled: 1_134_567, Reported: 1_034_567, Lost: 3,
			Pledge: budget.Pledge{Base: 1_234_000, PerSecond: 12_345, AtMS: 1_234_567_890}, Young: 5, YoungAtMS: 6,
		}
	}
	total := budget.Total{
		ToppedUp: 1, Sent: budget.Transfers{0, 5}, Taken: budget.Transfers{6}, Granted: 2, Settled: 3, ClosedSpent: 4, Lost: 5, Holders: 6,
		Reserve: budget.Reserve{Ready: 7, Filling: 8, FilledAtMS: 9}, Era: 10,
	}
	data, err := encodeRow(holding)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 40*(8+50), "%d bytes", len(data))
	for _, encode := range []func(any) ([]byte, error){encodeRow, json.Marshal} {
		var gotHolding budget.Holding
		data, err := encode(holding)
		assert.NilError(t, err)
		assert.NilError(t, decodeRow(data, &gotHolding))
		assert.DeepEqual(t, gotHolding, holding)
		var gotTotal budget.Total
		data, err = encode(total)
		assert.NilError(t, err)
		assert.NilError(t, decodeRow(data, &gotTotal))
		assert.DeepEqual(t, gotTotal, total)
	}
	assert.Assert(t, decodeRow(nil, &holding) != nil)
	assert.Assert(t, decodeRow([]byte("rubbish"), &holding) != nil)
}
