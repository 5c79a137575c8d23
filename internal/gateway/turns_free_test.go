package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/targets"
)

// Guards against a request that is refused while a target is free for it, because another
// request waits for a limited target of its service.
func TestFreeTargetTakesARequestThatMayNotWait(t *testing.T) {
	g, target := limitedGateway(8)
	first := requestOfRank(0)
	first.triedTargets = []string{"2"}
	go g.awaitTarget(t.Context(), first)
	for waiting := 0; waiting < 1; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		waiting = g.turns.queue.Len()
		g.mu.Unlock()
	}
	_ = target
	g.mu.Lock()
	g.targetView.Put(targets.Registration{ID: "2", Service: "s"})
	g.mu.Unlock()
	second := requestOfRank(0)
	second.targetWait = second.route.LatencyObjective // has waited before, or its route has no objective
	assert.Assert(t, g.awaitTarget(t.Context(), second))
}

// Guards against a request that goes round without a pause between a target that was replaced,
// which counted as free, and the choice, which leaves it out while another is limited.
func TestReplacedTargetIsNotFreeBesideALimitedOne(t *testing.T) {
	g, _ := limitedGateway(8)
	old := g.targetView.Put(targets.Registration{ID: "old", Service: "s", Address: "127.0.0.1:1", StartedMS: 1})
	g.targetView.Put(targets.Registration{ID: "new", Service: "other", Address: old.Address, StartedMS: 2})
	req := requestOfRank(0)
	for rounds := 1; ; rounds++ {
		if !g.awaitTarget(t.Context(), req) {
			t.Fatal("refused though a permit comes in time")
		}
		g.mu.Lock()
		chosen := g.targetView.Choose(time.Now(), g.targetQuery(req))
		g.endTurn(req)
		g.mu.Unlock()
		if chosen != nil {
			return
		}
		assert.Assert(t, rounds < 3, "%d rounds without a target", rounds)
	}
}
