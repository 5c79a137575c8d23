// Package run implements the sidecar's run table. The table decides which runs
// are accepted, buffers their responses, counts their tokens and keeps their
// records until they are durable. The package performs no I/O. A Table is not
// safe for concurrent use.
package run

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Limits are the limits of a Table.
type Limits struct {
	MaxRuns                int           // runs in progress
	MaxRunBytes            int64         // buffered response of one run
	MaxBytes               int64         // buffered responses of all runs
	RunRetention           time.Duration // how long responses and run IDs are kept after the run has ended
	ServiceCallIDRetention time.Duration // how long the IDs of service calls that must not be repeated are kept
	OrphanTimeout          time.Duration // how long a run that cannot be resumed continues without a reader
}

// DefaultLimits returns the default limits. The limits on buffered responses
// leave enough memory for the rest of a sidecar process of 64 MB.
func DefaultLimits() Limits {
	return Limits{
		MaxRuns:                256,
		MaxRunBytes:            4 << 20,
		MaxBytes:               16 << 20,
		RunRetention:           15 * time.Minute,
		ServiceCallIDRetention: 24 * time.Hour,
		OrphanTimeout:          5 * time.Second,
	}
}

// Table holds the runs of one sidecar incarnation, which is one start of the
// sidecar process.
type Table struct {
	limits        Limits
	target        string
	sidecar       string // incarnation
	configVersion int64  // highest version observed
	draining      bool

	runs             map[string]*entry          // by run ID
	byIdentity       map[ledger.Identity]*entry // latest run of an identity
	activeRuns       map[string]*entry          // runs in progress by run ID
	unackedRuns      []*entry                   // ended, record not known to be durable; in the order in which the runs ended
	ackedRuns        []*entry                   // response still buffered; in order of acknowledgment
	tombstonedRunIDs map[string]bool            // IDs of runs that must never start
	fencedHolders    map[string]bool            // holders whose runs must not start
	latestForgotten  map[string]hlc.Stamp       // by holder: latest stamp of a run that was forgotten
	bufferedBytes    int64
	sweptAt          time.Time // when Expire last examined the ended runs
}

// entry is a run. Once its response is dropped and its record is acknowledged,
// it only serves to reject repeats and its pointers are nil. Such entries must
// be small, because those of service calls are kept for a day.
type entry struct {
	identity    ledger.Identity
	runID       string
	holder      string
	contentHash string
	stamp       hlc.Stamp
	repeatable  bool // another run of the same identity may follow if this one fails

	start           *wire.StartRun // without Body
	meter           *Meter
	end             *wire.RunEnd
	startedAt       time.Time
	chunks          []wire.RunChunk
	bufferedBytes   int64
	ended           bool
	endedAt         time.Time
	outcome         ledger.Outcome
	errorKind       errkind.Kind
	acked           bool
	responseDropped bool // the response is no longer buffered
	readers         int
	detachedAt      time.Time // when the last reader left; the start of the run if there was none
}

// New returns an empty table for the given target and sidecar incarnation.
func New(limits Limits, target, sidecar string) *Table {
	return &Table{
		limits:           limits,
		target:           target,
		sidecar:          sidecar,
		runs:             map[string]*entry{},
		byIdentity:       map[ledger.Identity]*entry{},
		activeRuns:       map[string]*entry{},
		tombstonedRunIDs: map[string]bool{},
		fencedHolders:    map[string]bool{},
		latestForgotten:  map[string]hlc.Stamp{},
	}
}

// SetDraining sets whether new runs are refused.
func (t *Table) SetDraining(draining bool) { t.draining = draining }

// Draining reports whether new runs are refused.
func (t *Table) Draining() bool { return t.draining }

// ObserveConfigVersion raises the least configuration version with which runs
// are accepted to v, unless it is higher already.
func (t *Table) ObserveConfigVersion(v int64) { t.configVersion = max(t.configVersion, v) }

// ConfigVersion returns the highest configuration version observed.
func (t *Table) ConfigVersion() int64 { return t.configVersion }

// ActiveCount returns the number of runs in progress.
func (t *Table) ActiveCount() int { return len(t.activeRuns) }

// BufferedBytes returns the estimated memory of all buffered responses.
func (t *Table) BufferedBytes() int64 { return t.bufferedBytes }

// Accepted is the result of Start.
type Accepted struct {
	RunID    string
	Existing bool // RunID names a known run of the same identity; no new run was started
}

// Start accepts a run, or returns an error if the run was not started. It
// returns the existing run if the run ID is known, or if the latest run of the
// identity is in progress or must not be repeated.
func (t *Table) Start(now time.Time, s wire.StartRun) (Accepted, error) {
	if t.tombstonedRunIDs[s.RunID] {
		return Accepted{}, errkind.New(errkind.Tombstoned, "run %s", s.RunID)
	}
	if e, ok := t.runs[s.RunID]; ok {
		return t.resolveRepeat(e, s)
	}
	if e, ok := t.byIdentity[s.Identity]; ok && (e.ownsIdentity() || e.contentHash != s.ContentHash) {
		return t.resolveRepeat(e, s)
	}
	if err := t.admissionError(s); err != nil {
		return Accepted{}, err
	}
	e := newEntry(now, s)
	t.runs[s.RunID] = e
	t.activeRuns[s.RunID] = e
	t.byIdentity[s.Identity] = e
	return Accepted{RunID: s.RunID}, nil
}

func newEntry(now time.Time, s wire.StartRun) *entry {
	s.Body = nil
	meter := NewMeter(s)
	return &entry{
		identity:    s.Identity,
		runID:       s.RunID,
		holder:      s.Holder,
		contentHash: s.ContentHash,
		stamp:       s.Stamp,
		repeatable:  s.Kind != wire.ServiceRun || s.Idempotent,
		start:       &s,
		meter:       &meter,
		startedAt:   now,
		detachedAt:  now,
	}
}

// resolveRepeat decides about a start that refers to the known run e.
func (t *Table) resolveRepeat(e *entry, s wire.StartRun) (Accepted, error) {
	if e.identity != s.Identity || e.contentHash != s.ContentHash {
		return Accepted{}, errkind.New(errkind.IdempotencyConflict, "key is used by run %s", e.runID)
	}
	if e.responseDropped {
		return Accepted{}, errkind.New(errkind.Tombstoned, "run %s has ended and its answer is no longer kept", e.runID)
	}
	return Accepted{RunID: e.runID, Existing: true}, nil
}

// admissionError returns an error if a new run must not start.
func (t *Table) admissionError(s wire.StartRun) error {
	latest, ok := t.latestForgotten[s.Holder]
	switch {
	case t.fencedHolders[s.Holder]:
		return errkind.New(errkind.Fenced, "holder %s", s.Holder)
	case ok && s.Stamp != (hlc.Stamp{}) && !latest.Before(s.Stamp):
		return errkind.New(errkind.Tombstoned, "run %s is older than the runs still known", s.RunID)
	case t.draining:
		return errkind.New(errkind.Draining, "target %s", t.target)
	case s.ConfigVersion < t.configVersion:
		return errkind.New(errkind.StaleConfig, "version %d is older than %d", s.ConfigVersion, t.configVersion)
	case s.Suspect && t.suspectInProgress():
		return errkind.New(errkind.Overloaded, "another suspect of a crash is in progress")
	case len(t.activeRuns) >= t.limits.MaxRuns:
		return errkind.New(errkind.Overloaded, "%d runs in progress", len(t.activeRuns))
	case t.bufferedBytes >= t.limits.MaxBytes:
		return errkind.New(errkind.Overloaded, "answer buffers are full")
	}
	return nil
}

// suspectInProgress reports whether a run suspected of a crash is in progress.
// Only one suspect may run at a time: routers do not know each other's suspects,
// and if one crashes the target, the others would be blamed too.
func (t *Table) suspectInProgress() bool {
	for _, e := range t.activeRuns {
		if e.start.Suspect {
			return true
		}
	}
	return false
}

// ownsIdentity reports whether the run blocks a new run of its identity: it is in
// progress, its response can be read, or it is a service call that must not be
// repeated and may have run at the target.
func (e *entry) ownsIdentity() bool {
	if !e.ended {
		return true
	}
	switch e.outcome {
	case ledger.Complete, ledger.Capped:
		return !e.responseDropped || !e.repeatable
	}
	return !e.repeatable && e.errorKind != errkind.NoTarget
}

// Attach looks up a run. If the run is not known and a.Tombstone is set, it
// marks the run ID as one that must never start. The mark lasts as long as the
// sidecar incarnation.
func (t *Table) Attach(a wire.AttachRun) wire.AttachRunResult {
	if _, ok := t.runs[a.RunID]; !ok && a.Tombstone && a.RunID != "" {
		t.tombstonedRunIDs[a.RunID] = true
	}
	e := t.findRun(a)
	if e == nil {
		return wire.AttachRunResult{Sidecar: t.sidecar}
	}
	return wire.AttachRunResult{
		Known:       true,
		Active:      !e.ended,
		Expired:     e.responseDropped,
		RunID:       e.runID,
		Holder:      e.holder,
		ContentHash: e.contentHash,
		Sidecar:     t.sidecar,
	}
}

// findRun returns the run that a names, or else the run that blocks new runs of
// its identity. It returns nil if there is neither.
func (t *Table) findRun(a wire.AttachRun) *entry {
	if e, ok := t.runs[a.RunID]; ok && e.identity == a.Identity {
		return e
	}
	e, ok := t.byIdentity[a.Identity]
	if !ok || !e.ownsIdentity() {
		return nil
	}
	return e
}

// Fence refuses all further runs of the holder. It returns the holder's runs in
// progress and its records that are not known to be durable.
func (t *Table) Fence(holder string) wire.FenceHolderResult {
	t.fencedHolders[holder] = true
	out := wire.FenceHolderResult{Sidecar: t.sidecar, Records: []ledger.Record{}, Active: []string{}}
	for _, e := range t.unackedRuns {
		if e.holder == holder {
			out.Records = append(out.Records, e.end.Record)
		}
	}
	for id, e := range t.activeRuns {
		if e.holder == holder {
			out.Active = append(out.Active, id)
		}
	}
	return out
}
