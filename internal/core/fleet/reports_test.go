package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

// Guards against reports about prompt parts or requests that other routers cannot read,
// among them those of the version before, and against rows of other kinds or of another
// writer that count as reports.
func TestReportRows(t *testing.T) {
	part := quarantine.PartReport{Part: 0xab, Crash: 1<<63 + 5, Level: 3, Depth: 1, Strong: true}
	request := quarantine.PartReport{Part: 0xcd, Crash: 9, Level: 1, Progress: 1500 * time.Millisecond}
	for subject, report := range map[Subject]quarantine.PartReport{PromptParts: part, WholeRequests: request} {
		row, err := EncodeReport(subject, report)
		assert.NilError(t, err)
		other, err := EncodeReport(map[Subject]Subject{PromptParts: WholeRequests, WholeRequests: PromptParts}[subject], report)
		assert.NilError(t, err)
		unreadable := Row{Key: ReportKey(subject, quarantine.PartReport{Part: 7, Level: 1}), Value: []byte("none")}
		for _, c := range []struct {
			row  Row
			want quarantine.PartReport
			ok   bool
			err  string
		}{
			{row: row, want: report, ok: true},
			{row: other},
			{row: routerRow("a")},
			{row: limitRow("t", "{}")},
			{row: Row{Key: string(subject) + "x/1/2", Value: row.Value}},
			{row: Row{Key: string(subject), Value: row.Value}},
			{row: unreadable, want: quarantine.PartReport{Part: 7, Level: 1}, ok: true, err: "invalid character"},
			{row: Row{Key: row.Key, Removed: true}, want: quarantine.PartReport{Part: report.Part, Crash: report.Crash, Level: report.Level}, ok: true},
			{row: Row{Key: RouterKey("a"), Removed: true}},
			{row: Row{Key: string(subject) + "x", Removed: true}},
		} {
			got, ok, err := DecodeReport(subject, c.row)
			assert.Equal(t, ok, c.ok, "%+v", c.row)
			if c.ok {
				assert.DeepEqual(t, got, c.want)
			}
			if c.err == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, c.err)
			}
		}
	}
	row, err := EncodeReport(PromptParts, part)
	assert.NilError(t, err)
	assert.Equal(t, row.Key, "fleet/part/00000000000000ab/3/8000000000000005")
	assert.Equal(t, string(row.Value), `{"depth":1,"strong":true}`)
}
