package gateway

import (
	"maps"
	"slices"
	"time"
)

// applyEvacuations applies the operator's orders to evacuate failure domains.
func (g *Gateway) applyEvacuations(changes OperatorChanges) {
	for _, key := range changes.Unreadable {
		g.opt.Metrics.invalidOrders.Inc()
		g.opt.Logger.Warn("order of the operator names no failure domain", "key", key)
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, domain := range slices.Sorted(maps.Keys(changes.Evacuated)) {
		g.evacuate(now, domain, changes.Evacuated[domain])
	}
	if !changes.Complete {
		return
	}
	for domain := range g.targetView.Evacuated() {
		if !changes.Evacuated[domain] {
			g.evacuate(now, domain, false)
		}
	}
}

// evacuate puts the evacuation of a failure domain in force, or ends it. Its targets may
// have become cold meanwhile, which their registrations tell later. g.mu is held.
func (g *Gateway) evacuate(now time.Time, domain string, evacuated bool) {
	targets, changed := g.targetView.Evacuate(domain, evacuated)
	switch {
	case !changed:
	case !evacuated:
		cold := g.targetView.AssumeDomainCold(now, domain)
		g.opt.Logger.Info("evacuation of a failure domain taken back", "domain", domain, "targets", targets, "cold", cold)
	case targets == 0:
		g.opt.Logger.Warn("failure domain evacuated in which no target is known", "domain", domain)
	default:
		g.opt.Logger.Info("failure domain evacuated", "domain", domain, "targets", targets)
	}
}
