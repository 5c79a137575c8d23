package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

// Subject is what reports about crashes are about.
type Subject string

// The subjects. The prefix of their rows is followed by the part or the request, the level
// and the crash.
const (
	PromptParts   Subject = Prefix + "part/"
	WholeRequests Subject = Prefix + "request/"
)

// reportKeyFormat has the part or the request and the crash in hexadecimal.
const reportKeyFormat = "%016x/%d/%016x"

// reportValue is the value of the row of a report.
type reportValue struct {
	Depth      int   `json:"depth"` // number of parts before it in the prompt
	Strong     bool  `json:"strong"`
	ProgressMS int64 `json:"progress_ms,omitempty"`

	Request quarantine.Part `json:"request,omitempty"`
	Chance  float64         `json:"chance,omitempty"`
	SentMS  int64           `json:"sent,omitempty"`
	BrokeMS int64           `json:"broke,omitempty"`
}

// EncodeReport returns the row of a report.
func EncodeReport(s Subject, r quarantine.PartReport) (Row, error) {
	value, err := json.Marshal(reportValue{
		Depth: r.Depth, Strong: r.Strong, ProgressMS: r.Progress.Milliseconds(), Request: r.Request, Chance: r.Chance, SentMS: r.SentMS, BrokeMS: r.BrokeMS,
	})
	return Row{Key: ReportKey(s, r), Value: value}, err
}

// ReportKey returns the key of the row of a report.
func ReportKey(s Subject, r quarantine.PartReport) string {
	return fmt.Sprintf(string(s)+reportKeyFormat, uint64(r.Part), r.Level, r.Crash)
}

// parseReportKey returns the report that a key names, without what its value says.
func parseReportKey(s Subject, key string) (r quarantine.PartReport, ok bool) {
	rest, ok := strings.CutPrefix(key, string(s))
	if !ok {
		return r, false
	}
	n, err := fmt.Sscanf(rest, reportKeyFormat, &r.Part, &r.Level, &r.Crash)
	return r, err == nil && n == 3
}

// DecodeReport returns the report about a subject that a row tells of, without what its value
// says if the row is gone. ok is false for any other row.
func DecodeReport(s Subject, row Row) (r quarantine.PartReport, ok bool, err error) {
	r, ok = parseReportKey(s, row.Key)
	if !ok || row.Removed {
		return r, ok, nil
	}
	var value reportValue
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return r, true, err
	}
	r.Depth, r.Strong, r.Progress = value.Depth, value.Strong, time.Duration(value.ProgressMS)*time.Millisecond
	r.Request, r.Chance, r.SentMS, r.BrokeMS = value.Request, value.Chance, value.SentMS, value.BrokeMS
	return r, true, nil
}
