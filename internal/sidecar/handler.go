package sidecar

import (
	"context"
	"encoding/json"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Call implements rpc.Handler.
func (s *Server) Call(ctx context.Context, c *rpc.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodRunStart:
		return serve(params, func(m wire.StartRun) (wire.StartRunResult, error) { return s.startRun(c, m) })
	case wire.MethodRunAttach:
		return serve(params, func(m wire.AttachRun) (wire.AttachRunResult, error) { return s.attach(c, m) })
	case wire.MethodHolderFence:
		return serve(params, s.fenceHolder)
	case wire.MethodOrderApply:
		return serve(params, func(m wire.Order) (wire.Reply, error) { return s.applyOrder(ctx, m) })
	case wire.MethodTargetDrain:
		return serve(params, s.setDrain)
	case wire.MethodConfigPush:
		return serve(params, s.adopt)
	case wire.MethodTimelineQuery:
		return serve(params, s.queryTimeline)
	}
	return nil, errkind.New(errkind.NotFound, "method %s", method)
}

// serve decodes the parameters of a call and serves it.
func serve[P, R any](params json.RawMessage, f func(P) (R, error)) (any, error) {
	var p P
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "parameters")
	}
	return f(p)
}

// Notify implements rpc.Handler.
func (s *Server) Notify(_ *rpc.Conn, method string, params json.RawMessage) {
	switch method {
	case wire.MethodPing:
		var m wire.Ping
		if json.Unmarshal(params, &m) == nil {
			s.observe(m.Header)
		}
	case wire.MethodRunCancel:
		var m wire.CancelRun
		if json.Unmarshal(params, &m) == nil {
			s.observe(m.Header)
			s.cancelRun(m.RunID)
		}
	case wire.MethodRunAck:
		var m wire.AckRecords
		if json.Unmarshal(params, &m) == nil {
			s.observe(m.Header)
			s.mu.Lock()
			s.table.Ack(m.RunIDs)
			s.mu.Unlock()
		}
	}
}

// startRun accepts a run, or answers with a refusal. A new run and a repeated
// run id are streamed to the connection from the start. If the identity has
// another run, the router attaches to the run that the answer names.
func (s *Server) startRun(c *rpc.Conn, m wire.StartRun) (wire.StartRunResult, error) {
	s.observe(m.Header)
	out := wire.StartRunResult{Sidecar: s.incarnation}
	if err := s.checkStart(m); err != nil {
		out.Refusal = s.refusal(err, m)
		out.Header = s.header()
		return out, nil
	}
	s.mu.Lock()
	got, err := s.table.Start(time.Now(), m)
	if err == nil && !got.Existing {
		s.launch(m)
	}
	if err == nil && got.RunID == m.RunID {
		s.addReader(c, got.RunID, 0)
	}
	out.Active = s.table.ActiveCount()
	s.mu.Unlock()
	if err != nil {
		out.Refusal = s.refusal(err, m)
	}
	out.Accepted = err == nil
	out.Existing = got.Existing
	out.RunID = got.RunID
	out.Header = s.header()
	return out, nil
}

// checkStart refuses what this target cannot run.
func (s *Server) checkStart(m wire.StartRun) error {
	switch {
	case m.RunID == "" || m.Holder == "" || m.Team == "" || m.Key == "":
		return errkind.New(errkind.InvalidRequest, "run without id, holder, team or key")
	case m.Kind == wire.CompletionRun && s.opts.Kind == Engine:
		return nil
	case m.Kind == wire.ServiceRun && s.opts.Kind == Service && m.Service == s.opts.Service:
		return nil
	}
	return errkind.New(errkind.NoTarget, "target %s does not serve this kind of run", s.opts.Target)
}

func (s *Server) refusal(err error, m wire.StartRun) *wire.Refusal {
	e := errkind.From(err)
	s.metrics.refusals.WithLabelValues(string(e.Kind)).Inc()
	s.log.Info("run refused", "request", m.RequestID, "run", m.RunID, "kind", e.Kind, "detail", e.Detail)
	s.event("run.refused", m, map[string]string{"kind": string(e.Kind)})
	out := &wire.Refusal{Kind: e.Kind, Detail: e.Detail}
	if e.Kind == errkind.StaleConfig {
		out.Document = s.currentDocument()
	}
	return out
}

func (s *Server) currentDocument() *policy.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

func (s *Server) attach(c *rpc.Conn, m wire.AttachRun) (wire.AttachRunResult, error) {
	s.observe(m.Header)
	s.mu.Lock()
	out := s.table.Attach(m)
	if out.Known && !out.Expired && !m.Probe {
		s.addReader(c, out.RunID, m.NextSeq)
	}
	s.mu.Unlock()
	out.Header = s.header()
	return out, nil
}

func (s *Server) cancelRun(runID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[runID]; r != nil && s.table.Cancelable(runID) {
		r.cancel(errCanceled)
	}
}

func (s *Server) fenceHolder(m wire.FenceHolder) (wire.FenceHolderResult, error) {
	s.observe(m.Header)
	if m.Holder == "" {
		return wire.FenceHolderResult{}, errkind.New(errkind.InvalidRequest, "fence without holder")
	}
	s.mu.Lock()
	out := s.table.Fence(m.Holder)
	s.mu.Unlock()
	s.log.Info("holder fenced", "holder", m.Holder, "records", len(out.Records), "active", len(out.Active))
	out.Header = s.header()
	return out, nil
}

// applyOrder passes an order on unless a newer one has been seen. An order
// with the same number is a repetition.
func (s *Server) applyOrder(ctx context.Context, m wire.Order) (wire.Reply, error) {
	s.observe(m.Header)
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
	if m.Fence < s.fence {
		err := errkind.New(errkind.VersionConflict, "order %d is older than %d", m.Fence, s.fence)
		return s.reply(err), nil
	}
	s.fence = m.Fence
	err := s.target.order(ctx, m)
	s.log.Info("order applied", "fence", m.Fence, "action", m.Action, "err", err)
	return s.reply(err), nil
}

func (s *Server) reply(err error) wire.Reply {
	out := wire.Reply{Header: s.header()}
	if err != nil {
		e := errkind.From(err)
		out.Refusal = &wire.Refusal{Kind: e.Kind, Detail: e.Detail}
	}
	return out
}

// setDrain sets whether new runs are refused. A process that is stopping
// stays draining.
func (s *Server) setDrain(m wire.SetDraining) (wire.Reply, error) {
	s.observe(m.Header)
	s.mu.Lock()
	s.table.SetDraining(m.Draining || s.stopping)
	s.wakePeers()
	s.mu.Unlock()
	s.log.Info("drain set", "draining", m.Draining)
	return s.reply(nil), nil
}

// adopt keeps the newest configuration.
func (s *Server) adopt(m wire.ConfigPush) (wire.Reply, error) {
	s.observe(m.Header)
	s.mu.Lock()
	if s.document == nil || s.document.Version < m.Document.Version {
		s.document = &m.Document
		s.table.ObserveConfigVersion(m.Document.Version)
	}
	s.mu.Unlock()
	return s.reply(nil), nil
}

func (s *Server) queryTimeline(m wire.TimelineQuery) (wire.TimelineResult, error) {
	s.observe(m.Header)
	if s.opts.QueryTimeline == nil {
		return wire.TimelineResult{}, errkind.New(errkind.NotFound, "no timeline is kept")
	}
	out := s.opts.QueryTimeline(m)
	out.Header = s.header()
	return out, nil
}
