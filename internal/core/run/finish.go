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
	Outcome     ledger.Outcome
	Kind        errkind.Kind // unless the answer is complete
	HTTPStatus  int
	ContentType string
	Detail      string
	NotCharged  bool // the target did no work for the run
	Suspect     bool
	Explained   bool
	Alone       bool
}

// End ends a run and builds its record. A second End fails with
// errkind.NotFound.
func (t *Table) End(now time.Time, runID string, how Ending) (wire.RunEnd, error) {
	e, err := t.inProgress(runID)
	if err != nil {
		return wire.RunEnd{}, err
	}
	if how.Outcome == ledger.Capped {
		t.closeChoices(e)
	}
	e.end = t.buildEnd(now, e, how)
	e.ended = true
	e.endedAt = now
	e.outcome = how.Outcome
	e.kind = how.Kind
	delete(t.active, runID)
	t.unacked = append(t.unacked, e)
	return *e.end, nil
}

// closeChoices completes a capped answer, so that its reader sees a finish
// reason and the usage.
func (t *Table) closeChoices(e *entry) {
	var events []json.RawMessage
	for _, ev := range []json.RawMessage{e.meter.closing(), e.meter.usageEvent()} {
		if ev != nil {
			events = append(events, ev)
		}
	}
	if len(events) == 0 {
		return
	}
	// A full buffer leaves only these events out; the record says capped.
	_ = t.append(e, wire.RunChunk{Events: events, PromptTokens: e.meter.PromptTokens()})
}

func (t *Table) buildEnd(now time.Time, e *entry, how Ending) *wire.RunEnd {
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
		Outcome:   how.Outcome,
		StartedUS: e.startedAt.UnixMicro(),
		EndedUS:   now.UnixMicro(),
	}
	e.account(&r, how)
	return &wire.RunEnd{
		RunID:       s.RunID,
		Chunks:      int64(len(e.chunks)),
		HTTPStatus:  how.HTTPStatus,
		ContentType: how.ContentType,
		Kind:        how.Kind,
		Detail:      how.Detail,
		Record:      r,
		Suspect:     how.Suspect,
		Explained:   how.Explained,
		Alone:       how.Alone,
	}
}

// ChoicesFinished reports whether the engine finished every choice of a run in
// progress.
func (t *Table) ChoicesFinished(runID string) bool {
	e, ok := t.active[runID]
	return ok && e.meter.Finished()
}

// ActiveRunIDs returns the ids of the runs in progress, sorted.
func (t *Table) ActiveRunIDs() []string {
	ids := make([]string, 0, len(t.active))
	for id := range t.active {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Cancelable reports whether a run in progress is to be canceled. A service call
// that must not be repeated goes on, because interrupting it would leave its
// outcome unknown.
func (t *Table) Cancelable(runID string) bool {
	e, ok := t.active[runID]
	return ok && e.repeatable
}

// TargetCrashed ends all runs in progress, because the target went away. If runs that
// were suspects before were in flight, they explain the crash and only they
// are suspects again; otherwise all are. A single suspect is alone.
func (t *Table) TargetCrashed(now time.Time, detail string) []wire.RunEnd {
	earlier := 0
	ids := t.ActiveRunIDs()
	for _, e := range t.active {
		if e.start.Suspect {
			earlier++
		}
	}
	ends := make([]wire.RunEnd, 0, len(ids))
	for _, id := range ids {
		kind := errkind.TargetCrashed
		if !t.active[id].repeatable {
			kind = errkind.OutcomeUnknown
		}
		suspect := earlier == 0 || t.active[id].start.Suspect
		end, err := t.End(now, id, Ending{
			Outcome: ledger.Crashed,
			Kind:    kind,
			Detail:  detail,
			Suspect: suspect, Explained: !suspect,
			Alone: suspect && (len(ids) == 1 || earlier == 1),
		})
		if err == nil {
			ends = append(ends, end)
		}
	}
	return ends
}

// QuarantineReports returns what a router needs to know about the suspects among the runs
// that a crash has ended.
func (t *Table) QuarantineReports(ends []wire.RunEnd) []wire.QuarantineReport {
	var out []wire.QuarantineReport
	for _, end := range ends {
		if e := t.runs[end.RunID]; e != nil && end.Suspect {
			out = append(out, wire.QuarantineReport{
				Team: e.identity.Team, ContentHash: e.hash, RunID: end.RunID,
				Target: t.target, CrashID: end.CrashID(), Alone: end.Alone,
			})
		}
	}
	return out
}

// Ack notes that the records of ended runs are durable. Other ids are
// ignored.
func (t *Table) Ack(runIDs []string) {
	hit := false
	for _, id := range runIDs {
		if e, ok := t.runs[id]; ok && e.ended && !e.acked {
			e.acked = true
			hit = true
			if !e.dropped {
				t.acked = append(t.acked, e)
			}
		}
	}
	if hit {
		t.unacked = slices.DeleteFunc(t.unacked, func(e *entry) bool { return e.acked })
		t.evict()
	}
}

// UnackedRecords returns the records that are not known to be durable, in the order
// of their end, for which want returns true. The limit bounds their number; 0
// means no bound.
func (t *Table) UnackedRecords(limit int, want func(holder string, endedAt time.Time) bool) []ledger.Record {
	var out []ledger.Record
	for _, e := range t.unacked {
		if limit > 0 && len(out) == limit {
			break
		}
		if want == nil || want(e.holder, e.endedAt) {
			out = append(out, e.end.Record)
		}
	}
	return out
}

// sweepEvery is the period in which Expire examines ended runs. There are many
// more of them than runs in progress, and their times are not critical.
const sweepEvery = 5 * time.Second

// Expire drops answers and run ids whose time is over. It returns the runs
// that are to be canceled, because they lost their reader and cannot be
// resumed. Records that are not acknowledged stay.
func (t *Table) Expire(now time.Time) (cancel []string) {
	for id, e := range t.active {
		if t.orphaned(now, e) {
			cancel = append(cancel, id)
		}
	}
	slices.Sort(cancel)
	if now.Sub(t.sweptAt) >= sweepEvery {
		t.sweptAt = now
		t.sweep(now)
	}
	return cancel
}

func (t *Table) sweep(now time.Time) {
	for _, e := range t.runs {
		if e.ended && e.readers == 0 {
			t.expireEnded(now, e)
		}
	}
	t.acked = slices.DeleteFunc(t.acked, func(e *entry) bool { return e.dropped })
}

func (t *Table) orphaned(now time.Time, e *entry) bool {
	lost := e.readers == 0 && now.Sub(e.detachedAt) >= t.limits.OrphanTimeout
	return lost && !e.start.Resumable && e.repeatable
}

func (t *Table) expireEnded(now time.Time, e *entry) {
	if !e.dropped && t.answerExpired(now, e) {
		t.drop(e)
	}
	if !e.acked || !e.dropped {
		return
	}
	e.start, e.meter, e.end = nil, nil, nil
	keep := t.limits.RunRetention
	if !e.repeatable {
		keep = max(keep, t.limits.ServiceIDRetention)
	}
	if now.Sub(e.endedAt) >= keep {
		t.forget(e)
	}
}

func (t *Table) answerExpired(now time.Time, e *entry) bool {
	if now.Sub(e.endedAt) >= t.limits.RunRetention {
		return true
	}
	last := e.endedAt
	if e.detachedAt.After(last) {
		last = e.detachedAt
	}
	return !e.start.Resumable && now.Sub(last) >= t.limits.OrphanTimeout
}

// forget removes a run id. A late repetition of its start is recognised by
// the stamp, which the holder issued before that of any newer run.
func (t *Table) forget(e *entry) {
	delete(t.runs, e.runID)
	if t.byIdentity[e.identity] == e {
		delete(t.byIdentity, e.identity)
	}
	if late, ok := t.forgotten[e.holder]; !ok || late.Before(e.stamp) {
		t.forgotten[e.holder] = e.stamp
	}
}
