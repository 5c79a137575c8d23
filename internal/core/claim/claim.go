// Package claim decides whether a non-idempotent request may run. A claim
// names at most one attempt at a time, and only that attempt may start.
package claim

import "tarragonridge.example/tarragonridge/internal/core/errkind"

// MaxBodyBytes is the largest answer body that a claim stores, in bytes.
const MaxBodyBytes = 64 << 10

// State of a claim.
type State string

// States of a claim.
const (
	Open    State = "open"    // the attempt may run or be running
	Done    State = "done"    // the result is stored
	Unknown State = "unknown" // the sidecar incarnation is gone; nobody knows whether it ran
)

// Result is the answer of the run. A body larger than MaxBody is not stored,
// because a part of an answer must not be taken for the whole.
type Result struct {
	Status      int    `json:"status"` // HTTP status
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"body_omitted,omitempty"`
	Outcome     string `json:"outcome"`
}

// Attempt names who may run the request.
type Attempt struct {
	ID      string `json:"id"` // run id
	Router  string `json:"router"`
	Target  string `json:"target"`
	Sidecar string `json:"sidecar"` // sidecar incarnation
}

// Claim is the stored row of a non-idempotent request.
type Claim struct {
	Team        string  `json:"team"`
	Key         string  `json:"key"` // idempotency key
	ContentHash string  `json:"content_hash"`
	State       State   `json:"state"`
	Attempt     Attempt `json:"attempt"`
	Attempts    int     `json:"attempts"` // 1 plus the number of takeovers
	Result      *Result `json:"result,omitempty"`
	StartedUS   int64   `json:"started_us"` // unix time in microseconds
	FinishedUS  int64   `json:"finished_us,omitempty"`
}

// New returns the claim of a first attempt.
func New(team, key, contentHash string, attempt Attempt, nowUS int64) Claim {
	return Claim{
		Team: team, Key: key, ContentHash: contentHash,
		State: Open, Attempt: attempt, Attempts: 1, StartedUS: nowUS,
	}
}

// Action says what a router does about a claim.
type Action string

// Actions of a router.
const (
	Run     Action = "run"     // the claim is the router's own: start the attempt once
	Resolve Action = "resolve" // ask the sidecar that the claim names
	Replay  Action = "replay"  // answer with the stored result
	Report  Action = "report"  // answer that the outcome is unknown
)

// Decide returns what a router with the given attempt does about the stored
// claim. It returns IdempotencyConflict if the key belongs to another body.
func (c Claim) Decide(contentHash, attemptID string) (Action, error) {
	if c.ContentHash != contentHash {
		return "", errkind.New(errkind.IdempotencyConflict, "key %s was used with another body", c.Key)
	}
	switch {
	case c.State == Done:
		return Replay, nil
	case c.State == Unknown:
		return Report, nil
	case c.Attempt.ID == attemptID:
		return Run, nil
	}
	return Resolve, nil
}

// TakeOver replaces an attempt that its sidecar has rejected for ever. It
// returns Conflict if the claim is no longer open under that attempt.
func (c Claim) TakeOver(rejected string, next Attempt) (Claim, error) {
	if c.State != Open || c.Attempt.ID != rejected {
		return c, errkind.New(errkind.Conflict, "claim %s is not open under attempt %s", c.Key, rejected)
	}
	c.Attempt = next
	c.Attempts++
	return c, nil
}

// Finish stores the result of an attempt. The first result stays. A result
// that arrives after MarkUnknown replaces the unknown outcome. It returns
// Conflict if the claim belongs to another attempt.
func (c Claim) Finish(attemptID string, result Result, nowUS int64) (Claim, error) {
	if c.Attempt.ID != attemptID {
		return c, errkind.New(errkind.Conflict, "claim %s belongs to attempt %s", c.Key, c.Attempt.ID)
	}
	if c.State == Done {
		return c, nil
	}
	if len(result.Body) > MaxBodyBytes {
		result.Body = nil
		result.BodyOmitted = true
	}
	c.State = Done
	c.Result = &result
	c.FinishedUS = nowUS
	return c, nil
}

// MarkUnknown records that the sidecar incarnation of an attempt is gone. A
// stored result stays. It returns Conflict if the claim belongs to another
// attempt.
func (c Claim) MarkUnknown(attemptID string, nowUS int64) (Claim, error) {
	if c.Attempt.ID != attemptID {
		return c, errkind.New(errkind.Conflict, "claim %s belongs to attempt %s", c.Key, c.Attempt.ID)
	}
	if c.State == Open {
		c.State = Unknown
		c.FinishedUS = nowUS
	}
	return c, nil
}
