package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/targets"
)

// Guards against a request that is held until its deadline for a permit that never comes.
func TestRequestWithoutAShareIsNotHeld(t *testing.T) {
	g := &Gateway{targetView: targets.NewView(1), turns: newTurns()}
	g.targetView.SetLimit(g.targetView.Put(targets.Registration{ID: "1", Service: "s"}), 1)
	g.targetView.SetShares(func(string, fleet.Rate) float64 { return 0 }, 1)
	req := &request{
		route: &httproute.Route{LatencyObjective: time.Second}, service: httproute.Service{Name: "s"}, targetWait: time.Millisecond,
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.Assert(t, !g.awaitTarget(ctx, req))
	assert.NilError(t, ctx.Err())
}
