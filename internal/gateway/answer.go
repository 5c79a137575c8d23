package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

// writeProblem answers a request with an error of the router itself.
func (g *Gateway) writeProblem(w http.ResponseWriter, req *request, err *errkind.Error) {
	answer := err.Response()
	if promisesNoRun(answer.Status) && answer.Ran != errkind.RanNo {
		told := errkind.Wrap(err, errkind.OutcomeUnknown, "%s", err.Detail)
		told.Ran = err.Ran
		g.writeProblem(w, req, told)
		req.err = err
		return
	}
	if req.delivery.conn != nil {
		req.delivery.conn.Answered()
	}
	h := w.Header()
	h.Set("Content-Type", httpapi.ProblemMediaType)
	if answer.RetryAfter > 0 && answer.Ran == errkind.RanNo {
		h.Set("Retry-After", formatRetryAfter(g.returnAfter(time.Now(), req, err)))
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

// returnAfter returns when the caller of a request that was refused should return.
func (g *Gateway) returnAfter(now time.Time, req *request, err *errkind.Error) time.Duration {
	f := admit.Refusal{Here: err.Here, EndsIn: err.RetryAfter, TimeLeft: req.deadline.Sub(now), Impatient: req.meta.Deadline <= 0}
	if req.route != nil {
		f.Objective = req.route.LatencyObjective - now.Sub(req.arrived)
	}
	switch err.Kind {
	case errkind.Stopping:
		f.Here = true
	case errkind.TargetsLimited, errkind.NoRoom:
		f.Reserved = true
	case errkind.Overloaded:
		f.Reserved, f.Brief = f.EndsIn > 0, true
	}
	g.returnsMu.Lock()
	defer g.returnsMu.Unlock()
	return g.returns.After(f)
}

// formatRetryAfter returns the value of the Retry-After header in seconds.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
