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

func write(t *testing.T, e *errkind.Error) (*httptest.ResponseRecorder, httpapi.Problem) {
	t.Helper()
	w := httptest.NewRecorder()
	httpapi.WriteProblem(w, e, "req-1")
	var p httpapi.Problem
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
	return w, p
}

// Guards against a retry hint that is rounded to zero or missing in one of the
// header and the body.
func TestRetryHintInHeaderAndBody(t *testing.T) {
	e := errkind.New(errkind.RateLimited, "slow down")
	e.RetryAfter = 1100 * time.Millisecond
	w, p := write(t, e)
	assert.Equal(t, w.Code, 429)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, p.RetryAfterS, int64(2))
	assert.Equal(t, p.Ran, errkind.RanNo)
	assert.Assert(t, errkind.Is(p.Err(), errkind.RateLimited))
	w, _ = write(t, errkind.New(errkind.BudgetExhausted, "empty"))
	assert.Equal(t, w.Header().Get("Retry-After"), "")
}

// Guards against causes and details of inter-process errors reaching callers.
func TestInternalsStayInside(t *testing.T) {
	for _, e := range []*errkind.Error{
		errkind.New(errkind.Fenced, "holder secret-7"),
		errkind.Wrap(errors.New("secret-7"), errkind.Internal, "unexpected error"),
	} {
		w, p := write(t, e)
		assert.Equal(t, w.Code, 500)
		assert.Equal(t, p.Kind, errkind.Internal)
		assert.Equal(t, p.Ran, errkind.RanUnknown)
		assert.Assert(t, !strings.Contains(w.Body.String(), "secret-7"))
	}
}

// Guards against a misspelt field, a second value or an oversized body being
// accepted.
func TestDecodeJSON(t *testing.T) {
	decode := func(media, body string) errkind.Kind {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		r.Header.Set("Content-Type", media)
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
