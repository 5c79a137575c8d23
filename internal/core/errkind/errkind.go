// Package errkind holds the closed list of error kinds and the table that maps
// each kind to the answer a caller receives.
package errkind

import (
	"errors"
	"fmt"
	"time"
)

// Kind names a class of failure. The list is closed: every error that reaches
// a caller or another process carries one of the constants below.
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
	PlatformUnavailable  Kind = "platform_unavailable"
	Stopping             Kind = "stopping"
	DeadlineExceeded     Kind = "deadline_exceeded"
)

// Kinds that stay between processes. They lead to another attempt or a
// read-back and are never sent to a caller.
const (
	Fenced            Kind = "fenced"
	Draining          Kind = "draining"
	StaleConfig       Kind = "stale_config"
	Tombstoned        Kind = "tombstoned"
	PlatformUncertain Kind = "platform_uncertain"
	Unreachable       Kind = "unreachable"
)

// Ran says whether the request ran at a target.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Response is the row of the table for one kind.
type Response struct {
	Kind       Kind
	Status     int           // HTTP status
	Title      string        // short text for RFC 9457 title
	Ran        Ran           // default; an Error may carry a more precise value
	RetryAfter time.Duration // default; 0 means that a retry does not help
}

const (
	retrySoon  = 1 * time.Second
	retryLater = 5 * time.Second
)

var table = []Response{
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
	{PlatformUnavailable, 503, "platform unavailable", RanNo, retryLater},
	{Stopping, 503, "router is stopping", RanNo, retrySoon},
	{DeadlineExceeded, 504, "not started before the deadline", RanNo, retrySoon},
}

var byKind = func() map[Kind]Response {
	m := make(map[Kind]Response, len(table))
	for _, a := range table {
		m[a.Kind] = a
	}
	return m
}()

// Responses returns a copy of the table, ordered by status.
func Responses() []Response {
	return append([]Response(nil), table...)
}

// ResponseFor returns the answer for a kind. A kind that must not reach a caller
// maps to Internal.
func ResponseFor(k Kind) Response {
	if a, ok := byKind[k]; ok {
		return a
	}
	return byKind[Internal]
}

// Error is an error with a kind.
type Error struct {
	Kind       Kind
	Detail     string        // plain text, free of secrets and prompt text
	Ran        Ran           // empty means the default of the kind
	RetryAfter time.Duration // 0 means the default of the kind
	Billed     int64         // tokens billed for the request
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response returns the answer with the values that the error overrides.
func (e *Error) Response() Response {
	a := ResponseFor(e.Kind)
	if e.Ran != "" {
		a.Ran = e.Ran
	}
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a cause.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Of returns the kind of err, Internal if it carries none, and "" for nil.
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

// Is reports whether err carries kind k.
func Is(err error, k Kind) bool {
	return err != nil && Of(err) == k
}

// From returns err as an *Error, as Internal if it carries no kind.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}
