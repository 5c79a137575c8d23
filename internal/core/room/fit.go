package room

import "time"

const (
	// waitDivisor gives the longest time that a request waits for the link or the processor
	// of the host, as a fraction of its latency objective. The rest is for the target. It
	// is also the longest time for which its answer may wait for the link.
	waitDivisor = 2
	// processorTurns is the number of times that a request waits for the processor before
	// it is sent to a target: when it has arrived, and when it has its tokens.
	processorTurns = 2
)

// Request is a request whose body was not read.
type Request struct {
	Bytes     int64 // of what is sent to a target for it
	Objective time.Duration
}

// LongestWait returns the longest time that a request waits for the host.
func (r Request) LongestWait() time.Duration { return r.Objective / waitDivisor }

// Fit says whether the host has room for a request.
type Fit struct {
	Refuse   bool
	Resource Resource      // that has no room; only if Refuse
	Wait     time.Duration // 0 if the request may start now
}

// Fit returns whether the host has room for a request in time. Requests with the given
// bytes wait and start before it.
func (h *Host) Fit(now time.Time, r Request, ahead int64) Fit {
	if h.levels[Memory] == Full {
		return Fit{Refuse: true, Resource: Memory, Wait: r.LongestWait()}
	}
	if h.levels[Processor] == Full {
		wait := time.Duration(processorTurns * h.loads[Processor] * float64(h.bound))
		if wait > r.LongestWait() {
			return Fit{Refuse: true, Resource: Processor, Wait: wait}
		}
	}
	// What comes in can be reduced only by other gateways that take the callers. If there
	// is none, a late answer is better than none.
	if h.levels[Link] == Full && h.Announced() && h.calls.delay > r.LongestWait() {
		return Fit{Refuse: true, Resource: Link, Wait: h.calls.delay}
	}
	if h.limits.LinkBytesPerS <= 0 {
		return Fit{}
	}
	wait := h.pace.Wait(now, ahead)
	return Fit{Refuse: wait > r.LongestWait(), Resource: Link, Wait: wait}
}
