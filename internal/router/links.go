package router

import (
	"context"
	"encoding/json"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// sidecarHandler handles the connection to one target's sidecar.
type sidecarHandler struct {
	r      *Router
	target *target
}

// Opened implements rpc.Handler.
func (h sidecarHandler) Opened(c *rpc.Conn) {
	hello := c.Peer()
	h.r.observeHeader(hello.Header)
	h.r.recordConfigVersion(hello, hello.ConfigVersion)
	h.r.sched.update(h.target, func(t *target) {
		t.conn = c
		t.incarnation = hello.Incarnation
		t.draining = hello.Draining
		t.hasReport = false
	})
	h.r.opts.Logger.Info("sidecar connected", "target", h.target.id, "sidecar", hello.Incarnation)
	if hello.ConfigVersion < h.r.config.Version() {
		go h.r.pushConfig(c)
	}
	for _, run := range h.r.runsOnTarget(h.target) {
		go h.r.reattach(run, c)
	}
}

// Closed implements rpc.Handler.
func (h sidecarHandler) Closed(c *rpc.Conn, err error) {
	h.r.sched.update(h.target, func(t *target) {
		if t.conn == c {
			t.conn = nil
		}
	})
	now := time.Now()
	for _, run := range h.r.runsOnTarget(h.target) {
		run.markLost(now)
	}
	h.r.opts.Logger.Info("sidecar disconnected", "target", h.target.id, "err", err)
}

// Call implements rpc.Handler. Sidecars do not call methods of routers.
func (h sidecarHandler) Call(_ context.Context, _ *rpc.Conn, method string, _ json.RawMessage) (any, error) {
	return nil, errkind.New(errkind.MethodNotAllowed, "method %s", method)
}

// Notify implements rpc.Handler.
func (h sidecarHandler) Notify(c *rpc.Conn, method string, params json.RawMessage) {
	switch method {
	case wire.MethodRunChunk:
		h.handleChunk(c, params)
	case wire.MethodRunEnd:
		h.handleEnd(params)
	case wire.MethodLoadReport:
		h.handleLoadReport(c, params)
	default:
		h.r.handleNotification(c, method, params)
	}
}

// handleNotification handles the notifications that both sidecars and routers
// send.
func (r *Router) handleNotification(c *rpc.Conn, method string, params json.RawMessage) {
	switch method {
	case wire.MethodQuarantineReport:
		var report wire.QuarantineReport
		if json.Unmarshal(params, &report) == nil {
			r.observeHeader(report.Header)
			r.handleCrashReport(report, false)
		}
	case wire.MethodPing:
		var ping wire.Ping
		if json.Unmarshal(params, &ping) == nil {
			r.observeHeader(ping.Header)
			r.recordConfigVersion(c.Peer(), ping.ConfigVersion)
			r.pushConfigIfBehind(c, ping.ConfigVersion)
		}
	}
}

func (h sidecarHandler) handleChunk(c *rpc.Conn, params json.RawMessage) {
	var chunk wire.RunChunk
	if err := json.Unmarshal(params, &chunk); err != nil {
		h.r.opts.Logger.Warn("cannot decode run chunk", "target", h.target.id, "err", err)
		return
	}
	run := h.r.runByID(chunk.RunID)
	if run == nil || run.target != h.target {
		return
	}
	if gap := run.addChunk(chunk); gap {
		go h.r.reattach(run, c)
	}
}

func (h sidecarHandler) handleEnd(params json.RawMessage) {
	var end wire.RunEnd
	if err := json.Unmarshal(params, &end); err != nil {
		h.r.opts.Logger.Warn("cannot decode run end", "target", h.target.id, "err", err)
		return
	}
	h.r.observeHeader(end.Header)
	run := h.r.runByID(end.RunID)
	if run != nil && run.target != h.target {
		h.r.opts.Logger.Warn("run end from a sidecar that does not have the run", "target", h.target.id, "run", run.id, "run_target", run.target.id)
		return
	}
	h.r.sched.update(h.target, func(t *target) { t.recordEnd(time.Now(), run, end) })
	if run == nil {
		h.r.settleRecord(end.Record, nil)
		return
	}
	h.r.reportSuspect(h.target, end)
	run.finish(end)
	h.r.settleRun(run, end)
}

func (h sidecarHandler) handleLoadReport(c *rpc.Conn, params json.RawMessage) {
	var report wire.LoadReport
	if err := json.Unmarshal(params, &report); err != nil {
		h.r.opts.Logger.Warn("cannot decode load report", "target", h.target.id, "err", err)
		return
	}
	h.r.observeHeader(report.Header)
	h.r.recordConfigVersion(c.Peer(), report.ConfigVersion)
	records := report.Records
	report.Records = nil
	h.r.sched.update(h.target, func(t *target) {
		t.loadReport = report
		t.hasReport = true
		t.recordActive(report.Active)
		t.draining = report.Draining
	})
	for _, rec := range records {
		h.r.settleRecord(rec, c)
	}
	h.r.pushConfigIfBehind(c, report.ConfigVersion)
}

// reportSuspect reports the run's request as a suspect if it was in flight when
// the target crashed and no earlier suspect explains the crash.
func (r *Router) reportSuspect(t *target, end wire.RunEnd) {
	if !end.Suspect {
		return
	}
	run := r.runByID(end.RunID)
	if run == nil {
		return
	}
	r.handleCrashReport(wire.QuarantineReport{
		Header:      r.header(),
		Team:        run.identity.Team,
		ContentHash: run.contentHash,
		RunID:       run.id,
		Target:      t.id,
		CrashID:     end.CrashID(),
		Alone:       end.Alone,
		Parts:       r.partReports(run, end.CrashID(), end.Alone),
	}, true)
}

// handleCrashReport processes the report that a request was in flight during a
// crash or, if Cleared is set, that a suspect has run without a crash. A report
// that originates at this router (isOwn) is sent to the peers.
func (r *Router) handleCrashReport(report wire.QuarantineReport, isOwn bool) {
	key := quarantine.Key{Team: report.Team, ContentHash: report.ContentHash}
	r.mu.Lock()
	if report.Cleared {
		r.crashTracker.Clear(key)
		r.mu.Unlock()
		r.withdrawParts(report.Parts)
		return
	}
	newlyQuarantined := r.crashTracker.Report(time.Now(), quarantine.Crash{Key: key, ID: report.CrashID, Alone: report.Alone})
	r.mu.Unlock()
	r.opts.Logger.Warn("target crashed with request in flight", "target", report.Target, "team", report.Team, "run", report.RunID, "alone", report.Alone, "quarantined", newlyQuarantined)
	r.applyPartReports(report.Parts)
	if isOwn {
		r.notifyPeers(wire.MethodQuarantineReport, report)
	}
	if newlyQuarantined {
		go r.storeQuarantine(key)
	}
}

// reattach resumes a run at its sidecar over c. If the sidecar was replaced, the
// run is lost. A run that the sidecar does not know is permanently rejected there,
// so it is known not to have run. A run whose answer the sidecar no longer keeps
// fails for its readers. If the call fails, the run stays as it is.
func (r *Router) reattach(run *run, c *rpc.Conn) {
	if c.Peer().Incarnation != run.sidecar {
		r.settleLostRun(run)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	req := wire.AttachRun{
		Header:    r.header(),
		Identity:  run.identity,
		RunID:     run.id,
		NextSeq:   run.nextSeq(),
		Tombstone: true,
	}
	var res wire.AttachRunResult
	if err := c.Call(ctx, wire.MethodRunAttach, req, &res); err != nil {
		return
	}
	switch {
	case !res.Known:
		if run.fail(errRunNotReceived) {
			r.discardRun(run)
		}
	case res.Expired:
		run.fail(errAnswerExpired)
		r.removeIfSettledAndEnded(run)
	default:
		run.markResumed()
	}
}

// settleLostRun ends a run whose sidecar was replaced or whose target was
// removed. No process can tell any more what the run consumed, so its whole
// reservation is charged as lost.
func (r *Router) settleLostRun(run *run) {
	if !run.takeLost(errSidecarReplaced) {
		return
	}
	rec := run.recordTemplate
	rec.Outcome = ledger.Lost
	rec.Charged = rec.Reserved
	rec.EndedUS = time.Now().UnixMicro()
	r.removeRun(run)
	if run.reservation != nil {
		run.reservation.Settle(rec)
	}
}

// settleRun removes a run that has ended and settles its record. It also stores
// the result of a claimed run. A run whose target refused the connection has
// consumed nothing, so its reservation is canceled. A run without a reservation
// is settled by the router that started it.
func (r *Router) settleRun(run *run, end wire.RunEnd) {
	r.removeRun(run)
	if run.claimed {
		go r.storeClaimResult(run, end)
	}
	if run.reservation == nil {
		return
	}
	if end.Kind == errkind.NoTarget {
		run.reservation.Cancel()
		r.ackRecords([]ledger.Record{end.Record})
		return
	}
	run.reservation.Settle(end.Record)
}

// settleRecord settles a record that a sidecar delivered outside the messages
// of its run. A record that is already stored is only acknowledged again. Records
// of other holders are left to the recovery of those holders. After a lost
// connection the record can arrive before the rest of the answer, so the run
// stays registered until its answer has ended. c is the connection over which the
// rest of the answer is requested from the sidecar; if nil, it is not requested.
func (r *Router) settleRecord(rec ledger.Record, c *rpc.Conn) {
	if r.durableRuns.has(rec.RunID) || r.isHolderClosed(rec.Holder) {
		r.ackRecords([]ledger.Record{rec}) // the sidecar did not receive the earlier acknowledgement
		return
	}
	run := r.runByID(rec.RunID)
	if run == nil || run.reservation == nil || rec.Holder != run.reservation.Holder() {
		return
	}
	run.reservation.Settle(rec)
	run.markSettled()
	if !r.removeIfSettledAndEnded(run) && c != nil {
		go r.reattach(run, c) // to receive the rest of the answer
	}
}

// removeIfSettledAndEnded removes a run whose record is settled and which has
// ended for its readers. It reports whether it removed the run.
func (r *Router) removeIfSettledAndEnded(run *run) bool {
	if !run.settledAndEnded() {
		return false
	}
	r.removeRun(run)
	return true
}

// isHolderClosed reports whether all records of a holder are known to be
// stored.
func (r *Router) isHolderClosed(holder string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedHolders[holder]
}

// onRecordsDurable is called with records that have been stored in the table.
func (r *Router) onRecordsDurable(records []ledger.Record) {
	for _, rec := range records {
		r.durableRuns.add(rec.RunID)
		r.metrics.tokens.WithLabelValues(string(rec.Outcome)).Add(float64(rec.Charged))
	}
	r.ackRecords(records)
}

// discardRun removes a run that did not start and cancels its reservation.
// Requests that have joined it look up again which run serves their idempotency
// key.
func (r *Router) discardRun(run *run) {
	run.fail(errRunReplaced)
	r.removeRun(run)
	if run.reservation != nil {
		run.reservation.Cancel()
	}
}

// ackRecords tells the sidecars that sent the records that the records are
// durable, so that the sidecars can drop them.
func (r *Router) ackRecords(records []ledger.Record) {
	bySidecar := map[string][]string{}
	for _, rec := range records {
		bySidecar[rec.Sidecar] = append(bySidecar[rec.Sidecar], rec.RunID)
	}
	for _, t := range r.sched.targetsWhere(func(t *target) bool { return t.conn != nil && bySidecar[t.incarnation] != nil }) {
		ids := bySidecar[t.incarnation]
		if c := t.link.Conn(); c != nil {
			_ = c.Notify(context.Background(), wire.MethodRunAck, wire.AckRecords{Header: r.header(), RunIDs: ids})
		}
	}
}

// pushConfig sends the current configuration to a process and records the
// version that it then has.
func (r *Router) pushConfig(c *rpc.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	push := wire.ConfigPush{Header: r.header(), Document: *r.config.Current()}
	var reply wire.Reply
	if err := c.Call(ctx, wire.MethodConfigPush, push, &reply); err != nil {
		return
	}
	r.recordConfigVersion(c.Peer(), reply.ConfigVersion)
}
