package gateway

import (
	"encoding/json"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/targets"
)

// setServices puts in force which services a configuration names and what they state about
// their cold targets.
func (g *Gateway) setServices(config *httproute.Config) {
	limits, services := map[string]targets.ColdLimit{}, map[string]bool{}
	for name, service := range config.Services {
		services[name] = true
		if service.ColdPerSecond > 0 {
			limits[name] = targets.ColdLimit{PerSecond: service.ColdPerSecond, For: service.ColdTime}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targetView.SetColdLimits(limits)
	g.targetView.SetServices(services)
}

// setRegisteredCold records how long a target is cold according to its registration, or
// that it has started again and does not say. g.mu is held.
func (g *Gateway) setRegisteredCold(now time.Time, t *targets.Target, left time.Duration, restarted bool) (changed bool) {
	if left == targets.ColdUnknown && restarted {
		g.targetView.AssumeCold(now, t)
	}
	if changed = g.targetView.SetRegisteredCold(now, t, left); changed {
		g.logCold(now, t, "registration")
	}
	g.adoptFleetCold(now, t)
	return changed
}

// countDown records how long a target is cold according to a registration that says
// nothing else that is new. It reports whether that is more than the time counted down.
func (g *Gateway) countDown(registration targets.Registration) (changed bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targetView.Target(registration.ID)
	return t != nil && g.setRegisteredCold(now, t, registration.ColdFor, false)
}

// adoptFleetCold records how long a target is cold as it has told another gateway. g.mu is
// held.
func (g *Gateway) adoptFleetCold(now time.Time, t *targets.Target) {
	startedMS, left, ok := g.fleet.Cold(now, t.ID)
	if ok && startedMS == t.StartedMS && left > t.ColdLeft(now) && g.targetView.HearCold(now, t, left) {
		g.logCold(now, t, toldToOther)
	}
}

// hearCold records how long a target is cold as it says in an answer, and tells the other
// gateways if that was not known. g.mu is held.
func (g *Gateway) hearCold(t *targets.Target, left time.Duration) {
	now := time.Now()
	if !g.targetView.HearCold(now, t, left) {
		return
	}
	g.logCold(now, t, g.opt.Host)
	if left == 0 {
		g.publications.add(fleet.ColdKey(t.ID), nil)
		return
	}
	value, err := json.Marshal(fleet.Cold{StartedMS: t.StartedMS, ForMS: left.Milliseconds()})
	if err != nil {
		g.opt.Logger.Error("failed to encode how long a target is cold", "target", t.ID, "err", err)
		return
	}
	g.publications.add(fleet.ColdKey(t.ID), value)
}

func (g *Gateway) logCold(now time.Time, t *targets.Target, toldTo string) {
	if left := t.ColdLeft(now); left > 0 {
		g.opt.Logger.Info("target is cold", "target", t.ID, "ms", left.Milliseconds(), "share", t.LimitShare(now), "told_to", toldTo)
		return
	}
	g.opt.Logger.Info("target is warm", "target", t.ID, "told_to", toldTo)
}
