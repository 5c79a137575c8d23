// Package httpapi holds what the callers' API and the admin API share: the
// form of error answers, request ids and the reading of credentials.
package httpapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Names of headers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ProblemMediaType is the media type of error answers.
const ProblemMediaType = "application/problem+json"

// typePrefix makes the problem type of a kind.
const typePrefix = "urn:tarragonridge:problem:"

// Problem is the body of an error answer (RFC 9457).
type Problem struct {
	Type        string       `json:"type"`
	Title       string       `json:"title"`
	Status      int          `json:"status"`
	Detail      string       `json:"detail,omitempty"`
	Kind        errkind.Kind `json:"kind"`
	Ran         errkind.Ran  `json:"ran"`
	Billed      int64        `json:"billed"`                  // tokens
	RetryAfterS int64        `json:"retry_after_s,omitempty"` // absent if a retry does not help
	RequestID   string       `json:"request_id"`
	Error       ErrorObject  `json:"error"` // the form in which clients of the OpenAI format read errors
}

// ErrorObject repeats a problem for clients of the OpenAI format.
type ErrorObject struct {
	Message string       `json:"message"`
	Type    errkind.Kind `json:"type"`
	Code    errkind.Kind `json:"code"`
}

// NewProblem returns the body for an error. Causes stay out of it, and so does
// the detail of a kind that must not reach callers.
func NewProblem(e *errkind.Error, requestID string) Problem {
	a := e.Response()
	detail := e.Detail
	if a.Kind != e.Kind {
		detail = a.Title
	}
	return Problem{
		Type: typePrefix + string(a.Kind), Title: a.Title, Status: a.Status, Detail: detail,
		Kind: a.Kind, Ran: a.Ran, Billed: e.Billed,
		RetryAfterS: int64(math.Ceil(a.RetryAfter.Seconds())), RequestID: requestID,
		Error: ErrorObject{Message: a.Title + ": " + detail, Type: a.Kind, Code: a.Kind},
	}
}

// WriteProblem writes the answer to a failed request.
func WriteProblem(w http.ResponseWriter, e *errkind.Error, requestID string) {
	p := NewProblem(e, requestID)
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // Problem consists of strings and integers
	}
	h := w.Header()
	h.Set("Content-Type", ProblemMediaType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequestID, requestID)
	if p.RetryAfterS > 0 {
		h.Set("Retry-After", strconv.FormatInt(p.RetryAfterS, 10))
	}
	if p.Kind == errkind.Unauthenticated {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	// A failed write means that the client is gone; nobody is left to tell.
	_, _ = w.Write(body)
}

// Err returns the error that a problem stands for.
func (p Problem) Err() *errkind.Error {
	return &errkind.Error{
		Kind: p.Kind, Detail: p.Detail, Ran: p.Ran, Billed: p.Billed,
		RetryAfter: time.Duration(p.RetryAfterS) * time.Second,
	}
}

// NewRequestID returns a unique id that sorts by time.
func NewRequestID() string { return ulid.Make().String() }

const requestIDKey = "tarragonridge.request_id"

// RequestID returns the id of the request and sets it as a response header. The
// first call generates it.
func RequestID(c *echo.Context) string {
	if id, ok := c.Get(requestIDKey).(string); ok {
		return id
	}
	id := NewRequestID()
	c.Set(requestIDKey, id)
	c.Response().Header().Set(HeaderRequestID, id)
	return id
}

// ErrorHandler answers errors of handlers and of the echo router itself, such
// as an unknown path. It does nothing if the answer has begun.
func ErrorHandler(c *echo.Context, err error) {
	if r, unwrapErr := echo.UnwrapResponse(c.Response()); unwrapErr == nil && r.Committed {
		return
	}
	WriteProblem(c.Response(), AsError(err), RequestID(c))
}

// kindOfStatus maps the statuses that echo itself produces.
var kindOfStatus = map[int]errkind.Kind{
	http.StatusBadRequest:            errkind.InvalidRequest,
	http.StatusUnauthorized:          errkind.Unauthenticated,
	http.StatusForbidden:             errkind.Forbidden,
	http.StatusNotFound:              errkind.NotFound,
	http.StatusMethodNotAllowed:      errkind.MethodNotAllowed,
	http.StatusRequestEntityTooLarge: errkind.BodyTooLarge,
	http.StatusUnsupportedMediaType:  errkind.UnsupportedMediaType,
}

// AsError returns err with a kind, also if it comes from echo or net/http.
func AsError(err error) *errkind.Error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Wrap(err, errkind.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit)
	}
	if kind, ok := kindOfStatus[echo.StatusCode(err)]; ok {
		return errkind.Wrap(err, kind, "%s", errkind.ResponseFor(kind).Title)
	}
	return errkind.From(err)
}

// BearerKey returns the key of the Authorization header.
func BearerKey(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}
