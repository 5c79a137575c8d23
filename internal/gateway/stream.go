package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/sse"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

const (
	// maxBufferedBytes is the size up to which a plain answer is buffered until it is
	// complete, so that another attempt can replace an answer that breaks off. Less is
	// buffered while callers hold all of their memory.
	maxBufferedBytes = 256 << 10
	// streamReadBytes is the size of a read from a stream. Events have about ten bytes.
	streamReadBytes = 2 << 10
	// maxPlainBytes bounds a plain answer.
	maxPlainBytes = 16 << 20
	// maxEventBytes bounds what a target may send between two events that the caller does
	// not have: an event, comments, and events that the caller has.
	maxEventBytes = 64 << 10
	// minStallTimeout is the least silence within a stream after which it is continued
	// at another target.
	minStallTimeout = 1500 * time.Millisecond
	// stallGapFactor gives the silence after which a stream is continued at another
	// target, in multiples of the route's objective for the longest pause between two
	// events. It applies if the result exceeds minStallTimeout.
	stallGapFactor = 4
	// writeMargin is how long after the deadline a write to the caller may last.
	writeMargin = 500 * time.Millisecond
	// maxDrainBytes and maxDrainTime bound what is read of an answer that is discarded.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 20 * time.Millisecond
)

// drainBody reads a short body to its end, so that the connection can be reused.
func drainBody(answer *upstream.Response) {
	if answer.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
		return
	}
	// The error does not matter: the connection is reused only if the end was reached.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxDrainBytes))
}

// sendPlain forwards an answer that is not a stream. Answers with status 500 or
// higher are discarded while a further run is allowed.
func (g *Gateway) sendPlain(ctx context.Context, w http.ResponseWriter, req *request, answer *upstream.Response, t *targets.Target) (outcome, error) {
	endWatch := sync.OnceValue(g.watchLeave(answer, t))
	defer endWatch()
	if err := answer.SetReadDeadline(req.deadline); err != nil {
		return g.classifyBrokenAnswer(ctx, req, err)
	}
	paced := g.paceAnswer(ctx, answer)
	body, isWhole, err := callers.ReadUpTo(paced, answer.ContentLength, maxBufferedBytes, req.tryTake)
	if err != nil {
		return g.classifyBrokenAnswer(ctx, req, err)
	}
	end := targets.EndWhole
	if isWhole {
		if end, err = g.judgeEnd(ctx, req, answer, t, endWatch()); err != nil {
			return g.classifyBrokenAnswer(ctx, req, err)
		}
	}
	replaceable := req.route.Repeatable() && req.runs < req.route.MaxAttempts
	if answer.StatusCode >= 500 && replaceable || answer.StatusCode >= 300 && req.presumedWhole() {
		return outcomeBroken, errFailedAnswer
	}
	if end == targets.EndPresumed && req.presume(func() error { return g.beginPlain(w, req, paced, body, isWhole) }) {
		return outcomeBroken, errEndUnconfirmed
	}
	if err := g.beginPlain(w, req, paced, body, isWhole); err != nil {
		return outcomeAbandoned, err
	}
	if isWhole {
		return outcomeServed, nil
	}
	maxRest := maxPlainBytes - body.Len()
	switch n, err := io.Copy(w, io.LimitReader(paced, maxRest+1)); {
	case err != nil:
		return g.classifyBrokenAnswer(ctx, req, err)
	case n > maxRest:
		return outcomeBroken, &upstream.TooLongError{What: "plain answer", Limit: maxPlainBytes}
	}
	if _, err := g.judgeEnd(ctx, req, answer, t, endWatch()); err != nil {
		return g.classifyBrokenAnswer(ctx, req, err)
	}
	return outcomeServed, nil
}

// beginPlain sends the head of a plain answer and the first part of its body, or all of it, to
// the caller.
func (g *Gateway) beginPlain(w http.ResponseWriter, req *request, paced *answerPace, body callers.Body, isWhole bool) error {
	answer := paced.answer
	g.setAnswerHeaders(w, req, answer)
	hasLength := isWhole && answer.Framed()
	length := body.Len()
	if answer.Request.Method == http.MethodHead {
		length = answer.ContentLength // of the body that GET would get
	}
	if hasLength && length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	req.status = answer.StatusCode
	req.recordSent(time.Now())
	g.setWriteDeadline(http.NewResponseController(w), req)
	g.beginAnswer(req, answer, hasLength)
	w.WriteHeader(answer.StatusCode)
	for _, block := range body {
		paced.awaitSend(int64(len(block)))
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// setAnswerHeaders sets the headers of the answer to the caller.
func (g *Gateway) setAnswerHeaders(w http.ResponseWriter, req *request, answer *upstream.Response) {
	h := w.Header()
	for name, values := range g.opt.Codec.CallerHeaders(answer.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps the server from detecting one
	}
	if !answer.Framed() {
		// Only the end of the connection ends the target's answer, so it may be
		// incomplete. The same must hold for the answer to the caller.
		h.Set("Transfer-Encoding", "identity")
	}
	g.closeAfterAnswer(h, req)
}

// classifyBrokenAnswer returns the outcome of an attempt whose answer broke off.
func (g *Gateway) classifyBrokenAnswer(ctx context.Context, req *request, err error) (outcome, error) {
	if ctx.Err() != nil || !time.Now().Before(req.deadline) {
		return outcomeAbandoned, err
	}
	return outcomeBroken, &upstream.Failure{Sent: true, TimedOut: upstream.IsTimeout(err), Cause: err}
}

// sendStream forwards complete events as they arrive. The head of the answer is
// sent with the first event, so that until then another target may answer.
func (g *Gateway) sendStream(ctx context.Context, w http.ResponseWriter, req *request, answer *upstream.Response, t *targets.Target) (outcome, error) {
	endWatch := sync.OnceValue(g.watchLeave(answer, t))
	defer endWatch()
	control := http.NewResponseController(w)
	splitter := sse.NewSplitter(maxEventBytes)
	buf := make([]byte, streamReadBytes)
	// Bytes that bring the caller no event are no sign of progress.
	silentBytes, stallDeadline := 0, g.stallDeadline(req)
	paced := g.paceAnswer(ctx, answer)
	for {
		if waited := paced.await(); waited > 0 {
			stallDeadline = earlier(req.deadline, stallDeadline.Add(waited))
		}
		if err := answer.SetReadDeadline(stallDeadline); err != nil {
			return g.classifyBrokenAnswer(ctx, req, err)
		}
		n, readErr := answer.Body.Read(buf)
		paced.count()
		if n > 0 {
			complete, splitErr := splitter.Add(buf[:n])
			sentBefore := req.eventsSent
			if err := g.sendEvents(w, control, req, answer, t, complete); err != nil {
				return outcomeAbandoned, err
			}
			if splitErr != nil {
				return g.classifyBrokenAnswer(ctx, req, splitErr)
			}
			if silentBytes += n; req.eventsSent > sentBefore {
				silentBytes, stallDeadline = 0, g.stallDeadline(req)
			}
			if silentBytes > maxEventBytes {
				return g.classifyBrokenAnswer(ctx, req, &upstream.TooLongError{What: "bytes without an event", Limit: maxEventBytes})
			}
		}
		switch {
		case readErr == nil:
		case !errors.Is(readErr, io.EOF):
			return g.classifyBrokenAnswer(ctx, req, readErr)
		case splitter.PendingBytes() > 0:
			return g.classifyBrokenAnswer(ctx, req, io.ErrUnexpectedEOF)
		case req.presumedWhole() && !answer.Framed():
			// The run that was to confirm the end has brought nothing.
			return outcomeBroken, errEndUnconfirmed
		case req.framed && !answer.Framed():
			// The caller's answer would end as a complete one, but this part of it may
			// be incomplete.
			return g.classifyBrokenAnswer(ctx, req, io.ErrUnexpectedEOF)
		case !answer.Framed() && req.run.firstEventAt.IsZero() && (req.lastEvent < 0 || req.eventsSent > 0):
			// The target may have crashed before its first event. A caller that takes up a
			// stream may have all events already.
			return g.classifyBrokenAnswer(ctx, req, io.ErrUnexpectedEOF)
		default:
			end, err := g.judgeEnd(ctx, req, answer, t, endWatch())
			if err != nil {
				return g.classifyBrokenAnswer(ctx, req, err)
			}
			if end == targets.EndPresumed && req.presume(func() error { return g.endStream(w, control, req, answer) }) {
				return outcomeBroken, errEndUnconfirmed
			}
			if err := g.endStream(w, control, req, answer); err != nil {
				return outcomeAbandoned, err
			}
			return outcomeServed, nil
		}
	}
}

// stallDeadline returns the time until which the next bytes of a stream must
// arrive: the request's deadline if no further run is allowed, else an earlier one
// after which another target is tried.
func (g *Gateway) stallDeadline(req *request) time.Time {
	if !req.route.Repeatable() || req.runs >= req.route.MaxAttempts && !req.presumedWhole() {
		return req.deadline
	}
	now := time.Now()
	if req.eventsSent == 0 || req.presumedWhole() {
		return earlier(req.deadline, now.Add(max(time.Duration(firstEventFactor*float64(req.route.LatencyObjective)), minAnswerWait)))
	}
	return earlier(req.deadline, now.Add(max(stallGapFactor*req.route.GapObjective, minStallTimeout)))
}

// sendEvents forwards those of the complete events that the caller does not have
// yet, and comments, which do not count as events.
func (g *Gateway) sendEvents(w http.ResponseWriter, control *http.ResponseController, req *request, answer *upstream.Response, t *targets.Target, complete []byte) error {
	var out []byte
	newEvents := int64(0)
	for event := range sse.Events(complete) {
		if id, ok := sse.ID(event); ok {
			if id <= req.lastEvent {
				continue
			}
			req.lastEvent = id
			newEvents++
		} else if sse.HasData(event) {
			newEvents++
		}
		out = append(out, event...)
	}
	if len(out) == 0 {
		return nil
	}
	if !req.headSent {
		g.startStream(w, control, req, answer)
	}
	g.recordVersion(req, t)
	// Events are counted before the write, because all that may have reached the
	// caller is charged.
	req.eventsSent += newEvents
	if newEvents > 0 {
		req.placed.FirstEvent()
		req.hurry.stop()
		g.recordEvents(req)
	}
	req.recordSent(time.Now())
	start := req.delivery.position()
	_, err := w.Write(out)
	if err == nil {
		err = control.Flush()
	}
	req.delivery.sent(start, newEvents)
	return err
}

// startStream sends the head of a stream to the caller.
func (g *Gateway) startStream(w http.ResponseWriter, control *http.ResponseController, req *request, answer *upstream.Response) {
	g.setAnswerHeaders(w, req, answer)
	req.status = answer.StatusCode
	g.beginAnswer(req, answer, false)
	g.setWriteDeadline(control, req)
	w.WriteHeader(answer.StatusCode)
}

// setWriteDeadline bounds the writes of an answer. It costs nothing for a caller that keeps
// up.
func (g *Gateway) setWriteDeadline(control *http.ResponseController, req *request) {
	if err := control.SetWriteDeadline(req.deadline.Add(writeMargin)); err != nil {
		g.opt.Logger.Debug("failed to set the write deadline", "err", err)
	}
}

// endStream completes a stream and removes the write deadline. It sends the head if
// there was no event.
func (g *Gateway) endStream(w http.ResponseWriter, control *http.ResponseController, req *request, answer *upstream.Response) error {
	if !req.headSent {
		g.startStream(w, control, req, answer)
	}
	if err := control.SetWriteDeadline(time.Time{}); err != nil {
		return err
	}
	g.forgetStream(req)
	return nil
}
