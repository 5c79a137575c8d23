package sim

import (
	"math/rand/v2"
	"time"
)

// loadResolution is the distance of history entries; it bounds the history to
// MaxLoadLag / loadResolution entries.
const loadResolution = time.Millisecond

// Load is the state of the engine at a time.
type Load struct {
	Running int       `json:"running"` // sequences in the batch
	Waiting int       `json:"waiting"` // sequences in the queue
	KVUsed  float64   `json:"kv_used"` // share of cache memory that running sequences hold or that caches prefixes, 0 to 1
	AsOf    time.Time `json:"as_of"`
}

// history keeps load states that a lagging report still needs, oldest first.
type history struct {
	lag     time.Duration
	entries []Load
}

func (h *history) add(l Load) {
	last := len(h.entries) - 1
	if last >= 0 && l.AsOf.Sub(h.entries[last].AsOf) < loadResolution {
		l.AsOf = h.entries[last].AsOf
		h.entries[last] = l
		return
	}
	h.entries = append(h.entries, l)
	h.prune(l.AsOf)
}

// prune drops entries that a newer one within the lag replaces.
func (h *history) prune(now time.Time) {
	keep := 0
	for keep+1 < len(h.entries) && !h.entries[keep+1].AsOf.After(now.Add(-h.lag)) {
		keep++
	}
	h.entries = h.entries[keep:]
}

func (h *history) at(now time.Time) Load {
	asOf := now.Add(-h.lag)
	h.prune(now)
	report := Load{}
	if len(h.entries) > 0 && !h.entries[0].AsOf.After(asOf) {
		report = h.entries[0]
	}
	report.AsOf = asOf
	return report
}

// EventKind names a change of the prefix cache.
type EventKind string

// Event kinds.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared" // the cache is empty
)

// CacheEvent tells about a block that entered or left the prefix cache. Seq
// rises by one per change, so a reader sees lost events as gaps.
type CacheEvent struct {
	Seq  int64     `json:"seq"`
	Kind EventKind `json:"kind"`
	Hash uint64    `json:"hash,omitempty"`
	At   time.Time `json:"at"`
}

// eventLog keeps the latest cache events in a ring.
type eventLog struct {
	delay  time.Duration
	drop   float64
	random *rand.Rand
	limit  int
	next   int64 // Seq of the next event
	events []CacheEvent
}

func newEventLog(c Config) *eventLog {
	return &eventLog{
		delay:  c.EventDelay,
		drop:   c.EventDropRate,
		random: rand.New(rand.NewPCG(c.Seed, 0)),
		limit:  c.EventHistory,
		next:   1,
	}
}

func (l *eventLog) add(at time.Time, kind EventKind, hash uint64) {
	event := CacheEvent{Seq: l.next, Kind: kind, Hash: hash, At: at}
	l.next++
	if l.random.Float64() < l.drop {
		return
	}
	l.events = append(l.events, event)
	if len(l.events) > 2*l.limit {
		l.events = append([]CacheEvent(nil), l.events[len(l.events)-l.limit:]...)
	}
}

// after returns up to limit visible events with a Seq above the given one.
func (l *eventLog) after(now time.Time, seq int64, limit int) []CacheEvent {
	visible := []CacheEvent{}
	for _, e := range l.events {
		if len(visible) == limit || e.At.Add(l.delay).After(now) {
			break
		}
		if e.Seq > seq {
			visible = append(visible, e)
		}
	}
	return visible
}
