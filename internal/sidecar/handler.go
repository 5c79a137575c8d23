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
		return decodeAndServe(params, func(m wire.StartRun) (wire.StartRunResult, error) { return s.startRun(c, m) })
	case wire.MethodRunAttach:
		return decodeAndServe(params, func(m wire.AttachRun) (wire.AttachRunResult, error) { return s.attachRun(c, m) })
	case wire.MethodHolderFence:
		return decodeAndServe(params, s.fenceHolder)
	case wire.MethodOrderApply:
		return decodeAndServe(params, func(m wire.Order) (wire.Reply, error) { return s.applyOrder(ctx, m) })
	case wire.MethodTargetDrain:
		return decodeAndServe(params, s.setDraining)
	case wire.MethodConfigPush:
		return decodeAndServe(params, s.adoptConfig)
	case wire.MethodTimelineQuery:
		return decodeAndServe(params, s.queryTimeline)
	}
	return nil, errkind.New(errkind.NotFound, "method %s", method)
}

// decodeAndServe decodes the parameters of a call and passes them to handle.
func decodeAndServe[P, R any](params json.RawMessage, handle func(P) (R, error)) (any, error) {
	var decoded P
	if err := json.Unmarshal(params, &decoded); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "parameters")
	}
	return handle(decoded)
}

// Notify implements rpc.Handler.
func (s *Server) Notify(_ *rpc.Conn, method string, params json.RawMessage) {
	switch method {
	case wire.MethodPing:
		var m wire.Ping
		if json.Unmarshal(params, &m) == nil {
			s.observeHeader(m.Header)
		}
	case wire.MethodRunCancel:
		var m wire.CancelRun
		if json.Unmarshal(params, &m) == nil {
			s.observeHeader(m.Header)
			s.cancelRun(m.RunID)
		}
	case wire.MethodRunAck:
		var m wire.AckRecords
		if json.Unmarshal(params, &m) == nil {
			s.observeHeader(m.Header)
			s.mu.Lock()
			s.runTable.Ack(m.RunIDs)
			s.mu.Unlock()
		}
	}
}

// startRun accepts a run or returns a refusal. The answer of a new run, or of a
// run that was started before with the same run ID, is streamed to the
// connection from the beginning. If the identity already has a run with another
// ID, the result names that run and the router attaches to it.
func (s *Server) startRun(c *rpc.Conn, m wire.StartRun) (wire.StartRunResult, error) {
	s.observeHeader(m.Header)
	result := wire.StartRunResult{Sidecar: s.incarnation}
	if err := s.checkStart(m); err != nil {
		result.Refusal = s.refuseRun(err, m)
		result.Header = s.header()
		return result, nil
	}
	s.mu.Lock()
	started, err := s.runTable.Start(time.Now(), m)
	if err == nil && !started.Existing {
		s.startExecution(m)
	}
	if err == nil && started.RunID == m.RunID {
		s.addReader(c, started.RunID, 0)
	}
	result.Active = s.runTable.ActiveCount()
	s.mu.Unlock()
	if err != nil {
		result.Refusal = s.refuseRun(err, m)
	}
	result.Accepted = err == nil
	result.Existing = started.Existing
	result.RunID = started.RunID
	result.Header = s.header()
	return result, nil
}

// checkStart returns an error for a run that is incomplete or that this target
// can't serve.
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

// refuseRun records a refused run and returns the refusal. A refusal for a
// stale configuration carries the current document.
func (s *Server) refuseRun(err error, m wire.StartRun) *wire.Refusal {
	e := errkind.From(err)
	s.metrics.refusals.WithLabelValues(string(e.Kind)).Inc()
	s.log.Info("run refused", "request", m.RequestID, "run", m.RunID, "kind", e.Kind, "detail", e.Detail)
	s.emitEvent("run.refused", m, map[string]string{"kind": string(e.Kind)})
	refusal := &wire.Refusal{Kind: e.Kind, Detail: e.Detail}
	if e.Kind == errkind.StaleConfig {
		refusal.Document = s.currentDocument()
	}
	return refusal
}

func (s *Server) currentDocument() *policy.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// attachRun looks up a run. Unless the router only probes or the answer is no longer
// kept, the answer is streamed to the connection from the chunk that m names.
func (s *Server) attachRun(c *rpc.Conn, m wire.AttachRun) (wire.AttachRunResult, error) {
	s.observeHeader(m.Header)
	s.mu.Lock()
	result := s.runTable.Attach(m)
	if result.Known && !result.Expired && !m.Probe {
		s.addReader(c, result.RunID, m.NextSeq)
	}
	s.mu.Unlock()
	result.Header = s.header()
	return result, nil
}

// cancelRun cancels a run in progress. A service call that must not be repeated goes
// on, because its outcome would be unknown.
func (s *Server) cancelRun(runID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[runID]; r != nil && s.runTable.Cancelable(runID) {
		r.cancel(errRunCanceled)
	}
}

// fenceHolder refuses all further runs of a holder, a router incarnation that counts
// as ended. The result holds its runs in progress and its records that are not
// known to be durable.
func (s *Server) fenceHolder(m wire.FenceHolder) (wire.FenceHolderResult, error) {
	s.observeHeader(m.Header)
	if m.Holder == "" {
		return wire.FenceHolderResult{}, errkind.New(errkind.InvalidRequest, "fence without holder")
	}
	s.mu.Lock()
	result := s.runTable.Fence(m.Holder)
	s.mu.Unlock()
	s.log.Info("holder fenced", "holder", m.Holder, "records", len(result.Records), "active", len(result.Active))
	result.Header = s.header()
	return result, nil
}

// applyOrder sends an order to the target unless a newer one has been seen. An
// order with the same fencing number is a repetition and is sent again.
func (s *Server) applyOrder(ctx context.Context, m wire.Order) (wire.Reply, error) {
	s.observeHeader(m.Header)
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
	if m.Fence < s.highestOrderFence {
		err := errkind.New(errkind.VersionConflict, "order %d is older than %d", m.Fence, s.highestOrderFence)
		return s.newReply(err), nil
	}
	s.highestOrderFence = m.Fence
	err := s.target.sendOrder(ctx, m)
	s.log.Info("order applied", "fence", m.Fence, "action", m.Action, "err", err)
	return s.newReply(err), nil
}

func (s *Server) newReply(err error) wire.Reply {
	reply := wire.Reply{Header: s.header()}
	if err != nil {
		e := errkind.From(err)
		reply.Refusal = &wire.Refusal{Kind: e.Kind, Detail: e.Detail}
	}
	return reply
}

// setDraining sets whether new runs are refused. A stopping sidecar keeps
// draining.
func (s *Server) setDraining(m wire.SetDraining) (wire.Reply, error) {
	s.observeHeader(m.Header)
	s.mu.Lock()
	s.runTable.SetDraining(m.Draining || s.stopping)
	s.wakePeers()
	s.mu.Unlock()
	s.log.Info("drain set", "draining", m.Draining)
	return s.newReply(nil), nil
}

// adoptConfig stores the configuration if it is newer than the current one.
func (s *Server) adoptConfig(m wire.ConfigPush) (wire.Reply, error) {
	s.observeHeader(m.Header)
	s.mu.Lock()
	if s.document == nil || s.document.Version < m.Document.Version {
		s.document = &m.Document
		s.runTable.ObserveConfigVersion(m.Document.Version)
	}
	s.mu.Unlock()
	return s.newReply(nil), nil
}

func (s *Server) queryTimeline(m wire.TimelineQuery) (wire.TimelineResult, error) {
	s.observeHeader(m.Header)
	if s.opts.QueryTimeline == nil {
		return wire.TimelineResult{}, errkind.New(errkind.NotFound, "no timeline is kept")
	}
	result := s.opts.QueryTimeline(m)
	result.Header = s.header()
	return result, nil
}
