package sidecar_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// startGatedEngine starts an engine that sends one token and then waits until
// the gate is closed.
func startGatedEngine(t *testing.T, gate <-chan struct{}) *httptest.Server {
	return startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvent(w, tokenEvent("a"))
		select {
		case <-gate:
		case <-r.Context().Done():
			return
		}
		for _, payload := range []string{finishEvent, usageEvent, "[DONE]"} {
			writeEvent(w, payload)
		}
	})
}

// waitForFirstChunk waits until the router has received a chunk of the run.
func waitForFirstChunk(t *testing.T, r *router, runID string) {
	t.Helper()
	waitFor(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.chunks[runID]) > 0
	})
}

// Guards against losing or repeating a part of an answer when the router
// attaches again after the connection broke.
func TestAttachContinuesAnswer(t *testing.T) {
	gate := make(chan struct{})
	p := startSidecar(t, testOptions(startGatedEngine(t, gate).URL))
	first := dialRouter(t, p.addr, "h1", nil)
	m := completionRun("r1")
	first.start(t, m)
	waitForFirstChunk(t, first, "r1")
	_ = first.conn.Close()
	second := dialRouter(t, p.addr, "h1", nil)
	got := callSidecar[wire.AttachRunResult](t, second, wire.MethodRunAttach, wire.AttachRun{Identity: m.Identity, RunID: "r1", NextSeq: 1})
	assert.Assert(t, got.Known && got.Active)
	close(gate)
	end := receive(t, second.ends)
	assert.Equal(t, end.Record.Outcome, ledger.Complete)
	assert.Equal(t, second.chunks["r1"][0].Seq, int64(1))
}

// Guards against a run without a reader that keeps the target busy, and against
// canceling a run that a retry may resume. Both runs lose their reader when the
// router disconnects.
func TestOrphanIsCanceledUnlessResumable(t *testing.T) {
	gate := make(chan struct{})
	defer close(gate)
	opts := testOptions(startGatedEngine(t, gate).URL)
	opts.Limits.OrphanTimeout = 400 * time.Millisecond
	p := startSidecar(t, opts)
	first := dialRouter(t, p.addr, "h1", nil)
	kept := completionRun("kept")
	kept.Resumable = true
	first.start(t, kept)
	lost := completionRun("lost")
	first.start(t, lost)
	waitForFirstChunk(t, first, "kept")
	waitForFirstChunk(t, first, "lost")
	_ = first.conn.Close()
	second := dialRouter(t, p.addr, "h2", nil)
	probeRun := func(m wire.StartRun) wire.AttachRunResult {
		return callSidecar[wire.AttachRunResult](t, second, wire.MethodRunAttach, wire.AttachRun{Identity: m.Identity, RunID: m.RunID, Probe: true})
	}
	waitFor(t, func() bool { return !probeRun(lost).Active })
	assert.Assert(t, probeRun(kept).Active)
}

// Guards against losing the records of a router that has disconnected before it
// made them durable. Another router must receive them.
func TestRecordsOfAbsentRouterAreHandedOver(t *testing.T) {
	p := startSidecar(t, testOptions(startEngine(t, writeWholeAnswer).URL))
	first := dialRouter(t, p.addr, "h1", nil)
	first.start(t, completionRun("r1"))
	end := receive(t, first.ends)
	_ = first.conn.Close()
	second := dialRouter(t, p.addr, "h2", nil)
	for {
		if report := receive(t, second.reports); len(report.Records) > 0 {
			assert.DeepEqual(t, report.Records, []ledger.Record{end.Record})
			break
		}
	}
	assert.NilError(t, second.conn.Notify(context.Background(), wire.MethodRunAck, wire.AckRecords{RunIDs: []string{"r1"}}))
	got := callSidecar[wire.FenceHolderResult](t, second, wire.MethodHolderFence, wire.FenceHolder{Holder: "h1"})
	assert.Equal(t, len(got.Records), 0)
}

// Guards against a shutdown that interrupts a run, accepts another one, does
// not wait until the record is acknowledged or leaves the registration open.
func TestStopFinishesRuns(t *testing.T) {
	gate := make(chan struct{})
	opts := testOptions(startGatedEngine(t, gate).URL)
	opts.HandoverTimeout = testTimeout
	p := startSidecar(t, opts)
	r := dialRouter(t, p.addr, "h1", nil)
	r.start(t, completionRun("r1"))
	waitForFirstChunk(t, r, "r1")
	p.stop()
	for !receive(t, r.reports).Draining {
	}
	refused := r.start(t, completionRun("r2"))
	assert.Equal(t, refused.Refusal.Kind, errkind.Draining)
	close(gate)
	assert.Equal(t, receive(t, r.ends).Record.Outcome, ledger.Complete)
	select {
	case <-p.done:
		t.Fatal("stopped before the record was acknowledged")
	case <-time.After(100 * time.Millisecond):
	}
	assert.NilError(t, r.conn.Notify(context.Background(), wire.MethodRunAck, wire.AckRecords{RunIDs: []string{"r1"}}))
	receive(t, p.done)
	assert.NilError(t, p.err)
	row, err := opts.Table.Get(context.Background(), member.SidecarKey("t1"))
	assert.NilError(t, err)
	var reg member.SidecarRow
	assert.NilError(t, json.Unmarshal(row.Value, &reg))
	assert.Equal(t, reg.State, member.SidecarClosed)
}

// faultyTable fails its first Get and its first Commit. The failed Commit is
// applied nevertheless.
type faultyTable struct {
	*platform.MemoryTable
	gets    atomic.Int32
	commits atomic.Int32
}

func (f *faultyTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if f.gets.Add(1) == 1 {
		return platform.Row{}, errkind.New(errkind.PlatformUnavailable, "down")
	}
	return f.MemoryTable.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	result, err := f.MemoryTable.Commit(ctx, txn)
	if f.commits.Add(1) == 1 {
		return platform.TxnResult{}, errkind.New(errkind.PlatformUncertain, "response lost")
	}
	return result, err
}

// Guards against a startup that gives up while the table is down, that takes
// its own write for that of another sidecar after the response was lost, or that
// serves a holder that was fenced before.
func TestRegistrationOutlivesTableFaults(t *testing.T) {
	table := &faultyTable{MemoryTable: platform.NewMemoryTable()}
	putRow(t, table.MemoryTable, member.HolderKey("h1"), member.HolderRow{State: member.HolderFenced, Incarnation: "h1"})
	putRow(t, table.MemoryTable, member.SidecarKey("t1"), member.SidecarRow{Target: "t1", Incarnation: "old", FencingNumber: 4})
	opts := testOptions(startEngine(t, writeWholeAnswer).URL)
	opts.Table = table
	p := startSidecar(t, opts)
	assert.Equal(t, table.commits.Load(), int32(1))
	row, err := table.MemoryTable.Get(context.Background(), member.SidecarKey("t1"))
	assert.NilError(t, err)
	var got member.SidecarRow
	assert.NilError(t, json.Unmarshal(row.Value, &got))
	assert.Equal(t, got.Addr, p.addr)
	assert.Equal(t, got.FencingNumber, int64(4))
	r := dialRouter(t, p.addr, "h1", nil)
	assert.Equal(t, r.start(t, completionRun("r1")).Refusal.Kind, errkind.Fenced)
}

func putRow(t *testing.T, table platform.Table, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	_, err = table.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: key, Value: raw}}})
	assert.NilError(t, err)
}

// Guards against a sidecar that goes on accepting work after it was paused and
// replaced. Fences of holders are sent only to its successor, so it would run
// requests of a fenced holder.
func TestReplacedSidecarStops(t *testing.T) {
	opts := testOptions("http://127.0.0.1:1")
	opts.VerifyInterval = 20 * time.Millisecond
	ready := make(chan string, 1)
	opts.OnReady = func(addr string) { ready <- addr }
	server, err := sidecar.New(opts)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Run(context.Background()) }()
	receive(t, ready)
	startSidecar(t, sidecar.Options{
		Kind: opts.Kind, Target: opts.Target, TargetURL: opts.TargetURL, Model: opts.Model,
		Host: "host2", Domain: "d2", Listen: opts.Listen, Table: opts.Table,
		HandoverTimeout: opts.HandoverTimeout, Logger: opts.Logger,
	})
	assert.Equal(t, errkind.Of(receive(t, done)), errkind.Conflict)
}

// Guards against sending an outdated order, which arrives after a newer one, to a
// target that does not check fencing numbers itself.
func TestOldOrderIsRejected(t *testing.T) {
	var orders atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			orders.Add(1)
		}
		w.WriteHeader(http.StatusAccepted)
	}))
	defer target.Close()
	r := dialRouter(t, startSidecar(t, testOptions(target.URL)).addr, "h1", nil)
	apply := func(fence int64) wire.Reply {
		return callSidecar[wire.Reply](t, r, wire.MethodOrderApply, wire.Order{Fence: fence, Action: "set_role", Role: "decode"})
	}
	assert.Assert(t, apply(5).Refusal == nil)
	assert.Equal(t, apply(4).Refusal.Kind, errkind.VersionConflict)
	assert.Equal(t, orders.Load(), int32(1))
}

// Guards against accepting a run under an older configuration, and against a
// refusal without the document that the router needs to catch up at once.
func TestOlderConfigurationIsRefusedWithDocument(t *testing.T) {
	r := dialRouter(t, startSidecar(t, testOptions(startEngine(t, writeWholeAnswer).URL)).addr, "h1", nil)
	callSidecar[wire.Reply](t, r, wire.MethodConfigPush, wire.ConfigPush{Document: policy.Document{Version: 3}})
	m := completionRun("r1")
	m.ConfigVersion = 2
	got := r.start(t, m)
	assert.Equal(t, got.Refusal.Kind, errkind.StaleConfig)
	assert.Equal(t, got.Refusal.Document.Version, int64(3))
	m.ConfigVersion = 3
	assert.Assert(t, r.start(t, m).Accepted)
}

// Guards against a router that learns the end of a run before the timeline does, and answers
// before it.
func TestEndOfARunIsInTheTimelineFirst(t *testing.T) {
	opts := testOptions(startEngine(t, writeWholeAnswer).URL)
	var ended atomic.Bool
	opts.OnEvent = func(e wire.TimelineEvent) {
		if e.Name == "run.ended" {
			time.Sleep(50 * time.Millisecond)
			ended.Store(true)
		}
	}
	r := dialRouter(t, startSidecar(t, opts).addr, "h1", nil)
	r.start(t, completionRun("r1"))
	receive(t, r.ends)
	assert.Assert(t, ended.Load())
}
