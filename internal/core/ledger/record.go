// Package ledger holds run records, the segments in which routers store them,
// and the fold of records into bills.
package ledger

import "strings"

// MaxUnseenTokens bounds the tokens that an engine produces for a run without the
// sidecar seeing them: between the end of the connection and the moment in which
// the engine notices, or as it crashes. A run that the engine did not finish is
// charged for them, because without that teams could consume more than they have
// paid for. It assumes that an engine notices a closed connection within 16
// tokens.
const MaxUnseenTokens = 16

// Outcome says how a run ended.
type Outcome string

// Outcomes of a run.
const (
	Complete Outcome = "whole"    // the target finished the answer
	Capped   Outcome = "capped"   // the sidecar stopped the run at its output cap
	Failed   Outcome = "failed"   // the target reported an error
	Crashed  Outcome = "crashed"  // the target went away during the run
	Canceled Outcome = "canceled" // the caller gave up and gave no idempotency key
	Lost     Outcome = "lost"     // no witness is left; Charged is the reservation
)

// Identity names a request. Key is the caller's idempotency key or the id that
// the router generated.
type Identity struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

// Record is the account of one run. The sidecar creates it when the run ends.
type Record struct {
	Identity
	RunID        string  `json:"run_id"` // unique per attempt
	RequestID    string  `json:"request_id"`
	Holder       string  `json:"holder"` // router incarnation whose grant pays
	Target       string  `json:"target"`
	Sidecar      string  `json:"sidecar"` // sidecar incarnation
	Model        string  `json:"model,omitempty"`
	Service      string  `json:"service,omitempty"`
	Workload     string  `json:"workload,omitempty"`
	PromptTokens int64   `json:"prompt_tokens"`
	OutputTokens int64   `json:"output_tokens"`
	Reserved     int64   `json:"reserved"` // tokens
	Charged      int64   `json:"charged"`  // tokens, at most Reserved
	Outcome      Outcome `json:"outcome"`
	StartedUS    int64   `json:"started_us"` // unix time in microseconds
	EndedUS      int64   `json:"ended_us"`
}

// Billable reports whether the run delivered an answer that is billed. Charges
// of other runs are shown as lost.
func (r Record) Billable() bool {
	return r.Outcome == Complete || r.Outcome == Capped || r.Outcome == Canceled
}

// UnaccountedPrefix begins the key of a record that charges what was left of a
// dead holder's grant, because no process can name the runs that consumed it.
const UnaccountedPrefix = "unaccounted-"

// Unaccounted reports whether the record stands for runs that nobody can name.
func (r Record) Unaccounted() bool {
	return r.Outcome == Lost && r.Sidecar == "" && strings.HasPrefix(r.Key, UnaccountedPrefix)
}
