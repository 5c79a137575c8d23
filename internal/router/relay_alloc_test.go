package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// maxAllocsPerToken bounds the allocations of engine, sidecar, router and
// caller per token. The goal of 50,000 tokens per core-second leaves 20 µs for
// a token; an allocation with its share of garbage collection costs about
// 100 ns, so 40 of them use a fifth of that.
const maxAllocsPerToken = 40

// Guards against a change that decodes or copies tokens more often on their
// way from the engine to the caller. Each token travels alone, the costliest
// case.
func TestRelayAllocationsPerToken(t *testing.T) {
	const tokens = 1000
	engine := newLockstep(tokens)
	r := startRelay(t, engine.serve)
	r.readAll(t, engine, "warm", 2)
	perToken := float64(mallocs(func() { r.readAll(t, engine, "test", 2) })) / (2 * tokens)
	t.Logf("%.1f allocations per token", perToken)
	assert.Assert(t, perToken <= maxAllocsPerToken, "%.1f allocations per token", perToken)
}
