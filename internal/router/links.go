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

// sidecarHandler serves the connection to one target's sidecar.
type sidecarHandler struct {
	r *Router
	t *target
}

// Opened implements rpc.Handler.
func (h sidecarHandler) Opened(c *rpc.Conn) {
	hello := c.Peer()
	h.r.observe(hello.Header)
	h.r.confirm(hello, hello.ConfigVersion)
	h.r.sched.update(h.t, func(t *target) {
		t.conn = c
		t.incarnation = hello.Incarnation
		t.draining = hello.Draining
		t.reported = false
	})
	h.r.opts.Logger.Info("sidecar connected", "target", h.t.id, "sidecar", hello.Incarnation)
	if hello.ConfigVersion < h.r.config.Version() {
		go h.r.pushConfig(c)
	}
	for _, run := range h.r.runsAt(h.t) {
		go h.r.reattach(run, c)
	}
}

// Closed implements rpc.Handler.
func (h sidecarHandler) Closed(c *rpc.Conn, err error) {
	h.r.sched.update(h.t, func(t *target) {
		if t.conn == c {
			t.conn = nil
		}
	})
	now := time.Now()
	for _, run := range h.r.runsAt(h.t) {
		run.lost(now)
	}
	h.r.opts.Logger.Info("sidecar disconnected", "target", h.t.id, "err", err)
}

// Call implements rpc.Handler. Sidecars call no methods of routers.
func (h sidecarHandler) Call(_ context.Context, _ *rpc.Conn, method string, _ json.RawMessage) (any, error) {
	return nil, errkind.New(errkind.MethodNotAllowed, "method %s", method)
}

// Notify implements rpc.Handler.
func (h sidecarHandler) Notify(c *rpc.Conn, method string, params json.RawMessage) {
	switch method {
	case wire.MethodRunChunk:
		h.chunk(c, params)
	case wire.MethodRunEnd:
		h.end(params)
	case wire.MethodLoadReport:
		h.load(c, params)
	default:
		h.r.notified(c, method, params)
	}
}

// notified takes the notifications that sidecars and routers send alike.
func (r *Router) notified(c *rpc.Conn, method string, params json.RawMessage) {
	switch method {
	case wire.MethodQuarantineReport:
		var rep wire.QuarantineReport
		if json.Unmarshal(params, &rep) == nil {
			r.observe(rep.Header)
			r.reportCrash(rep, false)
		}
	case wire.MethodPing:
		var ping wire.Ping
		if json.Unmarshal(params, &ping) == nil {
			r.observe(ping.Header)
			r.confirm(c.Peer(), ping.ConfigVersion)
			r.pushIfBehind(c, ping.ConfigVersion)
		}
	}
}

func (h sidecarHandler) chunk(c *rpc.Conn, params json.RawMessage) {
	var chunk wire.RunChunk
	if err := json.Unmarshal(params, &chunk); err != nil {
		h.r.opts.Logger.Warn("chunk rejected", "target", h.t.id, "err", err)
		return
	}
	run := h.r.runByID(chunk.RunID)
	if run == nil || run.target != h.t {
		return
	}
	if gap := run.addChunk(chunk); gap {
		go h.r.reattach(run, c)
	}
}

func (h sidecarHandler) end(params json.RawMessage) {
	var end wire.RunEnd
	if err := json.Unmarshal(params, &end); err != nil {
		h.r.opts.Logger.Warn("end rejected", "target", h.t.id, "err", err)
		return
	}
	h.r.observe(end.Header)
	run := h.r.runByID(end.RunID)
	h.r.sched.update(h.t, func(t *target) { t.noteEnd(time.Now(), run, end) })
	if run == nil {
		h.r.settleRecord(end.Record, nil)
		return
	}
	h.r.noteCrash(h.t, end)
	run.finish(end)
	h.r.settleRun(run, end)
}

func (h sidecarHandler) load(c *rpc.Conn, params json.RawMessage) {
	var report wire.LoadReport
	if err := json.Unmarshal(params, &report); err != nil {
		h.r.opts.Logger.Warn("load report rejected", "target", h.t.id, "err", err)
		return
	}
	h.r.observe(report.Header)
	h.r.confirm(c.Peer(), report.ConfigVersion)
	records := report.Records
	report.Records = nil
	h.r.sched.update(h.t, func(t *target) {
		t.report = report
		t.reported = true
		t.noteActive(report.Active)
		t.draining = report.Draining
	})
	for _, rec := range records {
		h.r.settleRecord(rec, c)
	}
	h.r.pushIfBehind(c, report.ConfigVersion)
}

// noteCrash counts a crash against the requests that may have caused it.
func (r *Router) noteCrash(t *target, end wire.RunEnd) {
	if !end.Suspect {
		return
	}
	run := r.runByID(end.RunID)
	if run == nil {
		return
	}
	r.reportCrash(wire.QuarantineReport{
		Header:      r.header(),
		Team:        run.identity.Team,
		ContentHash: run.hash,
		RunID:       run.id,
		Target:      t.id,
		CrashID:     end.CrashID(),
		Alone:       end.Alone,
	}, true)
}

// reportCrash takes in a crash report and, if it is this router's own, tells
// the peers.
func (r *Router) reportCrash(rep wire.QuarantineReport, own bool) {
	key := quarantine.Key{Team: rep.Team, ContentHash: rep.ContentHash}
	r.mu.Lock()
	if rep.Cleared {
		r.crashes.Clear(key)
		r.mu.Unlock()
		return
	}
	verdict := r.crashes.Report(time.Now(), quarantine.Crash{Key: key, ID: rep.CrashID, Alone: rep.Alone})
	r.mu.Unlock()
	r.opts.Logger.Warn("target crashed with request in flight", "target", rep.Target, "team", rep.Team, "run", rep.RunID, "alone", rep.Alone, "quarantined", verdict)
	if own {
		r.notifyPeers(wire.MethodQuarantineReport, rep)
	}
	if verdict {
		go r.storeVerdict(key)
	}
}

// reattach resumes a run on a new connection. A run that the sidecar does not
// know is rejected there for ever, so it is known not to have run.
func (r *Router) reattach(run *run, c *rpc.Conn) {
	if c.Peer().Incarnation != run.sidecar {
		r.runGone(run)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req := wire.AttachRun{
		Header:    r.header(),
		Identity:  run.identity,
		RunID:     run.id,
		NextSeq:   run.received(),
		Tombstone: true,
	}
	var res wire.AttachRunResult
	if err := c.Call(ctx, wire.MethodRunAttach, req, &res); err != nil {
		return
	}
	switch {
	case !res.Known:
		if run.fail(errNotRun) {
			r.cancelRun(run)
		}
	case res.Expired:
		run.fail(errAnswerGone)
		r.removeIfOver(run)
	default:
		run.resumed()
	}
}

// runGone ends a run whose sidecar was replaced. No process can say any more
// what it consumed, so its whole reservation is charged as lost.
func (r *Router) runGone(run *run) {
	if !run.fail(errSidecarGone) {
		return
	}
	rec := run.template
	rec.Outcome = ledger.Lost
	rec.Charged = rec.Reserved
	rec.EndedUS = time.Now().UnixMicro()
	r.removeRun(run)
	if run.res != nil {
		run.res.Settle(rec)
	}
}

// settleRun books the record of a run that has ended.
func (r *Router) settleRun(run *run, end wire.RunEnd) {
	r.removeRun(run)
	if run.claimed {
		go r.storeClaimResult(run, end)
	}
	if run.res == nil {
		return
	}
	if end.Kind == errkind.NoTarget {
		run.res.Cancel()
		r.ack([]ledger.Record{end.Record})
		return
	}
	run.res.Settle(end.Record)
}

// settleRecord books a record that a sidecar handed over outside the run's own
// stream. Records of other holders are left to the recovery of that holder. The
// record can overtake the answer after a connection was lost, so the run stays
// until its answer has ended. c is the sidecar's connection, or nil.
func (r *Router) settleRecord(rec ledger.Record, c *rpc.Conn) {
	if r.durable.has(rec.RunID) || r.holderClosed(rec.Holder) {
		r.ack([]ledger.Record{rec}) // an earlier acknowledgement was lost
		return
	}
	run := r.runByID(rec.RunID)
	if run == nil || run.res == nil || rec.Holder != run.res.Holder() {
		return
	}
	run.res.Settle(rec)
	run.book()
	if !r.removeIfOver(run) && c != nil {
		go r.reattach(run, c) // the rest of the answer
	}
}

// removeIfOver removes a run whose record is booked and whose answer has ended.
func (r *Router) removeIfOver(run *run) bool {
	if !run.over() {
		return false
	}
	r.removeRun(run)
	return true
}

func (r *Router) holderClosed(holder string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedHolders[holder]
}

// recordsDurable is called with records that are stored in the table.
func (r *Router) recordsDurable(records []ledger.Record) {
	for _, rec := range records {
		r.durable.add(rec.RunID)
		r.metrics.tokens.WithLabelValues(string(rec.Outcome)).Add(float64(rec.Charged))
	}
	r.ack(records)
}

// cancelRun gives up a run that did not start. Requests that have joined it ask
// again which run stands for their key.
func (r *Router) cancelRun(run *run) {
	run.fail(errReplaced)
	r.removeRun(run)
	if run.res != nil {
		run.res.Cancel()
	}
}

// ack tells the sidecars that records are durable.
func (r *Router) ack(records []ledger.Record) {
	bySidecar := map[string][]string{}
	for _, rec := range records {
		bySidecar[rec.Sidecar] = append(bySidecar[rec.Sidecar], rec.RunID)
	}
	for _, t := range r.sched.list(func(t *target) bool { return t.conn != nil && bySidecar[t.incarnation] != nil }) {
		ids := bySidecar[t.incarnation]
		if c := t.link.Conn(); c != nil {
			_ = c.Notify(context.Background(), wire.MethodRunAck, wire.AckRecords{Header: r.header(), RunIDs: ids})
		}
	}
}

func (r *Router) pushConfig(c *rpc.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	push := wire.ConfigPush{Header: r.header(), Document: *r.config.Current()}
	var reply wire.Reply
	if err := c.Call(ctx, wire.MethodConfigPush, push, &reply); err != nil {
		return
	}
	r.confirm(c.Peer(), reply.ConfigVersion)
}
