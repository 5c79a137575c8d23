package router

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// loweredReservation stores the size to which a run lowers its reservation.
type loweredReservation struct{ tokens int64 }

func (r *loweredReservation) Holder() string       { return "h1" }
func (r *loweredReservation) Tokens() int64        { return r.tokens }
func (r *loweredReservation) LowerTo(tokens int64) { r.tokens = min(r.tokens, tokens) }
func (r *loweredReservation) Cancel()              {}
func (r *loweredReservation) Settle(ledger.Record) {}

// Guards against a reservation that is lowered too far once the number of prompt
// tokens is known: tokens that the engine generated beyond the output cap could
// then not be charged.
func TestLoweredReservationCoversOverrun(t *testing.T) {
	res := &loweredReservation{tokens: 118}
	r := newRun("r1", ledger.Identity{}, nil)
	r.reservation, r.outputCap = res, 60
	assert.Assert(t, !r.addChunk(wire.RunChunk{PromptTokens: 4}))
	assert.Assert(t, res.tokens > 4+60)
	assert.Assert(t, res.tokens < 118)
}

// Guards against a request that waits forever because it has joined the run of
// another request, which the sidecar then refused to start.
func TestJoinedRequestLearnsOfRefusal(t *testing.T) {
	r := &Router{runs: map[string]*run{}, runsByIdentity: map[ledger.Identity]*run{}}
	joined := newRun("r1", ledger.Identity{Team: "a", Key: "k"}, &target{})
	r.runs["r1"] = joined
	r.discardRun(joined)
	_, _, err := (&reader{run: joined}).next(t.Context())
	assert.ErrorIs(t, err, errRunReplaced)
}

// Guards against a repeat that waits forever, because it has read the id of a run from its claim
// and joined the run before the router registered it.
func TestRepeatThatJoinsARunBeforeItsStartIsToldOfIt(t *testing.T) {
	r := &Router{runs: map[string]*run{}, runsByIdentity: map[ledger.Identity]*run{}}
	at := &target{}
	joined, isNew := r.findOrAddRun("r1", &request{}, at, "s1")
	assert.Assert(t, isNew)
	r.addRun(newRun("r1", ledger.Identity{}, at))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, _, err := (&reader{run: joined}).next(ctx)
	assert.ErrorIs(t, err, errRunReplaced)
	assert.Equal(t, at.openRuns.Load(), int32(1))
}
