package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/run"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/timing"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Causes of a canceled run context.
var (
	errRunCanceled      = errors.New("run is canceled")
	errTargetStalled    = errors.New("target sends nothing")
	errOutputCapReached = errors.New("output cap was reached")
	errRunEnded         = errors.New("run has ended")
)

// capGracePeriod is how long an engine may take to finish the answer after it
// has produced the last permitted token. With 20 ms, a stand-in engine that
// ignored max_tokens and took 8 ms per step produced one token above the cap in
// each of three runs.
const capGracePeriod = 5 * time.Millisecond

// crashReadDelay lets the other runs of a crashed target read the data that it
// sent before the crash. Tokens that are not read are not charged.
const crashReadDelay = 50 * time.Millisecond

// maxErrorBodyBytes limits how much of an engine's error body is forwarded to the
// caller.
const maxErrorBodyBytes = 64 << 10

// execution sends a run to the target and forwards the answer.
type execution struct {
	server     *Server
	start      wire.StartRun
	ctx        context.Context
	cancel     context.CancelCauseFunc
	stallTimer *time.Timer
}

// startExecution executes a run that the run table has accepted. The caller
// holds s.mu.
func (s *Server) startExecution(start wire.StartRun) {
	ctx, cancel := context.WithCancelCause(context.Background())
	s.runs[start.RunID] = &activeRun{cancel: cancel, changed: make(chan struct{})}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		defer cancel(errRunEnded)
		x := &execution{server: s, start: start, ctx: ctx, cancel: cancel}
		x.stallTimer = time.AfterFunc(s.opts.StallTimeout, func() { cancel(errTargetStalled) })
		defer x.stallTimer.Stop()
		s.emitEvent("run.started", start, nil)
		s.endRun(start, x.run())
	}()
}

func (x *execution) run() run.Ending {
	body := engineBody{raw: x.start.Body}
	if x.start.Kind == wire.CompletionRun {
		var err error
		if body, err = rewriteCompletion(x.start.Body, x.start.OutputCap, x.start.Priority); err != nil {
			return notRunEnding(err)
		}
	}
	resp, err := x.server.target.sendRun(x.ctx, x.start, body.raw)
	if errkind.Is(err, errkind.NoTarget) {
		return x.notSentEnding(err)
	}
	if err != nil {
		return x.connectionLostEnding(err)
	}
	defer resp.Body.Close()
	if x.start.Kind == wire.ServiceRun {
		return x.forwardServiceBody(resp)
	}
	if resp.StatusCode != http.StatusOK {
		return x.errorStatusEnding(resp)
	}
	return x.forwardStream(resp, body.keepUsage)
}

// notRunEnding returns the ending of a run that never started at the target. It
// is not charged.
func notRunEnding(err error) run.Ending {
	e := errkind.From(err)
	return run.Ending{Outcome: ledger.Failed, Kind: e.Kind, Detail: e.Detail, NotCharged: true}
}

// notSentEnding returns the ending of a run for which nothing was sent to the
// target.
func (x *execution) notSentEnding(err error) run.Ending {
	ending := notRunEnding(err)
	if errors.Is(context.Cause(x.ctx), errRunCanceled) {
		ending.Outcome = ledger.Canceled
	}
	return ending
}

// forwardStream appends the engine's events to the run until the answer ends.
func (x *execution) forwardStream(resp *http.Response, keepUsage bool) run.Ending {
	events := newSSEReader(resp.Body)
	for {
		batch, err := events.nextBatch()
		x.stallTimer.Reset(x.server.opts.StallTimeout)
		status, appendErr := x.server.appendEvents(x.start.RunID, batch.events, keepUsage)
		switch {
		case appendErr != nil:
			return failedEnding(appendErr)
		case status.CapExceeded:
			return run.Ending{Outcome: ledger.Capped}
		case status.Failed:
			return failedEnding(errkind.New(errkind.TargetFailed, "engine reported an error in the stream"))
		case batch.done:
			return x.streamDoneEnding()
		case errors.Is(err, io.EOF):
			return failedEnding(errkind.New(errkind.TargetFailed, "engine closed the stream before its end"))
		case err != nil:
			return x.connectionLostEnding(err)
		case status.AtCap:
			time.AfterFunc(capGracePeriod, func() { x.cancel(errOutputCapReached) })
		}
	}
}

// streamDoneEnding returns the ending of a stream that the engine closed with
// [DONE]. The answer is whole only if every choice has a finish reason.
func (x *execution) streamDoneEnding() run.Ending {
	x.server.mu.Lock()
	complete := x.server.runTable.ChoicesFinished(x.start.RunID)
	x.server.mu.Unlock()
	if complete {
		return run.Ending{Outcome: ledger.Complete}
	}
	return failedEnding(errkind.New(errkind.TargetFailed, "engine ended the stream without a finish reason"))
}

// failedEnding returns the ending of a run that failed after it was sent.
func failedEnding(err error) run.Ending {
	e := errkind.From(err)
	return run.Ending{Outcome: ledger.Failed, Kind: e.Kind, Detail: e.Detail}
}

// errorStatusEnding returns the ending of a completion that the engine answered
// with an error status. It is not charged, because no token was produced.
func (x *execution) errorStatusEnding(resp *http.Response) run.Ending {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes)) // a partial body is forwarded as well
	if len(detail) > 0 {
		_ = x.server.appendData(x.start.RunID, detail) // without the body, the caller still gets the status
	}
	return run.Ending{
		Outcome:     ledger.Failed,
		Kind:        kindForErrorStatus(resp.StatusCode),
		HTTPStatus:  resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Detail:      "engine answered with " + resp.Status,
		NotCharged:  true,
	}
}

func kindForErrorStatus(status int) errkind.Kind {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return errkind.Overloaded
	case status == http.StatusNotFound:
		return errkind.UnknownModel
	case status >= 400 && status < 500:
		return errkind.InvalidRequest
	}
	return errkind.TargetFailed
}

// forwardServiceBody appends the body of a service's response to the run. The
// sidecar never repeats a service call.
func (x *execution) forwardServiceBody(resp *http.Response) run.Ending {
	ending := run.Ending{
		Outcome:     ledger.Complete,
		HTTPStatus:  resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
	}
	if resp.StatusCode >= 500 {
		ending.Outcome = ledger.Failed
		ending.Kind = errkind.TargetFailed
		ending.Detail = "service answered with " + resp.Status
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		x.stallTimer.Reset(x.server.opts.StallTimeout)
		if n > 0 {
			if err := x.server.appendData(x.start.RunID, append([]byte(nil), buf[:n]...)); err != nil {
				return failedEnding(err)
			}
		}
		if errors.Is(err, io.EOF) && (isFramed(resp) || x.server.target.isAlive()) {
			return ending
		}
		if err != nil {
			return x.connectionLostEnding(err)
		}
	}
}

// isFramed reports whether the end of a response is distinct from the end of its connection.
// The kernel ends the connections of a target that has crashed as if they were done.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// connectionLostEnding returns the ending of a run whose connection to the
// target ended early, either because the sidecar canceled the run's context or
// with err. In the second case, unless an event was too long, it checks whether
// the target is down, and if so ends all other runs in progress.
func (x *execution) connectionLostEnding(err error) run.Ending {
	switch cause := context.Cause(x.ctx); {
	case errors.Is(cause, errRunCanceled):
		return run.Ending{Outcome: ledger.Canceled, Kind: errkind.Canceled, Detail: cause.Error()}
	case errors.Is(cause, errOutputCapReached):
		return run.Ending{Outcome: ledger.Capped}
	case errors.Is(cause, errTargetStalled):
		return run.Ending{Outcome: ledger.Failed, Kind: x.lostAnswerKind(errkind.TargetFailed), Detail: cause.Error()}
	case cause != nil:
		return run.Ending{Outcome: ledger.Crashed, Kind: errkind.TargetCrashed, Detail: cause.Error()}
	}
	if errors.Is(err, errEventTooLong) {
		return failedEnding(errkind.Wrap(err, errkind.TargetFailed, "engine sent an event above the limit"))
	}
	noticedAt := time.Now()
	if !x.server.target.isAlive() {
		timing.Sleep(context.Background(), crashReadDelay)
		x.server.handleTargetCrash(noticedAt)
	}
	return run.Ending{Outcome: ledger.Crashed, Kind: x.lostAnswerKind(errkind.TargetCrashed), Detail: "connection to the target broke"}
}

// lostAnswerKind returns the error kind of a run whose answer was lost. It is
// OutcomeUnknown for a service call that must not be repeated, and kind for
// any other run.
func (x *execution) lostAnswerKind(kind errkind.Kind) errkind.Kind {
	if x.start.Kind == wire.ServiceRun && !x.start.Idempotent {
		return errkind.OutcomeUnknown
	}
	return kind
}

func (s *Server) appendEvents(runID string, events []json.RawMessage, keepUsage bool) (run.Status, error) {
	if len(events) == 0 {
		return run.Status{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, err := s.runTable.AppendEvents(runID, events, keepUsage)
	s.wakeReaders(runID)
	return status, err
}

func (s *Server) appendData(runID string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.runTable.AppendData(runID, data)
	s.wakeReaders(runID)
	return err
}

// wakeReaders notifies the readers of a run that its buffer has grown. The
// caller holds s.mu.
func (s *Server) wakeReaders(runID string) {
	if r := s.runs[runID]; r != nil {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// endRun ends a run unless a target crash has ended it already.
func (s *Server) endRun(start wire.StartRun, ending run.Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, err := s.runTable.End(time.Now(), start.RunID, ending)
	if err != nil {
		return
	}
	s.recordRunEnd(end, start)
	s.closeExecution(end)
}

// handleTargetCrash ends the runs in progress after the target has gone down, as was noticed
// at a time. Each run that notices the same crash calls it, also after the first of them has
// ended all, and others have begun.
func (s *Server) handleTargetCrash(noticedAt time.Time) {
	s.mu.Lock()
	ends := s.runTable.TargetCrashed(time.Now(), noticedAt, "target does not accept connections any more")
	for _, end := range ends {
		s.recordRunEnd(end, wire.StartRun{RunID: end.RunID, RequestID: end.Record.RequestID, Identity: end.Record.Identity})
		s.closeExecution(end)
	}
	s.targetState.healthy = false
	s.wakePeers()
	suspects := s.runTable.QuarantineReports(ends)
	routers := slices.Collect(maps.Keys(s.peers))
	s.mu.Unlock()
	s.reportSuspects(routers, suspects)
}

// reportSuspects sends the requests suspected of causing a crash to all
// routers, because the router that sent such a request may fail before it has
// told the others.
func (s *Server) reportSuspects(routers []*rpc.Conn, suspects []wire.QuarantineReport) {
	for _, report := range suspects {
		report.Header = s.header()
		for _, c := range routers {
			go func() { _ = c.Notify(context.Background(), wire.MethodQuarantineReport, report) }()
		}
	}
}

// closeExecution notifies the readers of an ended run and cancels its
// execution. The caller holds s.mu.
func (s *Server) closeExecution(end wire.RunEnd) {
	r := s.runs[end.RunID]
	if r == nil {
		return
	}
	delete(s.runs, end.RunID)
	close(r.changed)
	r.cancel(errRunEnded)
}

// recordRunEnd updates the metrics, the log and the timeline. The caller holds s.mu, so that
// no reader sends the end before the timeline has it.
func (s *Server) recordRunEnd(end wire.RunEnd, start wire.StartRun) {
	record := end.Record
	s.metrics.observeRunEnd(record)
	s.log.Info("run ended", "request", record.RequestID, "run", record.RunID, "outcome", record.Outcome, "kind", end.Kind,
		"prompt", record.PromptTokens, "output", record.OutputTokens, "charged", record.Charged, "suspect", end.Suspect)
	attrs := map[string]string{"outcome": string(record.Outcome)}
	if end.Kind != "" {
		attrs["kind"] = string(end.Kind)
	}
	s.emitEvent("run.ended", start, attrs)
}
