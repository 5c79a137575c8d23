// Package quarantine decides which requests are refused because they crash the
// targets that run them.
package quarantine

import "time"

// A request is quarantined when it reaches one of these limits.
const (
	MaxCrashes      = 3 // target crashes with the request in flight
	MaxAloneCrashes = 2 // target crashes of which the request is the only suspect
)

const (
	suspectRetention    = 1 * time.Hour  // a suspect is forgotten after this time without a further crash
	quarantineRetention = 24 * time.Hour // a request stays quarantined for this time after the last report
	maxEntries          = 10_000         // suspect and quarantined requests
)

// Key identifies a request by its content rather than by its idempotency key,
// because a caller may repeat the request under another key.
type Key struct {
	Team        string
	ContentHash string
}

// Crash is a report of a target crash with the request in flight.
type Crash struct {
	Key
	// ID identifies the crash. Reports with the same ID count once, even if several
	// routers report the crash or several runs of the request were in flight.
	ID string
	// Alone says that the request is the only suspect of the crash: no other was in
	// flight, or it was the only one in flight that an earlier crash had made suspect.
	Alone bool
}

// entry is a quarantined request or a suspect, which is a request that was in flight
// at a crash and that has not reached a limit.
type entry struct {
	crashes      map[string]bool // by crash ID; true if a report said Alone
	quarantined  bool
	lastReportAt time.Time
}

// Tracker tracks crash reports by request. It is not safe for concurrent use.
type Tracker struct {
	entries   map[Key]*entry
	explained map[string]Key // by crash ID: a quarantined request that was reported for the crash
}

// NewTracker returns a tracker without reports.
func NewTracker() *Tracker {
	return &Tracker{entries: map[Key]*entry{}, explained: map[string]Key{}}
}

// Report records a crash. It returns true if the request is quarantined because
// of this report. A crash that a quarantined request explains does not count against
// a request that was in flight with it.
func (t *Tracker) Report(now time.Time, c Crash) (newlyQuarantined bool) {
	if culprit, ok := t.explained[c.ID]; ok && culprit != c.Key && !c.Alone {
		return false
	}
	e := t.getOrCreate(now, c.Key)
	e.crashes[c.ID] = e.crashes[c.ID] || c.Alone
	e.lastReportAt = now
	if e.quarantined {
		t.explain(c.ID, c.Key)
		return false
	}
	aloneCrashes := 0
	for _, alone := range e.crashes {
		if alone {
			aloneCrashes++
		}
	}
	e.quarantined = len(e.crashes) >= MaxCrashes || aloneCrashes >= MaxAloneCrashes
	if e.quarantined {
		t.explainAll(c.Key, e)
	}
	return e.quarantined
}

// explainAll attributes all crashes of a quarantined request to it.
func (t *Tracker) explainAll(culprit Key, e *entry) {
	for id := range e.crashes {
		t.explain(id, culprit)
	}
}

// explain attributes a crash to a quarantined request and removes it from the requests
// that were in flight with it. Those without another crash are no suspects any more.
func (t *Tracker) explain(crashID string, culprit Key) {
	t.explained[crashID] = culprit
	for k, e := range t.entries {
		alone, ok := e.crashes[crashID]
		if !ok || alone || e.quarantined {
			continue
		}
		delete(e.crashes, crashID)
		if len(e.crashes) == 0 {
			delete(t.entries, k)
		}
	}
}

// Quarantine marks a request as quarantined, as another router has decided.
func (t *Tracker) Quarantine(now time.Time, k Key) {
	e := t.getOrCreate(now, k)
	e.quarantined = true
	e.lastReportAt = now
	t.explainAll(k, e)
}

// Quarantined reports whether the request is quarantined.
func (t *Tracker) Quarantined(now time.Time, k Key) bool {
	e := t.unexpired(now, k)
	return e != nil && e.quarantined
}

// Suspect reports whether the request was in flight when a target crashed, or is
// quarantined.
func (t *Tracker) Suspect(now time.Time, k Key) bool {
	return t.unexpired(now, k) != nil
}

// Clear forgets a suspect that has since run without a crash. It returns false if
// the request is not a suspect or is quarantined.
func (t *Tracker) Clear(k Key) bool {
	e := t.entries[k]
	if e == nil || e.quarantined {
		return false
	}
	delete(t.entries, k)
	return true
}

// unexpired returns the entry of a request, or nil if there is none or it has
// expired.
func (t *Tracker) unexpired(now time.Time, k Key) *entry {
	e := t.entries[k]
	if e == nil || e.expired(now) {
		return nil
	}
	return e
}

func (e *entry) expired(now time.Time) bool {
	retention := suspectRetention
	if e.quarantined {
		retention = quarantineRetention
	}
	return now.Sub(e.lastReportAt) > retention
}

// getOrCreate returns the unexpired entry of a request, or a new one.
func (t *Tracker) getOrCreate(now time.Time, k Key) *entry {
	if e := t.unexpired(now, k); e != nil {
		return e
	}
	t.remove(k)
	if len(t.entries) >= maxEntries {
		t.evict(now)
	}
	e := &entry{crashes: map[string]bool{}, lastReportAt: now}
	t.entries[k] = e
	return e
}

// evict removes all expired entries. If there are none, it removes the entry with
// the oldest last report.
func (t *Tracker) evict(now time.Time) {
	var oldest Key
	var oldestAt time.Time
	for k, e := range t.entries {
		if e.expired(now) {
			t.remove(k)
			continue
		}
		if oldestAt.IsZero() || e.lastReportAt.Before(oldestAt) {
			oldest, oldestAt = k, e.lastReportAt
		}
	}
	if len(t.entries) >= maxEntries {
		t.remove(oldest)
	}
}

// remove forgets a request and the crashes that it explains.
func (t *Tracker) remove(k Key) {
	e := t.entries[k]
	if e == nil {
		return
	}
	for id := range e.crashes {
		if t.explained[id] == k {
			delete(t.explained, id)
		}
	}
	delete(t.entries, k)
}
