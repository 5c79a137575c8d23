package gateway

import (
	"context"
	"errors"
	"math"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/targets"
)

const (
	// targetWaitDivisor gives the longest time that a request waits until a target takes
	// it, as a fraction of its route's latency objective.
	targetWaitDivisor = 8
	// maxWaitingForTargets bounds the requests that wait for targets.
	maxWaitingForTargets = 200
	// minTurnPause is the least pause between two checks for targets that take a request.
	minTurnPause = 2 * time.Millisecond
)

// turns orders the requests that wait for targets which are limited or turn this gateway
// away. A turn is the right to choose a target. While requests of a service wait, all of
// its requests need one.
type turns struct {
	queue   *admit.Queue
	waiters map[*admit.Ticket]*turnWaiter
	given   map[string]int         // turns that have not ended, by service
	waiting map[string]int         // requests, by service
	timers  map[string]*time.Timer // of the next check, by service
}

type turnWaiter struct {
	query  targets.Query
	result chan bool // receives whether the request gets a turn
}

func newTurns() *turns {
	return &turns{
		queue: admit.NewQueue(), waiters: map[*admit.Ticket]*turnWaiter{}, given: map[string]int{}, waiting: map[string]int{}, timers: map[string]*time.Timer{},
	}
}

// needed reports whether requests of a service need a turn.
func (ts *turns) needed(service string) bool { return ts.waiting[service]+ts.given[service] > 0 }

// awaitTarget waits until a target that is limited or turns this gateway away takes the
// request and it is its turn. It reports false, at once if possible, if that takes too long.
func (g *Gateway) awaitTarget(ctx context.Context, req *request) bool {
	now := time.Now()
	maxWait := req.route.LatencyObjective/targetWaitDivisor - req.targetWait
	q := g.targetQuery(req)
	g.mu.Lock()
	wait, ok := g.targetView.Wait(now, q)
	free := g.targetView.Free(now, q)
	if maxWait <= 0 && free > g.turns.given[q.Service] {
		// Those that wait have their turns at the targets that are free for them.
		g.turns.given[q.Service]++
		req.hasTurn = true
		g.mu.Unlock()
		return true
	}
	if maxWait <= 0 || free == 0 && (!ok || wait > maxWait) {
		g.mu.Unlock()
		return false
	}
	t := &admit.Ticket{
		Team: req.team.Name, Route: req.route.Name, Rank: req.rank(), Deadline: now.Add(maxWait),
		Pool: q.Service, Constrained: len(q.Exclude) > 0 || q.Version != nil,
	}
	evicted, err := g.turns.queue.Push(now, t, admit.Limits{Waiting: maxWaitingForTargets, Rate: g.targetView.PermitRate(now, q)})
	if err != nil {
		g.mu.Unlock()
		g.opt.Metrics.admission.refuse("refused", t.Rank)
		return false
	}
	w := &turnWaiter{query: q, result: make(chan bool, 1)}
	g.turns.waiters[t] = w
	g.turns.waiting[q.Service]++
	if evicted != nil {
		g.endWait(evicted, false)
		g.opt.Metrics.admission.refuse("evicted", evicted.Rank)
	}
	for _, expired := range g.turns.queue.Expire(now, func(pool string) float64 { return g.targetView.PermitRate(now, targets.Query{Service: pool}) }) {
		g.endWait(expired, false)
		g.opt.Metrics.admission.refuse("too_late", expired.Rank)
	}
	g.giveTurns(now, q.Service)
	g.mu.Unlock()

	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	select {
	case ok = <-w.result:
	case <-ctx.Done():
		ok = g.leaveWait(t, w, errors.Is(ctx.Err(), context.DeadlineExceeded))
	}
	waited := time.Since(now)
	req.targetWait += waited
	req.hasTurn = ok
	g.opt.Metrics.admission.wait.Observe(waited.Seconds())
	return ok
}

// leaveWait ends the wait of a request that has waited for too long or whose caller has
// left. It reports true if the request got a turn meanwhile, or if a turn is due that this
// host is late to give: a request is not refused while a target is free for it.
func (g *Gateway) leaveWait(t *admit.Ticket, w *turnWaiter, tooLong bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if tooLong {
		t.Deadline = now
		g.giveTurns(now, t.Pool)
	}
	if !g.turns.queue.Remove(now, t) {
		return <-w.result
	}
	g.endWait(t, false)
	g.opt.Metrics.admission.refuse("too_late", t.Rank)
	return false
}

// endWait tells a request that waits whether it gets a turn. g.mu is held.
func (g *Gateway) endWait(t *admit.Ticket, turn bool) {
	w := g.turns.waiters[t]
	delete(g.turns.waiters, t)
	if g.turns.waiting[t.Pool]--; g.turns.waiting[t.Pool] == 0 {
		delete(g.turns.waiting, t.Pool)
	}
	if turn {
		g.turns.given[t.Pool]++
	}
	w.result <- turn
}

// giveTurns gives turns to requests that wait for a service, in order, as long as targets
// take them, and arranges the next check. g.mu is held.
func (g *Gateway) giveTurns(now time.Time, service string) {
	for {
		t := g.turns.queue.Next(now, func(t *admit.Ticket) bool {
			return t.Pool == service && g.targetView.Free(now, g.turns.waiters[t].query) > g.turns.given[service]
		})
		if t == nil {
			break
		}
		g.turns.queue.Done(now, t) // what is waited for is a rate
		g.endWait(t, true)
	}
	timer := g.turns.timers[service]
	if g.turns.waiting[service] == 0 {
		if timer != nil {
			timer.Stop()
			delete(g.turns.timers, service)
		}
		return
	}
	wait := time.Duration(math.MaxInt64)
	for _, w := range g.turns.waiters {
		if w.query.Service == service {
			if d, ok := g.targetView.Wait(now, w.query); ok {
				wait = min(wait, d)
			}
		}
	}
	if wait = max(wait, minTurnPause); timer != nil {
		timer.Reset(wait)
		return
	}
	g.turns.timers[service] = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.giveTurns(time.Now(), service)
	})
}

// endTurn ends the turn of a request that has chosen a target or will not. g.mu is held.
func (g *Gateway) endTurn(req *request) {
	if !req.hasTurn {
		return
	}
	req.hasTurn = false
	service := req.service.Name
	if g.turns.given[service]--; g.turns.given[service] == 0 {
		delete(g.turns.given, service)
	}
	if g.turns.waiting[service] > 0 {
		g.giveTurns(time.Now(), service)
	}
}

// returnTurn ends the turn of a request that ends before it has chosen a target.
func (g *Gateway) returnTurn(req *request) {
	if req.hasTurn {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.endTurn(req)
	}
}

// rank returns the priority of the request: the team's if it has one, else the route's. 0
// is the most urgent.
func (req *request) rank() int {
	if req.team.HasPriority {
		return req.team.Priority
	}
	return req.route.Priority
}

// errTurnsTaken is the cause of a refusal while others are waiting for the same targets.
func errTurnsTaken(service string) *errkind.Error {
	return errkind.New(errkind.Overloaded, "other requests wait for the targets of %s and go first", service)
}
