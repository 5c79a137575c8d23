// Package timeline keeps the recent events of a process and merges those of
// several processes into one causal order.
package timeline

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Attribute keys that become fields of an event.
const (
	AttrRequestID = "request_id"
	AttrRunID     = "run_id"
	AttrTeam      = "team"
)

const (
	defaultSize  = 8192 // events
	defaultLimit = 1000 // events of one answer
)

// Options configure a Ring.
type Options struct {
	Process  string // role and incarnation
	Capacity int    // events kept; default 8192
	Clock    *hlc.Clock
	Now      func() time.Time // default time.Now
	Logger   *slog.Logger     // receives a line per event; nil writes none
}

// Ring keeps the latest events of a process. It is safe for concurrent use.
type Ring struct {
	process string
	clock   *hlc.Clock
	now     func() time.Time
	log     *slog.Logger

	mu    sync.Mutex
	size  int
	buf   []wire.TimelineEvent
	total int64 // events recorded so far
}

// New returns an empty Ring.
func New(o Options) *Ring {
	if o.Capacity <= 0 {
		o.Capacity = defaultSize
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Clock == nil {
		o.Clock = &hlc.Clock{}
	}
	return &Ring{process: o.Process, clock: o.Clock, now: o.Now, log: o.Logger, size: o.Capacity}
}

// Record adds an event and logs it at level info. Attributes must be free of
// secrets and prompt text.
func (r *Ring) Record(name string, attrs ...slog.Attr) {
	r.RecordAtLevel(slog.LevelInfo, name, attrs...)
}

// RecordAtLevel adds an event and logs it at a level. The line carries the stamp of
// the event.
func (r *Ring) RecordAtLevel(level slog.Level, name string, attrs ...slog.Attr) {
	e := r.add(name, attrs)
	if r.log == nil {
		return
	}
	line := append([]slog.Attr{slog.String("hlc", e.Stamp.String())}, attrs...)
	r.log.LogAttrs(context.Background(), level, name, line...)
}

// Append adds an event that is complete but for its process and stamp. It does
// not log.
func (r *Ring) Append(e wire.TimelineEvent) {
	e.Process = r.process
	r.push(e)
}

func (r *Ring) add(name string, attrs []slog.Attr) wire.TimelineEvent {
	e := wire.TimelineEvent{Process: r.process, Name: name}
	for _, a := range attrs {
		setAttr(&e, a)
	}
	return r.push(e)
}

func (r *Ring) push(e wire.TimelineEvent) wire.TimelineEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock, so that ring order is stamp order.
	e.Stamp = r.clock.Now(r.now())
	if len(r.buf) < r.size {
		r.buf = append(r.buf, e)
	} else {
		r.buf[r.total%int64(r.size)] = e
	}
	r.total++
	return e
}

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

// Query returns the latest events that match, oldest first. Dropped counts the
// events that the ring has overwritten.
func (r *Ring) Query(q wire.TimelineQuery) wire.TimelineResult {
	limit := q.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []wire.TimelineEvent
	kept := int64(len(r.buf))
	for i := r.total - 1; i >= r.total-kept && len(found) < limit; i-- {
		if e := r.buf[i%int64(r.size)]; matches(e, q) {
			found = append(found, e)
		}
	}
	for i, j := 0, len(found)-1; i < j; i, j = i+1, j-1 {
		found[i], found[j] = found[j], found[i]
	}
	return wire.TimelineResult{Events: found, Dropped: r.total - kept}
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
