package room

import (
	"math"
	"time"
)

const (
	// sizeWeight is the weight of a request in the averages of sizes.
	sizeWeight = 1.0 / 64
	// typicalSize is the size of a request in bytes before any was seen.
	typicalSize = 2 << 10
	// Bounds of the usable part of the link.
	minUsable = 0.5
	maxUsable = 0.95
	// maxBacklog bounds what counts as waiting for the link, as the time that it needs.
	maxBacklog = 2 * time.Second
)

// Pace spaces what a gateway sends for its callers, so that the link has room for small
// calls at any time. It is not safe for concurrent use.
type Pace struct {
	rate  float64       // of the link, bytes per second
	bound time.Duration // of the delay of a small call

	meanSize, meanSquare float64 // of requests

	at       time.Time
	backlog  float64 // bytes that were sent or are about to be, and have not passed
	promised float64 // the part of them that is about to be sent to targets

	long longAnswers
}

func newPace(rate float64) Pace {
	return Pace{rate: rate, meanSize: typicalSize, meanSquare: typicalSize * typicalSize}
}

// Usable returns the part of the link that callers' bytes may use. At a load u a small
// call waits u/(1-u) times half a typical request, and may wait up to the bound.
func (p *Pace) Usable() float64 {
	halfRequest := p.meanSquare / (2 * p.meanSize) / p.rate
	bound := p.bound.Seconds()
	return min(max(bound/(bound+halfRequest), minUsable), maxUsable)
}

// BytesPerS returns the rate that callers' bytes may use.
func (p *Pace) BytesPerS() float64 { return p.Usable() * p.rate }

func (p *Pace) advance(now time.Time) {
	if elapsed := now.Sub(p.at); elapsed > 0 {
		if !p.at.IsZero() {
			p.backlog = max(p.backlog-elapsed.Seconds()*p.BytesPerS(), 0)
			p.promised = min(p.promised, p.backlog) // places are larger than what is sent
		}
		p.at = now
	}
}

func (p *Pace) add(bytes float64) {
	p.backlog = min(max(p.backlog+bytes, 0), maxBacklog.Seconds()*p.BytesPerS())
}

// Sent records the bytes that were sent to callers and to targets since the last call.
// Those to targets are in the places of requests, except for further attempts.
func (p *Pace) Sent(now time.Time, toCallers, toTargets int64) {
	if !p.at.IsZero() {
		p.long.recordOthers(max(now.Sub(p.at), 0), float64(toCallers), float64(toTargets))
	}
	p.advance(now)
	fulfilled := min(float64(toTargets), p.promised)
	p.promised -= fulfilled
	p.add(float64(toCallers) + float64(toTargets) - fulfilled)
}

// Wait returns how long a request must wait if others with the given bytes are before it.
func (p *Pace) Wait(now time.Time, ahead int64) time.Duration {
	p.advance(now)
	allowed := p.bound.Seconds() * p.BytesPerS()
	seconds := (p.backlog + float64(ahead) - allowed) / p.BytesPerS()
	return time.Duration(math.Ceil(max(seconds, 0) * float64(time.Second)))
}

// Start gives a request of the given size a place on the link.
func (p *Pace) Start(now time.Time, size int64) {
	p.advance(now)
	p.meanSize += sizeWeight * (float64(size) - p.meanSize)
	p.meanSquare += sizeWeight * (float64(size)*float64(size) - p.meanSquare)
	p.promised += float64(size)
	p.add(float64(size))
}

// Cancel takes back the place of a request of which nothing was sent.
func (p *Pace) Cancel(now time.Time, size int64) {
	p.advance(now)
	size = min(size, int64(p.promised))
	p.promised -= float64(size)
	p.add(-float64(size))
}
