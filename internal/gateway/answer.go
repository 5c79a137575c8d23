package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

// Bounds of the Retry-After header. Callers wait at most a third of the time that
// they have left, so the header states less.
const (
	minRetryAfter     = 50 * time.Millisecond
	retryAfterDivisor = 4 // the header states at most this fraction of the time left
	defaultRetryAfter = 250 * time.Millisecond
)

// writeProblem answers a request with an error of the router itself.
func (g *Gateway) writeProblem(w http.ResponseWriter, req *request, err *errkind.Error) {
	answer := err.Response()
	h := w.Header()
	h.Set("Content-Type", httpapi.ProblemMediaType)
	if answer.RetryAfter > 0 && answer.Ran == errkind.RanNo {
		h.Set("Retry-After", formatRetryAfter(err.RetryAfter, time.Until(req.deadline)))
	}
	g.closeAfterAnswer(h, req)
	body, encodeErr := json.Marshal(httpapi.NewProblem(err, req.meta.RequestID))
	if encodeErr != nil {
		g.opt.Logger.Error("failed to encode the problem document", "err", encodeErr)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status)
	if _, writeErr := w.Write(body); writeErr != nil {
		g.opt.Logger.Debug("caller left before its answer was sent", "request", req.meta.RequestID, "err", writeErr)
	}
	req.status, req.err = answer.Status, err
}

// formatRetryAfter returns the value of the Retry-After header in seconds, limited
// by the time that the caller has left, but at least minRetryAfter.
func formatRetryAfter(wanted, timeLeft time.Duration) string {
	if wanted <= 0 {
		wanted = defaultRetryAfter
	}
	if timeLeft > 0 {
		wanted = min(wanted, timeLeft/retryAfterDivisor)
	}
	wanted = max(wanted, minRetryAfter)
	return strconv.FormatFloat(wanted.Seconds(), 'f', 3, 64)
}
