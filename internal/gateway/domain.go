package gateway

import "time"

// setEvacuated applies an order of the operator to evacuate a failure domain, or its end.
func (g *Gateway) setEvacuated(domain string, evacuated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evacuate(time.Now(), domain, evacuated)
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
