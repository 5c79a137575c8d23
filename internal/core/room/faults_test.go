package room_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/room"
)

// Guards against a host that counts as out of processor time because its process was
// stopped once.
func TestOneStopIsNoLackOfProcessorTime(t *testing.T) {
	for _, interval := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second} {
		m := newMeter(room.Limits{Processor: 0.1})
		m.run(0, 10*time.Second)
		m.now = m.now.Add(interval)
		m.sample.Lateness = 10 * time.Second
		m.Observe(m.now, m.sample, m.peers)
		fit := m.Fit(m.now, room.Request{Bytes: 3000, Objective: 120 * time.Millisecond}, 0)
		t.Logf("after %v: load %.2f, level %s, refused %v", interval, m.Load(room.Processor), m.LevelOf(room.Processor), fit.Refuse)
		assert.Check(t, m.LevelOf(room.Processor) != room.Full)
	}
}

// Guards against places that are larger than what was sent and so hide further attempts.
func TestUnusedPlacesDoNotHideFurtherAttempts(t *testing.T) {
	m := newMeter(link)
	pace := m.Pace()
	for range 1000 {
		pace.Start(m.now, 600)
		pace.Sent(m.now, 0, 500)
		m.now = m.now.Add(10 * time.Millisecond)
	}
	m.now = m.now.Add(10 * time.Second)
	pace.Sent(m.now, 0, 90_000) // further attempts
	t.Logf("wait %v", pace.Wait(m.now, 0))
	assert.Check(t, pace.Wait(m.now, 0) > 0)
}

// Guards against a host that is out of descriptors or memory, leaves the rotation and lets
// none of its callers go, so that it never comes back.
func TestFullOfDescriptorsLetsCallersGo(t *testing.T) {
	for _, fill := range []func(*room.Sample){
		func(s *room.Sample) { s.Descriptors = 950 },
		func(s *room.Sample) { s.Heap = 1 << 20 },
	} {
		m := newMeter(room.Limits{LinkBytesPerS: linkRate, Processor: 0.1, MemoryBytes: 1 << 20, Descriptors: 1000})
		fill(&m.sample)
		released := 0
		for range 10 * 60 * 5 {
			m.run(0.1, 200*time.Millisecond)
			for range 20 { // answers
				if m.Release(1000) {
					released++
				}
			}
		}
		t.Logf("ready %v, released %d", m.Ready(), released)
		assert.Check(t, m.Ready() || released > 0)
	}
}
