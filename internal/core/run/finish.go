package run

import (
	"encoding/json"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Ending says how a run ended.
type Ending struct {
	Outcome        ledger.Outcome
	Kind           errkind.Kind // kind of the error; empty if there was none
	HTTPStatus     int
	ContentType    string
	Detail         string // of the error
	NotCharged     bool   // the target did no work for the run
	Suspect        bool   // the run may have caused the crash of its target
	CrashExplained bool   // the target crashed, but a suspect of an earlier crash is blamed
	OnlySuspect    bool   // the run is the only suspect of the crash
}

// End ends a run in progress and builds its record. It fails with
// errkind.NotFound if the run has ended before.
func (t *Table) End(now time.Time, runID string, ending Ending) (wire.RunEnd, error) {
	e, err := t.activeEntry(runID)
	if err != nil {
		return wire.RunEnd{}, err
	}
	if ending.Outcome == ledger.Capped {
		t.appendFinalEvents(e)
	}
	e.end = t.buildEnd(now, e, ending)
	e.ended = true
	e.endedAt = now
	e.outcome = ending.Outcome
	e.errorKind = ending.Kind
	delete(t.activeRuns, runID)
	t.unackedRuns = append(t.unackedRuns, e)
	return *e.end, nil
}

// appendFinalEvents completes a capped response with a finish reason and the
// usage, which the engine did not send.
func (t *Table) appendFinalEvents(e *entry) {
	var events []json.RawMessage
	for _, ev := range []json.RawMessage{e.meter.finishEvent(), e.meter.usageEvent()} {
		if ev != nil {
			events = append(events, ev)
		}
	}
	if len(events) == 0 {
		return
	}
	// If the buffer is full, only these events are missing; the record still says capped.
	_ = t.appendChunk(e, wire.RunChunk{Events: events, PromptTokens: e.meter.PromptTokens()})
}

// buildEnd returns the end message of a run, with the record to be stored.
func (t *Table) buildEnd(now time.Time, e *entry, ending Ending) *wire.RunEnd {
	s := e.start
	r := ledger.Record{
		Identity:  s.Identity,
		RunID:     s.RunID,
		RequestID: s.RequestID,
		Holder:    s.Holder,
		Target:    t.target,
		Sidecar:   t.sidecar,
		Model:     s.Model,
		Service:   s.Service,
		Workload:  s.Workload,
		Outcome:   ending.Outcome,
		StartedUS: e.startedAt.UnixMicro(),
		EndedUS:   now.UnixMicro(),
	}
	e.fillTokenCounts(&r, ending)
	return &wire.RunEnd{
		RunID:       s.RunID,
		Chunks:      int64(len(e.chunks)),
		HTTPStatus:  ending.HTTPStatus,
		ContentType: ending.ContentType,
		Kind:        ending.Kind,
		Detail:      ending.Detail,
		Record:      r,
		Suspect:     ending.Suspect,
		Explained:   ending.CrashExplained,
		Alone:       ending.OnlySuspect,
	}
}

// ChoicesFinished reports whether the run is in progress and the engine has
// finished all of its choices.
func (t *Table) ChoicesFinished(runID string) bool {
	e, ok := t.activeRuns[runID]
	return ok && e.meter.Finished()
}

// ActiveRunIDs returns the IDs of the runs in progress, sorted.
func (t *Table) ActiveRunIDs() []string {
	ids := make([]string, 0, len(t.activeRuns))
	for id := range t.activeRuns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Cancelable reports whether the run is in progress and may be canceled. A
// service call that must not be repeated is not canceled, because interrupting
// it would leave its outcome unknown.
func (t *Table) Cancelable(runID string) bool {
	e, ok := t.activeRuns[runID]
	return ok && e.repeatable
}

// TargetCrashed ends the runs in progress after a crash of the target that was noticed at a
// time, and marks the suspects among them. Runs that began later were not sent to the target
// that crashed. If a suspect of an earlier crash was in progress, the suspects
// are that run and the runs without output, because a request that crashes its target
// for the first time may be one of these; the crash is explained for the others.
// Otherwise all runs are suspects. If there is only one suspect, its OnlySuspect is set.
func (t *Table) TargetCrashed(now, noticedAt time.Time, detail string) []wire.RunEnd {
	ids := slices.DeleteFunc(t.ActiveRunIDs(), func(id string) bool { return t.activeRuns[id].startedAt.After(noticedAt) })
	suspects := t.crashSuspects(ids)
	ends := make([]wire.RunEnd, 0, len(ids))
	for _, id := range ids {
		kind := errkind.TargetCrashed
		if !t.activeRuns[id].repeatable {
			kind = errkind.OutcomeUnknown
		}
		suspect := suspects[id]
		end, err := t.End(now, id, Ending{
			Outcome: ledger.Crashed,
			Kind:    kind,
			Detail:  detail,
			Suspect: suspect, CrashExplained: !suspect,
			OnlySuspect: suspect && len(suspects) == 1,
		})
		if err == nil {
			ends = append(ends, end)
		}
	}
	return ends
}

// crashSuspects returns those of the runs in progress with the given IDs that may have
// crashed the target.
func (t *Table) crashSuspects(ids []string) map[string]bool {
	earlierSuspect := slices.ContainsFunc(ids, func(id string) bool { return t.activeRuns[id].start.Suspect })
	suspects := map[string]bool{}
	for _, id := range ids {
		if e := t.activeRuns[id]; !earlierSuspect || e.start.Suspect || !e.hasOutput() {
			suspects[id] = true
		}
	}
	return suspects
}

// hasOutput reports whether the target has produced a part of the answer.
func (e *entry) hasOutput() bool {
	if e.start.Kind == wire.ServiceRun {
		return len(e.chunks) > 0
	}
	return e.meter.OutputTokens() > 0
}

// QuarantineReports returns a report for each suspect among the runs that a
// crash has ended.
func (t *Table) QuarantineReports(ends []wire.RunEnd) []wire.QuarantineReport {
	var out []wire.QuarantineReport
	for _, end := range ends {
		if e := t.runs[end.RunID]; e != nil && end.Suspect {
			out = append(out, wire.QuarantineReport{
				Team: e.identity.Team, ContentHash: e.contentHash, RunID: end.RunID,
				Target: t.target, CrashID: end.CrashID(), Alone: end.Alone,
			})
		}
	}
	return out
}

// Ack marks the records of ended runs as durable. IDs of unknown runs and of
// runs in progress are ignored.
func (t *Table) Ack(runIDs []string) {
	changed := false
	for _, id := range runIDs {
		if e, ok := t.runs[id]; ok && e.ended && !e.acked {
			e.acked = true
			changed = true
			if !e.responseDropped {
				t.ackedRuns = append(t.ackedRuns, e)
			}
		}
	}
	if changed {
		t.unackedRuns = slices.DeleteFunc(t.unackedRuns, func(e *entry) bool { return e.acked })
		t.evict()
	}
}

// UnackedRecords returns the records that are not known to be durable and for
// which include returns true, in the order in which the runs ended. A nil
// include selects all. At most limit records are returned; 0 means no limit.
func (t *Table) UnackedRecords(limit int, include func(holder string, endedAt time.Time) bool) []ledger.Record {
	var out []ledger.Record
	for _, e := range t.unackedRuns {
		if limit > 0 && len(out) == limit {
			break
		}
		if include == nil || include(e.holder, e.endedAt) {
			out = append(out, e.end.Record)
		}
	}
	return out
}

// sweepInterval is the least time between two scans in which Expire examines the
// ended runs. Ended runs far outnumber runs in progress, and dropping them late
// does no harm.
const sweepInterval = 5 * time.Second

// Expire drops responses and run IDs whose retention is over. Records that are
// not acknowledged are kept. It returns the runs that the caller must cancel,
// because they have no reader and cannot be resumed.
func (t *Table) Expire(now time.Time) (cancel []string) {
	for id, e := range t.activeRuns {
		if t.orphaned(now, e) {
			cancel = append(cancel, id)
		}
	}
	slices.Sort(cancel)
	if now.Sub(t.sweptAt) >= sweepInterval {
		t.sweptAt = now
		t.sweep(now)
	}
	return cancel
}

// sweep expires ended runs that have no reader.
func (t *Table) sweep(now time.Time) {
	for _, e := range t.runs {
		if e.ended && e.readers == 0 {
			t.expireEnded(now, e)
		}
	}
	t.ackedRuns = slices.DeleteFunc(t.ackedRuns, func(e *entry) bool { return e.responseDropped })
}

// orphaned reports whether a run in progress has been without a reader for too
// long and may be canceled.
func (t *Table) orphaned(now time.Time, e *entry) bool {
	abandoned := e.readers == 0 && now.Sub(e.detachedAt) >= t.limits.OrphanTimeout
	return abandoned && !e.start.Resumable && e.repeatable
}

// expireEnded drops the response of an ended run once it has expired, and removes
// the run once RunRetention has passed since its end (at least
// ServiceCallIDRetention for a service call that must not be repeated). A run
// whose record is not acknowledged is kept.
func (t *Table) expireEnded(now time.Time, e *entry) {
	if !e.responseDropped && t.responseExpired(now, e) {
		t.dropResponse(e)
	}
	if !e.acked || !e.responseDropped {
		return
	}
	e.start, e.meter, e.end = nil, nil, nil
	retention := t.limits.RunRetention
	if !e.repeatable {
		retention = max(retention, t.limits.ServiceCallIDRetention)
	}
	if now.Sub(e.endedAt) >= retention {
		t.forget(e)
	}
}

// responseExpired reports whether the response of an ended run is no longer
// needed. A response that cannot be resumed is kept for OrphanTimeout after its
// last reader has left.
func (t *Table) responseExpired(now time.Time, e *entry) bool {
	if now.Sub(e.endedAt) >= t.limits.RunRetention {
		return true
	}
	idleSince := e.endedAt
	if e.detachedAt.After(idleSince) {
		idleSince = e.detachedAt
	}
	return !e.start.Resumable && now.Sub(idleSince) >= t.limits.OrphanTimeout
}

// forget removes a run. A delayed duplicate of its start message is still
// rejected: its stamp is not later than the latest stamp forgotten for the
// holder, and the holder gives every newer run a later stamp.
func (t *Table) forget(e *entry) {
	delete(t.runs, e.runID)
	if t.byIdentity[e.identity] == e {
		delete(t.byIdentity, e.identity)
	}
	if latest, ok := t.latestForgottenStamp[e.holder]; !ok || latest.Before(e.stamp) {
		t.latestForgottenStamp[e.holder] = e.stamp
	}
}
