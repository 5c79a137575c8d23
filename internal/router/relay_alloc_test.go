package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// maxAllocsPerToken bounds the allocations per token of engine, sidecar, router
// and caller together. The goal of 50,000 tokens per core-second leaves 20 µs
// per token. An allocation costs about 100 ns, including its share of garbage
// collection, so 40 allocations use a fifth of that time.
const maxAllocsPerToken = 40

// Guards against changes that decode or copy tokens more often on their way
// from the engine to the caller. Each token travels in a chunk of its own,
// which is the most expensive case.
func TestRelayAllocationsPerToken(t *testing.T) {
	const tokens = 1000
	engine := newLockstep(tokens)
	r := startRelay(t, engine.serve)
	r.readAll(t, engine, "warm", 2)
	perToken := float64(countAllocs(func() { r.readAll(t, engine, "test", 2) })) / (2 * tokens)
	t.Logf("%.1f allocations per token", perToken)
	assert.Assert(t, perToken <= maxAllocsPerToken, "%.1f allocations per token", perToken)
}
