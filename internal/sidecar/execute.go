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

// Causes for which a run's context ends.
var (
	errCanceled = errors.New("run is canceled")
	errStalled  = errors.New("target sends nothing")
	errAtCap    = errors.New("output cap is reached")
	errEnded    = errors.New("run has ended")
)

// capGrace is how long an engine that has produced the last permitted token
// may take to finish the answer. With 20 ms, a stand-in engine with a step
// of 8 ms that ignored max_tokens produced one token more than the cap in each
// of three runs.
const capGrace = 5 * time.Millisecond

// crashGrace lets the other runs of a crashed target read what it had sent them
// before the crash ends them: tokens that are not read are not charged.
const crashGrace = 50 * time.Millisecond

// maxErrorBody bounds the error body of an engine that is passed on, in bytes.
const maxErrorBody = 64 << 10

// execution is a run in progress at the target.
type execution struct {
	s     *Server
	m     wire.StartRun
	ctx   context.Context
	stop  context.CancelCauseFunc
	stall *time.Timer
}

// launch starts a run that the table has accepted. The caller holds s.mu.
func (s *Server) launch(m wire.StartRun) {
	ctx, stop := context.WithCancelCause(context.Background())
	s.runs[m.RunID] = &liveRun{cancel: stop, changed: make(chan struct{})}
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		defer stop(errEnded)
		x := &execution{s: s, m: m, ctx: ctx, stop: stop}
		x.stall = time.AfterFunc(s.opts.StallTimeout, func() { stop(errStalled) })
		defer x.stall.Stop()
		s.event("run.started", m, nil)
		s.end(m, x.run())
	}()
}

func (x *execution) run() run.Ending {
	body := engineBody{raw: x.m.Body}
	if x.m.Kind == wire.CompletionRun {
		var err error
		if body, err = completionBody(x.m.Body, x.m.OutputCap, x.m.Priority); err != nil {
			return notRun(err)
		}
	}
	resp, err := x.s.target.do(x.ctx, x.m, body.raw)
	if errkind.Is(err, errkind.NoTarget) {
		return x.notSent(err)
	}
	if err != nil {
		return x.broken(err)
	}
	defer resp.Body.Close()
	if x.m.Kind == wire.ServiceRun {
		return x.service(resp)
	}
	if resp.StatusCode != http.StatusOK {
		return x.refused(resp)
	}
	return x.stream(resp, body.keepUsage)
}

func notRun(err error) run.Ending {
	e := errkind.From(err)
	return run.Ending{Outcome: ledger.Failed, Kind: e.Kind, Detail: e.Detail, NotCharged: true}
}

// notSent ends a run of which the target received nothing.
func (x *execution) notSent(err error) run.Ending {
	how := notRun(err)
	if errors.Is(context.Cause(x.ctx), errCanceled) {
		how.Outcome = ledger.Canceled
	}
	return how
}

// stream passes the engine's events on until the answer ends.
func (x *execution) stream(resp *http.Response, keepUsage bool) run.Ending {
	events := newSSEReader(resp.Body)
	for {
		b, err := events.next()
		x.stall.Reset(x.s.opts.StallTimeout)
		status, appendErr := x.s.appendEvents(x.m.RunID, b.events, keepUsage)
		switch {
		case appendErr != nil:
			return failed(appendErr)
		case status.CapExceeded:
			return run.Ending{Outcome: ledger.Capped}
		case status.Failed:
			return failed(errkind.New(errkind.TargetFailed, "engine reported an error in the stream"))
		case b.done:
			return x.finished()
		case errors.Is(err, io.EOF):
			return failed(errkind.New(errkind.TargetFailed, "engine closed the stream before its end"))
		case err != nil:
			return x.broken(err)
		case status.AtCap:
			time.AfterFunc(capGrace, func() { x.stop(errAtCap) })
		}
	}
}

// finished ends a stream that the engine closed with [DONE].
func (x *execution) finished() run.Ending {
	x.s.mu.Lock()
	whole := x.s.table.ChoicesFinished(x.m.RunID)
	x.s.mu.Unlock()
	if whole {
		return run.Ending{Outcome: ledger.Complete}
	}
	return failed(errkind.New(errkind.TargetFailed, "engine ended the stream without a finish reason"))
}

func failed(err error) run.Ending {
	e := errkind.From(err)
	return run.Ending{Outcome: ledger.Failed, Kind: e.Kind, Detail: e.Detail}
}

// refused ends a completion that the engine answered with an error status. No
// token was produced for it.
func (x *execution) refused(resp *http.Response) run.Ending {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody)) // what arrived is passed on
	if len(detail) > 0 {
		_ = x.s.appendData(x.m.RunID, detail) // the status alone answers the caller too
	}
	return run.Ending{
		Outcome:     ledger.Failed,
		Kind:        refusalKind(resp.StatusCode),
		HTTPStatus:  resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Detail:      "engine answered with " + resp.Status,
		NotCharged:  true,
	}
}

func refusalKind(status int) errkind.Kind {
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

// service passes the body of a service's answer on. The call is never
// repeated here.
func (x *execution) service(resp *http.Response) run.Ending {
	how := run.Ending{
		Outcome:     ledger.Complete,
		HTTPStatus:  resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
	}
	if resp.StatusCode >= 500 {
		how.Outcome = ledger.Failed
		how.Kind = errkind.TargetFailed
		how.Detail = "service answered with " + resp.Status
	}
	buf := make([]byte, sseBuffer)
	for {
		n, err := resp.Body.Read(buf)
		x.stall.Reset(x.s.opts.StallTimeout)
		if n > 0 {
			if err := x.s.appendData(x.m.RunID, append([]byte(nil), buf[:n]...)); err != nil {
				return failed(err)
			}
		}
		if errors.Is(err, io.EOF) {
			return how
		}
		if err != nil {
			return x.broken(err)
		}
	}
}

// broken ends a run whose connection to the target ended early. If the target
// is gone, every run in progress ends with it.
func (x *execution) broken(err error) run.Ending {
	switch cause := context.Cause(x.ctx); {
	case errors.Is(cause, errCanceled):
		return run.Ending{Outcome: ledger.Canceled, Kind: errkind.Canceled, Detail: cause.Error()}
	case errors.Is(cause, errAtCap):
		return run.Ending{Outcome: ledger.Capped}
	case errors.Is(cause, errStalled):
		return run.Ending{Outcome: ledger.Failed, Kind: x.lossKind(errkind.TargetFailed), Detail: cause.Error()}
	case cause != nil:
		return run.Ending{Outcome: ledger.Crashed, Kind: errkind.TargetCrashed, Detail: cause.Error()}
	}
	if errors.Is(err, errLongEvent) {
		return failed(errkind.Wrap(err, errkind.TargetFailed, "engine sent an event above the limit"))
	}
	if !x.s.target.alive() {
		timing.Sleep(context.Background(), crashGrace)
		x.s.crash()
	}
	return run.Ending{Outcome: ledger.Crashed, Kind: x.lossKind(errkind.TargetCrashed), Detail: "connection to the target broke"}
}

// lossKind returns the kind for a run whose answer is lost: the outcome of a
// call that must not be repeated is unknown.
func (x *execution) lossKind(k errkind.Kind) errkind.Kind {
	if x.m.Kind == wire.ServiceRun && !x.m.Idempotent {
		return errkind.OutcomeUnknown
	}
	return k
}

func (s *Server) appendEvents(runID string, events []json.RawMessage, keepUsage bool) (run.Status, error) {
	if len(events) == 0 {
		return run.Status{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, err := s.table.AppendEvents(runID, events, keepUsage)
	s.changed(runID)
	return status, err
}

func (s *Server) appendData(runID string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.table.AppendData(runID, data)
	s.changed(runID)
	return err
}

// changed wakes the readers of a run. The caller holds s.mu.
func (s *Server) changed(runID string) {
	if r := s.runs[runID]; r != nil {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// end ends a run, unless a crash of the target has ended it already.
func (s *Server) end(m wire.StartRun, how run.Ending) {
	s.mu.Lock()
	end, err := s.table.End(time.Now(), m.RunID, how)
	if err == nil {
		s.settle(end)
	}
	s.mu.Unlock()
	if err != nil {
		return
	}
	s.noteEnd(end, m)
}

// crash ends all runs in progress because the target is gone.
func (s *Server) crash() {
	s.mu.Lock()
	ends := s.table.TargetCrashed(time.Now(), "target does not accept connections any more")
	for _, end := range ends {
		s.settle(end)
	}
	s.load.healthy = false
	s.wakePeers()
	suspects := s.table.QuarantineReports(ends)
	routers := slices.Collect(maps.Keys(s.peers))
	s.mu.Unlock()
	s.tellSuspects(routers, suspects)
	for _, end := range ends {
		s.noteEnd(end, wire.StartRun{RunID: end.RunID, RequestID: end.Record.RequestID, Identity: end.Record.Identity})
	}
}

// tellSuspects tells all routers of a crash, because the one that sent the
// suspect may fail before it has told the others.
func (s *Server) tellSuspects(routers []*rpc.Conn, suspects []wire.QuarantineReport) {
	for _, report := range suspects {
		report.Header = s.header()
		for _, c := range routers {
			go func() { _ = c.Notify(context.Background(), wire.MethodQuarantineReport, report) }()
		}
	}
}

// settle wakes the readers of an ended run and stops its execution. The
// caller holds s.mu.
func (s *Server) settle(end wire.RunEnd) {
	r := s.runs[end.RunID]
	if r == nil {
		return
	}
	delete(s.runs, end.RunID)
	close(r.changed)
	r.cancel(errEnded)
}

func (s *Server) noteEnd(end wire.RunEnd, m wire.StartRun) {
	r := end.Record
	s.metrics.ended(r)
	s.log.Info("run ended", "request", r.RequestID, "run", r.RunID, "outcome", r.Outcome, "kind", end.Kind,
		"prompt", r.PromptTokens, "output", r.OutputTokens, "charged", r.Charged, "suspect", end.Suspect)
	attrs := map[string]string{"outcome": string(r.Outcome)}
	if end.Kind != "" {
		attrs["kind"] = string(end.Kind)
	}
	s.event("run.ended", m, attrs)
}
