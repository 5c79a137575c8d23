package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/targets"
)

// errDeclined reports that a target has asked for no request since it was chosen.
var errDeclined = errors.New("the target wants no request any more")

// recordBackpressure records what a start of a target asks of this gateway in an answer
// of any kind, also in one that belongs to another request. An answer that says that another
// target now uses the address speaks for that one.
func (g *Gateway) recordBackpressure(t *targets.Target, startedMS int64, status int, info AnswerInfo) {
	if info.Invalid > 0 {
		g.opt.Metrics.invalidHeaders.Add(float64(info.Invalid))
	}
	if !info.Draining && info.TurnedAway == 0 && info.ColdFor == targets.ColdUnknown {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var speakers []*targets.Target
	switch {
	case status == http.StatusMisdirectedRequest:
		speakers = g.targetView.OthersAt(t)
	case t.StartedMS == startedMS:
		speakers = append(speakers, t)
	}
	for _, t := range speakers {
		if info.Draining {
			g.setDraining(t, g.opt.Host)
		}
		g.hearCold(t, info.ColdFor)
		if info.TurnedAway > 0 {
			g.targetView.TurnAway(time.Now(), t, info.TurnedAway)
			g.opt.Metrics.turnedAway.Inc()
			g.opt.Logger.Info("target wants no requests for a while", "target", t.ID, "ms", info.TurnedAway.Milliseconds())
		}
	}
}

// setDraining records that a target is about to stop, as it has told a gateway. If it
// has told this one alone, the others are told. g.mu is held.
func (g *Gateway) setDraining(t *targets.Target, toldTo string) {
	if !g.targetView.SetDraining(t) {
		return
	}
	g.opt.Logger.Info("target is about to stop", "target", t.ID, "told_to", toldTo)
	if g.fleetDraining(t) {
		return
	}
	value, err := json.Marshal(fleet.Draining{StartedMS: t.StartedMS})
	if err != nil {
		g.opt.Logger.Error("failed to encode that a target is about to stop", "target", t.ID, "err", err)
		return
	}
	g.publications.add(fleet.DrainingKey(t.ID), value)
}

// checkBackpressure returns errDeclined if a target wants no request any more. The request may
// have waited for a connection since the target was chosen.
func (g *Gateway) checkBackpressure(t *targets.Target) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Backpressure(time.Now()) != targets.ReasonNone {
		return errDeclined
	}
	return nil
}
