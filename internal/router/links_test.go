package router

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// recordingReservation is a reservation that stores the records it settles.
type recordingReservation struct{ records []ledger.Record }

func (p *recordingReservation) Holder() string           { return "holder" }
func (p *recordingReservation) Tokens() int64            { return 10 }
func (p *recordingReservation) Lower(int64)              {}
func (p *recordingReservation) Cancel()                  {}
func (p *recordingReservation) Settle(rec ledger.Record) { p.records = append(p.records, rec) }

// Guards against a caller that waits forever: after a reconnection, the record
// of a finished run can arrive before the rest of its answer.
func TestRecordAheadOfTheAnswer(t *testing.T) {
	r := &Router{runs: map[string]*run{}, runsByIdentity: map[ledger.Identity]*run{}, durableRuns: newRecentRuns()}
	paid := &recordingReservation{}
	run := newRun("run-1", ledger.Identity{Team: "team", Key: "key"}, &target{id: "target"})
	run.reservation = paid
	r.addRun(run)
	rec := ledger.Record{RunID: "run-1", Holder: "holder", Outcome: ledger.Complete}

	r.settleRecord(rec, nil)
	assert.Equal(t, len(paid.records), 1)
	assert.Equal(t, r.runByID("run-1"), run, "the run was removed before its answer arrived")

	run.addChunk(wire.RunChunk{RunID: "run-1"})
	run.finish(wire.RunEnd{RunID: "run-1", Chunks: 1, Record: rec})
	chunk, _, err := (&reader{run: run}).next(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, chunk != nil)
	assert.Assert(t, r.removeIfComplete(run))
	assert.Assert(t, r.runByID("run-1") == nil)
}
