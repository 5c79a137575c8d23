package run_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/run"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const token = `{"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]}`

// model performs random operations on a table and tracks the state that the
// table must have.
type model struct {
	table            *run.Table
	now              time.Time
	wall             int64                    // wall time of the latest stamp
	startedRuns      map[string]wire.StartRun // accepted as new runs, by run ID
	issuedStarts     []wire.StartRun          // all start messages sent, whether accepted or not
	endRecords       map[string]ledger.Record // records of the runs that have ended, by run ID
	ackedRunIDs      map[string]bool          // ended runs whose record was acknowledged, by run ID
	tombstonedRunIDs map[string]bool          // IDs of runs that must never start
	fencedHolders    map[string]bool          // holders whose further runs must be refused
}

func newModel() *model {
	limits := run.DefaultLimits()
	limits.MaxRuns = 6
	limits.MaxBytes = 2000
	limits.MaxRunBytes = 1000
	return &model{
		table:            run.New(limits, "t1", "s1"),
		now:              time.Unix(1000, 0),
		startedRuns:      map[string]wire.StartRun{},
		endRecords:       map[string]ledger.Record{},
		ackedRunIDs:      map[string]bool{},
		tombstonedRunIDs: map[string]bool{},
		fencedHolders:    map[string]bool{},
	}
}

func (m *model) start(t *rapid.T) {
	m.wall++
	n := len(m.issuedStarts)
	s := wire.StartRun{
		Header:      wire.Header{Stamp: hlc.Stamp{Wall: m.wall}},
		Identity:    ledger.Identity{Team: "a", Key: fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))},
		RunID:       fmt.Sprintf("r%d", n),
		Holder:      rapid.SampledFrom([]string{"h1", "h2", "h3", "h4"}).Draw(t, "holder"),
		Kind:        rapid.SampledFrom([]wire.RunKind{wire.CompletionRun, wire.ServiceRun}).Draw(t, "kind"),
		ContentHash: rapid.SampledFrom([]string{"c", "c", "d"}).Draw(t, "hash"),
		Reserved:    rapid.Int64Range(0, 20).Draw(t, "reserved"),
		OutputCap:   rapid.Int64Range(1, 8).Draw(t, "cap"),
		Resumable:   rapid.Bool().Draw(t, "resumable"),
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
	}
	m.issuedStarts = append(m.issuedStarts, s)
	m.startRun(t, s)
}

func (m *model) duplicate(t *rapid.T) {
	if len(m.issuedStarts) > 0 {
		m.startRun(t, rapid.SampledFrom(m.issuedStarts).Draw(t, "repeated"))
	}
}

func (m *model) startRun(t *rapid.T, s wire.StartRun) {
	got, err := m.table.Start(m.now, s)
	if err != nil || got.Existing {
		return
	}
	if _, twice := m.startedRuns[s.RunID]; twice {
		t.Fatalf("run %s started twice", s.RunID)
	}
	if m.fencedHolders[s.Holder] || m.tombstonedRunIDs[s.RunID] {
		t.Fatalf("run %s started after a tombstone or a fence of its holder", s.RunID)
	}
	m.startedRuns[s.RunID] = s
}

func (m *model) pickRunID(t *rapid.T) string {
	if len(m.issuedStarts) == 0 {
		return "none"
	}
	return rapid.SampledFrom(m.issuedStarts).Draw(t, "run").RunID
}

func (m *model) chunk(t *rapid.T) {
	id := m.pickRunID(t)
	if m.startedRuns[id].Kind == wire.ServiceRun {
		_ = m.table.AppendData(id, []byte("body"))
		return
	}
	_, _ = m.table.AppendEvents(id, []json.RawMessage{[]byte(token), []byte(token)}, false)
}

func (m *model) end(t *rapid.T) {
	ending := run.Ending{Outcome: rapid.SampledFrom([]ledger.Outcome{ledger.Complete, ledger.Failed, ledger.Capped}).Draw(t, "outcome")}
	if end, err := m.table.End(m.now, m.pickRunID(t), ending); err == nil {
		m.recordEnd(t, end)
	}
}

func (m *model) crash(t *rapid.T) {
	for _, end := range m.table.TargetCrashed(m.now, m.now, "gone") {
		m.recordEnd(t, end)
	}
}

func (m *model) recordEnd(t *rapid.T, end wire.RunEnd) {
	if _, twice := m.endRecords[end.RunID]; twice {
		t.Fatalf("run %s ended twice", end.RunID)
	}
	if r := end.Record; r.Charged > r.Reserved || r.Charged < 0 {
		t.Fatalf("charged %d tokens with %d reserved", r.Charged, r.Reserved)
	}
	m.endRecords[end.RunID] = end.Record
}

func (m *model) attach(t *rapid.T) {
	if len(m.issuedStarts) == 0 {
		return
	}
	s := rapid.SampledFrom(m.issuedStarts).Draw(t, "attached")
	a := wire.AttachRun{Identity: s.Identity, RunID: s.RunID, Tombstone: rapid.Bool().Draw(t, "tombstone")}
	got := m.table.Attach(a)
	if got.Known && !got.Expired {
		m.table.AddReader(got.RunID)
	}
	if _, ran := m.startedRuns[s.RunID]; a.Tombstone && !ran {
		m.tombstonedRunIDs[s.RunID] = true
	}
}

func (m *model) cancel(t *rapid.T) {
	id := m.pickRunID(t)
	if !m.table.Cancelable(id) {
		return
	}
	end, err := m.table.End(m.now, id, run.Ending{Outcome: ledger.Canceled})
	if err != nil {
		t.Fatal(err)
	}
	m.recordEnd(t, end)
}

func (m *model) ack(t *rapid.T) {
	id := m.pickRunID(t)
	m.table.Ack([]string{id})
	if _, ok := m.endRecords[id]; ok {
		m.ackedRunIDs[id] = true
	}
}

func (m *model) fence(t *rapid.T) {
	holder := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "fenced")
	m.fencedHolders[holder] = true
	got := m.table.Fence(holder)
	seen := map[string]bool{}
	for _, r := range got.Records {
		seen[r.RunID] = true
	}
	for _, id := range got.Active {
		seen[id] = true
	}
	for id, s := range m.startedRuns {
		if s.Holder == holder && !m.ackedRunIDs[id] && !seen[id] {
			t.Fatalf("fence of holder %s does not return run %s", holder, id)
		}
	}
}

func (m *model) expire(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 6 * time.Second, 16 * time.Minute, 25 * time.Hour}).Draw(t, "pass"))
	for _, id := range m.table.Expire(m.now) {
		if m.startedRuns[id].Resumable {
			t.Fatalf("resumable run %s is to be canceled", id)
		}
	}
}

func (m *model) check(t *rapid.T) {
	unacked := map[string]ledger.Record{}
	for _, r := range m.table.UnackedRecords(0, nil) {
		unacked[r.RunID] = r
	}
	for id, r := range m.endRecords {
		if _, ok := unacked[id]; ok == m.ackedRunIDs[id] || ok && unacked[id] != r {
			t.Fatalf("record of run %s: listed as unacknowledged %v, acknowledged %v", id, ok, m.ackedRunIDs[id])
		}
	}
	for id := range m.startedRuns {
		m.checkChunks(t, id)
	}
	if want := len(m.startedRuns) - len(m.endRecords); m.table.ActiveCount() != want {
		t.Fatalf("%d runs in progress, want %d", m.table.ActiveCount(), want)
	}
}

func (m *model) checkChunks(t *rapid.T, id string) {
	chunks, end, err := m.table.Read(id, 0)
	if err != nil {
		return
	}
	for i, c := range chunks {
		if c.Seq != int64(i) || c.RunID != id {
			t.Fatalf("run %s has chunk %d of run %s at position %d", id, c.Seq, c.RunID, i)
		}
	}
	if end != nil && end.Chunks != int64(len(chunks)) {
		t.Fatalf("run %s ended with %d chunks, but %d are buffered", id, end.Chunks, len(chunks))
	}
}

// Checks that, in any order of messages, no run starts twice or after a fence or
// tombstone, responses have no gaps, no record is lost and no charge exceeds its
// reservation.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"start":     m.start,
			"duplicate": m.duplicate,
			"chunk":     m.chunk,
			"end":       m.end,
			"crash":     m.crash,
			"attach":    m.attach,
			"cancel":    m.cancel,
			"ack":       m.ack,
			"fence":     m.fence,
			"expire":    m.expire,
			"":          m.check,
		})
	})
}

// Guards against a refusal of the wrong kind. By the kind, routers decide whether
// to fetch a newer configuration, try another target or end their incarnation.
func TestRefusals(t *testing.T) {
	limits := run.DefaultLimits()
	limits.MaxRuns = 1
	table := run.New(limits, "t1", "s1")
	now := time.Unix(1, 0)
	request := func(id, key, holder string, version int64) wire.StartRun {
		return wire.StartRun{
			Header:      wire.Header{ConfigVersion: version},
			Identity:    ledger.Identity{Team: "a", Key: key},
			RunID:       id,
			Holder:      holder,
			ContentHash: "c",
		}
	}
	expectKind := func(s wire.StartRun, want errkind.Kind) {
		t.Helper()
		_, err := table.Start(now, s)
		assert.Equal(t, errkind.Of(err), want)
	}
	table.Fence("old")
	table.ObserveConfigVersion(3)
	table.Attach(wire.AttachRun{RunID: "dead", Tombstone: true})
	expectKind(request("r1", "k1", "old", 3), errkind.Fenced)
	expectKind(request("r1", "k1", "h", 2), errkind.StaleConfig)
	expectKind(request("dead", "k1", "h", 3), errkind.Tombstoned)
	expectKind(request("r1", "k1", "h", 3), "")
	expectKind(request("r2", "k2", "h", 3), errkind.Overloaded)
	other := request("r2", "k1", "h", 3)
	other.ContentHash = "d"
	expectKind(other, errkind.IdempotencyConflict)
	table.SetDraining(true)
	expectKind(request("r2", "k2", "h", 3), errkind.Draining)
	repeat, err := table.Start(now, request("r2", "k1", "h", 3))
	assert.NilError(t, err)
	assert.DeepEqual(t, repeat, run.Accepted{RunID: "r1", Existing: true})
}

// crashWith starts runs r0, r1 and so on, one for each value of suspects, appends an
// event to those that are in withOutput, and returns their ends after a crash, by run ID.
func crashWith(t *testing.T, suspects []bool, withOutput ...string) (map[string]wire.RunEnd, []wire.QuarantineReport) {
	t.Helper()
	table := run.New(run.DefaultLimits(), "t1", "s1")
	now := time.Unix(1, 0)
	for i, suspect := range suspects {
		id := fmt.Sprint("r", i)
		_, err := table.Start(now, wire.StartRun{RunID: id, Identity: ledger.Identity{Key: id}, OutputCap: 9, Suspect: suspect})
		assert.NilError(t, err)
	}
	for _, id := range withOutput {
		event := json.RawMessage(`{"choices":[{"index":0,"delta":{"content":"a"}}]}`)
		_, err := table.AppendEvents(id, []json.RawMessage{event}, false)
		assert.NilError(t, err)
	}
	ends := table.TargetCrashed(now, now, "gone")
	byID := map[string]wire.RunEnd{}
	for _, end := range ends {
		byID[end.RunID] = end
	}
	return byID, table.QuarantineReports(ends)
}

// Guards against marking as suspects all requests that were in flight together
// with a known suspect when the target crashed, though they had run there without
// a crash before.
func TestCrashNamesTheOnlySuspect(t *testing.T) {
	ends, reports := crashWith(t, []bool{false, true, false}, "r0", "r2")
	for id, end := range ends {
		assert.Equal(t, end.Suspect, id == "r1")
		assert.Equal(t, end.Explained, id != "r1")
		assert.Equal(t, end.Alone, id == "r1")
	}
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].RunID, "r1")
	assert.Equal(t, reports[0].CrashID, ends["r1"].CrashID())
}

// Guards against blaming only the suspect of an earlier crash, an innocent request
// that is repeated, for the crash that a request without earlier crashes causes as it
// starts beside it. That crash would count against nobody who caused it, and the
// innocent request would be refused after the second one.
func TestCrashNamesRunsWithoutOutputBesideASuspect(t *testing.T) {
	ends, reports := crashWith(t, []bool{true, false, false}, "r0", "r1")
	for id, end := range ends {
		assert.Equal(t, end.Suspect, id != "r1")
		assert.Equal(t, end.Explained, id == "r1")
		assert.Equal(t, end.Alone, false)
	}
	assert.Equal(t, len(reports), 2)
}

// Guards against evicting a response that is being read, one whose record is not
// durable, or one that was acknowledged later than another.
func TestEvictionOrder(t *testing.T) {
	limits := run.DefaultLimits()
	limits.MaxBytes = 5000
	table := run.New(limits, "t1", "s1")
	now := time.Unix(1, 0)
	completeRun := func(id string) {
		_, err := table.Start(now, wire.StartRun{RunID: id, Identity: ledger.Identity{Key: id}, Kind: wire.ServiceRun, Resumable: true})
		assert.NilError(t, err)
		assert.NilError(t, table.AppendData(id, make([]byte, 1000)))
		_, err = table.End(now, id, run.Ending{Outcome: ledger.Complete})
		assert.NilError(t, err)
	}
	for _, id := range []string{"unacked", "read", "second", "first"} {
		completeRun(id)
	}
	table.AddReader("read")
	table.Ack([]string{"read"})
	table.Ack([]string{"first"})
	table.Ack([]string{"second"})
	completeRun("trigger")
	for id, kept := range map[string]bool{"unacked": true, "read": true, "second": true, "first": false, "trigger": true} {
		_, _, err := table.Read(id, 0)
		assert.Equal(t, err == nil, kept, "run %s", id)
	}
}

// Guards against blaming a suspect for a crash that another router's suspect
// caused, because both were in progress at the same target.
func TestOneSuspectAtATime(t *testing.T) {
	now := time.Unix(1, 0)
	table := run.New(run.DefaultLimits(), "t", "s")
	start := func(id string, suspect bool) error {
		_, err := table.Start(now, wire.StartRun{RunID: id, Identity: ledger.Identity{Key: id}, Suspect: suspect})
		return err
	}
	assert.NilError(t, start("r1", true))
	assert.NilError(t, start("r2", false))
	assert.Equal(t, errkind.Of(start("r3", true)), errkind.Overloaded)
	_, err := table.End(now, "r1", run.Ending{Outcome: ledger.Complete})
	assert.NilError(t, err)
	assert.NilError(t, start("r3", true))
}

// Guards against blaming a run for a crash that was noticed before the run began: each run
// that was in flight notices the crash by itself, the last ones after others have begun.
func TestRunThatBeganAfterTheCrashIsNotEnded(t *testing.T) {
	table := run.New(run.DefaultLimits(), "t1", "s1")
	began := time.Unix(1, 0)
	noticed, later := began.Add(time.Second), began.Add(2*time.Second)
	start := func(now time.Time, id string) {
		_, err := table.Start(now, wire.StartRun{RunID: id, Identity: ledger.Identity{Key: id}, OutputCap: 9, Suspect: true})
		assert.NilError(t, err)
	}
	start(began, "r0")
	ends := table.TargetCrashed(later, noticed, "gone")
	assert.Equal(t, len(ends), 1)
	start(later, "r1")
	assert.Equal(t, len(table.TargetCrashed(later, noticed, "gone")), 0, "the same crash, noticed by another run")
	assert.DeepEqual(t, table.ActiveRunIDs(), []string{"r1"})
}
