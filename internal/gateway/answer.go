package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

// Bounds of the time to come back. Callers honour at most a third of the time
// that they have left.
const (
	leastRetryAfter   = 50 * time.Millisecond
	retryShareOfLeft  = 4
	defaultRetryAfter = 250 * time.Millisecond
)

// refuse answers with an error of the router's own.
func (g *Gateway) refuse(w http.ResponseWriter, x *request, err *errkind.Error) {
	answer := err.Response()
	h := w.Header()
	h.Set("Content-Type", httpapi.ProblemMediaType)
	if answer.RetryAfter > 0 && answer.Ran == errkind.RanNo {
		h.Set("Retry-After", retryAfter(err.RetryAfter, time.Until(x.deadline)))
	}
	if g.phase.Load() != phaseServing {
		h.Set("Connection", "close")
	}
	body, encodeErr := json.Marshal(httpapi.NewProblem(err, x.meta.RequestID))
	if encodeErr != nil {
		g.opt.Logger.Error("problem not encoded", "err", encodeErr)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status)
	if _, writeErr := w.Write(body); writeErr != nil {
		g.opt.Logger.Debug("caller left before its answer", "request", x.meta.RequestID, "err", writeErr)
	}
	x.status, x.err = answer.Status, err
}

// retryAfter formats the time to come back in seconds, within what the caller
// has left.
func retryAfter(want, left time.Duration) string {
	if want <= 0 {
		want = defaultRetryAfter
	}
	if left > 0 {
		want = min(want, left/retryShareOfLeft)
	}
	want = max(want, leastRetryAfter)
	return strconv.FormatFloat(want.Seconds(), 'f', 3, 64)
}
