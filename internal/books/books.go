// Package books is the audit: it compares accounts and ledger with the
// stand-ins' own counts and with the answers that callers received.
package books

import (
	"fmt"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
	"tarragonridge.example/tarragonridge/internal/standin/service"
)

// Kind names a class of violation.
type Kind string

// Kinds of violations.
const (
	Overspend         Kind = "overspend"       // consumed tokens exceed the prepaid ones
	BadAccount        Kind = "bad_account"     // an account violates its equation
	BadTopUp          Kind = "bad_topup"       // the top-ups do not add up to the account
	SettledDiffers    Kind = "settled_differs" // settled tokens differ from the sum of the records
	BadRecord         Kind = "bad_record"      // a record violates a rule of its own
	LostBill          Kind = "lost_bill"       // a run or effect has no record
	Underbilled       Kind = "underbilled"     // a record charges less than its run consumed
	DoubleBill        Kind = "double_bill"     // a run is recorded twice, or an identity is billed twice
	BillWithoutRun    Kind = "bill_without_run"
	FalseNotRun       Kind = "false_not_run" // a request that was refused as not run has run
	AnswerWithoutBill Kind = "answer_without_bill"
	DoubleEffect      Kind = "double_effect" // a side effect happened twice for one key
	StillActive       Kind = "still_active"  // a run has not ended, so its bill cannot be checked
	Incomplete        Kind = "incomplete"    // a stand-in no longer holds all its counts
	UnreadableRow     Kind = "unreadable_row"
)

// settling are the kinds that records which are not yet stored can explain.
var settling = []Kind{SettledDiffers, LostBill, AnswerWithoutBill, StillActive}

// Violation is one finding.
type Violation struct {
	Kind   Kind
	Detail string
}

// String formats the violation as one line.
func (v Violation) String() string { return string(v.Kind) + ": " + v.Detail }

// MayResolve reports whether the violation may vanish once records are stored.
func (v Violation) MayResolve() bool { return slices.Contains(settling, v.Kind) }

// Answer is what a caller received for one request.
type Answer struct {
	Team      string `json:"team"`
	Key       string `json:"key,omitempty"` // idempotency key; empty if none was given
	RequestID string `json:"request_id"`
	Ran       string `json:"ran,omitempty"` // of a refusal: no, yes or unknown
	Whole     bool   `json:"whole"`
}

func (a Answer) identity() ledger.Identity {
	if a.Key != "" {
		return ledger.Identity{Team: a.Team, Key: a.Key}
	}
	return ledger.Identity{Team: a.Team, Key: a.RequestID}
}

// Data is what the audit compares.
type Data struct {
	Accounts       map[string]budget.Account // by team
	TopUps         map[string]int64          // sum of the top-ups by team, in tokens
	Records        []ledger.Record
	Runs           []engine.RunRecord
	Effects        []service.Effect
	Answers        []Answer
	ReadViolations []Violation // found while reading
}

// audit collects violations.
type audit struct {
	*Data
	book    ledger.BillingSummary
	records map[string]ledger.Record // by run id
	found   []Violation
}

// Check returns all violations, ordered by kind and detail.
func Check(d *Data) []Violation {
	a := &audit{Data: d, book: ledger.Summarize(d.Records), records: map[string]ledger.Record{}}
	for _, r := range d.Records {
		a.records[r.RunID] = r
	}
	a.found = append(a.found, d.ReadViolations...)
	a.checkAccounts()
	a.checkConsumed()
	a.checkRecords()
	a.checkRuns()
	a.checkEffects()
	a.checkBills()
	a.checkAnswers()
	slices.SortFunc(a.found, func(x, y Violation) int { return compareLines(x, y) })
	return a.found
}

func compareLines(x, y Violation) int {
	if x.String() < y.String() {
		return -1
	}
	if x.String() > y.String() {
		return 1
	}
	return 0
}

func (a *audit) add(kind Kind, format string, args ...any) {
	a.found = append(a.found, Violation{Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// checkAccounts relies on the account's own definition of left as the rest, so
// its equation holds if left is not negative and each part is confirmed: topped
// up by the top-ups, settled by the records.
func (a *audit) checkAccounts() {
	charged := map[string]int64{}
	for _, r := range a.Records {
		charged[r.Team] += r.Charged
	}
	for team, account := range a.Accounts {
		if err := account.Check(); err != nil {
			a.add(BadAccount, "team %s: %v", team, err)
		}
		if a.TopUps[team] != account.ToppedUp {
			a.add(BadTopUp, "team %s: top-ups are %d tokens, the account holds %d", team, a.TopUps[team], account.ToppedUp)
		}
		if account.Settled() != charged[team] {
			a.add(SettledDiffers, "team %s: settled are %d tokens, records charge %d", team, account.Settled(), charged[team])
		}
	}
	for team, tokens := range charged {
		if _, ok := a.Accounts[team]; !ok {
			a.add(BadAccount, "team %s: records charge %d tokens, there is no account", team, tokens)
		}
	}
}

func (a *audit) checkConsumed() {
	consumed := map[string]int64{}
	for _, run := range a.Runs {
		consumed[run.Team] += tokens(run)
	}
	for team, n := range consumed {
		if paid := a.Accounts[team].ToppedUp; n > paid {
			a.add(Overspend, "team %s: engines produced %d tokens, %d are prepaid", team, n, paid)
		}
	}
}

func tokens(run engine.RunRecord) int64 { return run.PromptTokens + run.OutputTokens }

func (a *audit) checkRecords() {
	for _, err := range ledger.CheckRecords(a.Records) {
		a.add(BadRecord, "%v", err)
	}
	for _, id := range a.book.Duplicates {
		a.add(DoubleBill, "run %s is recorded more than once", id)
	}
}

// checkRuns matches each run of an engine with its record.
func (a *audit) checkRuns() {
	seen := map[string]bool{}
	unnamed := a.unaccounted()
	for _, run := range a.Runs {
		if seen[run.RunID] {
			a.add(LostBill, "run %s ran twice and can have one record only", run.RunID)
		}
		seen[run.RunID] = true
		record, ok := a.records[run.RunID]
		switch {
		case run.Status == engine.RunActive:
			a.add(StillActive, "run %s of team %s", run.RunID, run.Team)
		case !ok && unnamed[run.Team] > 0 && tokens(run) <= unnamed[run.Team]:
			unnamed[run.Team] -= tokens(run) // charged without its name
		case !ok:
			a.add(LostBill, "run %s of team %s with %d tokens has no record", run.RunID, run.Team, tokens(run))
		case record.Team != run.Team || record.RequestID != run.RequestID:
			a.add(BadRecord, "run %s: record of team %s, request %s; run of team %s, request %s", run.RunID, record.Team, record.RequestID, run.Team, run.RequestID)
		case record.Charged < tokens(run):
			a.add(Underbilled, "run %s of team %s: %d tokens charged, %d consumed", run.RunID, run.Team, record.Charged, tokens(run))
		}
	}
	for _, r := range a.Records {
		if r.Model != "" && r.Billable() && r.Charged > 0 && !seen[r.RunID] {
			a.add(BillWithoutRun, "run %s of team %s is billed, no engine has run it", r.RunID, r.Team)
		}
	}
}

// unaccounted returns the tokens by team that are charged for runs whose
// router and sidecar are both gone, so that no process can name them.
func (a *audit) unaccounted() map[string]int64 {
	tokens := map[string]int64{}
	for _, r := range a.Records {
		if r.Unaccounted() {
			tokens[r.Team] += r.Charged
		}
	}
	return tokens
}

func (a *audit) checkEffects() {
	count := map[ledger.Identity]int{}
	for _, e := range a.Effects {
		count[ledger.Identity{Team: e.Team, Key: e.Key}]++
		if _, ok := a.records[e.RunID]; !ok {
			a.add(LostBill, "effect of run %s of team %s has no record", e.RunID, e.Team)
		}
	}
	for id, n := range count {
		if n > 1 {
			a.add(DoubleEffect, "team %s, key %s: %d effects", id.Team, id.Key, n)
		}
	}
}

// checkBills finds service calls that were charged twice. A second whole run of
// a completion is allowed: the fold bills the first and shows the other as lost.
func (a *audit) checkBills() {
	whole := map[ledger.Identity]int{}
	for _, r := range a.records {
		if r.Outcome == ledger.Complete && r.Service != "" && r.Charged > 0 {
			whole[r.Identity]++
		}
	}
	for id, n := range whole {
		if n > 1 {
			a.add(DoubleBill, "team %s, key %s: %d service calls are billed", id.Team, id.Key, n)
		}
	}
}

func (a *audit) checkAnswers() {
	bills := map[ledger.Identity]ledger.Bill{}
	for _, bill := range a.book.Bills {
		bills[bill.Identity] = bill
	}
	ran := a.requestsThatRan()
	for _, answer := range a.Answers {
		id := answer.identity()
		if answer.Whole && bills[id].RunID == "" {
			a.add(AnswerWithoutBill, "team %s, key %s: request %s was answered, no run is billed", id.Team, id.Key, answer.RequestID)
		}
		if run := ran[answer.RequestID]; answer.Ran == "no" && run != "" {
			a.add(FalseNotRun, "team %s: request %s was refused as not run, run %s is its own", answer.Team, answer.RequestID, run)
		}
	}
}

// requestsThatRan returns a run id by request id, according to engines,
// services and charged records.
func (a *audit) requestsThatRan() map[string]string {
	ran := map[string]string{}
	for _, r := range a.Records {
		if r.Charged > 0 {
			ran[r.RequestID] = r.RunID
		}
	}
	for _, run := range a.Runs {
		ran[run.RequestID] = run.RunID
	}
	for _, e := range a.Effects {
		ran[e.RequestID] = e.RunID
	}
	return ran
}
