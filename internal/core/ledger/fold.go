package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Bill is the charge for one request identity.
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

// TeamTotal sums the bills of a team.
type TeamTotal struct {
	Team     string `json:"team"`
	Requests int    `json:"requests"`
	Runs     int    `json:"runs"`
	Billed   int64  `json:"billed"` // tokens
	Lost     int64  `json:"lost"`   // tokens
}

// Charged returns the tokens that count against the prepaid amount.
func (t TeamTotal) Charged() int64 { return t.Billed + t.Lost }

// BillingSummary is the result of a fold.
type BillingSummary struct {
	Bills      []Bill      // ordered by team and key
	Teams      []TeamTotal // ordered by team
	Duplicates []string    // run ids that were stored more than once
}

// Summarize turns run records into one bill per identity. The first billable run by
// end time, then by run id, is the bill; the charges of the others are lost.
// The result does not depend on the order of the records.
func Summarize(records []Record) BillingSummary {
	var book BillingSummary
	byIdentity := map[Identity][]Record{}
	seen := map[string]bool{}
	for _, r := range records {
		if seen[r.RunID] {
			book.Duplicates = append(book.Duplicates, r.RunID)
			continue
		}
		seen[r.RunID] = true
		byIdentity[r.Identity] = append(byIdentity[r.Identity], r)
	}
	for _, runs := range byIdentity {
		book.Bills = append(book.Bills, bill(runs))
	}
	slices.SortFunc(book.Bills, compareBills)
	slices.Sort(book.Duplicates)
	book.Teams = totals(book.Bills)
	return book
}

func compareBills(a, b Bill) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Key, b.Key))
}

func compareRuns(a, b Record) int {
	return cmp.Or(cmp.Compare(a.EndedUS, b.EndedUS), cmp.Compare(a.RunID, b.RunID))
}

func bill(runs []Record) Bill {
	slices.SortFunc(runs, compareRuns)
	shown := runs[len(runs)-1]
	at := slices.IndexFunc(runs, Record.Billable)
	if at >= 0 {
		shown = runs[at]
	}
	b := Bill{
		Identity: shown.Identity, RequestID: shown.RequestID,
		Target: shown.Target, Model: shown.Model, Service: shown.Service, Workload: shown.Workload,
		PromptTokens: shown.PromptTokens, OutputTokens: shown.OutputTokens,
		Outcome: shown.Outcome, Runs: len(runs), EndedUS: shown.EndedUS,
	}
	for i, r := range runs {
		if i == at {
			b.RunID = r.RunID
			b.Billed = r.Charged
			continue
		}
		b.Lost += r.Charged
	}
	return b
}

func totals(bills []Bill) []TeamTotal {
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

// CheckRecords returns the records that violate a rule of their own: a charge
// outside 0 to the reservation, or a missing identity, run or holder.
func CheckRecords(records []Record) []error {
	var faults []error
	for _, r := range records {
		if r.Charged < 0 || r.Charged > r.Reserved {
			faults = append(faults, fmt.Errorf("run %s: charge %d is outside its reservation %d", r.RunID, r.Charged, r.Reserved))
		}
		if r.Team == "" || r.Key == "" || r.RunID == "" || r.Holder == "" {
			faults = append(faults, fmt.Errorf("run %q of %q: identity, run or holder is missing", r.RunID, r.Key))
		}
	}
	return faults
}

// Check compares the book with the settled tokens of every account. The book
// is right if no run was stored twice and each team's charges equal the tokens
// settled.
func (b BillingSummary) Check(settled map[string]int64) []error {
	var faults []error
	for _, id := range b.Duplicates {
		faults = append(faults, fmt.Errorf("run %s is stored more than once", id))
	}
	charged := map[string]int64{}
	for _, t := range b.Teams {
		charged[t.Team] = t.Charged()
	}
	teams := maps.Clone(charged)
	maps.Copy(teams, settled)
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		if charged[team] != settled[team] {
			faults = append(faults, fmt.Errorf("team %s: records charge %d tokens, the account has settled %d", team, charged[team], settled[team]))
		}
	}
	return faults
}
