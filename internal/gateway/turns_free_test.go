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
