package quarantine

import (
	"math"
	"time"
)

// Bounds of the runs that Background remembers.
const (
	backgroundWindow = 10 * time.Second
	backgroundSlots  = 10
	maxCrashes       = 512
)

// Weight of what is expected before any run is known: that crashes break one run in fifty.
const (
	expectedBroken = 0.5
	expectedRuns   = 25
)

// Background tells how often crashes break runs that have made no progress, whatever is in
// their prompts. It is not safe for concurrent use.
type Background struct {
	sound   [backgroundSlots]int
	slot    int64 // the latest one, in slot durations since the epoch
	crashes []crash
}

// crash is a crash and the runs that it broke.
type crash struct {
	id     uint64
	at     time.Time
	broken int
}

// shareUnit is the precision of a share in reports.
const shareUnit = 1e-4

const backgroundSlot = backgroundWindow / backgroundSlots

// Sound records a run that made progress.
func (b *Background) Sound(now time.Time) {
	b.advance(now)
	b.sound[b.slot%backgroundSlots]++
}

// Broken records a run that a crash broke before it made progress.
func (b *Background) Broken(now time.Time, crashID uint64) {
	b.advance(now)
	for i := range b.crashes {
		if b.crashes[i].id == crashID {
			b.crashes[i].broken++
			return
		}
	}
	if len(b.crashes) < maxCrashes {
		b.crashes = append(b.crashes, crash{id: crashID, at: now, broken: 1})
	}
}

// Share returns the share of runs that crashes broke before they made progress, without the
// runs at the given crashes.
func (b *Background) Share(now time.Time, except func(crash uint64) bool) float64 {
	b.advance(now)
	runs, broken := float64(expectedRuns), expectedBroken
	for _, n := range b.sound {
		runs += float64(n)
	}
	for _, c := range b.crashes {
		if !except(c.id) {
			broken += float64(c.broken)
			runs += float64(c.broken)
		}
	}
	return math.Round(broken/runs/shareUnit) * shareUnit
}

// advance forgets what is too old.
func (b *Background) advance(now time.Time) {
	slot := now.UnixNano() / int64(backgroundSlot)
	for s := max(b.slot+1, slot-backgroundSlots+1); s <= slot; s++ {
		b.sound[s%backgroundSlots] = 0
	}
	b.slot = max(b.slot, slot)
	old := 0
	for old < len(b.crashes) && now.Sub(b.crashes[old].at) > backgroundWindow {
		old++
	}
	b.crashes = b.crashes[old:]
}
