package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/room"
)

const (
	// headBytes is the size of the head of an attempt, about.
	headBytes = 600
	// minEntryPause is the least pause between two starts of requests that wait.
	minEntryPause = time.Millisecond
)

// entryTicket is a request that waits for a place on the link.
type entryTicket struct {
	room.Request
	team     string
	route    string
	rank     int           // 0 is the most urgent
	startBy  time.Time     // a later start does not serve the caller in time
	deadline time.Time     // of the caller
	started  chan struct{} // closed at the start
}

// entryQueue orders the requests that wait for a place on the link.
type entryQueue interface {
	// ahead returns the bytes of the requests that would start before the ticket.
	ahead(t *entryTicket) int64
	push(t *entryTicket)
	// next returns the ticket that starts next, nil if none waits. It stays in the queue.
	next() *entryTicket
	// remove removes a ticket and reports whether it was in the queue.
	remove(t *entryTicket) bool
	waitingTickets() int
}

// fifo is an entryQueue in the order of arrival.
type fifo struct {
	tickets []*entryTicket
	bytes   int64
}

func (q *fifo) ahead(*entryTicket) int64 { return q.bytes }
func (q *fifo) waitingTickets() int      { return len(q.tickets) }

func (q *fifo) push(t *entryTicket) {
	q.tickets = append(q.tickets, t)
	q.bytes += t.Bytes
}

func (q *fifo) next() *entryTicket {
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[0]
}

func (q *fifo) remove(t *entryTicket) bool {
	i := slices.Index(q.tickets, t)
	if i < 0 {
		return false
	}
	q.tickets = slices.Delete(q.tickets, i, i+1)
	q.bytes -= t.Bytes
	return true
}

// refusalReasons are the resources for which requests are refused.
var refusalReasons = [...]room.Resource{room.Link, room.Processor, room.Memory}

// enterHost waits until the host has room for a request whose body was not read. It fails
// at once if that takes longer than the request's latency objective allows.
func (g *Gateway) enterHost(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) error {
	if g.room == nil {
		return nil
	}
	objective := req.route.LatencyObjective
	if objective <= 0 {
		objective = min(room.DefaultObjective, req.deadline.Sub(req.arrived))
	}
	t := &entryTicket{
		Request: room.Request{Bytes: headBytes + max(r.ContentLength, 0), Objective: objective},
		team:    req.team.Name, route: req.route.Name, rank: req.route.Priority, deadline: req.deadline,
	}
	if req.team.HasPriority {
		t.rank = req.team.Priority
	}
	t.startBy = req.arrived.Add(t.LongestWait())
	g.sampleRoomIfDue(time.Now())
	resource, wait, ok := g.room.enter(ctx, t)
	if ok {
		req.place = t.Bytes
		return nil
	}
	if ctx.Err() != nil {
		return errCallerGone
	}
	// The server reads a short rest of the body before it answers, for which the caller
	// has as long as for any body.
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return errkind.Wrap(err, errkind.Internal, "read deadline")
	}
	e := errkind.New(errkind.NoRoom, "%s of this host: %d ms to wait, objective %d ms", resource, wait.Milliseconds(), objective.Milliseconds())
	e.RetryAfter = g.room.relief() + admit.MinReturn + rand.N(admit.MinReturn)
	return e
}

// enter waits for a place for a ticket. If there is none in time it returns the resource
// that has no room, and the wait.
func (h *hostRoom) enter(ctx context.Context, t *entryTicket) (resource room.Resource, wait time.Duration, ok bool) {
	now := time.Now()
	h.mu.Lock()
	pace := h.host.Pace()
	if pace != nil {
		h.recordSent(now, pace)
	}
	switch fit := h.host.Fit(now, t.Request, h.waiting.ahead(t)); {
	case fit.Refuse:
		h.refuse(fit.Resource, t)
		h.mu.Unlock()
		return fit.Resource, fit.Wait, false
	case pace == nil:
		h.mu.Unlock()
		return 0, 0, true
	case fit.Wait == 0 && h.waiting.next() == nil:
		pace.Start(now, t.Bytes)
		h.mu.Unlock()
		return 0, 0, true
	}
	t.started = make(chan struct{})
	h.waiting.push(t)
	h.startWaiting(now, pace)
	h.mu.Unlock()

	late := time.NewTimer(t.startBy.Sub(now))
	defer late.Stop()
	select {
	case <-t.started:
		return 0, 0, true
	case <-late.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.waiting.remove(t) {
		return 0, 0, true // it has started
	}
	h.refuse(room.Link, t)
	return room.Link, time.Since(now), false
}

// relief returns the time after which callers who come back reach another gateway.
func (h *hostRoom) relief() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.host.Relief(time.Now())
}

// refuse counts a refusal. h.mu is held.
func (h *hostRoom) refuse(resource room.Resource, t *entryTicket) {
	h.refused[slices.Index(refusalReasons[:], resource)]++
	if resource == room.Link {
		h.refusedBytes.Add(t.Bytes)
	}
}

// recordSent tells the pace what was sent since the last call. h.mu is held.
func (h *hostRoom) recordSent(now time.Time, pace *room.Pace) {
	callers, targets := h.callers.Out(), h.targets.Out()
	pace.Sent(now, callers-h.sent.callers, targets-h.sent.targets)
	h.sent.callers, h.sent.targets = callers, targets
}

// startWaiting starts the requests for which there is room now and sets the timer for
// the next one. h.mu is held.
func (h *hostRoom) startWaiting(now time.Time, pace *room.Pace) {
	for t := h.waiting.next(); t != nil; t = h.waiting.next() {
		if wait := pace.Wait(now, 0); wait > 0 {
			wait = max(wait, minEntryPause)
			if h.wake == nil {
				h.wake = time.AfterFunc(wait, h.wakeWaiting)
			} else {
				h.wake.Reset(wait)
			}
			return
		}
		h.waiting.remove(t)
		pace.Start(now, t.Bytes)
		close(t.started)
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
