package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/room"
)

const (
	// headBytes is the size of the head of an attempt, about.
	headBytes = 600
	// minEntryPause is the least pause between two starts of requests that wait.
	minEntryPause = time.Millisecond
	// expireInterval is the least pause between two looks for requests that would start too
	// late: each takes some ten microseconds.
	expireInterval = 20 * time.Millisecond
	// maxWaitingEntries bounds the requests that wait for the link.
	maxWaitingEntries = 500
)

// entry is the place of a request in the queue for the link.
type entry struct {
	admit.Ticket
	room.Request
	result chan bool // receives true at the start, and false if the request is evicted
}

// refusalReasons are the resources for which requests are refused.
var refusalReasons = [...]room.Resource{room.Link, room.Processor, room.Memory}

// checkHost fails if the host has no room in time for a request whose body was not read.
func (g *Gateway) checkHost(r *http.Request, req *request) error {
	if g.room == nil {
		return nil
	}
	e := g.newEntry(req, max(r.ContentLength, 0))
	now := time.Now()
	g.sampleRoomIfDue(now)
	if fit := g.room.check(now, e); fit.Refuse {
		return g.refuseEntry(e, fit.Resource, fit.Wait)
	}
	return nil
}

// enterHost waits until the host has room for a request whose body was not read, or is long
// and was read. It fails at once if that takes longer than the request's latency objective
// allows.
func (g *Gateway) enterHost(ctx context.Context, r *http.Request, req *request) error {
	if g.room == nil {
		return nil
	}
	e := g.newEntry(req, max(r.ContentLength, 0))
	g.sampleRoomIfDue(time.Now())
	resource, wait, ok := g.room.enter(ctx, e)
	if ok {
		req.place = e.Bytes
		return nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return endOfWait(ctx, callers.ErrGone)
	}
	return g.refuseEntry(e, resource, wait)
}

// refuseEntry returns the error of a request for which the host has no room.
func (g *Gateway) refuseEntry(e *entry, resource room.Resource, wait time.Duration) error {
	refusal := errkind.New(errkind.NoRoom, "%s of this host: %d ms to wait, objective %d ms", resource, wait.Milliseconds(), e.Objective.Milliseconds())
	refusal.RetryAfter = g.room.relief() + admit.MinReturn + rand.N(admit.MinReturn)
	return refusal
}

// newEntry returns the entry of a request whose body has a number of bytes.
func (g *Gateway) newEntry(req *request, bodyBytes int64) *entry {
	objective := req.route.LatencyObjective
	if objective <= 0 {
		objective = room.DefaultObjective
	}
	objective = min(objective, req.deadline.Sub(req.arrived))
	e := &entry{Request: room.Request{Bytes: headBytes + bodyBytes, Objective: objective}, result: make(chan bool, 1)}
	startBy := req.arrived.Add(e.LongestWait())
	e.Ticket = admit.Ticket{Team: req.team.Name, Route: req.route.Name, Rank: req.rank(), Work: float64(e.Bytes), StartBy: startBy, Deadline: startBy}
	return e
}

// fit says whether the host has room for a request. h.mu is held.
func (h *hostRoom) fit(now time.Time, e *entry) room.Fit {
	return h.host.Fit(now, e.Request, int64(h.waiting.Ahead(now, &e.Ticket)))
}

// check says whether the host has room for a request now.
func (h *hostRoom) check(now time.Time, e *entry) room.Fit {
	h.mu.Lock()
	defer h.mu.Unlock()
	if pace := h.host.Pace(); pace != nil {
		h.recordSent(now, pace)
	}
	fit := h.fit(now, e)
	if fit.Refuse {
		h.waiting.Refuse(now, &e.Ticket)
		h.refuse(fit.Resource, e)
	}
	return fit
}

// enter waits for a place for a request. If there is none in time it returns the resource
// that has no room, and the wait.
func (h *hostRoom) enter(ctx context.Context, e *entry) (resource room.Resource, wait time.Duration, ok bool) {
	now := time.Now()
	h.mu.Lock()
	pace := h.host.Pace()
	if pace != nil {
		h.recordSent(now, pace)
	}
	switch fit := h.fit(now, e); {
	case fit.Refuse:
		h.waiting.Refuse(now, &e.Ticket)
		h.refuse(fit.Resource, e)
		h.mu.Unlock()
		return fit.Resource, fit.Wait, false
	case pace == nil:
		h.mu.Unlock()
		return 0, 0, true
	case fit.Wait == 0 && h.waiting.Len() == 0:
		h.waiting.Start(now, &e.Ticket)
		h.start(now, pace, e)
		h.mu.Unlock()
		return 0, 0, true
	}
	evicted, err := h.waiting.Push(now, &e.Ticket, admit.Limits{Waiting: maxWaitingEntries, Rate: pace.BytesPerS()})
	if err != nil {
		h.refuse(room.Link, e)
		h.mu.Unlock()
		return room.Link, e.LongestWait(), false
	}
	h.entries[&e.Ticket] = e
	if evicted != nil {
		h.turnAway(evicted)
	}
	h.startWaiting(now, pace)
	h.mu.Unlock()

	late := time.NewTimer(e.Deadline.Sub(now))
	defer late.Stop()
	select {
	case ok = <-e.result:
		return room.Link, time.Since(now), ok
	case <-late.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.waiting.Remove(time.Now(), &e.Ticket) {
		return room.Link, time.Since(now), <-e.result
	}
	h.forget(e)
	return room.Link, time.Since(now), false
}

// start gives a request its place on the link. h.mu is held.
func (h *hostRoom) start(now time.Time, pace *room.Pace, e *entry) {
	h.waiting.Done(now, &e.Ticket) // its place is used up
	pace.Start(now, e.Bytes)
}

// turnAway refuses a request that waits and was taken from the queue. h.mu is held.
func (h *hostRoom) turnAway(t *admit.Ticket) {
	e := h.entries[t]
	h.forget(e)
	e.result <- false
}

// forget counts a request that waited and is refused. h.mu is held.
func (h *hostRoom) forget(e *entry) {
	delete(h.entries, &e.Ticket)
	h.refuse(room.Link, e)
}

// relief returns the time after which callers who come back reach another gateway.
func (h *hostRoom) relief() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.host.Relief(time.Now())
}

// refuse counts a refusal. h.mu is held.
func (h *hostRoom) refuse(resource room.Resource, e *entry) {
	h.refused[slices.Index(refusalReasons[:], resource)]++
	if resource == room.Link {
		h.refusedBytes.Add(e.Bytes)
	}
}

// recordSent tells the pace what was sent since the last call, as sent when the last of it
// was: that may be long ago. h.mu is held.
func (h *hostRoom) recordSent(now time.Time, pace *room.Pace) {
	callers, targets := h.callers.Out(), h.targets.Out()
	at := h.callers.LastOut()
	if other := h.targets.LastOut(); other.After(at) {
		at = other
	}
	if at.IsZero() || at.After(now) {
		at = now
	}
	pace.Sent(at, callers-h.sent.callers, targets-h.sent.targets)
	h.sent.callers, h.sent.targets = callers, targets
}

// startWaiting starts the requests for which there is room now and sets the timer for
// the next one. h.mu is held.
func (h *hostRoom) startWaiting(now time.Time, pace *room.Pace) {
	if !now.Before(h.expireAt) {
		h.expireAt = now.Add(expireInterval)
		for _, t := range h.waiting.Expire(now, func(string) float64 { return pace.BytesPerS() }) {
			h.turnAway(t)
		}
	}
	for {
		t := h.waiting.Next(now, func(*admit.Ticket) bool { return pace.Wait(now, 0) == 0 })
		if t == nil {
			break
		}
		e := h.entries[t]
		delete(h.entries, t)
		h.start(now, pace, e)
		e.result <- true
	}
	if h.waiting.Len() == 0 {
		return
	}
	wait := max(pace.Wait(now, 0), minEntryPause)
	if h.wake == nil {
		h.wake = time.AfterFunc(wait, h.wakeWaiting)
	} else {
		h.wake.Reset(wait)
	}
}

func (h *hostRoom) wakeWaiting() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	pace := h.host.Pace()
	h.recordSent(now, pace)
	h.startWaiting(now, pace)
}

// leaveHost gives back the place of a request of which no target was sent anything.
func (g *Gateway) leaveHost(req *request) {
	if req.place == 0 || req.runs > 0 || req.rejections > 0 {
		return
	}
	g.room.mu.Lock()
	defer g.room.mu.Unlock()
	if pace := g.room.host.Pace(); pace != nil {
		pace.Cancel(time.Now(), req.place)
	}
}
