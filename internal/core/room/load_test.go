package room_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/room"
)

// A play of hosts behind a load balancer in simulated time. Bytes wait in front of each
// link in one queue each way.
const (
	step       = 5 * time.Millisecond
	linkRate   = 1.25e6 // bytes per second, 10 Mbit/s
	objective  = 400 * time.Millisecond
	service    = 60 * time.Millisecond
	bodyBytes  = 3000
	answer     = 800
	mostQueued = linkRate / 2 // more is lost
	domainSize = 8
)

type host struct {
	*room.Host
	inQueue, outQueue float64
	sample            room.Sample
	arrived, waiting  []call
	misses            int
	everOut           bool
	slowest           time.Duration // small call in the last run
}

// call is a try of a request, on the connection of a caller.
type call struct {
	at, first time.Time
	caller    *caller
	retry     bool
}

// caller sends requests on one connection, which stays where it is.
type caller struct {
	home, on  int // hosts: the first choice, and where the connection is
	hash      int // of the second choice
	perSecond float64
	since     time.Time
	bytes     float64
}

type play struct {
	now           time.Time
	hosts         []*host
	random        *rand.Rand
	inTime, late  int
	refused, lost int
}

func newPlay(hosts int) *play {
	p := &play{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	for range hosts {
		h := room.NewHost(room.Limits{LinkBytesPerS: linkRate}, func(below time.Duration) time.Duration { return time.Duration(p.random.Int64N(int64(below))) })
		h.SetObjective(120 * time.Millisecond)
		p.hosts = append(p.hosts, &host{Host: h})
	}
	return p
}

// connect returns the host that gets a new connection of a caller, of its domain. If fewer
// than half of the domain are in rotation, all are.
func (p *play) connect(c *caller) int {
	start := c.home / domainSize * domainSize
	end := min(start+domainSize, len(p.hosts))
	var in []int
	for n := start; n < end; n++ {
		if p.hosts[n].misses < 2 {
			in = append(in, n)
		}
	}
	if p.hosts[c.home].misses < 2 || 2*len(in) < end-start {
		return c.home
	}
	return in[c.hash%len(in)]
}

func (p *play) peers(n int) room.Peers {
	start := n / domainSize * domainSize
	peers := room.Peers{Turn: n - start}
	for _, h := range p.hosts[start:min(start+domainSize, len(p.hosts))] {
		peers.Members++
		if h.Announced() {
			peers.Out++
		}
	}
	// A full link keeps its host from reading back what it has told.
	if h := p.hosts[n]; h.Announced() {
		if peers.Confirmed = h.inQueue < linkRate/10; !peers.Confirmed {
			peers.Out--
		}
	}
	return peers
}

// run plays a time with these callers.
func (p *play) run(d time.Duration, callers []*caller) {
	for _, h := range p.hosts {
		h.slowest = 0
	}
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(step) {
		for _, c := range callers {
			if p.random.Float64() < c.perSecond*step.Seconds() {
				p.arrive(c.on, call{first: p.now, caller: c})
			}
		}
		for n, h := range p.hosts {
			h.inQueue = max(h.inQueue-linkRate*step.Seconds(), 0)
			h.outQueue = max(h.outQueue-linkRate*step.Seconds(), 0)
			h.slowest = max(h.slowest, queueTime(h.inQueue+h.outQueue))
			p.serve(n)
			if p.now.UnixMilli()%200 == 0 {
				h.ObserveCall(queueTime(h.inQueue + h.outQueue))
				h.Observe(p.now, h.sample, p.peers(n))
			}
			if p.now.UnixMilli()%1000 == 0 {
				if h.Ready() {
					h.misses = 0
				} else {
					h.misses++
				}
				h.everOut = h.everOut || h.misses >= 2
			}
		}
	}
}

func queueTime(bytes float64) time.Duration {
	return time.Duration(bytes / linkRate * float64(time.Second))
}

func (p *play) arrive(n int, c call) {
	h := p.hosts[n]
	if h.inQueue > mostQueued {
		p.lost++
		return
	}
	h.inQueue += bodyBytes
	c.at = p.now.Add(queueTime(h.inQueue))
	h.arrived = append(h.arrived, c)
}

// serve starts or refuses what has arrived, and starts what waits.
func (p *play) serve(n int) {
	h := p.hosts[n]
	request := room.Request{Bytes: bodyBytes, Objective: objective}
	for len(h.arrived) > 0 && !h.arrived[0].at.After(p.now) {
		c := h.arrived[0]
		h.arrived = h.arrived[1:]
		h.sample.In += bodyBytes
		c.caller.bytes += bodyBytes
		fit := h.Fit(p.now, request, int64(len(h.waiting)*bodyBytes))
		switch {
		case fit.Refuse && c.retry:
			h.sample.Refused += bodyBytes
			p.refused++
			p.end(n, c)
		case fit.Refuse:
			h.sample.Refused += bodyBytes
			p.end(n, c)
			c.retry = true
			p.arrive(p.connect(c.caller), c)
		default:
			h.waiting = append(h.waiting, c)
		}
	}
	for len(h.waiting) > 0 && h.Pace().Wait(p.now, 0) == 0 {
		c := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.Pace().Start(p.now, bodyBytes)
		h.Pace().Sent(p.now, answer, bodyBytes)
		h.sample.Out += bodyBytes + answer
		h.sample.In += answer
		h.outQueue += bodyBytes + answer
		h.inQueue += answer
		if p.now.Add(service+queueTime(h.outQueue)+queueTime(h.inQueue)).Sub(c.first) <= objective {
			p.inTime++
		} else {
			p.late++
		}
		c.caller.bytes += answer
		p.end(n, c)
	}
}

// end ends a try with a whole answer, after which the host may let the caller go.
func (p *play) end(n int, c call) {
	caller := c.caller
	if !c.retry && caller.on == n && p.hosts[n].Release(caller.bytes/max(p.now.Sub(caller.since).Seconds(), 1)) {
		caller.on, caller.since, caller.bytes = p.connect(caller), p.now, 0
	}
}

// count returns and forgets what callers got since the last call.
func (p *play) count() (inTime, rest int) {
	inTime, rest = p.inTime, p.late+p.refused+p.lost
	p.inTime, p.late, p.refused, p.lost = 0, 0, 0, 0
	return inTime, rest
}

// team returns callers on one host whose requests use the given part of its link.
func (p *play) team(home int, part float64) (callers []*caller) {
	const connections = 100
	for i := range connections {
		callers = append(callers, &caller{home: home, on: home, hash: i, perSecond: part * linkRate / (bodyBytes + answer) / connections, since: p.now})
	}
	return callers
}

// everywhere returns callers that use a part of the link of each host.
func (p *play) everywhere(part float64) (callers []*caller) {
	for n := range p.hosts {
		callers = append(callers, p.team(n, part)...)
	}
	return callers
}

// Guards against one host that is full for good with the callers of a large team, while
// others have room.
func TestLargeTeamMovesOn(t *testing.T) {
	for _, part := range []float64{1.5, 3} {
		p := newPlay(23)
		callers := append(p.everywhere(0.1), p.team(0, part)...)
		p.run(15*time.Second, callers)
		p.count()
		p.run(30*time.Second, callers)
		inTime, rest := p.count()
		assert.Assert(t, rest*100 <= inTime, "%d in time, %d not", inTime, rest)
		for n, h := range p.hosts {
			assert.Equal(t, h.everOut, n == 0, "host %d", n)
			assert.Assert(t, h.slowest <= 2*h.Bound(), "small calls at host %d wait %v", n, h.slowest)
		}
		assert.Assert(t, p.hosts[0].Load(room.Link) > 0.2, "host 0 serves nobody")
	}
}

// Guards against a host that leaves the rotation for a short burst.
func TestBurstDoesNotLeave(t *testing.T) {
	p := newPlay(8)
	callers := p.everywhere(0.3)
	p.run(5*time.Second, callers)
	p.run(2*time.Second, append(p.team(0, 1.5), callers...))
	p.run(10*time.Second, callers)
	for n, h := range p.hosts {
		assert.Assert(t, !h.everOut && h.Ready(), "host %d", n)
	}
	inTime, rest := p.count()
	assert.Assert(t, inTime > 9*rest, "%d in time, %d not", inTime, rest)
}

// Guards against a domain that leaves the rotation as a whole, and against hosts that
// serve nobody while all are full.
func TestAllFull(t *testing.T) {
	p := newPlay(domainSize)
	callers := p.everywhere(1.2)
	for range 30 {
		p.run(time.Second, callers)
		out := 0
		for _, h := range p.hosts {
			if !h.Ready() {
				out++
			}
		}
		assert.Assert(t, out <= (domainSize+2)/3, "%d hosts out", out)
	}
	const possible = 30 * domainSize * linkRate / (bodyBytes + answer)
	assert.Assert(t, float64(p.inTime+p.late) > 0.7*possible, "%d of %.0f served", p.inTime+p.late, possible)
}
