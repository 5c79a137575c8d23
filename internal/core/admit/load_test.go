package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// arrival is a request of a simulated load and what became of it.
type arrival struct {
	Ticket
	at       time.Time
	inTime   bool
	late     bool
	patience time.Duration // comes back once within a quarter of it if it is refused
	returned bool
}

// tally counts the requests that a predicate selects.
type tally struct{ n, inTime, served float64 }

func (l tally) String() string {
	return fmt.Sprintf("%.0f asked, %.2f in time, %.2f served", l.n, l.inTime/l.n, l.served/l.n)
}

func count(load []*arrival, selects func(*arrival) bool) (l tally) {
	for _, a := range load {
		if !selects(a) {
			continue
		}
		l.n++
		if a.inTime {
			l.inTime++
		}
		if a.inTime || a.late {
			l.served++
		}
	}
	return l
}

// playQueue plays a load against room that takes work at a rate, one request after
// another, with the queue or, for comparison, first come, first served.
func playQueue(load []*arrival, rate float64, firstCome bool) []*arrival {
	load = slices.Clone(load)
	for i, a := range load {
		c := *a
		load[i] = &c
	}
	slices.SortStableFunc(load, func(a, b *arrival) int { return a.at.Compare(b.at) })
	byTicket := map[*Ticket]*arrival{}
	q, limits := NewQueue(), Limits{Waiting: 200, Rate: rate}
	var fifo []*arrival
	busyUntil := time.Unix(1000, 0)
	run := func(until time.Time) {
		for !busyUntil.After(until) {
			var t *Ticket
			if firstCome {
				if len(fifo) > 0 {
					t, fifo = &fifo[0].Ticket, fifo[1:]
				}
			} else {
				if t = q.Next(busyUntil, func(*Ticket) bool { return true }); t != nil {
					q.Done(busyUntil, t)
				}
			}
			if t == nil {
				busyUntil = until.Add(1)
				return
			}
			if t.expired(busyUntil) {
				continue
			}
			a := byTicket[t]
			a.late = t.late(busyUntil)
			a.inTime = !a.late
			busyUntil = busyUntil.Add(time.Duration(t.work() / rate * float64(time.Second)))
		}
	}
	for pending := slices.Clone(load); len(pending) > 0; {
		a := pending[0]
		pending = pending[1:]
		run(a.at)
		byTicket[&a.Ticket] = a
		if firstCome {
			if len(fifo) < limits.Waiting {
				fifo = append(fifo, a)
			}
			continue
		}
		_, err := q.Push(a.at, &a.Ticket, limits)
		refused := q.Expire(a.at, func(string) float64 { return rate })
		if err != nil {
			refused = append(refused, &a.Ticket)
		}
		for _, t := range refused {
			r := byTicket[t]
			if r.patience == 0 {
				continue
			}
			after := q.ReturnAfter(a.at, t, rate, r.patience/returnDivisor)
			returned := &arrival{Ticket: r.Ticket, at: a.at.Add(after)}
			returned.seq, returned.StartBy, returned.Deadline = 0, returned.at.Add(r.StartBy.Sub(r.at)), returned.at.Add(r.Deadline.Sub(r.at))
			i, _ := slices.BinarySearchFunc(pending, returned, func(p, a *arrival) int { return p.at.Compare(a.at) })
			pending = slices.Insert(pending, i, returned)
			defer func() { r.inTime, r.late, r.returned = returned.inTime, returned.late, true }()
		}
	}
	run(busyUntil.Add(time.Minute))
	return load
}

// route describes the requests of a route: how many a second, with which log-normal work.
type route struct {
	name                string
	rank                int
	perSecond, work     float64
	objective, deadline time.Duration
}

// Two routes of one urgency each and a third, as customers of hard load state them.
var routes = []route{
	{"ask", 0, 170, 2400, 400 * time.Millisecond, 4 * time.Second},
	{"chat", 1, 65, 700, 400 * time.Millisecond, 15 * time.Second},
	{"adapt", 2, 85, 9200, 1200 * time.Millisecond, 6 * time.Second},
}

// randomLoad returns requests of the routes over a time. team returns the team of each.
func randomLoad(from, to time.Duration, routes []route, team func(*rand.Rand) string) (load []*arrival) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, r := range routes {
		for at := from; ; {
			if at += time.Duration(random.ExpFloat64() / r.perSecond * float64(time.Second)); at > to {
				break
			}
			arrived := time.Unix(1000, 0).Add(at)
			load = append(load, &arrival{at: arrived, Ticket: Ticket{
				Team: team(random), Route: r.name, Rank: r.rank, Work: r.work * math.Exp(random.NormFloat64()-0.5),
				StartBy: arrived.Add(r.objective / 2), Deadline: arrived.Add(r.deadline / 2),
			}})
		}
	}
	return load
}

func asked(routes []route) (perSecond float64) {
	for _, r := range routes {
		perSecond += r.perSecond * r.work
	}
	return perSecond
}

func anyTeam(r *rand.Rand) string { return fmt.Sprint("team", r.IntN(24)) }

func everyone(*arrival) bool { return true }

// assertNoneStarves checks the bounds that customers state: a route or team is served at
// least a quarter as often as all, the largest tenth of a route half as often as the route.
func assertNoneStarves(t *testing.T, load []*arrival) {
	t.Helper()
	all := count(load, everyone)
	groups := map[string][]*arrival{}
	for _, a := range load {
		groups["route "+a.Route] = append(groups["route "+a.Route], a)
		groups["team "+a.Team] = append(groups["team "+a.Team], a)
	}
	for name, group := range groups {
		served := count(group, everyone)
		assert.Assert(t, served.served/served.n >= all.served/all.n/4, "%s: %s; all: %s", name, served, all)
		if name[0] == 'r' {
			slices.SortFunc(group, func(a, b *arrival) int { return int(b.Work - a.Work) })
			largest := count(group[:len(group)/10], everyone)
			assert.Assert(t, largest.served/largest.n >= served.served/served.n/2, "largest of %s: %s; all: %s", name, largest, served)
		}
	}
}

// Guards against callers of urgent routes who pay for load that does not fit, and against
// routes, teams and sizes that starve: a quarter to all of what is asked fits.
func TestUrgentRequestsAreServedUnderLoad(t *testing.T) {
	for _, part := range []float64{0.25, 0.5, 0.75, 1.2} {
		load := randomLoad(0, 30*time.Second, routes, anyTeam)
		ordered, before := playQueue(load, part*asked(routes), false), playQueue(load, part*asked(routes), true)
		for _, r := range routes {
			t.Logf("%.2f fits, %s: %s; first come: %s", part, r.name,
				count(ordered, func(a *arrival) bool { return a.Route == r.name }), count(before, func(a *arrival) bool { return a.Route == r.name }))
		}
		assertNoneStarves(t, ordered)
		urgent := count(ordered, func(a *arrival) bool { return a.Rank == 0 })
		assert.Assert(t, part < 0.5 || urgent.inTime >= 0.9*urgent.n, "%.2f fits: %s", part, urgent)
		assert.Assert(t, count(ordered, everyone).inTime >= count(before, everyone).inTime, "%.2f fits", part)
	}
}

// Guards against a team that asks 7.5 times its usual and thereby takes the room of others.
func TestHotTeamWaitsForItself(t *testing.T) {
	hot := []route{{"ask", 0, 7.5 * 60, 2400, 400 * time.Millisecond, 4 * time.Second}}
	others := []route{{"ask", 0, 110, 2400, 400 * time.Millisecond, 4 * time.Second}}
	load := append(randomLoad(0, 20*time.Second, others, anyTeam), randomLoad(5*time.Second, 15*time.Second, hot, func(*rand.Rand) string { return "hot" })...)
	room := 1.5 * (60 + 110) * 2400.0
	ordered, before := playQueue(load, room, false), playQueue(load, room, true)
	other := func(a *arrival) bool { return a.Team != "hot" }
	t.Logf("other teams: %s; first come: %s", count(ordered, other), count(before, other))
	assertNoneStarves(t, ordered)
	assert.Assert(t, count(ordered, other).inTime >= 0.95*count(ordered, other).n)
}

// Guards against an urgent request that waits for a burst of less urgent ones.
func TestUrgentRequestsOvertakeABurst(t *testing.T) {
	burst := randomLoad(5*time.Second, 6*time.Second, []route{{"adapt", 2, 850, 9200, 1200 * time.Millisecond, 6 * time.Second}}, anyTeam)
	load := append(randomLoad(0, 15*time.Second, routes[:2], anyTeam), burst...)
	room := 2 * asked(routes[:2])
	ordered, before := playQueue(load, room, false), playQueue(load, room, true)
	urgent := func(a *arrival) bool { return a.Rank < 2 }
	t.Logf("urgent: %s; first come: %s", count(ordered, urgent), count(before, urgent))
	assert.Assert(t, count(ordered, urgent).inTime >= 0.9*count(ordered, urgent).n)
}

// Guards against refused callers who come back together, or before there is room.
func TestRefusedCallersFindRoomWhenTheyReturn(t *testing.T) {
	load := randomLoad(0, 500*time.Millisecond, []route{{"ask", 0, 800, 2400, 400 * time.Millisecond, 400 * time.Millisecond}}, anyTeam)
	once := count(playQueue(load, 400*2400, false), everyone)
	for _, a := range load {
		a.patience = 4 * time.Second
	}
	played := playQueue(load, 400*2400, false)
	all, returned := count(played, everyone), count(played, func(a *arrival) bool { return a.returned })
	t.Logf("once: %s; with one return: %s; of those who return: %s", once, all, returned)
	assert.Assert(t, all.served > once.served)
	assert.Assert(t, returned.served >= 0.9*returned.n)
}
