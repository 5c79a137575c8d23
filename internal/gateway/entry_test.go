package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/room"
)

// testLink carries a request of testBytes in 10 ms.
const (
	testLink  = 1 << 20 // bytes per second
	testBytes = testLink / 100
)

func entryOf(rank int, longest time.Duration) *entry {
	startBy := time.Now().Add(longest)
	return &entry{
		Request: room.Request{Bytes: testBytes, Objective: 2 * longest}, result: make(chan bool, 1),
		Ticket: admit.Ticket{Team: "t", Route: "r", Rank: rank, Work: testBytes, StartBy: startBy, Deadline: startBy},
	}
}

// Guards against a link that goes to who comes first, against a request that waits beyond
// its time, and against entries that stay behind. Ten requests come at once, the least
// urgent first.
func TestLinkGoesToTheMostUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHostRoom(room.Limits{LinkBytesPerS: testLink}, nil)
		for range 20 { // fills the link
			h.enter(t.Context(), entryOf(0, 100*time.Millisecond))
		}
		type ended struct {
			rank int
			ok   bool
			wait time.Duration
		}
		ends := make(chan ended, 10)
		for rank := 9; rank >= 0; rank-- {
			go func() {
				began := time.Now()
				_, _, ok := h.enter(t.Context(), entryOf(rank, 400*time.Millisecond))
				ends <- ended{rank, ok, time.Since(began)}
			}()
			synctest.Wait()
		}
		last := -1
		for range 10 {
			e := <-ends
			assert.Assert(t, e.wait <= 400*time.Millisecond, "%+v", e)
			if e.ok {
				assert.Assert(t, e.rank > last, "rank %d started after rank %d", e.rank, last)
				last = e.rank
			}
		}
		assert.Assert(t, last >= 3, "some have started, the last of rank %d", last)
		synctest.Wait()
		assert.Equal(t, h.waiting.Len(), 0)
		assert.Equal(t, len(h.entries), 0)
	})
}

// Guards against a place that a caller keeps which leaves while it waits.
func TestCallerThatLeavesKeepsNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHostRoom(room.Limits{LinkBytesPerS: testLink}, nil)
		for range 20 {
			h.enter(t.Context(), entryOf(0, 100*time.Millisecond))
		}
		ctx, leave := context.WithCancel(t.Context())
		ended := make(chan bool)
		go func() {
			_, _, ok := h.enter(ctx, entryOf(0, 400*time.Millisecond))
			ended <- ok
		}()
		synctest.Wait()
		assert.Equal(t, h.waiting.Len(), 1)
		leave()
		assert.Assert(t, !<-ended)
		assert.Equal(t, h.waiting.Len(), 0)
		assert.Equal(t, len(h.entries), 0)
	})
}

// Guards against a request that waits for the link for longer than its caller waits.
func TestWaitForTheLinkEndsWithTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHostRoom(room.Limits{LinkBytesPerS: testLink}, nil)
		for range 150 {
			go h.enter(t.Context(), entryOf(0, 2*time.Second))
		}
		synctest.Wait()
		req := newRequest(time.Now())
		req.route = &httproute.Route{Name: "r", LatencyObjective: 6 * time.Second}
		req.team, req.route.Priority = httproute.Team{Name: "t"}, 9
		req.deadline = req.arrived.Add(600 * time.Millisecond)
		_, _, ok := h.enter(t.Context(), (&Gateway{}).newEntry(req, testBytes))
		assert.Assert(t, !time.Now().After(req.deadline), "started %v, %v after the deadline", ok, time.Since(req.deadline))
	})
}

// Guards against a connection that a request near its deadline gives up, and that counts as
// a sign of a free link.
func TestDialGivenUpEarlyIsNoSignOfAFreeLink(t *testing.T) {
	h := newHostRoom(room.Limits{LinkBytesPerS: testLink}, nil)
	now := time.Unix(1000, 0)
	observe := func(d time.Duration, err error) {
		for range 8 {
			h.observeDial(d, err)
			h.host.Observe(now, room.Sample{}, room.Peers{})
			now = now.Add(200 * time.Millisecond)
		}
	}
	observe(400*time.Millisecond, nil)
	before := h.host.CallDelay()
	h.observeDial(5*time.Millisecond, context.DeadlineExceeded)
	h.host.Observe(now, room.Sample{}, room.Peers{})
	assert.Assert(t, h.host.CallDelay() >= before, "%v, before %v", h.host.CallDelay(), before)
}

// Guards against a request that waits for the link for ever, starts too late or leaves its
// entry behind, as callers leave, entries displace each other and some are too late at once.
func TestNoEntryIsLost(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHostRoom(room.Limits{LinkBytesPerS: testLink}, nil)
			var started, refused, gone, tooLate int
			var mu sync.Mutex
			var wg sync.WaitGroup
			for range 700 {
				e := entryOf(random.IntN(4), time.Duration(1+random.IntN(1800))*time.Millisecond)
				e.Bytes = int64(600 + random.IntN(3000))
				e.Work = float64(e.Bytes)
				e.Team = string(rune('a' + random.IntN(6)))
				ctx, cancel := context.WithCancel(t.Context())
				if random.IntN(4) == 0 {
					time.AfterFunc(time.Duration(random.IntN(900))*time.Millisecond, cancel)
				}
				wg.Go(func() {
					defer cancel()
					_, _, ok := h.enter(ctx, e)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case ok && time.Now().After(e.Deadline.Add(time.Millisecond)):
						tooLate++
					case ok:
						started++
					case ctx.Err() != nil:
						gone++
					default:
						refused++
					}
				})
				if random.IntN(3) == 0 {
					time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
				}
			}
			wg.Wait()
			synctest.Wait()
			assert.Equal(t, tooLate, 0)
			assert.Assert(t, started > 0 && refused > 0 && gone > 0, "%d, %d, %d", started, refused, gone)
			assert.Equal(t, h.waiting.Len(), 0)
			assert.Equal(t, len(h.entries), 0)
			for c := 'a'; c < 'g'; c++ {
				assert.Equal(t, h.waiting.InFlight(string(c)), 0)
			}
		})
	}
}

// Guards against a request that is refused because of bytes that were sent seconds before it
// came and have long passed, and against one that is taken while the link is full.
func TestBytesSentLongAgoLeaveTheLinkFree(t *testing.T) {
	for pause, free := range map[time.Duration]bool{0: false, 3 * time.Second: true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHostRoom(room.Limits{LinkBytesPerS: testLink}, nil)
			h.targets.AddOut(testLink)
			time.Sleep(pause)
			_, wait, ok := h.enter(t.Context(), entryOf(0, 50*time.Millisecond))
			assert.Equal(t, ok, free, "%v after %d bytes the wait is %v", pause, testLink, wait)
		})
	}
}
