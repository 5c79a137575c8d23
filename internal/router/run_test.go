package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// loweredReservation stores the size to which a run lowers its reservation.
type loweredReservation struct{ tokens int64 }

func (r *loweredReservation) Holder() string       { return "h1" }
func (r *loweredReservation) Tokens() int64        { return r.tokens }
func (r *loweredReservation) Lower(tokens int64)   { r.tokens = min(r.tokens, tokens) }
func (r *loweredReservation) Cancel()              {}
func (r *loweredReservation) Settle(ledger.Record) {}

// Guards against lowering a reservation so far that tokens beyond the output
// cap, which the engine has generated, cannot be charged.
func TestLoweredReservationCoversOverrun(t *testing.T) {
	res := &loweredReservation{tokens: 118}
	r := newRun("r1", ledger.Identity{}, nil)
	r.reservation, r.outputCap = res, 60
	assert.Assert(t, !r.addChunk(wire.RunChunk{PromptTokens: 4}))
	assert.Assert(t, res.tokens > 4+60)
	assert.Assert(t, res.tokens < 118)
}

// Guards against a request that has joined another request's run and waits
// forever, because the run was refused before it started.
func TestJoinedRequestLearnsOfRefusal(t *testing.T) {
	r := &Router{runs: map[string]*run{}, runsByIdentity: map[ledger.Identity]*run{}}
	joined := newRun("r1", ledger.Identity{Team: "a", Key: "k"}, &target{})
	r.runs["r1"] = joined
	r.discardRun(joined)
	_, _, err := (&reader{run: joined}).next(t.Context())
	assert.ErrorIs(t, err, errRunReplaced)
}
