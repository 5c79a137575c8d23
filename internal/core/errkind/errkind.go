// Package errkind defines the closed list of error kinds and maps each kind to
// the response that a caller receives.
package errkind

import (
	"errors"
	"fmt"
	"time"
)

// Kind is a class of errors. Every error that reaches a caller or another process
// has one of the kinds below.
type Kind string

// Kinds that reach callers and operators.
const (
	InvalidRequest       Kind = "invalid_request"
	Unauthenticated      Kind = "unauthenticated"
	BudgetExhausted      Kind = "budget_exhausted"
	Forbidden            Kind = "forbidden"
	NotFound             Kind = "not_found"
	UnknownModel         Kind = "unknown_model"
	MethodNotAllowed     Kind = "method_not_allowed"
	Conflict             Kind = "conflict"
	VersionConflict      Kind = "version_conflict"
	BodyTooLarge         Kind = "body_too_large"
	UnsupportedMediaType Kind = "unsupported_media_type"
	IdempotencyConflict  Kind = "idempotency_conflict"
	RequestQuarantined   Kind = "request_quarantined"
	VersionRequired      Kind = "version_required"
	RateLimited          Kind = "rate_limited"
	BudgetBusy           Kind = "budget_busy"
	Canceled             Kind = "canceled"
	Internal             Kind = "internal"
	TargetFailed         Kind = "target_failed"
	TargetCrashed        Kind = "target_crashed"
	OutcomeUnknown       Kind = "outcome_unknown"
	Overloaded           Kind = "overloaded"
	NoTarget             Kind = "no_target"
	NoRoom               Kind = "no_room"
	TargetsLimited       Kind = "targets_limited"
	VersionUnknown       Kind = "version_unknown"
	PlatformUnavailable  Kind = "platform_unavailable"
	Stopping             Kind = "stopping"
	DeadlineExceeded     Kind = "deadline_exceeded"
)

// Kinds that are used only between processes. The receiver makes another attempt or
// reads the state again. They are never sent to a caller.
const (
	Fenced            Kind = "fenced"             // the work of the holder is refused
	Draining          Kind = "draining"           // the target accepts no new runs
	StaleConfig       Kind = "stale_config"       // the sender has an older configuration than the receiver
	Tombstoned        Kind = "tombstoned"         // the run is rejected permanently
	PlatformUncertain Kind = "platform_uncertain" // a commit may or may not have taken effect
	PlatformRefused   Kind = "platform_refused"   // a commit has not taken effect, and never will as it is
	Unreachable       Kind = "unreachable"        // the other process did not respond
)

// Ran says whether the request ran at a target.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Response is the response to a caller whose request failed with an error of the
// given kind.
type Response struct {
	Kind       Kind
	Status     int           // HTTP status
	Title      string        // title of the problem details (RFC 9457)
	Ran        Ran           // default; an Error may have a more precise value
	RetryAfter time.Duration // default; 0 means that the caller should not retry
}

const (
	retrySoon  = 1 * time.Second
	retryLater = 5 * time.Second
)

var responses = []Response{
	{InvalidRequest, 400, "invalid request", RanNo, 0},
	{Unauthenticated, 401, "missing or unknown key", RanNo, 0},
	{BudgetExhausted, 402, "budget exhausted", RanNo, 0},
	{Forbidden, 403, "not permitted", RanNo, 0},
	{NotFound, 404, "not found", RanNo, 0},
	{UnknownModel, 404, "unknown model", RanNo, 0},
	{MethodNotAllowed, 405, "method not allowed", RanNo, 0},
	{Conflict, 409, "conflicts with existing state", RanNo, 0},
	{VersionConflict, 412, "version conflict", RanNo, 0},
	{BodyTooLarge, 413, "body too large", RanNo, 0},
	{UnsupportedMediaType, 415, "unsupported media type", RanNo, 0},
	{IdempotencyConflict, 422, "idempotency key was used with another body", RanNo, 0},
	{RequestQuarantined, 422, "request is quarantined", RanNo, 0},
	{VersionRequired, 428, "If-Match is required", RanNo, 0},
	{RateLimited, 429, "rate limit exceeded", RanNo, retrySoon},
	{BudgetBusy, 429, "budget is reserved by requests in progress", RanNo, retrySoon},
	{Canceled, 499, "canceled by the caller", RanUnknown, 0},
	{Internal, 500, "internal error", RanUnknown, 0},
	{TargetFailed, 502, "target failed", RanYes, 0},
	{TargetCrashed, 502, "target crashed", RanYes, 0},
	{OutcomeUnknown, 502, "outcome unknown", RanUnknown, 0},
	{Overloaded, 503, "overloaded", RanNo, retrySoon},
	{NoTarget, 503, "no target available", RanNo, retrySoon},
	{NoRoom, 503, "this router has no room", RanNo, retrySoon},
	{TargetsLimited, 503, "targets are at their request limits", RanNo, retrySoon},
	{VersionUnknown, 503, "version that began the stream is unknown", RanNo, 0},
	{PlatformUnavailable, 503, "platform unavailable", RanNo, retryLater},
	{Stopping, 503, "router is stopping", RanNo, retrySoon},
	{DeadlineExceeded, 504, "not started before the deadline", RanNo, retrySoon},
}

var responseByKind = func() map[Kind]Response {
	m := make(map[Kind]Response, len(responses))
	for _, r := range responses {
		m[r.Kind] = r
	}
	return m
}()

// Responses returns the responses for all kinds that reach callers, ordered by
// status. The caller may modify the slice.
func Responses() []Response {
	return append([]Response(nil), responses...)
}

// ResponseFor returns the response for a kind. For a kind that must not reach a
// caller, it returns the response for Internal.
func ResponseFor(k Kind) Response {
	if r, ok := responseByKind[k]; ok {
		return r
	}
	return responseByKind[Internal]
}

// Error is an error with a kind.
type Error struct {
	Kind       Kind
	Detail     string        // plain text; must not contain secrets or prompt text
	Ran        Ran           // empty means the default of the kind
	RetryAfter time.Duration // 0 means the default of the kind
	// Here says that only the process that refuses is short of room, so that another one
	// may serve the request at once.
	Here   bool
	Billed int64 // tokens billed for the request
	Cause  error
}

// Error returns the kind, the detail and the cause, if there is one.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// Response returns the response for the error's kind, with the values that the
// error overrides.
func (e *Error) Response() Response {
	r := ResponseFor(e.Kind)
	if e.Ran != "" {
		r.Ran = e.Ran
	}
	if e.RetryAfter > 0 {
		r.RetryAfter = e.RetryAfter
	}
	return r
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a cause.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Of returns the kind of err, Internal if err has no kind, and "" if err is nil.
func Of(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool {
	return err != nil && Of(err) == k
}

// From returns the *Error in the chain of err. If there is none, it wraps err in an
// Error of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}
