// Package claim decides whether a non-idempotent request may run. A claim is a
// stored row that names at most one attempt at a time. Only that attempt may
// start.
package claim

import "tarragonridge.example/tarragonridge/internal/core/errkind"

// MaxBodyBytes is the size of the largest response body that a claim stores.
const MaxBodyBytes = 64 << 10

// State is the state of a claim.
type State string

// States of a claim.
const (
	Open    State = "open"    // the attempt may start or is running
	Done    State = "done"    // the result is stored
	Unknown State = "unknown" // the sidecar incarnation has ended; it is not known whether the attempt ran
)

// Result is the response of the run. A body larger than MaxBodyBytes is omitted
// rather than truncated, because a truncated body could be taken for a complete
// one.
type Result struct {
	Status      int    `json:"status"` // HTTP status
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"body_omitted,omitempty"`
	Outcome     string `json:"outcome"`
}

// Attempt is the run that may serve the request.
type Attempt struct {
	ID      string `json:"id"` // run ID
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
	Attempts    int     `json:"attempts"` // 1 plus the number of calls of TakeOver
	Result      *Result `json:"result,omitempty"`
	StartedUS   int64   `json:"started_us"` // Unix time in microseconds
	FinishedUS  int64   `json:"finished_us,omitempty"`
}

// New returns a claim for the first attempt to serve a request.
func New(team, key, contentHash string, attempt Attempt, nowUS int64) Claim {
	return Claim{
		Team: team, Key: key, ContentHash: contentHash,
		State: Open, Attempt: attempt, Attempts: 1, StartedUS: nowUS,
	}
}

// Action is what a router must do about a claim.
type Action string

// Actions of a router.
const (
	Run     Action = "run"     // the claim names the router's own attempt: start it once
	Resolve Action = "resolve" // another attempt is open: ask the sidecar that the claim names
	Replay  Action = "replay"  // respond with the stored result
	Report  Action = "report"  // respond that the outcome is unknown
)

// Decide returns what the router of the given attempt must do about the stored
// claim. It returns IdempotencyConflict if the key was used for other content.
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

// TakeOver replaces the attempt that its sidecar has permanently rejected with
// the attempt next. It returns Conflict if the claim is not open or names another
// attempt than rejectedID.
func (c Claim) TakeOver(rejectedID string, next Attempt) (Claim, error) {
	if c.State != Open || c.Attempt.ID != rejectedID {
		return c, errkind.New(errkind.Conflict, "claim %s is not open under attempt %s", c.Key, rejectedID)
	}
	c.Attempt = next
	c.Attempts++
	return c, nil
}

// Finish stores the result of an attempt, unless a result is stored already. A
// result that arrives after MarkUnknown replaces the unknown outcome. Finish
// returns Conflict if the claim names another attempt.
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

// MarkUnknown records that the sidecar incarnation of an attempt has ended, so
// that its outcome is unknown. A stored result is kept. MarkUnknown returns
// Conflict if the claim names another attempt.
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
