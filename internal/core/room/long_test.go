package room_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/room"
)

// Guards against long answers that leave ordinary requests no room on the link, that stop
// for good while others use all of it, or that could use it and wait.
func TestLongAnswersUseWhatOthersLeave(t *testing.T) {
	const (
		stepBytes = 4 << 10
		answers   = 24
		warmUp    = time.Second // until the use by others is known
		playTime  = 10 * time.Second
		tick      = time.Millisecond
	)
	for _, c := range []struct{ others, least, most float64 }{ // parts of the usable link
		{0, 0.5, 0.62}, {0.2, 0.3, 0.45}, {0.5, 0.08, 0.25}, {0.9, 0.08, 0.12},
	} {
		pace := room.NewHost(room.Limits{LinkBytesPerS: linkRate}, nil).Pace()
		start := time.Unix(1000, 0)
		next := make([]time.Time, answers) // when the next bytes of an answer pass
		var long, longAtFirst, longSent, othersSent, othersDue float64
		var longestWait time.Duration
		for now := start; now.Before(start.Add(warmUp + playTime)); now = now.Add(tick) {
			for i := range next {
				for !next[i].After(now) {
					next[i] = now.Add(pace.PassLong(now, stepBytes) + time.Microsecond)
					long += stepBytes
				}
			}
			othersDue += c.others * pace.BytesPerS() * tick.Seconds()
			pace.Sent(now, int64(long-longSent)+int64(othersDue-othersSent), 0)
			longSent, othersSent = long, float64(int64(othersDue))
			if now.Sub(start) < warmUp {
				longAtFirst = long
				continue
			}
			longestWait = max(longestWait, pace.Wait(now, 0))
		}
		part := (long - longAtFirst) / playTime.Seconds() / pace.BytesPerS()
		t.Logf("others %.1f: long answers use %.2f of the link, a request waits %v", c.others, part, longestWait)
		assert.Check(t, part >= c.least && part <= c.most, "%.2f", part)
		if c.others < 0.9 {
			assert.Check(t, longestWait <= 100*time.Millisecond, "%v", longestWait)
		}
	}
}
