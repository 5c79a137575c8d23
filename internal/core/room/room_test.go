package room_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/room"
)

// meter feeds a host with samples of a constant load.
type meter struct {
	*room.Host
	now       time.Time
	sample    room.Sample
	peers     room.Peers
	othersOut int  // other gateways out of rotation
	storeLost bool // what this gateway tells is not read back
}

func newMeter(limits room.Limits) *meter {
	h := room.NewHost(limits, func(time.Duration) time.Duration { return 0 })
	h.SetObjective(120 * time.Millisecond)
	m := &meter{Host: h, now: time.Unix(1000, 0), peers: room.Peers{Members: 6}}
	m.run(0, 200*time.Millisecond)
	return m
}

// run feeds samples in which the link carries a part of its rate.
func (m *meter) run(part float64, d time.Duration) {
	const interval = 200 * time.Millisecond
	for ; d > 0; d -= interval {
		m.now = m.now.Add(interval)
		m.sample.In += int64(part * linkRate * interval.Seconds())
		m.peers.Out = m.othersOut
		m.peers.Confirmed = m.Announced() && !m.storeLost
		if m.peers.Confirmed {
			m.peers.Out++
		}
		m.Observe(m.now, m.sample, m.peers)
	}
}

var link = room.Limits{LinkBytesPerS: linkRate}

// Guards against a level that changes with every small change of the load.
func TestLevelHysteresis(t *testing.T) {
	m := newMeter(link)
	usable := m.Pace().Usable()
	for _, c := range []struct {
		part float64
		want room.Level
	}{{0.7, room.Free}, {0.8, room.Busy}, {0.7, room.Busy}, {1.05, room.Full}, {0.95, room.Full}, {0.85, room.Busy}, {0.6, room.Free}} {
		m.run(c.part*usable, 4*time.Second)
		assert.Equal(t, m.Level(), c.want, "at %.2f", c.part)
	}
}

// Guards against a host that comes back to be full again at once, time after time.
func TestReturnsLaterEachTime(t *testing.T) {
	m := newMeter(link)
	var stays []time.Duration
	for range 3 {
		m.run(1.2, 5*time.Second)
		began := m.now
		for !m.Ready() {
			m.run(0.1, time.Second)
		}
		stays = append(stays, m.now.Sub(began).Round(10*time.Second))
	}
	assert.DeepEqual(t, stays, []time.Duration{50 * time.Second, 100 * time.Second, 200 * time.Second})
}

// Guards against a host that comes back while the callers that stayed use it to the
// full, and against one that never does.
func TestStaysOutWhileUsed(t *testing.T) {
	m := newMeter(link)
	m.run(1.2, 10*time.Second)
	assert.Assert(t, !m.Ready())
	m.run(0.6, 10*time.Minute)
	assert.Assert(t, !m.Ready())
	m.run(0.2, 5*time.Second)
	assert.Assert(t, m.Ready())
}

// Guards against a host that cannot leave because its full link keeps it from reading the
// store, and against hosts that leave so at the same moment.
func TestLeavesUnconfirmedInTurn(t *testing.T) {
	var after []time.Duration
	for turn := range 3 {
		m := newMeter(link)
		m.storeLost, m.peers.Turn = true, 2*turn
		began := m.now
		for m.Ready() && m.now.Sub(began) < 10*time.Second {
			m.run(1.2, 200*time.Millisecond)
		}
		after = append(after, m.now.Sub(began))
	}
	assert.Assert(t, after[0] < after[1] && after[1] < after[2] && after[2] < 5*time.Second, "%v", after)
}

// Guards against a request that is held for longer than its objective allows, and a
// link that callers' bytes fill.
func TestPaceKeepsRoom(t *testing.T) {
	m := newMeter(link)
	pace, started := m.Pace(), int64(0)
	for range 1000 {
		fit := m.Fit(m.now, room.Request{Bytes: 3000, Objective: 400 * time.Millisecond}, 0)
		assert.Assert(t, fit.Refuse == (fit.Wait > 200*time.Millisecond))
		if fit.Wait == 0 {
			pace.Start(m.now, 3000)
			pace.Sent(m.now, 0, 3000)
			started += 3000
		}
		m.now = m.now.Add(time.Millisecond)
	}
	assert.Assert(t, float64(started) < 0.95*linkRate && float64(started) > 0.7*linkRate, "%d bytes a second", started)
}

// Guards against a state that no sequence of samples should lead to.
func FuzzHost(f *testing.F) {
	f.Add([]byte{255, 255, 255, 255, 10, 200, 0, 0, 255, 255, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMeter(room.Limits{LinkBytesPerS: linkRate, Processor: 0.1, MemoryBytes: 1 << 20, Descriptors: 100})
		for i := 0; i+4 < len(data); i += 5 {
			m.now = m.now.Add(time.Duration(data[i]) * 10 * time.Millisecond)
			m.sample.In += int64(data[i+1]) << 12
			m.sample.Out += int64(data[i+2]) << 12
			m.sample.Lateness, m.sample.Heap, m.sample.Descriptors = time.Duration(data[i+3])*time.Millisecond, int64(data[i+3])<<12, int64(data[i+4])
			m.ObserveCall(time.Duration(data[i+4]) * time.Millisecond)
			peers := room.Peers{Members: int(data[i+4] % 8), Out: int(data[i+3] % 4), Confirmed: data[i]%2 == 0, Turn: int(data[i+1] % 8)}
			wasReady := m.Ready()
			m.Observe(m.now, m.sample, peers)
			if wasReady && !m.Ready() {
				assert.Assert(t, peers.Members > 1 && peers.Out <= (peers.Members+2)/3, "%+v", peers)
			}
			for _, r := range []room.Resource{room.Link, room.Processor, room.Memory, room.Descriptors} {
				assert.Assert(t, m.Load(r) >= 0 && (m.LevelOf(r) != room.Free || m.Load(r) < 1))
			}
			fit := m.Fit(m.now, room.Request{Bytes: int64(data[i+1]) << 8, Objective: time.Second}, 0)
			assert.Assert(t, fit.Wait >= 0 && m.Relief(m.now) >= 0)
			if fit.Wait == 0 && !fit.Refuse {
				m.Pace().Start(m.now, int64(data[i+1])<<8)
			}
			if m.Release(float64(data[i])) {
				assert.Assert(t, !m.Ready())
			}
		}
	})
}

// Guards against the last gateway of a domain, or more than a third, leaving the
// rotation.
func TestLeavesOnlyIfOthersStay(t *testing.T) {
	for _, c := range []struct {
		members, othersOut int
		leaves             bool
	}{{1, 0, false}, {2, 0, true}, {2, 1, false}, {6, 1, true}, {6, 2, false}, {7, 2, true}, {7, 3, false}} {
		m := newMeter(link)
		m.peers.Members, m.othersOut = c.members, c.othersOut
		m.run(1.2, 10*time.Second)
		assert.Equal(t, m.Ready(), !c.leaves, "%+v", c)
	}
}

// Guards against a host that goes on to take requests although it has no processor time,
// memory or descriptors left, and against one that a single pause sends out of rotation.
func TestOtherResources(t *testing.T) {
	limits := room.Limits{Processor: 0.1, MemoryBytes: 1 << 20, Descriptors: 1000}
	quick := room.Request{Bytes: 1000, Objective: 120 * time.Millisecond}
	m := newMeter(limits)
	m.sample.Lateness = 4 * time.Second
	m.run(0, 200*time.Millisecond)
	m.sample.Lateness = 0
	m.run(0, 10*time.Second)
	assert.Assert(t, m.Ready() && !m.Announced())

	for resource, fill := range map[room.Resource]func(*room.Sample){
		room.Processor:   func(s *room.Sample) { s.Lateness = 40 * time.Millisecond },
		room.Memory:      func(s *room.Sample) { s.Heap = 1 << 20 },
		room.Descriptors: func(s *room.Sample) { s.Descriptors = 950 },
	} {
		m := newMeter(limits)
		assert.Assert(t, !m.Fit(m.now, quick, 0).Refuse)
		fill(&m.sample)
		m.run(0, 10*time.Second)
		assert.Assert(t, m.LevelOf(resource) == room.Full && !m.Ready(), "%v", resource)
		assert.Equal(t, m.Fit(m.now, quick, 0).Refuse, resource != room.Descriptors, "%v", resource)
		m.sample.Lateness, m.sample.Heap, m.sample.Descriptors = 0, 0, 0
		m.run(0, time.Minute)
		assert.Assert(t, m.Ready(), "%v", resource)
	}
}

// Guards against samples that requests take and that hide from the host that it is out of
// processor time, or has it again.
func TestSamplesOfRequestsDoNotHideLateness(t *testing.T) {
	after := func(between bool, lateness time.Duration, m *meter, until room.Level) time.Duration {
		began := m.now
		for m.now.Sub(began) < time.Minute && m.LevelOf(room.Processor) != until {
			if between { // a request comes first, the timer 5 ms later
				m.now = m.now.Add(195 * time.Millisecond)
				m.sample.Lateness = -1
				m.Observe(m.now, m.sample, m.peers)
				m.now = m.now.Add(5 * time.Millisecond)
			} else {
				m.now = m.now.Add(200 * time.Millisecond)
			}
			m.sample.Lateness = lateness
			m.Observe(m.now, m.sample, m.peers)
		}
		return m.now.Sub(began)
	}
	for _, between := range []bool{false, true} {
		m := newMeter(room.Limits{Processor: 0.1})
		full := after(between, 30*time.Millisecond, m, room.Full)
		free := after(between, time.Millisecond, m, room.Free)
		assert.Assert(t, full < 2*time.Second && free < 2*time.Second, "samples of requests between: %v: full after %v, free after %v", between, full, free)
	}
}

// Guards against a host that leaves the rotation because its process was stopped once while
// requests take samples.
func TestOneStopDoesNotLeave(t *testing.T) {
	m := newMeter(room.Limits{Processor: 0.1})
	m.run(0, 10*time.Second)
	m.now = m.now.Add(5 * time.Second)
	m.sample.Lateness = 5 * time.Second
	m.Observe(m.now, m.sample, m.peers)
	var unready time.Duration
	for range 60 * 5 {
		m.now = m.now.Add(195 * time.Millisecond)
		m.sample.Lateness = -1
		m.peers.Confirmed = m.Announced()
		m.Observe(m.now, m.sample, m.peers)
		m.now = m.now.Add(5 * time.Millisecond)
		m.sample.Lateness = 0
		m.Observe(m.now, m.sample, m.peers)
		if !m.Ready() {
			unready += 200 * time.Millisecond
		}
	}
	assert.Assert(t, unready == 0, "not ready for %v of the minute after a stop of 5 s", unready)
}
