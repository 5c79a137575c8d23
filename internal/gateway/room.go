package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/room"
	"tarragonridge.example/tarragonridge/internal/netcount"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

const (
	// roomSampleInterval is the time between two samples of the host's room while there is
	// work. Requests take them. A timer does so as often while the host is not free, and
	// every idleSampleInterval otherwise, because each time costs a wake-up.
	roomSampleInterval = 200 * time.Millisecond
	idleSampleInterval = time.Second
	// notMeasured is the lateness of a sample that no timer has caused.
	notMeasured    = time.Duration(-1)
	liveHeapMetric = "/gc/heap/live:bytes"
	// givenUpFactor is how much longer than until it was given up a new connection would
	// have taken, as it counts, unless it was given up sooner than others lately took.
	givenUpFactor = 2
)

// hostRoom is the state and the measures of the gateway's host.
type hostRoom struct {
	callers, targets netcount.Counter
	store            *netcount.Counter // nil if not counted
	listener         atomic.Pointer[netcount.Listener]
	refusedBytes     atomic.Int64 // of requests that did not fit on the link
	ready            atomic.Bool
	resources        []room.Resource // that are watched

	mu       sync.Mutex
	host     *room.Host
	sampleAt time.Time // when the next sample is due
	waiting  *admit.Queue
	entries  map[*admit.Ticket]*entry // that wait
	expireAt time.Time                // when those that would start too late are next looked for
	wake     *time.Timer              // starts the next of waiting; nil before the first has waited
	sent     struct{ callers, targets int64 }
	config   *httproute.Config // whose shortest objective host knows
	resumed  bool              // the row of an earlier process was seen
	renewal  int64             // of the row that says that the gateway is out of rotation
	renewAt  time.Time
	refused  [len(refusalReasons)]int64
	released int64
	heap     []metrics.Sample
}

func newHostRoom(limits room.Limits, store *netcount.Counter) *hostRoom {
	if !limits.Any() {
		return nil
	}
	h := &hostRoom{
		store: store, waiting: admit.NewQueue(), entries: map[*admit.Ticket]*entry{}, resources: limits.Resources(),
		host: room.NewHost(limits, func(below time.Duration) time.Duration { return rand.N(below) }),
		heap: []metrics.Sample{{Name: liveHeapMetric}},
	}
	h.ready.Store(true)
	return h
}

// targetBytes returns the counter of the connections to targets, nil if nothing is
// watched.
func (h *hostRoom) targetBytes() *netcount.Counter {
	if h == nil {
		return nil
	}
	return &h.targets
}

// observeDial records how long a new connection to a target took, or until it failed.
// Targets answer without a process of theirs, so that the shortest of several tells how
// long small calls wait for the link.
func (h *hostRoom) observeDial(d time.Duration, err error) {
	if h == nil || errors.Is(err, context.Canceled) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if upstream.IsTimeout(err) {
		// It may have been given up early, as its request had hardly any time left.
		d = max(givenUpFactor*d, h.host.CallDelay())
	}
	h.host.ObserveCall(d)
}

// listen returns a listener that counts the bytes of callers.
func (h *hostRoom) listen(l net.Listener) net.Listener {
	if h == nil {
		return l
	}
	counted := &netcount.Listener{Listener: l, Total: &h.callers}
	h.listener.Store(counted)
	return counted
}

// inRotation reports whether the host has room for new connections.
func (h *hostRoom) inRotation() bool { return h == nil || h.ready.Load() }

// measure returns a sample. h.mu is held.
func (h *hostRoom) measure(lateness time.Duration, targetConns int) room.Sample {
	s := room.Sample{
		In: h.callers.In() + h.targets.In(), Out: h.callers.Out() + h.targets.Out(),
		Refused: h.refusedBytes.Load(), Lateness: lateness, Descriptors: int64(targetConns),
	}
	if h.store != nil {
		s.In += h.store.In()
		s.Out += h.store.Out()
	}
	if l := h.listener.Load(); l != nil {
		s.Accepted = l.Accepted()
		s.Descriptors += l.Open()
	}
	metrics.Read(h.heap)
	if value := h.heap[0].Value; value.Kind() == metrics.KindUint64 {
		s.Heap = int64(value.Uint64())
	}
	return s
}

// shortestObjective returns the shortest latency objective of all routes, 0 if none has
// one.
func shortestObjective(config *httproute.Config) (shortest time.Duration) {
	for _, route := range config.Routes {
		if o := route.LatencyObjective; o > 0 && (shortest == 0 || o < shortest) {
			shortest = o
		}
	}
	return shortest
}

// WatchRoom samples the room of the host until ctx ends and applies what follows from it.
// It returns at once if nothing is watched.
func (g *Gateway) WatchRoom(ctx context.Context) {
	if g.room == nil {
		return
	}
	interval := idleSampleInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for due := time.Now().Add(interval); ; {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		interval = idleSampleInterval
		if g.sampleRoom(now, now.Sub(due)) {
			interval = roomSampleInterval
		}
		due = now.Add(interval)
		timer.Reset(interval)
	}
}

// sampleRoomIfDue takes a sample if none was taken for roomSampleInterval.
func (g *Gateway) sampleRoomIfDue(now time.Time) {
	g.room.mu.Lock()
	due := !now.Before(g.room.sampleAt)
	if due {
		g.room.sampleAt = now.Add(roomSampleInterval)
	}
	g.room.mu.Unlock()
	if due {
		g.sampleRoom(now, notMeasured)
	}
}

// sampleRoom takes a sample and logs and publishes what changes by it. It reports whether
// a timer is to take the next one soon.
func (g *Gateway) sampleRoom(now time.Time, lateness time.Duration) (soon bool) {
	h, conns := g.room, g.pool.Conns()
	peers := g.roomPeers(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sampleAt = now.Add(roomSampleInterval)
	if config := g.config.Load(); config != nil && config != h.config {
		h.config = config
		h.host.SetObjective(shortestObjective(config))
	}
	before := make([]room.Level, len(h.resources))
	for i, r := range h.resources {
		before[i] = h.host.LevelOf(r)
	}
	wasReady, wasAnnounced := h.host.Ready(), h.host.Announced()
	h.host.Observe(now, h.measure(lateness, conns), peers)
	for i, r := range h.resources {
		if level := h.host.LevelOf(r); level != before[i] && max(level, before[i]) == room.Full {
			in, out := h.host.Flow()
			g.opt.Logger.Info("room of the host", "resource", r, "level", level, "load", h.host.Load(r),
				"in_bytes_per_s", int64(in), "out_bytes_per_s", int64(out), "call_ms", h.host.CallDelay().Milliseconds(), "late_ms", max(lateness, 0).Milliseconds(), "bound_ms", h.host.Bound().Milliseconds())
		}
	}
	if h.host.NeedsCall() {
		go g.probeLink()
	}
	ready, announced := h.host.Ready(), h.host.Announced()
	h.ready.Store(ready)
	if ready != wasReady {
		g.opt.Logger.Warn("readiness by the room of the host", "ready", ready, "level", h.host.Level(), "stay_s", h.host.Stay().Seconds(),
			"gateways", peers.Members, "out", peers.Out, "confirmed", peers.Confirmed)
	}
	switch {
	case announced && (!wasAnnounced || !now.Before(h.renewAt)):
		g.announceRoom(now, h)
	case !announced && wasAnnounced:
		g.publications.add(fleet.RoomKey(g.opt.Host), nil)
	}
	return announced || h.host.Level() != room.Free
}

// probeLink opens a connection to some engine, for observeDial. It is kept for the next
// request.
func (g *Gateway) probeLink() {
	addresses := g.engineAddresses()
	if len(addresses) == 0 {
		return
	}
	if err := g.pool.Probe(context.Background(), addresses[rand.IntN(len(addresses))], nil); err != nil {
		g.opt.Logger.Debug("probe of the link failed", "err", err)
	}
}

// announceRoom tells the other gateways that this one is out of rotation or wants to be.
// h.mu is held.
func (g *Gateway) announceRoom(now time.Time, h *hostRoom) {
	h.renewal++
	h.renewAt = now.Add(fleet.RoomRenewInterval)
	value, err := json.Marshal(fleet.RoomRow{FailureDomain: g.opt.FailureDomain, Incarnation: g.opt.Incarnation, Renewal: h.renewal, StayMS: h.host.Stay().Milliseconds()})
	if err != nil {
		g.opt.Logger.Error("failed to encode the row about the room of this host", "err", err)
		return
	}
	g.publications.add(fleet.RoomKey(g.opt.Host), value)
}

// roomPeers returns what is known of the gateways of this failure domain. It matters
// only while the host is full or others were told.
func (g *Gateway) roomPeers(now time.Time) room.Peers {
	g.room.mu.Lock()
	needed := g.room.host.Level() == room.Full || g.room.host.Announced()
	g.room.mu.Unlock()
	if !needed {
		return room.Peers{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.fleet.Domain(now, g.opt.FailureDomain, g.opt.Incarnation)
	return roomPeersOf(d)
}

// resumeRoom goes on where an earlier process of this gateway was out of rotation.
func (g *Gateway) resumeRoom(now time.Time) {
	g.mu.Lock()
	row, ok := g.fleet.LeftRoom(g.opt.Incarnation)
	d := g.fleet.Domain(now, g.opt.FailureDomain, g.opt.Incarnation)
	g.mu.Unlock()
	switch {
	case !ok:
	case g.room == nil:
		g.publications.add(fleet.RoomKey(g.opt.Host), nil)
	default:
		g.room.mu.Lock()
		defer g.room.mu.Unlock()
		if g.room.resumed {
			return
		}
		g.room.resumed = true
		g.room.host.Resume(now, time.Duration(row.StayMS)*time.Millisecond, roomPeersOf(d))
		g.room.ready.Store(g.room.host.Ready())
		if !g.room.host.Ready() {
			g.opt.Logger.Warn("readiness by the room of the host", "ready", false, "cause", "the process before was out of rotation", "stay_s", g.room.host.Stay().Seconds())
			g.announceRoom(now, g.room)
			return
		}
		g.publications.add(fleet.RoomKey(g.opt.Host), nil)
	}
}

func roomPeersOf(d fleet.Domain) room.Peers {
	return room.Peers{Members: d.Routers, Out: d.OutOfRotation, Confirmed: d.SelfTold, Turn: d.Turn}
}

// closeAfterAnswer asks the server to close a caller's connection after the answer of
// which h are the headers, if the gateway is stopping or lets the caller go.
func (g *Gateway) closeAfterAnswer(h http.Header, req *request) {
	if g.phase.Load() != phaseServing || g.room.release(req.conn) {
		h.Set("Connection", "close")
	}
}

// release reports whether a caller is let go.
func (h *hostRoom) release(c *netcount.Conn) bool {
	if h == nil || c == nil || h.ready.Load() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.host.Release(c.BytesPerS(time.Now())) {
		return false
	}
	h.released++
	return true
}
