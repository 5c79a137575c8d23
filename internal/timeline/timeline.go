// Package timeline records the recent events of a process in memory and merges
// the events of several processes into one causally ordered list.
package timeline

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Keys of attributes that are stored in their own fields of an event.
const (
	AttrRequestID = "request_id"
	AttrRunID     = "run_id"
	AttrTeam      = "team"
)

const (
	defaultCapacity   = 8192 // events
	defaultQueryLimit = 1000 // events in one result
)

// Options configure a Ring.
type Options struct {
	Process  string           // role and incarnation of the process, part of every event
	Capacity int              // number of events kept; default 8192
	Clock    *hlc.Clock       // default a new clock
	Now      func() time.Time // default time.Now
	Logger   *slog.Logger     // receives a log record for each event; nil logs nothing
}

// Ring is a ring buffer of the latest events of a process. It is safe for
// concurrent use.
type Ring struct {
	process string
	clock   *hlc.Clock
	now     func() time.Time
	log     *slog.Logger

	mu       sync.Mutex
	capacity int
	events   []wire.TimelineEvent
	recorded int64 // number of events recorded so far; the next one goes to index recorded % capacity
}

// New returns an empty Ring.
func New(o Options) *Ring {
	if o.Capacity <= 0 {
		o.Capacity = defaultCapacity
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Clock == nil {
		o.Clock = &hlc.Clock{}
	}
	return &Ring{process: o.Process, clock: o.Clock, now: o.Now, log: o.Logger, capacity: o.Capacity}
}

// Record adds an event and logs it at level info. Attributes must not contain
// secrets or prompt text.
func (r *Ring) Record(name string, attrs ...slog.Attr) {
	r.RecordAtLevel(slog.LevelInfo, name, attrs...)
}

// RecordAtLevel adds an event and logs it at the given level. The log record
// contains the stamp of the event.
func (r *Ring) RecordAtLevel(level slog.Level, name string, attrs ...slog.Attr) {
	e := r.recordEvent(name, attrs)
	if r.log == nil {
		return
	}
	logAttrs := append([]slog.Attr{slog.String("hlc", e.Stamp.String())}, attrs...)
	r.log.LogAttrs(context.Background(), level, name, logAttrs...)
}

// Append adds an event without logging it. It sets the process and the stamp of
// the event; the caller sets all other fields.
func (r *Ring) Append(e wire.TimelineEvent) {
	e.Process = r.process
	r.store(e)
}

func (r *Ring) recordEvent(name string, attrs []slog.Attr) wire.TimelineEvent {
	e := wire.TimelineEvent{Process: r.process, Name: name}
	for _, a := range attrs {
		setAttr(&e, a)
	}
	return r.store(e)
}

// store stamps the event and adds it to the buffer.
func (r *Ring) store(e wire.TimelineEvent) wire.TimelineEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken while holding the lock, so that the events in the
	// buffer are in the order of their stamps.
	e.Stamp = r.clock.Now(r.now())
	if len(r.events) < r.capacity {
		r.events = append(r.events, e)
	} else {
		r.events[r.recorded%int64(r.capacity)] = e
	}
	r.recorded++
	return e
}

// setAttr stores an attribute in the field for its key, or in Attrs.
func setAttr(e *wire.TimelineEvent, a slog.Attr) {
	value := a.Value.Resolve().String()
	switch a.Key {
	case AttrRequestID:
		e.RequestID = value
	case AttrRunID:
		e.RunID = value
	case AttrTeam:
		e.Team = value
	default:
		if e.Attrs == nil {
			e.Attrs = map[string]string{}
		}
		e.Attrs[a.Key] = value
	}
}

// Query returns the latest events that match, oldest first. Dropped in the
// result is the number of events that have been overwritten.
func (r *Ring) Query(q wire.TimelineQuery) wire.TimelineResult {
	limit := q.Limit
	if limit <= 0 {
		limit = defaultQueryLimit
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []wire.TimelineEvent
	kept := int64(len(r.events))
	for i := r.recorded - 1; i >= r.recorded-kept && len(matching) < limit; i-- {
		if e := r.events[i%int64(r.capacity)]; matches(e, q) {
			matching = append(matching, e)
		}
	}
	for i, j := 0, len(matching)-1; i < j; i, j = i+1, j-1 {
		matching[i], matching[j] = matching[j], matching[i]
	}
	return wire.TimelineResult{Events: matching, Dropped: r.recorded - kept}
}

func matches(e wire.TimelineEvent, q wire.TimelineQuery) bool {
	if q.RequestID != "" && e.RequestID != q.RequestID {
		return false
	}
	if q.FromUS > 0 && e.Stamp.Wall < q.FromUS {
		return false
	}
	return q.ToUS <= 0 || e.Stamp.Wall <= q.ToUS
}
