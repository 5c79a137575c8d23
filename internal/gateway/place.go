package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	coreplacement "tarragonridge.example/tarragonridge/internal/core/placement"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/placement"
)

// placementWaitDivisor gives the longest wait for the loads of engines, as a fraction of
// the route's latency objective. Relays answer within a few milliseconds.
const placementWaitDivisor = 32

// describePrompt describes the prompt of a request. The hash of a part covers those
// before it.
func describePrompt(meta RequestMeta) coreplacement.Prompt {
	p := coreplacement.Prompt{Tokens: meta.PromptTokens}
	hash := xxhash.New()
	tokens := int64(0)
	for _, part := range meta.SharedPromptParts {
		_, _ = hash.WriteString(part.ID + ",") // never fails
		tokens += part.Tokens
		p.Parts = append(p.Parts, coreplacement.Part{Hash: hash.Sum64(), Tokens: tokens})
	}
	return p
}

// placeable reports whether the request has a prompt that relays count.
func (g *Gateway) placeable(req *request) bool {
	return g.opt.Placement != nil && req.service.Slots > 0 && req.meta.PromptTokens > 0
}

// placePrompt returns the engine that will have read the request's prompt first, among
// those with the most affinity to it. It returns nil if no relay tells their loads.
func (g *Gateway) placePrompt(ctx context.Context, req *request, q targets.Query) *targets.Target {
	if q.PrefixHash == 0 || !g.placeable(req) {
		return nil
	}
	g.mu.Lock()
	candidates := g.targetView.Ranked(time.Now(), q, coreplacement.Candidates)
	g.mu.Unlock()
	if len(candidates) < 2 {
		return nil
	}
	addresses := make([]string, len(candidates))
	for i, t := range candidates {
		addresses[i] = t.Address
	}
	loads := g.opt.Placement.Loads(ctx, addresses, req.prompt, req.route.LatencyObjective/placementWaitDivisor)
	i := coreplacement.Choose(req.prompt, req.service.Slots, loads)
	if loads[i] == nil {
		return nil
	}
	return candidates[i]
}

// beginPlacement tells the relay of an engine that the request is sent there.
func (g *Gateway) beginPlacement(req *request, t *targets.Target) *placement.Request {
	if !g.placeable(req) {
		return nil
	}
	return g.opt.Placement.Begin(t.Address, req.service.MemoryTokens, req.prompt)
}
