package ledger

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"
)

var csvHeader = []string{
	"team", "key", "run_id", "request_id", "target", "model", "service", "workload",
	"prompt_tokens", "output_tokens", "outcome", "billed", "lost", "runs", "ended_us",
}

// WriteCSV writes a header and one line per bill.
func WriteCSV(w io.Writer, bills []Bill) error {
	out := csv.NewWriter(w)
	if err := out.Write(csvHeader); err != nil {
		return err
	}
	for _, b := range bills {
		if err := out.Write(csvLine(b)); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func csvLine(b Bill) []string {
	return []string{
		b.Team, b.Key, b.RunID, b.RequestID, b.Target, b.Model, b.Service, b.Workload,
		decimal(b.PromptTokens), decimal(b.OutputTokens), string(b.Outcome),
		decimal(b.Billed), decimal(b.Lost), strconv.Itoa(b.Runs), decimal(b.EndedUS),
	}
}

func decimal(n int64) string { return strconv.FormatInt(n, 10) }

// WriteJSONLines writes one JSON object per bill and line.
func WriteJSONLines(w io.Writer, bills []Bill) error {
	enc := json.NewEncoder(w)
	for _, b := range bills {
		if err := enc.Encode(b); err != nil {
			return err
		}
	}
	return nil
}
