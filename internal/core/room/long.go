package room

import (
	"math"
	"time"
)

const (
	// longPart is the part of the usable link that long answers may use together, less what
	// others use. It keeps the link from being busy by them alone.
	longPart = 0.6
	// minLongPart is the part that they may use however much others do, so that they go on.
	minLongPart = 0.1
	// othersWindow is the time over which the use by others is averaged.
	othersWindow = 500 * time.Millisecond
)

// longAnswers is the use of the link by long answers together.
type longAnswers struct {
	freeAt  time.Time // when the next bytes may pass
	pending float64   // bytes that were let pass, and were not seen to be sent
	others  float64   // bytes of others, decaying over othersWindow
}

// recordOthers records bytes that were sent to callers and to targets after a time, and which
// of them are those of long answers.
func (l *longAnswers) recordOthers(elapsed time.Duration, toCallers, toTargets float64) {
	long := min(toCallers, l.pending)
	l.pending -= long
	l.others = l.others*math.Exp(-elapsed.Seconds()/othersWindow.Seconds()) + toCallers + toTargets - long
}

// LongBytesPerS returns the rate that long answers may use together now.
func (p *Pace) LongBytesPerS() float64 {
	others := p.long.others / othersWindow.Seconds()
	return max(longPart*p.BytesPerS()-others, minLongPart*p.BytesPerS())
}

// PassLong lets the next bytes of a long answer pass, in the order of the calls, and returns
// how long they must wait for it.
func (p *Pace) PassLong(now time.Time, size int64) time.Duration {
	if p.long.freeAt.Before(now) {
		p.long.freeAt, p.long.pending = now, 0
	}
	wait := p.long.freeAt.Sub(now)
	p.long.freeAt = p.long.freeAt.Add(time.Duration(float64(size) / p.LongBytesPerS() * float64(time.Second)))
	p.long.pending += float64(size)
	return wait
}
