package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

// Guards against reports about prompt parts that other routers cannot read, and against
// rows of other kinds or of another writer that count as reports.
func TestPartReportRows(t *testing.T) {
	report := quarantine.PartReport{Part: 0xab, Crash: 1<<63 + 5, Level: 3, Depth: 1, Strong: true}
	row, err := EncodePartReport(report)
	assert.NilError(t, err)
	changes := Changes{
		Rows: []Row{
			row, routerRow("a"), limitRow("t", "{}"), {Key: partPrefix + "x/1/2", Value: row.Value}, {Key: partPrefix, Value: row.Value},
			{Key: PartReportKey(quarantine.PartReport{Part: 7, Level: 1}), Value: []byte("none")},
		},
		Removed: []string{PartReportKey(report), RouterKey("a"), partPrefix + "x"},
	}
	reports, removed, err := changes.PartReports()
	assert.ErrorContains(t, err, "invalid character")
	assert.DeepEqual(t, reports, []quarantine.PartReport{report})
	assert.DeepEqual(t, removed, []quarantine.PartReport{{Part: report.Part, Crash: report.Crash, Level: report.Level}})
}
