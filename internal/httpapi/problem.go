// Package httpapi contains what the callers' API and the admin API have in
// common: error responses, request IDs, decoding of JSON bodies and reading of
// bearer keys.
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

// HTTP header names.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ProblemMediaType is the media type of error responses.
const ProblemMediaType = "application/problem+json"

// problemTypePrefix followed by an error kind is the problem type URI.
const problemTypePrefix = "urn:tarragonridge:problem:"

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type        string       `json:"type"`
	Title       string       `json:"title"`
	Status      int          `json:"status"`
	Detail      string       `json:"detail,omitempty"`
	Kind        errkind.Kind `json:"kind"`
	Ran         errkind.Ran  `json:"ran"`
	Billed      int64        `json:"billed"`                  // tokens
	RetryAfterS int64        `json:"retry_after_s,omitempty"` // rounded up; absent if a retry does not help
	RequestID   string       `json:"request_id"`
	Error       ErrorObject  `json:"error"` // for clients that expect errors in the OpenAI format
}

// ErrorObject repeats a problem in the OpenAI error format.
type ErrorObject struct {
	Message string       `json:"message"`
	Type    errkind.Kind `json:"type"`
	Code    errkind.Kind `json:"code"`
}

// NewProblem returns the response body for an error. It contains neither the
// cause of the error nor, for kinds that must not reach callers, the detail.
func NewProblem(err *errkind.Error, requestID string) Problem {
	response := err.Response()
	detail := err.Detail
	if response.Kind != err.Kind {
		detail = response.Title
	}
	return Problem{
		Type: problemTypePrefix + string(response.Kind), Title: response.Title, Status: response.Status, Detail: detail,
		Kind: response.Kind, Ran: response.Ran, Billed: err.Billed,
		RetryAfterS: int64(math.Ceil(response.RetryAfter.Seconds())), RequestID: requestID,
		Error: ErrorObject{Message: response.Title + ": " + detail, Type: response.Kind, Code: response.Kind},
	}
}

// WriteProblem writes the response to a failed request.
func WriteProblem(w http.ResponseWriter, failure *errkind.Error, requestID string) {
	problem := NewProblem(failure, requestID)
	body, err := json.Marshal(problem)
	if err != nil {
		panic(err) // cannot occur: Problem consists of strings and integers
	}
	header := w.Header()
	header.Set("Content-Type", ProblemMediaType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderRequestID, requestID)
	if problem.RetryAfterS > 0 {
		header.Set("Retry-After", strconv.FormatInt(problem.RetryAfterS, 10))
	}
	if problem.Kind == errkind.Unauthenticated {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(problem.Status)
	// If the write fails, the client has disconnected; there is nobody to
	// report the error to.
	_, _ = w.Write(body)
}

// Err returns the error that the problem describes.
func (p Problem) Err() *errkind.Error {
	return &errkind.Error{
		Kind: p.Kind, Detail: p.Detail, Ran: p.Ran, Billed: p.Billed,
		RetryAfter: time.Duration(p.RetryAfterS) * time.Second,
	}
}

// NewRequestID returns a unique ID. IDs sort by creation time.
func NewRequestID() string { return ulid.Make().String() }

const requestIDContextKey = "tarragonridge.request_id"

// RequestID returns the ID of the request. The first call for a request
// generates the ID and sets the response header.
func RequestID(c *echo.Context) string {
	if id, ok := c.Get(requestIDContextKey).(string); ok {
		return id
	}
	id := NewRequestID()
	c.Set(requestIDContextKey, id)
	c.Response().Header().Set(HeaderRequestID, id)
	return id
}

// ErrorHandler writes the response for errors returned by handlers and by the
// echo router itself, such as an unknown path. It does nothing if the response
// has been started.
func ErrorHandler(c *echo.Context, err error) {
	if response, unwrapErr := echo.UnwrapResponse(c.Response()); unwrapErr == nil && response.Committed {
		return
	}
	WriteProblem(c.Response(), AsError(err), RequestID(c))
}

// kindByStatus maps the HTTP statuses of errors produced by echo to error
// kinds.
var kindByStatus = map[int]errkind.Kind{
	http.StatusBadRequest:            errkind.InvalidRequest,
	http.StatusUnauthorized:          errkind.Unauthenticated,
	http.StatusForbidden:             errkind.Forbidden,
	http.StatusNotFound:              errkind.NotFound,
	http.StatusMethodNotAllowed:      errkind.MethodNotAllowed,
	http.StatusRequestEntityTooLarge: errkind.BodyTooLarge,
	http.StatusUnsupportedMediaType:  errkind.UnsupportedMediaType,
}

// AsError converts err to an *errkind.Error. It recognizes errors of echo and
// the body size limit of net/http.
func AsError(err error) *errkind.Error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Wrap(err, errkind.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit)
	}
	if kind, ok := kindByStatus[echo.StatusCode(err)]; ok {
		return errkind.Wrap(err, kind, "%s", errkind.ResponseFor(kind).Title)
	}
	return errkind.From(err)
}

// BearerKey returns the key in the Authorization header and whether there is
// one.
func BearerKey(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}
