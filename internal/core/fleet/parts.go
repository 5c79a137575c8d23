package fleet

import (
	"encoding/json"
	"fmt"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

// partPrefix is followed by the part, the level and the crash of a report about a prompt
// part.
const partPrefix = Prefix + "part/"

// partKeyFormat has the part and the crash in hexadecimal.
const partKeyFormat = partPrefix + "%016x/%d/%016x"

// partValue is the value of the row of a report about a prompt part.
type partValue struct {
	Depth  int  `json:"depth"` // number of parts before it in the prompt
	Strong bool `json:"strong"`
}

// EncodePartReport returns the row of a report about a prompt part.
func EncodePartReport(r quarantine.PartReport) (Row, error) {
	value, err := json.Marshal(partValue{Depth: r.Depth, Strong: r.Strong})
	return Row{Key: PartReportKey(r), Value: value}, err
}

// PartReportKey returns the key of the row of a report about a prompt part.
func PartReportKey(r quarantine.PartReport) string {
	return fmt.Sprintf(partKeyFormat, uint64(r.Part), r.Level, r.Crash)
}

// parsePartKey returns the report about a prompt part that a key names, without what its
// value says.
func parsePartKey(key string) (r quarantine.PartReport, ok bool) {
	if !strings.HasPrefix(key, partPrefix) {
		return r, false
	}
	n, err := fmt.Sscanf(key, partKeyFormat, &r.Part, &r.Level, &r.Crash)
	return r, err == nil && n == 3
}

// PartReports returns the reports about prompt parts among changes, and those that were
// removed. It fails for rows that cannot be decoded, and returns the others.
func (c Changes) PartReports() (reports, removed []quarantine.PartReport, err error) {
	for _, row := range c.Rows {
		r, ok := parsePartKey(row.Key)
		if !ok {
			continue
		}
		var value partValue
		if rowErr := json.Unmarshal(row.Value, &value); rowErr != nil {
			err = rowErr
			continue
		}
		r.Depth, r.Strong = value.Depth, value.Strong
		reports = append(reports, r)
	}
	for _, key := range c.Removed {
		if r, ok := parsePartKey(key); ok {
			removed = append(removed, r)
		}
	}
	return reports, removed, err
}
