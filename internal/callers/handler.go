package callers

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Handler returns a handler that notes on their connections that requests are in progress.
// Those beyond the limit of requests in progress, or whose bodies have no clear end, are
// refused.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		err := c.Begin(r)
		switch {
		case err == nil:
			next.ServeHTTP(&answerWriter{w, c}, r)
		case errors.Is(err, ErrGone):
			panic(http.ErrAbortHandler)
		default:
			c.Answered()
			answer := errkind.From(err).Response()
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", strconv.Itoa(int(answer.RetryAfter/time.Second)))
			w.WriteHeader(answer.Status)
		}
	})
}

// answerWriter notes on its connection that an answer begins.
type answerWriter struct {
	http.ResponseWriter
	conn *Conn
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.conn.Answered()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.conn.Answered()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
