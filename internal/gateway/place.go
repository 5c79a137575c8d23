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
	p := coreplacement.Prompt{Tokens: meta.PromptTokens, Output: meta.OutputTokens}
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
// those with the most affinity to it. If it would be late there, further engines are
// asked. It returns nil if no relay tells their loads.
func (g *Gateway) placePrompt(ctx context.Context, req *request, q targets.Query) *targets.Target {
	req.expected = expectation{}
	if q.PrefixHash == 0 || !g.placeable(req) {
		return nil
	}
	g.mu.Lock()
	candidates := g.targetView.Ranked(time.Now(), q, 2*coreplacement.Candidates)
	g.mu.Unlock()
	if len(candidates) < 2 {
		return nil
	}
	first := min(coreplacement.Candidates, len(candidates))
	loads := g.loadsOf(ctx, req, candidates[:first])
	r := g.placementRequest(req)
	i := coreplacement.Choose(r, loads)
	if r.Late(loads[i]) && first < len(candidates) {
		g.opt.Metrics.widened.Inc()
		loads = append(loads, g.loadsOf(ctx, req, candidates[first:])...)
		i = r.Wider(loads, i)
	}
	if loads[i] == nil {
		return nil
	}
	req.expected = expectation{target: candidates[i], first: r.FirstEvent(loads[i]), elsewhere: r.NextFirstEvent(loads, i)}
	return candidates[i]
}

// expectation is what the relays told when an engine was chosen.
type expectation struct {
	target    *targets.Target
	first     time.Duration // until its first event; 0 if unknown
	elsewhere time.Duration // the same at the best other engine; 0 if there is none
}

// loadsOf asks the relays of engines for their loads.
func (g *Gateway) loadsOf(ctx context.Context, req *request, engines []*targets.Target) []*coreplacement.Load {
	addresses := make([]string, len(engines))
	for i, t := range engines {
		addresses[i] = t.Address
	}
	return g.opt.Placement.Loads(ctx, addresses, req.prompt, req.route.LatencyObjective/placementWaitDivisor)
}

// placementRequest describes the request for the choice of an engine.
func (g *Gateway) placementRequest(req *request) coreplacement.Request {
	return coreplacement.Request{
		Prompt: req.prompt, Slots: req.service.Slots, Objective: req.route.LatencyObjective, Usual: g.opt.Placement.Usual(),
	}
}

// beginPlacement tells the relay of an engine that the request is sent there.
func (g *Gateway) beginPlacement(req *request, t *targets.Target) *placement.Request {
	if !g.placeable(req) {
		return nil
	}
	return g.opt.Placement.Begin(t.Address, req.service.MemoryTokens, req.prompt)
}
