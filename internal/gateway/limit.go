package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/targets"
)

// noTargetError returns the error of a request for which no target is left. If some
// are left out only for a while, the caller is told when there will be room.
func (g *Gateway) noTargetError(req *request) *errkind.Error {
	q, now := g.targetQuery(req), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	reasons := g.targetView.Reasons(now, q)
	var e *errkind.Error
	switch {
	case reasons[targets.ReasonLimited]+reasons[targets.ReasonCold] > 0, g.turns.needed(req.service.Name) && g.targetView.PermitRate(now, q) > 0:
		// A permit that is there now is for a request that waits.
		e = errkind.New(errkind.TargetsLimited, "the targets of %s are at their limits: %s", req.service.Name, reasons)
	case reasons[targets.ReasonTurnedAway] > 0:
		e = errkind.New(errkind.Overloaded, "the targets of %s want no requests for now: %s", req.service.Name, reasons)
	case reasons[targets.ReasonEvacuated] > 0:
		e = errkind.New(errkind.NoTarget, "no target of %s takes work: %s", req.service.Name, reasons)
	case reasons[targets.ReasonUnwritten] > 0:
		return errkind.New(errkind.PlatformUnavailable, "the table does not take the version of the targets of %s: %s", req.service.Name, reasons)
	case q.Version != nil:
		return errkind.New(errkind.NoTarget, "no target of %s with version %s takes work: %s", req.service.Name, *q.Version, reasons)
	case g.turns.needed(req.service.Name):
		return errTurnsTaken(req.service.Name)
	default:
		return errkind.New(errkind.NoTarget, "no target of %s takes work: %s", req.service.Name, reasons)
	}
	e.RetryAfter = g.targetView.ReturnAfter(now, q, admit.Horizon(req.deadline.Sub(now)))
	return e
}

// hearLimit records the request limit that an answer of a target names, and tells the
// other gateways of a change. An answer without a limit withdraws the one before, but
// only if it is surely the target's own.
func (g *Gateway) hearLimit(t *targets.Target, status int, info AnswerInfo) {
	if status == http.StatusMisdirectedRequest || info.RequestLimit == targets.NoRequestLimit && !info.Signed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setLimit(t, info.RequestLimit, g.opt.Host)
	shared, known := g.fleetLimit(t)
	switch {
	case info.RequestLimit == targets.NoRequestLimit && known:
		g.publications.add(fleet.LimitKey(t.ID), nil)
	case info.RequestLimit != targets.NoRequestLimit && !(known && shared == info.RequestLimit):
		value, err := json.Marshal(fleet.Limit{StartedMS: t.StartedMS, PerSecond: info.RequestLimit})
		if err != nil {
			g.opt.Logger.Error("failed to encode a request limit", "target", t.ID, "err", err)
			return
		}
		g.publications.add(fleet.LimitKey(t.ID), value)
	}
}

// toldToOther stands in logs for a gateway whose host is not known.
const toldToOther = "another gateway"

// setLimit puts a target's limit in force and logs a change and the gateway that the
// target told of it. g.mu is held.
func (g *Gateway) setLimit(t *targets.Target, perSecond float64, toldTo string) {
	if !g.targetView.SetLimit(t, perSecond) {
		return
	}
	if perSecond == targets.NoRequestLimit {
		g.opt.Logger.Info("target names no request limit any more", "target", t.ID, "told_to", toldTo)
		return
	}
	g.opt.Logger.Info("target names a request limit", "target", t.ID, "per_second", perSecond, "share", t.LimitShare(time.Now()), "told_to", toldTo)
}
