package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Bill is the bill for one request identity. Its details are those of the billed
// run, or of the run that ended last if no run is billable.
type Bill struct {
	Identity
	RunID        string  `json:"run_id,omitempty"` // the billed run; empty if none is billable
	RequestID    string  `json:"request_id,omitempty"`
	Target       string  `json:"target,omitempty"`
	Model        string  `json:"model,omitempty"`
	Service      string  `json:"service,omitempty"`
	Workload     string  `json:"workload,omitempty"`
	PromptTokens int64   `json:"prompt_tokens"`
	OutputTokens int64   `json:"output_tokens"`
	Outcome      Outcome `json:"outcome"`
	Billed       int64   `json:"billed"` // tokens of the billed run
	Lost         int64   `json:"lost"`   // tokens of the other runs
	Runs         int     `json:"runs"`
	EndedUS      int64   `json:"ended_us"`
}

// TeamTotal holds the totals of a team's bills.
type TeamTotal struct {
	Team     string `json:"team"`
	Requests int    `json:"requests"`
	Runs     int    `json:"runs"`
	Billed   int64  `json:"billed"` // tokens
	Lost     int64  `json:"lost"`   // tokens
}

// Charged returns the tokens that are deducted from the prepaid amount.
func (t TeamTotal) Charged() int64 { return t.Billed + t.Lost }

// BillingSummary holds the bills for a set of run records.
type BillingSummary struct {
	Bills      []Bill      // ordered by team and key
	Teams      []TeamTotal // ordered by team
	Duplicates []string    // IDs of runs that were stored more than once
}

// Summarize turns run records into one bill per identity. The billable run that
// ended first is billed; of runs that ended at the same time, the one with the
// lowest run ID. The charges of the other runs count as lost. The result does
// not depend on the order of the records.
func Summarize(records []Record) BillingSummary {
	var summary BillingSummary
	byIdentity := map[Identity][]Record{}
	seen := map[string]bool{}
	for _, r := range records {
		if seen[r.RunID] {
			summary.Duplicates = append(summary.Duplicates, r.RunID)
			continue
		}
		seen[r.RunID] = true
		byIdentity[r.Identity] = append(byIdentity[r.Identity], r)
	}
	for _, runs := range byIdentity {
		summary.Bills = append(summary.Bills, newBill(runs))
	}
	slices.SortFunc(summary.Bills, compareBills)
	slices.Sort(summary.Duplicates)
	summary.Teams = teamTotals(summary.Bills)
	return summary
}

func compareBills(a, b Bill) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Key, b.Key))
}

// compareByEnd orders records by end time, then by run ID.
func compareByEnd(a, b Record) int {
	return cmp.Or(cmp.Compare(a.EndedUS, b.EndedUS), cmp.Compare(a.RunID, b.RunID))
}

// newBill returns the bill for the runs of one identity.
func newBill(runs []Record) Bill {
	slices.SortFunc(runs, compareByEnd)
	source := runs[len(runs)-1]
	billedIndex := slices.IndexFunc(runs, Record.Billable)
	if billedIndex >= 0 {
		source = runs[billedIndex]
	}
	b := Bill{
		Identity: source.Identity, RequestID: source.RequestID,
		Target: source.Target, Model: source.Model, Service: source.Service, Workload: source.Workload,
		PromptTokens: source.PromptTokens, OutputTokens: source.OutputTokens,
		Outcome: source.Outcome, Runs: len(runs), EndedUS: source.EndedUS,
	}
	for i, r := range runs {
		if i == billedIndex {
			b.RunID = r.RunID
			b.Billed = r.Charged
			continue
		}
		b.Lost += r.Charged
	}
	return b
}

func teamTotals(bills []Bill) []TeamTotal {
	byTeam := map[string]TeamTotal{}
	for _, b := range bills {
		t := byTeam[b.Team]
		t.Team = b.Team
		t.Requests++
		t.Runs += b.Runs
		t.Billed += b.Billed
		t.Lost += b.Lost
		byTeam[b.Team] = t
	}
	out := slices.Collect(maps.Values(byTeam))
	slices.SortFunc(out, func(a, b TeamTotal) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// CheckRecords returns an error for each invalid record: one whose charge is
// negative or above the reservation, or that lacks an identity, run ID or holder.
func CheckRecords(records []Record) []error {
	var errs []error
	for _, r := range records {
		if r.Charged < 0 || r.Charged > r.Reserved {
			errs = append(errs, fmt.Errorf("run %s: charge %d is not between 0 and the reservation %d", r.RunID, r.Charged, r.Reserved))
		}
		if r.Team == "" || r.Key == "" || r.RunID == "" || r.Holder == "" {
			errs = append(errs, fmt.Errorf("run %q with key %q: team, key, run ID or holder is missing", r.RunID, r.Key))
		}
	}
	return errs
}

// Check compares the summary with the settled tokens of every team's account. It
// returns an error for each run that was stored more than once and for each team
// whose charges differ from the settled tokens.
func (s BillingSummary) Check(settled map[string]int64) []error {
	var errs []error
	for _, id := range s.Duplicates {
		errs = append(errs, fmt.Errorf("run %s is stored more than once", id))
	}
	charged := map[string]int64{}
	for _, t := range s.Teams {
		charged[t.Team] = t.Charged()
	}
	teams := maps.Clone(charged)
	maps.Copy(teams, settled)
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		if charged[team] != settled[team] {
			errs = append(errs, fmt.Errorf("team %s: records charge %d tokens, but its account has settled %d", team, charged[team], settled[team]))
		}
	}
	return errs
}
