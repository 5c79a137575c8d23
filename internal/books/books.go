// Package books audits the ledger. It compares the accounts and the run records
// with what the stand-in engines and services counted themselves, and with the
// answers that callers received. A stand-in takes the place of a real engine or
// service in tests and local runs, and lists the runs or side effects it had.
package books

import (
	"fmt"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
	"tarragonridge.example/tarragonridge/internal/standin/service"
)

// Kind is the kind of a violation.
type Kind string

// Kinds of violations.
const (
	Overspend         Kind = "overspend"           // the consumed tokens exceed the prepaid ones
	BadAccount        Kind = "bad_account"         // an account violates an invariant, or is missing
	BadTopUp          Kind = "bad_topup"           // the sum of the top-ups differs from the account
	SettledDiffers    Kind = "settled_differs"     // settled tokens differ from the sum of the charges
	BadRecord         Kind = "bad_record"          // a record is inconsistent, or differs from its run
	LostBill          Kind = "lost_bill"           // a run or a side effect has no record, or a run id ran twice
	Underbilled       Kind = "underbilled"         // a record charges less than its run consumed
	DoubleBill        Kind = "double_bill"         // a run is recorded twice, or a service call is billed twice
	BillWithoutRun    Kind = "bill_without_run"    // a run is billed that no engine has run
	FalseNotRun       Kind = "false_not_run"       // a request that was refused as not run did run
	AnswerWithoutBill Kind = "answer_without_bill" // a request was answered, but no run is billed
	DoubleEffect      Kind = "double_effect"       // a side effect happened twice for one key
	StillActive       Kind = "still_active"        // a run has not ended, so its charge cannot be checked yet
	Incomplete        Kind = "incomplete"          // a stand-in no longer lists all its runs or effects
	UnreadableRow     Kind = "unreadable_row"      // a row or an archived object is damaged or missing
)

// transientKinds are the kinds of violations that are also found while records
// are not stored yet or runs have not ended.
var transientKinds = []Kind{SettledDiffers, LostBill, AnswerWithoutBill, StillActive}

// Violation is one finding of the audit.
type Violation struct {
	Kind   Kind
	Detail string
}

// String formats the violation as one line.
func (v Violation) String() string { return string(v.Kind) + ": " + v.Detail }

// MayResolve reports whether the violation may disappear once all runs have ended
// and all records are stored.
func (v Violation) MayResolve() bool { return slices.Contains(transientKinds, v.Kind) }

// Answer is what a caller received for one request.
type Answer struct {
	Team      string `json:"team"`
	Key       string `json:"key,omitempty"` // idempotency key; empty if the request had none
	RequestID string `json:"request_id"`
	Ran       string `json:"ran,omitempty"` // whether a refused request ran: no, yes or unknown
	Complete  bool   `json:"whole"`         // the request succeeded and its answer arrived completely
}

// identity returns the identity under which the request is billed: its team and
// its idempotency key, or its request id if it had no key.
func (a Answer) identity() ledger.Identity {
	if a.Key != "" {
		return ledger.Identity{Team: a.Team, Key: a.Key}
	}
	return ledger.Identity{Team: a.Team, Key: a.RequestID}
}

// Data is the input of the audit.
type Data struct {
	Accounts       map[string]budget.Account // by team
	TopUps         map[string]int64          // sum of the top-ups by team, in tokens
	Records        []ledger.Record
	Runs           []engine.RunRecord
	Effects        []service.Effect
	Answers        []Answer
	ReadViolations []Violation // violations found while reading the sources
}

// audit is the state of one call of Check.
type audit struct {
	*Data
	summary      ledger.BillingSummary
	recordsByRun map[string]ledger.Record // by run id
	violations   []Violation
}

// Check returns all violations, ordered by kind and detail.
func Check(d *Data) []Violation {
	a := &audit{Data: d, summary: ledger.Summarize(d.Records), recordsByRun: map[string]ledger.Record{}}
	for _, r := range d.Records {
		a.recordsByRun[r.RunID] = r
	}
	a.violations = append(a.violations, d.ReadViolations...)
	a.checkAccounts()
	a.checkConsumed()
	a.checkRecords()
	a.checkRuns()
	a.checkEffects()
	a.checkServiceBills()
	a.checkAnswers()
	slices.SortFunc(a.violations, func(x, y Violation) int { return compareViolations(x, y) })
	return a.violations
}

func compareViolations(x, y Violation) int {
	if x.String() < y.String() {
		return -1
	}
	if x.String() > y.String() {
		return 1
	}
	return 0
}

func (a *audit) add(kind Kind, format string, args ...any) {
	a.violations = append(a.violations, Violation{Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// checkAccounts compares the accounts with the top-ups and the records. The
// tokens that are left are not stored but computed from the other amounts of the
// account. So the account is right if this result is not negative and the other
// amounts are confirmed: the topped-up tokens by the top-ups, the settled ones by
// the records.
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
			a.add(BadTopUp, "team %s: top-ups add up to %d tokens, the account has %d", team, a.TopUps[team], account.ToppedUp)
		}
		if account.Settled() != charged[team] {
			a.add(SettledDiffers, "team %s: the account has settled %d tokens, records charge %d", team, account.Settled(), charged[team])
		}
	}
	for team, tokens := range charged {
		if _, ok := a.Accounts[team]; !ok {
			a.add(BadAccount, "team %s: records charge %d tokens, but there is no account", team, tokens)
		}
	}
}

// checkConsumed compares the tokens that the runs of the engines consumed with
// the prepaid ones.
func (a *audit) checkConsumed() {
	consumed := map[string]int64{}
	for _, run := range a.Runs {
		consumed[run.Team] += runTokens(run)
	}
	for team, tokens := range consumed {
		if prepaid := a.Accounts[team].ToppedUp; tokens > prepaid {
			a.add(Overspend, "team %s: engines processed %d tokens, only %d are prepaid", team, tokens, prepaid)
		}
	}
}

// runTokens returns the tokens that a run consumed.
func runTokens(run engine.RunRecord) int64 { return run.PromptTokens + run.OutputTokens }

// checkRecords checks that each record is consistent and that no run is recorded
// twice.
func (a *audit) checkRecords() {
	for _, err := range ledger.CheckRecords(a.Records) {
		a.add(BadRecord, "%v", err)
	}
	for _, id := range a.summary.Duplicates {
		a.add(DoubleBill, "run %s is recorded more than once", id)
	}
}

// checkRuns compares each run of an engine with its record, and checks that each
// billed completion has run. Runs without a record are accepted as long as the
// unaccounted charge of their team covers them.
func (a *audit) checkRuns() {
	seen := map[string]bool{}
	unaccounted := a.unaccountedTokens()
	for _, run := range a.Runs {
		if seen[run.RunID] {
			a.add(LostBill, "run %s ran twice, but can have only one record", run.RunID)
		}
		seen[run.RunID] = true
		record, ok := a.recordsByRun[run.RunID]
		switch {
		case run.Status == engine.RunActive:
			a.add(StillActive, "run %s of team %s", run.RunID, run.Team)
		case !ok && unaccounted[run.Team] > 0 && runTokens(run) <= unaccounted[run.Team]:
			unaccounted[run.Team] -= runTokens(run) // included in the unaccounted charge of its team
		case !ok:
			a.add(LostBill, "run %s of team %s with %d tokens has no record", run.RunID, run.Team, runTokens(run))
		case record.Team != run.Team || record.RequestID != run.RequestID:
			a.add(BadRecord, "run %s: record of team %s, request %s; run of team %s, request %s", run.RunID, record.Team, record.RequestID, run.Team, run.RequestID)
		case record.Charged < runTokens(run):
			a.add(Underbilled, "run %s of team %s: %d tokens charged, %d consumed", run.RunID, run.Team, record.Charged, runTokens(run))
		}
	}
	for _, r := range a.Records {
		if r.Model != "" && r.Billable() && r.Charged > 0 && !seen[r.RunID] {
			a.add(BillWithoutRun, "run %s of team %s is billed, but no engine has run it", r.RunID, r.Team)
		}
	}
}

// unaccountedTokens returns, by team, the tokens that are charged for runs
// whose router and sidecar are both gone, so that no process can report the
// single runs.
func (a *audit) unaccountedTokens() map[string]int64 {
	tokens := map[string]int64{}
	for _, r := range a.Records {
		if r.Unaccounted() {
			tokens[r.Team] += r.Charged
		}
	}
	return tokens
}

// checkEffects checks that each side effect of a service has a record and
// happened only once.
func (a *audit) checkEffects() {
	count := map[ledger.Identity]int{}
	for _, e := range a.Effects {
		count[ledger.Identity{Team: e.Team, Key: e.Key}]++
		if _, ok := a.recordsByRun[e.RunID]; !ok {
			a.add(LostBill, "effect of run %s of team %s has no record", e.RunID, e.Team)
		}
	}
	for id, n := range count {
		if n > 1 {
			a.add(DoubleEffect, "team %s, key %s: %d effects", id.Team, id.Key, n)
		}
	}
}

// checkServiceBills finds service calls that were charged twice. A second
// complete run of a completion is allowed: the ledger bills the first one and
// counts the other as lost.
func (a *audit) checkServiceBills() {
	charged := map[ledger.Identity]int{}
	for _, r := range a.recordsByRun {
		if r.Outcome == ledger.Complete && r.Service != "" && r.Charged > 0 {
			charged[r.Identity]++
		}
	}
	for id, n := range charged {
		if n > 1 {
			a.add(DoubleBill, "team %s, key %s: %d service calls are billed", id.Team, id.Key, n)
		}
	}
}

// checkAnswers compares the answers that callers received with the bills and
// the runs.
func (a *audit) checkAnswers() {
	bills := map[ledger.Identity]ledger.Bill{}
	for _, bill := range a.summary.Bills {
		bills[bill.Identity] = bill
	}
	runByRequest := a.runsByRequest()
	for _, answer := range a.Answers {
		id := answer.identity()
		if answer.Complete && bills[id].RunID == "" {
			a.add(AnswerWithoutBill, "team %s, key %s: request %s was answered, but no run is billed", id.Team, id.Key, answer.RequestID)
		}
		if runID := runByRequest[answer.RequestID]; answer.Ran == "no" && runID != "" {
			a.add(FalseNotRun, "team %s: request %s was refused as not run, but has run as %s", answer.Team, answer.RequestID, runID)
		}
	}
}

// runsByRequest returns, by request id, the id of a run of each request that has
// run according to the engines, the services or a charged record.
func (a *audit) runsByRequest() map[string]string {
	runs := map[string]string{}
	for _, r := range a.Records {
		if r.Charged > 0 {
			runs[r.RequestID] = r.RunID
		}
	}
	for _, run := range a.Runs {
		runs[run.RequestID] = run.RunID
	}
	for _, e := range a.Effects {
		runs[e.RequestID] = e.RunID
	}
	return runs
}
