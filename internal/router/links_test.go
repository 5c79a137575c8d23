package router

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// paidRun is a run whose reservation counts the records that it settles.
type paidRun struct{ records []ledger.Record }

func (p *paidRun) Holder() string           { return "holder" }
func (p *paidRun) Tokens() int64            { return 10 }
func (p *paidRun) Lower(int64)              {}
func (p *paidRun) Cancel()                  {}
func (p *paidRun) Settle(rec ledger.Record) { p.records = append(p.records, rec) }

// Guards against a caller that waits for ever: after a reconnection the record
// of an ended run can arrive before its answer.
func TestRecordAheadOfTheAnswer(t *testing.T) {
	r := &Router{runs: map[string]*run{}, byIdentity: map[ledger.Identity]*run{}, durable: newRecentRuns()}
	paid := &paidRun{}
	run := newRun("run-1", ledger.Identity{Team: "team", Key: "key"}, &target{id: "target"})
	run.res = paid
	r.addRun(run)
	rec := ledger.Record{RunID: "run-1", Holder: "holder", Outcome: ledger.Complete}

	r.settleRecord(rec, nil)
	assert.Equal(t, len(paid.records), 1)
	assert.Equal(t, r.runByID("run-1"), run, "the answer has not arrived")

	run.addChunk(wire.RunChunk{RunID: "run-1"})
	run.finish(wire.RunEnd{RunID: "run-1", Chunks: 1, Record: rec})
	chunk, _, err := (&reader{run: run}).next(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, chunk != nil)
	assert.Assert(t, r.removeIfOver(run))
	assert.Assert(t, r.runByID("run-1") == nil)
}
