package sim

import (
	"math/rand/v2"
	"time"
)

// loadResolution is the shortest time between two history entries. It limits the
// history to MaxLoadLag / loadResolution entries.
const loadResolution = time.Millisecond

// Load is the load of the engine at a point in time.
type Load struct {
	Running int       `json:"running"` // sequences in the batch
	Waiting int       `json:"waiting"` // sequences in the queue
	KVUsed  float64   `json:"kv_used"` // share of cache memory in use by running sequences or cached prefixes, 0 to 1
	AsOf    time.Time `json:"as_of"`
}

// loadHistory keeps the loads that a report lagging by lag can still return.
type loadHistory struct {
	lag     time.Duration
	entries []Load // oldest first
}

func (h *loadHistory) add(load Load) {
	last := len(h.entries) - 1
	if last >= 0 && load.AsOf.Sub(h.entries[last].AsOf) < loadResolution {
		load.AsOf = h.entries[last].AsOf
		h.entries[last] = load
		return
	}
	h.entries = append(h.entries, load)
	h.prune(load.AsOf)
}

// prune drops the entries before the latest one that is at least lag old.
func (h *loadHistory) prune(now time.Time) {
	keep := 0
	for keep+1 < len(h.entries) && !h.entries[keep+1].AsOf.After(now.Add(-h.lag)) {
		keep++
	}
	h.entries = h.entries[keep:]
}

func (h *loadHistory) at(now time.Time) Load {
	asOf := now.Add(-h.lag)
	h.prune(now)
	load := Load{}
	if len(h.entries) > 0 && !h.entries[0].AsOf.After(asOf) {
		load = h.entries[0]
	}
	load.AsOf = asOf
	return load
}

// EventKind is a kind of change of the prefix cache.
type EventKind string

// Event kinds.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared" // all blocks were removed
)

// CacheEvent reports a change of the prefix cache. Seq rises by one per change, so
// a reader sees lost events as gaps.
type CacheEvent struct {
	Seq  int64     `json:"seq"`
	Kind EventKind `json:"kind"`
	Hash uint64    `json:"hash,omitempty"`
	At   time.Time `json:"at"`
}

// eventLog keeps the latest cache events.
type eventLog struct {
	delay    time.Duration
	dropRate float64
	rng      *rand.Rand
	limit    int   // number of events kept; up to twice as many between two truncations
	nextSeq  int64 // sequence number of the next event
	events   []CacheEvent
}

func newEventLog(c Config) *eventLog {
	return &eventLog{
		delay:    c.EventDelay,
		dropRate: c.EventDropRate,
		rng:      rand.New(rand.NewPCG(c.Seed, 0)),
		limit:    c.EventHistory,
		nextSeq:  1,
	}
}

func (l *eventLog) add(at time.Time, kind EventKind, hash uint64) {
	event := CacheEvent{Seq: l.nextSeq, Kind: kind, Hash: hash, At: at}
	l.nextSeq++
	if l.rng.Float64() < l.dropRate {
		return
	}
	l.events = append(l.events, event)
	if len(l.events) > 2*l.limit {
		l.events = append([]CacheEvent(nil), l.events[len(l.events)-l.limit:]...)
	}
}

// after returns up to limit events with a Seq above the given one that are at
// least delay old.
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
