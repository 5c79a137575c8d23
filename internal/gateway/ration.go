package gateway

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// maxRationHorizon bounds the time for which the rest of a budget is kept for requests that
// go first. It is as long as the request that does not get it could wait, so that it gives
// way to those that come meanwhile.
const maxRationHorizon = 10 * time.Second

// checkRation returns an error if the rest of the team's budget goes to other requests,
// because it does not last for the demand of the next seconds.
func (g *Gateway) checkRation(req *request, tokens int64) error {
	left, known := g.opt.Budgets.PartLeft(req.team.Name)
	if !known {
		return nil
	}
	t := &admit.Ticket{Team: req.team.Name, Route: req.route.Name, Rank: req.rank(), Work: float64(tokens)}
	now := time.Now()
	g.rationsMu.Lock()
	defer g.rationsMu.Unlock()
	r := g.rations[t.Team]
	if r == nil {
		r = admit.NewRation()
		g.rations[t.Team] = r
	}
	if r.Worthwhile(now, t, float64(left), min(req.deadline.Sub(now), maxRationHorizon)) {
		return nil
	}
	g.opt.Metrics.admission.refuse("rationed", t.Rank)
	return errkind.New(errkind.BudgetBusy, "the rest of the budget goes to more urgent or smaller requests; %d tokens needed, %d left for requests here", tokens, left)
}
