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

// gated returns an engine whose answer waits for the channel after one token.
func gated(t *testing.T, gate <-chan struct{}) *httptest.Server {
	return engine(t, func(w http.ResponseWriter, r *http.Request) {
		event(w, token("a"))
		select {
		case <-gate:
		case <-r.Context().Done():
			return
		}
		for _, payload := range []string{finish, usage, "[DONE]"} {
			event(w, payload)
		}
	})
}

// firstChunk waits until a router has the start of a run.
func firstChunk(t *testing.T, r *router, id string) {
	t.Helper()
	waitFor(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.chunks[id]) > 0
	})
}

// Guards against a lost or repeated part of an answer after the connection
// breaks in the middle.
func TestAttachContinuesAnswer(t *testing.T) {
	gate := make(chan struct{})
	p := startSidecar(t, options(gated(t, gate).URL))
	first := dial(t, p.addr, "h1", nil)
	m := completion("r1")
	first.start(t, m)
	firstChunk(t, first, "r1")
	_ = first.conn.Close()
	second := dial(t, p.addr, "h1", nil)
	got := call[wire.AttachRunResult](t, second, wire.MethodRunAttach, wire.AttachRun{Identity: m.Identity, RunID: "r1", NextSeq: 1})
	assert.Assert(t, got.Known && got.Active)
	close(gate)
	end := receive(t, second.ends)
	assert.Equal(t, end.Record.Outcome, ledger.Complete)
	assert.Equal(t, second.chunks["r1"][0].Seq, int64(1))
}

// Guards against a run without a reader that keeps a target busy, and against
// the cancellation of one that a retry will resume.
func TestOrphanIsCanceledUnlessResumable(t *testing.T) {
	gate := make(chan struct{})
	defer close(gate)
	opts := options(gated(t, gate).URL)
	opts.Limits.OrphanTimeout = 400 * time.Millisecond
	p := startSidecar(t, opts)
	first := dial(t, p.addr, "h1", nil)
	kept := completion("kept")
	kept.Resumable = true
	first.start(t, kept)
	lost := completion("lost")
	first.start(t, lost)
	firstChunk(t, first, "kept")
	firstChunk(t, first, "lost")
	_ = first.conn.Close()
	second := dial(t, p.addr, "h2", nil)
	probe := func(m wire.StartRun) wire.AttachRunResult {
		return call[wire.AttachRunResult](t, second, wire.MethodRunAttach, wire.AttachRun{Identity: m.Identity, RunID: m.RunID, Probe: true})
	}
	waitFor(t, func() bool { return !probe(lost).Active })
	assert.Assert(t, probe(kept).Active)
}

// Guards against records that are lost because their router is gone.
func TestRecordsOfAbsentRouterAreHandedOver(t *testing.T) {
	p := startSidecar(t, options(engine(t, serveWhole).URL))
	first := dial(t, p.addr, "h1", nil)
	first.start(t, completion("r1"))
	end := receive(t, first.ends)
	_ = first.conn.Close()
	second := dial(t, p.addr, "h2", nil)
	for {
		if report := receive(t, second.reports); len(report.Records) > 0 {
			assert.DeepEqual(t, report.Records, []ledger.Record{end.Record})
			break
		}
	}
	assert.NilError(t, second.conn.Notify(context.Background(), wire.MethodRunAck, wire.AckRecords{RunIDs: []string{"r1"}}))
	got := call[wire.FenceHolderResult](t, second, wire.MethodHolderFence, wire.FenceHolder{Holder: "h1"})
	assert.Equal(t, len(got.Records), 0)
}

// Guards against a stop that interrupts a run, accepts another one or loses
// the registration.
func TestStopFinishesRuns(t *testing.T) {
	gate := make(chan struct{})
	opts := options(gated(t, gate).URL)
	opts.HandoverTimeout = waitLimit
	p := startSidecar(t, opts)
	r := dial(t, p.addr, "h1", nil)
	r.start(t, completion("r1"))
	firstChunk(t, r, "r1")
	p.stop()
	for !receive(t, r.reports).Draining {
	}
	refused := r.start(t, completion("r2"))
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

// faultyTable fails its first calls; the first commit takes effect all the
// same.
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

// Guards against a start that gives up while the table is down, that mistakes
// its own write for another sidecar's, or that serves a fenced holder.
func TestRegistrationOutlivesTableFaults(t *testing.T) {
	table := &faultyTable{MemoryTable: platform.NewMemoryTable()}
	put(t, table.MemoryTable, member.HolderKey("h1"), member.HolderRow{State: member.HolderFenced, Incarnation: "h1"})
	put(t, table.MemoryTable, member.SidecarKey("t1"), member.SidecarRow{Target: "t1", Incarnation: "old", FencingNumber: 4})
	opts := options(engine(t, serveWhole).URL)
	opts.Table = table
	p := startSidecar(t, opts)
	assert.Equal(t, table.commits.Load(), int32(1))
	row, err := table.MemoryTable.Get(context.Background(), member.SidecarKey("t1"))
	assert.NilError(t, err)
	var got member.SidecarRow
	assert.NilError(t, json.Unmarshal(row.Value, &got))
	assert.Equal(t, got.Addr, p.addr)
	assert.Equal(t, got.FencingNumber, int64(4))
	r := dial(t, p.addr, "h1", nil)
	assert.Equal(t, r.start(t, completion("r1")).Refusal.Kind, errkind.Fenced)
}

func put(t *testing.T, table platform.Table, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	_, err = table.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: key, Value: raw}}})
	assert.NilError(t, err)
}

// Guards against a paused and replaced sidecar that goes on accepting work,
// although fences reach only its successor.
func TestReplacedSidecarStops(t *testing.T) {
	opts := options("http://127.0.0.1:1")
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

// Guards against an old order that reaches a target which does not check
// fencing numbers.
func TestOldOrderIsRejected(t *testing.T) {
	var orders atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			orders.Add(1)
		}
		w.WriteHeader(http.StatusAccepted)
	}))
	defer target.Close()
	r := dial(t, startSidecar(t, options(target.URL)).addr, "h1", nil)
	apply := func(fence int64) wire.Reply {
		return call[wire.Reply](t, r, wire.MethodOrderApply, wire.Order{Fence: fence, Action: "set_role", Role: "decode"})
	}
	assert.Assert(t, apply(5).Refusal == nil)
	assert.Equal(t, apply(4).Refusal.Kind, errkind.VersionConflict)
	assert.Equal(t, orders.Load(), int32(1))
}

// Guards against work under an older configuration, and against a refusal
// without the document that lets the router catch up at once.
func TestOlderConfigurationIsRefusedWithDocument(t *testing.T) {
	r := dial(t, startSidecar(t, options(engine(t, serveWhole).URL)).addr, "h1", nil)
	call[wire.Reply](t, r, wire.MethodConfigPush, wire.ConfigPush{Document: policy.Document{Version: 3}})
	m := completion("r1")
	m.ConfigVersion = 2
	got := r.start(t, m)
	assert.Equal(t, got.Refusal.Kind, errkind.StaleConfig)
	assert.Equal(t, got.Refusal.Document.Version, int64(3))
	m.ConfigVersion = 3
	assert.Assert(t, r.start(t, m).Accepted)
}
