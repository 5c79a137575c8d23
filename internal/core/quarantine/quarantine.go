// Package quarantine decides when a request is refused because it crashes the
// targets that run it.
package quarantine

import "time"

// Limits of the verdict.
const (
	MaxCrashes      = 3 // crashes with the request in flight
	MaxAloneCrashes = 2 // crashes that nothing else in flight explains
)

const (
	suspectFor    = 1 * time.Hour  // a suspect without a further crash is forgotten
	quarantineFor = 24 * time.Hour // a verdict is kept this long
	maxEntries    = 10_000
)

// Key names a request by its content, because the caller that sends it again
// may use another idempotency key.
type Key struct {
	Team        string
	ContentHash string
}

// Crash is a report of a target crash with the request in flight.
type Crash struct {
	Key
	// ID names the crash: all reports of one crash count once, whether several
	// routers report it or several runs of the request were in flight.
	ID    string
	Alone bool
}

type entry struct {
	crashes map[string]bool // crash id -> alone
	verdict bool
	last    time.Time
}

// Tracker collects crashes. It is not safe for concurrent use.
type Tracker struct {
	entries map[Key]*entry
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{entries: map[Key]*entry{}} }

// Report takes in a crash and reports whether the request is now, and was not
// before, quarantined.
func (t *Tracker) Report(now time.Time, c Crash) (newVerdict bool) {
	e := t.entry(now, c.Key)
	e.crashes[c.ID] = e.crashes[c.ID] || c.Alone
	e.last = now
	if e.verdict {
		return false
	}
	alone := 0
	for _, a := range e.crashes {
		if a {
			alone++
		}
	}
	e.verdict = len(e.crashes) >= MaxCrashes || alone >= MaxAloneCrashes
	return e.verdict
}

// Quarantine takes over a verdict of another router.
func (t *Tracker) Quarantine(now time.Time, k Key) {
	e := t.entry(now, k)
	e.verdict = true
	e.last = now
}

// Quarantined reports whether the request is refused.
func (t *Tracker) Quarantined(now time.Time, k Key) bool {
	e := t.current(now, k)
	return e != nil && e.verdict
}

// Suspect reports whether the request was in flight at a crash.
func (t *Tracker) Suspect(now time.Time, k Key) bool {
	return t.current(now, k) != nil
}

// Clear forgets a suspect whose run has ended well. It reports whether the
// request was a suspect.
func (t *Tracker) Clear(k Key) bool {
	e := t.entries[k]
	if e == nil || e.verdict {
		return false
	}
	delete(t.entries, k)
	return true
}

func (t *Tracker) current(now time.Time, k Key) *entry {
	e := t.entries[k]
	if e == nil || e.expired(now) {
		return nil
	}
	return e
}

func (e *entry) expired(now time.Time) bool {
	limit := suspectFor
	if e.verdict {
		limit = quarantineFor
	}
	return now.Sub(e.last) > limit
}

func (t *Tracker) entry(now time.Time, k Key) *entry {
	if e := t.current(now, k); e != nil {
		return e
	}
	if len(t.entries) >= maxEntries {
		t.evict(now)
	}
	e := &entry{crashes: map[string]bool{}, last: now}
	t.entries[k] = e
	return e
}

// evict drops expired entries, or else the oldest.
func (t *Tracker) evict(now time.Time) {
	var oldest Key
	var oldestAt time.Time
	for k, e := range t.entries {
		if e.expired(now) {
			delete(t.entries, k)
			continue
		}
		if oldestAt.IsZero() || e.last.Before(oldestAt) {
			oldest, oldestAt = k, e.last
		}
	}
	if len(t.entries) >= maxEntries {
		delete(t.entries, oldest)
	}
}
