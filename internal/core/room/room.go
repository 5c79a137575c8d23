// Package room decides what a gateway does when its host has too little room: whether
// requests fit on the link, whether the gateway should get new connections, and which
// connections it lets go. It does no I/O and has no clock (docs/design/room.md).
package room

import (
	"math"
	"time"
)

// Limits are the limits of a host. What is 0 is unknown and not watched.
type Limits struct {
	LinkBytesPerS float64 // each way
	Processor     float64 // cores
	MemoryBytes   int64   // of the heap
	Descriptors   int64
}

// Any reports whether anything is watched.
func (l Limits) Any() bool { return l != Limits{} }

// Level says how much room there is.
type Level int

// Levels.
const (
	Free Level = iota
	Busy
	Full
)

func (l Level) String() string { return [...]string{"free", "busy", "full"}[l] }

// Resource is what a level is about.
type Resource int

// Resources.
const (
	Link Resource = iota
	Processor
	Memory
	Descriptors
	resourceCount
)

func (r Resource) String() string {
	return [...]string{"link", "processor", "memory", "descriptors"}[r]
}

// Resources returns the resources that are watched.
func (l Limits) Resources() (watched []Resource) {
	for r, limited := range [resourceCount]bool{l.LinkBytesPerS > 0, l.Processor > 0, l.MemoryBytes > 0, l.Descriptors > 0} {
		if limited {
			watched = append(watched, Resource(r))
		}
	}
	return watched
}

// Sample is what was measured at a time. Bytes and connections count from the start of
// the process.
type Sample struct {
	In, Out     int64         // bytes received and sent
	Refused     int64         // bytes that would have been sent for requests that did not fit
	Lateness    time.Duration // of the timer of this sample; negative if no timer has caused it
	Heap        int64         // bytes
	Descriptors int64
	Accepted    int64 // connections from callers
}

const (
	// DefaultObjective stands for the shortest latency objective until one is known.
	DefaultObjective = time.Second
	// boundDivisor gives the bound of the delay of a small call, as a fraction of the
	// shortest latency objective.
	boundDivisor = 8
	// loadWindow is the time over which loads are averaged.
	loadWindow = 500 * time.Millisecond
	// maxLateness bounds a sample of the lateness, in multiples of the bound, so that a
	// process that was stopped once does not count as out of processor time.
	maxLateness = 2.5
	// maxLatenessTime bounds the time that one sample of the lateness stands for, for the
	// same reason.
	maxLatenessTime = 200 * time.Millisecond
	// Thresholds of Memory and Descriptors, as fractions of the limit.
	countThreshold = 0.9
	// busyPart is the load, as a fraction of the threshold for Full, from which a resource
	// is busy. A gateway that lets connections go does so down to this load.
	busyPart = 0.75
	// hysteresis is the fraction of a threshold below which a level ends.
	hysteresis = 0.9
	// maxLoad bounds a load, in multiples of the threshold for Full.
	maxLoad = 100
)

// Host is the state of a gateway's host. It is not safe for concurrent use.
type Host struct {
	Rotation

	limits Limits
	pace   Pace
	bound  time.Duration
	last   Sample
	lastAt time.Time              // of the last sample; zero before the first
	lateAt time.Time              // of the last sample that a timer has caused, or of the first
	loads  [resourceCount]float64 // as a fraction of the threshold for Full
	levels [resourceCount]Level   // with hysteresis
	calls  calls
	// linkLoad is the part of loads[Link] that bytes make.
	linkLoad float64
	flow     struct{ in, out float64 } // bytes per second, averaged
}

// NewHost returns the state of a host. random returns a random time below its argument.
func NewHost(limits Limits, random func(time.Duration) time.Duration) *Host {
	h := &Host{limits: limits, Rotation: newRotation(random), pace: newPace(limits.LinkBytesPerS)}
	h.SetObjective(DefaultObjective)
	return h
}

// SetObjective sets the shortest latency objective of the requests served.
func (h *Host) SetObjective(objective time.Duration) {
	if objective <= 0 {
		objective = DefaultObjective
	}
	h.bound = objective / boundDivisor
	h.pace.bound = h.bound
}

// Bound returns the longest time for which callers' bytes may delay a small call.
func (h *Host) Bound() time.Duration { return h.bound }

// Pace returns the pace of what is sent. It is nil if the rate of the link is unknown.
func (h *Host) Pace() *Pace {
	if h.limits.LinkBytesPerS <= 0 {
		return nil
	}
	return &h.pace
}

// ObserveCall records how long a small call took that depends on the network alone, or
// how long it took until it was given up.
func (h *Host) ObserveCall(d time.Duration) { h.calls.observe(d) }

// CallDelay returns how long small calls took lately. It is up to date while the link is
// full.
func (h *Host) CallDelay() time.Duration { return h.calls.delay }

// NeedsCall reports whether a small call is to be made, because the link is full and none
// has ended since the last sample but one.
func (h *Host) NeedsCall() bool { return h.levels[Link] == Full && !h.calls.recent }

// calls averages the delay of small calls.
type calls struct {
	shortest time.Duration // since the last sample
	any      bool          // there was one
	recent   bool          // there was one before the last sample
	delay    time.Duration // averaged
}

func (c *calls) observe(d time.Duration) {
	if !c.any || d < c.shortest {
		c.shortest = d
	}
	c.any = true
}

// fold adds the shortest call to the average. Longer ones may be due to others. A short
// call ends the delay at once.
func (c *calls) fold() {
	if c.any {
		c.delay = min((c.delay+c.shortest)/2, c.shortest)
	}
	c.recent, c.any = c.any, false
}

// Observe records a sample and what is known of the other gateways.
func (h *Host) Observe(now time.Time, s Sample, peers Peers) {
	elapsed := now.Sub(h.lastAt)
	if h.lastAt.IsZero() || elapsed <= 0 {
		if h.lateAt.IsZero() {
			h.lateAt = now
		}
		h.last, h.lastAt = s, now
		return
	}
	h.calls.fold()
	h.observeLoads(now, s, elapsed)
	for r := range h.loads {
		h.levels[r] = nextLevel(h.levels[r], h.loads[r])
	}
	h.Rotation.observe(now, h.Level(), h.loadOfCallers(), s.Accepted, peers)
	h.last, h.lastAt = s, now
}

// weightOf returns the weight of a sample in loads, which stands for a time.
func weightOf(elapsed time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/loadWindow.Seconds())
}

func (h *Host) observeLoads(now time.Time, s Sample, elapsed time.Duration) {
	weight := weightOf(elapsed)
	perSecond := func(now, before int64) float64 { return float64(max(now-before, 0)) / elapsed.Seconds() }
	h.flow.in += weight * (perSecond(s.In, h.last.In) - h.flow.in)
	h.flow.out += weight * (perSecond(s.Out+s.Refused, h.last.Out+h.last.Refused) - h.flow.out)
	if h.limits.LinkBytesPerS > 0 {
		h.linkLoad = min(max(h.flow.in, h.flow.out)/h.pace.BytesPerS(), maxLoad)
		h.setLoad(Link, h.linkLoad)
		if h.linkLoad >= hysteresis*busyPart {
			// Bursts may delay small calls at a load that would do on average.
			h.setLoad(Link, max(h.linkLoad, float64(h.calls.delay)/float64(h.bound)))
		}
	}
	if h.limits.Processor > 0 && s.Lateness >= 0 {
		// Samples that requests take come in between and do not measure the lateness.
		late := min(float64(s.Lateness)/float64(h.bound), maxLateness)
		h.setLoad(Processor, h.loads[Processor]+weightOf(min(now.Sub(h.lateAt), maxLatenessTime))*(late-h.loads[Processor]))
		h.lateAt = now
	}
	if h.limits.MemoryBytes > 0 {
		h.setLoad(Memory, float64(s.Heap)/float64(h.limits.MemoryBytes)/countThreshold)
	}
	if h.limits.Descriptors > 0 {
		h.setLoad(Descriptors, float64(s.Descriptors)/float64(h.limits.Descriptors)/countThreshold)
	}
}

func (h *Host) setLoad(r Resource, load float64) { h.loads[r] = min(max(load, 0), maxLoad) }

// nextLevel returns the level that follows a level at a load.
func nextLevel(level Level, load float64) Level {
	switch {
	case load >= 1 || level == Full && load >= hysteresis:
		return Full
	case load >= busyPart || level != Free && load >= hysteresis*busyPart:
		return Busy
	}
	return Free
}

// Level returns the level of the resource with the least room.
func (h *Host) Level() Level {
	level := Free
	for _, l := range h.levels {
		level = max(level, l)
	}
	return level
}

// LevelOf returns the level of a resource.
func (h *Host) LevelOf(r Resource) Level { return h.levels[r] }

// Load returns the load of a resource as a fraction of the load from which it is full.
func (h *Host) Load(r Resource) float64 { return h.loads[r] }

// Flow returns the bytes per second each way, averaged over a short time. Those sent
// include what would have been sent for requests that did not fit.
func (h *Host) Flow() (in, out float64) { return h.flow.in, h.flow.out }

func (h *Host) loadOfCallers() callerLoad {
	load := max(h.linkLoad, h.loads[Processor])
	for _, r := range []Resource{Memory, Descriptors} {
		if h.levels[r] == Full { // below it callers hold what they hold
			load = max(load, h.loads[r])
		}
	}
	return callerLoad{load: load, bytesPerS: max(h.flow.in, h.flow.out, 1)}
}
