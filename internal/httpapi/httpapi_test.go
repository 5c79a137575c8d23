package httpapi_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

func writeProblem(t *testing.T, err *errkind.Error) (*httptest.ResponseRecorder, httpapi.Problem) {
	t.Helper()
	w := httptest.NewRecorder()
	httpapi.WriteProblem(w, err, "req-1")
	var problem httpapi.Problem
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &problem))
	return w, problem
}

// Guards against a retry delay that is rounded to zero, or that is missing in
// the header or in the body.
func TestRetryHintInHeaderAndBody(t *testing.T) {
	err := errkind.New(errkind.RateLimited, "slow down")
	err.RetryAfter = 1100 * time.Millisecond
	w, problem := writeProblem(t, err)
	assert.Equal(t, w.Code, 429)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, problem.RetryAfterS, int64(2))
	assert.Equal(t, problem.Ran, errkind.RanNo)
	assert.Assert(t, errkind.Is(problem.Err(), errkind.RateLimited))
	w, _ = writeProblem(t, errkind.New(errkind.BudgetExhausted, "empty"))
	assert.Equal(t, w.Header().Get("Retry-After"), "")
}

// Guards against responses to callers containing the cause of an error, or the
// detail of an error that is meant only for other processes.
func TestInternalsStayInside(t *testing.T) {
	for _, err := range []*errkind.Error{
		errkind.New(errkind.Fenced, "holder secret-7"),
		errkind.Wrap(errors.New("secret-7"), errkind.Internal, "unexpected error"),
	} {
		w, problem := writeProblem(t, err)
		assert.Equal(t, w.Code, 500)
		assert.Equal(t, problem.Kind, errkind.Internal)
		assert.Equal(t, problem.Ran, errkind.RanUnknown)
		assert.Assert(t, !strings.Contains(w.Body.String(), "secret-7"))
	}
}

// Guards against accepting a misspelled field, a second JSON value or a body
// that is too large.
func TestDecodeJSON(t *testing.T) {
	decode := func(mediaType, body string) errkind.Kind {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		r.Header.Set("Content-Type", mediaType)
		var v struct{ A int }
		return errkind.Of(httpapi.DecodeJSON(httptest.NewRecorder(), r, 20, &v))
	}
	assert.Equal(t, decode("application/json; charset=utf-8", `{"a": 1}`), errkind.Kind(""))
	assert.Equal(t, decode("text/plain", `{"a": 1}`), errkind.UnsupportedMediaType)
	assert.Equal(t, decode("application/json", `{"b": 1}`), errkind.InvalidRequest)
	assert.Equal(t, decode("application/json", `{"a": 1} {}`), errkind.InvalidRequest)
	assert.Equal(t, decode("application/json", ``), errkind.InvalidRequest)
	assert.Equal(t, decode("application/json", `{"a": 1`+strings.Repeat(" ", 30)+`}`), errkind.BodyTooLarge)
}
