package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/sse"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

const (
	// wholeBytes is the size up to which a plain answer is held until it is
	// complete, so that one that breaks off can be replaced by another.
	wholeBytes = 256 << 10
	// streamBuffer is the read size of a stream; events hold some ten bytes.
	streamBuffer = 2 << 10
	// maxEventBytes bounds an event.
	maxEventBytes = 1 << 20
	// leastStall is the least silence within a stream after which it goes on at
	// another target.
	leastStall = 1500 * time.Millisecond
	// stallGaps is the same in multiples of the route's longest pause.
	stallGaps = 4
	// writeMargin is how long after the deadline a write to the caller may last.
	writeMargin = 500 * time.Millisecond
	// drainBytes bounds what is read of an answer that is passed over.
	drainBytes = 64 << 10
)

// drainBody reads a short body to its end, so that the connection can be kept.
func drainBody(a *upstream.Response) {
	// The end of the body decides whether the connection is kept.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, drainBytes))
}

// sendWhole forwards a plain answer.
func (g *Gateway) sendWhole(ctx context.Context, w http.ResponseWriter, x *request, a *upstream.Response) (outcome, error) {
	if err := a.SetReadDeadline(x.deadline); err != nil {
		return g.failed(ctx, x, err)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes+1))
	if err != nil {
		return g.cut(ctx, x, err)
	}
	if a.StatusCode >= 500 && x.route.Repeatable() && x.runs < x.route.MaxAttempts {
		return broken, errFailedRun
	}
	g.writeHead(w, x, a)
	if len(body) <= wholeBytes && a.Framed() {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.status = a.StatusCode
	w.WriteHeader(a.StatusCode)
	x.started = true
	if _, err := w.Write(body); err != nil {
		return abandoned, err
	}
	if len(body) > wholeBytes {
		if _, err := io.Copy(w, a.Body); err != nil {
			return g.cut(ctx, x, err)
		}
	}
	return served, nil
}

// writeHead sets the headers of the answer.
func (g *Gateway) writeHead(w http.ResponseWriter, x *request, a *upstream.Response) {
	h := w.Header()
	for name, values := range g.opt.Codec.CallerHeaders(a.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps the server from guessing
	}
	if !a.Framed() {
		// Only the end of the connection ends this answer, for the caller too:
		// nobody can tell whether it is complete.
		h.Set("Transfer-Encoding", "identity")
	}
	if g.phase.Load() != phaseServing {
		h.Set("Connection", "close")
	}
}

// cut classifies an answer that broke off.
func (g *Gateway) cut(ctx context.Context, x *request, err error) (outcome, error) {
	if ctx.Err() != nil || !time.Now().Before(x.deadline) {
		return abandoned, err
	}
	return broken, &upstream.Failure{Sent: true, TimedOut: upstream.IsTimeout(err), Cause: err}
}

// sendStream forwards whole events as they arrive. The head of the answer goes
// out with the first event, so that until then another target may answer.
func (g *Gateway) sendStream(ctx context.Context, w http.ResponseWriter, x *request, a *upstream.Response) (outcome, error) {
	control := http.NewResponseController(w)
	events := sse.NewSplitter(maxEventBytes)
	buf := make([]byte, streamBuffer)
	for {
		if err := a.SetReadDeadline(g.stallAt(x)); err != nil {
			return g.cut(ctx, x, err)
		}
		n, readErr := a.Body.Read(buf)
		if n > 0 {
			whole, err := events.Add(buf[:n])
			if err != nil {
				return g.cut(ctx, x, err)
			}
			if err := g.sendEvents(w, control, x, a, whole); err != nil {
				return abandoned, err
			}
		}
		switch {
		case readErr == nil:
		case !errors.Is(readErr, io.EOF):
			return g.cut(ctx, x, readErr)
		case events.PendingBytes() > 0:
			return g.cut(ctx, x, io.ErrUnexpectedEOF)
		case x.framed && !a.Framed():
			// The caller's answer would end as complete, and nobody can tell whether
			// this part of it is.
			return g.cut(ctx, x, io.ErrUnexpectedEOF)
		default:
			return g.endStream(w, control, x, a)
		}
	}
}

// stallAt returns when the silence of a stream counts as a failure.
func (g *Gateway) stallAt(x *request) time.Time {
	if !x.route.Repeatable() || x.runs >= x.route.MaxAttempts {
		return x.deadline
	}
	now := time.Now()
	if x.events == 0 {
		return earlier(x.deadline, now.Add(max(time.Duration(streamPatience*float64(x.route.LatencyObjective)), leastPatience)))
	}
	return earlier(x.deadline, now.Add(max(stallGaps*x.route.GapObjective, leastStall)))
}

// sendEvents forwards the events that the caller does not have yet.
func (g *Gateway) sendEvents(w http.ResponseWriter, control *http.ResponseController, x *request, a *upstream.Response, whole []byte) error {
	var out []byte
	fresh := int64(0)
	for event := range sse.Events(whole) {
		if id, ok := sse.ID(event); ok {
			if id <= x.lastEvent {
				continue
			}
			x.lastEvent = id
		}
		out = append(out, event...)
		fresh++
	}
	if len(out) == 0 {
		return nil
	}
	if !x.started {
		g.startStream(w, control, x, a)
	}
	// Counted before the write: what may have reached the caller is charged.
	x.events += fresh
	if _, err := w.Write(out); err != nil {
		return err
	}
	return control.Flush()
}

func (g *Gateway) startStream(w http.ResponseWriter, control *http.ResponseController, x *request, a *upstream.Response) {
	g.writeHead(w, x, a)
	x.status = a.StatusCode
	x.started, x.framed = true, a.Framed()
	if err := control.SetWriteDeadline(x.deadline.Add(writeMargin)); err != nil {
		g.opt.Logger.Debug("write deadline not set", "err", err)
	}
	w.WriteHeader(a.StatusCode)
}

func (g *Gateway) endStream(w http.ResponseWriter, control *http.ResponseController, x *request, a *upstream.Response) (outcome, error) {
	if !x.started {
		g.startStream(w, control, x, a)
	}
	if err := control.SetWriteDeadline(time.Time{}); err != nil {
		return abandoned, err
	}
	return served, nil
}
