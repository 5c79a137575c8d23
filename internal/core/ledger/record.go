// Package ledger defines run records, the segments in which routers store them
// and the objects in which segments are archived, and computes bills from the
// records. A holder is the router incarnation (one start of its process) whose
// grants pay for the runs.
package ledger

import "strings"

// MaxUnseenTokens is the largest number of tokens that an engine is assumed to
// produce for a run without the sidecar receiving them: until the engine notices
// that the connection is closed, or when it crashes. A run that the engine did not
// finish is charged for them; otherwise teams could consume more than they have
// paid for. The value assumes that an engine notices a closed connection within
// 16 tokens.
const MaxUnseenTokens = 16

// Outcome says how a run ended.
type Outcome string

// Outcomes of a run.
const (
	Complete Outcome = "whole"    // the target finished the response
	Capped   Outcome = "capped"   // the sidecar stopped the run at its output cap
	Failed   Outcome = "failed"   // the target reported an error
	Crashed  Outcome = "crashed"  // the target crashed during the run
	Canceled Outcome = "canceled" // the caller disconnected and had given no idempotency key
	Lost     Outcome = "lost"     // no process has a record of the run; Charged is the reservation
)

// Identity identifies a request. Key is the caller's idempotency key, or the
// request ID that the router generated if the caller gave none.
type Identity struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

// Record is the accounting record of one run. The sidecar creates it when the run
// ends.
type Record struct {
	Identity
	RunID        string  `json:"run_id"` // unique per attempt
	RequestID    string  `json:"request_id"`
	Holder       string  `json:"holder"` // router incarnation whose grant pays for the run
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
	StartedUS    int64   `json:"started_us"` // Unix time in microseconds
	EndedUS      int64   `json:"ended_us"`
}

// Billable reports whether the run has an outcome that is billed. The charges of
// other runs count as lost.
func (r Record) Billable() bool {
	return r.Outcome == Complete || r.Outcome == Capped || r.Outcome == Canceled
}

// UnaccountedPrefix is the prefix of the key of a record that charges the rest of
// a dead holder's grant, because no process knows which runs consumed it.
const UnaccountedPrefix = "unaccounted-"

// Unaccounted reports whether the record charges the rest of a dead holder's
// grant in place of unknown runs.
func (r Record) Unaccounted() bool {
	return r.Outcome == Lost && r.Sidecar == "" && strings.HasPrefix(r.Key, UnaccountedPrefix)
}
