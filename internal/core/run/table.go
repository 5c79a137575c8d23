// Package run is the sidecar's run table. It decides which runs are accepted,
// buffers their answers, accounts their tokens and keeps their records until
// they are durable. It performs no I/O; a Table must not be used concurrently.
package run

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Limits bound the table.
type Limits struct {
	MaxRuns            int           // runs in progress
	MaxRunBytes        int64         // buffered answer of one run
	MaxBytes           int64         // buffered answers of all runs
	RunRetention       time.Duration // answers and run ids are kept this long after the end
	ServiceIDRetention time.Duration // ids of service calls that must not be repeated are kept this long
	OrphanTimeout      time.Duration // a run that cannot be resumed continues this long without a reader
}

// DefaultLimits returns the limits that the design names, and memory bounds
// that leave room in a process of 64 MB.
func DefaultLimits() Limits {
	return Limits{
		MaxRuns:            256,
		MaxRunBytes:        4 << 20,
		MaxBytes:           16 << 20,
		RunRetention:       15 * time.Minute,
		ServiceIDRetention: 24 * time.Hour,
		OrphanTimeout:      5 * time.Second,
	}
}

// Table holds the runs of one sidecar incarnation.
type Table struct {
	limits   Limits
	target   string
	sidecar  string // incarnation
	version  int64  // highest configuration version seen
	draining bool

	runs       map[string]*entry          // by run id
	byIdentity map[ledger.Identity]*entry // latest run of an identity
	active     map[string]*entry
	unacked    []*entry // ended, in order of their end
	acked      []*entry // in order of acknowledgement, answer still kept
	tombstones map[string]bool
	fenced     map[string]bool      // holders
	forgotten  map[string]hlc.Stamp // by holder: latest start whose run id is no longer kept
	bytes      int64
	sweptAt    time.Time // ended runs were last examined by Expire
}

// entry is a run. Once its answer is dropped and its record acknowledged, it
// only rejects repetitions, and the pointers are nil: ids of service calls are
// kept for a day, so their entries must be small.
type entry struct {
	identity   ledger.Identity
	runID      string
	holder     string
	hash       string // of the content
	stamp      hlc.Stamp
	repeatable bool // a failed run may be repeated under its identity

	start      *wire.StartRun // without body
	meter      *Meter
	end        *wire.RunEnd
	startedAt  time.Time
	chunks     []wire.RunChunk
	bytes      int64
	ended      bool
	endedAt    time.Time
	outcome    ledger.Outcome
	kind       errkind.Kind
	acked      bool
	dropped    bool // the answer is no longer kept
	readers    int
	detachedAt time.Time // of the last reader; the start until one attached
}

// New returns an empty table for a target and a sidecar incarnation.
func New(limits Limits, target, sidecar string) *Table {
	return &Table{
		limits:     limits,
		target:     target,
		sidecar:    sidecar,
		runs:       map[string]*entry{},
		byIdentity: map[ledger.Identity]*entry{},
		active:     map[string]*entry{},
		tombstones: map[string]bool{},
		fenced:     map[string]bool{},
		forgotten:  map[string]hlc.Stamp{},
	}
}

// SetDraining sets whether new runs are refused.
func (t *Table) SetDraining(draining bool) { t.draining = draining }

// Draining reports whether new runs are refused.
func (t *Table) Draining() bool { return t.draining }

// ObserveConfigVersion raises the configuration version under which runs must start.
func (t *Table) ObserveConfigVersion(v int64) { t.version = max(t.version, v) }

// ConfigVersion returns the highest configuration version seen.
func (t *Table) ConfigVersion() int64 { return t.version }

// ActiveCount returns the number of runs in progress.
func (t *Table) ActiveCount() int { return len(t.active) }

// BufferedBytes returns the size of all buffered answers.
func (t *Table) BufferedBytes() int64 { return t.bytes }

// Accepted is the result of Start.
type Accepted struct {
	RunID    string
	Existing bool // the run or its identity was known; nothing new is to be run
}

// Start accepts a run or refuses it with an error that means "not run".
// A run id that is known, and an identity whose run is in progress or may not
// be repeated, yield the existing run.
func (t *Table) Start(now time.Time, s wire.StartRun) (Accepted, error) {
	if t.tombstones[s.RunID] {
		return Accepted{}, errkind.New(errkind.Tombstoned, "run %s", s.RunID)
	}
	if e, ok := t.runs[s.RunID]; ok {
		return t.repeated(e, s)
	}
	if e, ok := t.byIdentity[s.Identity]; ok && (e.holdsIdentity() || e.hash != s.ContentHash) {
		return t.repeated(e, s)
	}
	if err := t.refuse(s); err != nil {
		return Accepted{}, err
	}
	e := newEntry(now, s)
	t.runs[s.RunID] = e
	t.active[s.RunID] = e
	t.byIdentity[s.Identity] = e
	return Accepted{RunID: s.RunID}, nil
}

func newEntry(now time.Time, s wire.StartRun) *entry {
	s.Body = nil
	meter := NewMeter(s)
	return &entry{
		identity:   s.Identity,
		runID:      s.RunID,
		holder:     s.Holder,
		hash:       s.ContentHash,
		stamp:      s.Stamp,
		repeatable: s.Kind != wire.ServiceRun || s.Idempotent,
		start:      &s,
		meter:      &meter,
		startedAt:  now,
		detachedAt: now,
	}
}

func (t *Table) repeated(e *entry, s wire.StartRun) (Accepted, error) {
	if e.identity != s.Identity || e.hash != s.ContentHash {
		return Accepted{}, errkind.New(errkind.IdempotencyConflict, "key is used by run %s", e.runID)
	}
	if e.dropped {
		return Accepted{}, errkind.New(errkind.Tombstoned, "run %s has ended and its answer is no longer kept", e.runID)
	}
	return Accepted{RunID: e.runID, Existing: true}, nil
}

func (t *Table) refuse(s wire.StartRun) error {
	late, ok := t.forgotten[s.Holder]
	switch {
	case t.fenced[s.Holder]:
		return errkind.New(errkind.Fenced, "holder %s", s.Holder)
	case ok && s.Stamp != (hlc.Stamp{}) && !late.Before(s.Stamp):
		return errkind.New(errkind.Tombstoned, "run %s is older than the runs still known", s.RunID)
	case t.draining:
		return errkind.New(errkind.Draining, "target %s", t.target)
	case s.ConfigVersion < t.version:
		return errkind.New(errkind.StaleConfig, "version %d is older than %d", s.ConfigVersion, t.version)
	case s.Suspect && t.runsSuspect():
		return errkind.New(errkind.Overloaded, "another suspect of a crash is in progress")
	case len(t.active) >= t.limits.MaxRuns:
		return errkind.New(errkind.Overloaded, "%d runs in progress", len(t.active))
	case t.bytes >= t.limits.MaxBytes:
		return errkind.New(errkind.Overloaded, "answer buffers are full")
	}
	return nil
}

// runsSuspect reports whether a suspect is in progress. Routers do not know each
// other's suspects, and a second one would be blamed for the crash of the first.
func (t *Table) runsSuspect() bool {
	for _, e := range t.active {
		if e.start.Suspect {
			return true
		}
	}
	return false
}

// holdsIdentity reports whether the run stands for its identity. A run that
// did not deliver an answer makes room for another attempt, except for a
// service call that may have run and must not be repeated.
func (e *entry) holdsIdentity() bool {
	if !e.ended {
		return true
	}
	switch e.outcome {
	case ledger.Complete, ledger.Capped:
		return !e.dropped || !e.repeatable
	}
	return !e.repeatable && e.kind != errkind.NoTarget
}

// Attach answers a question for a run. It leaves a tombstone if asked to and
// the run is not known; a tombstone lasts as long as the incarnation.
func (t *Table) Attach(a wire.AttachRun) wire.AttachRunResult {
	if _, ok := t.runs[a.RunID]; !ok && a.Tombstone && a.RunID != "" {
		t.tombstones[a.RunID] = true
	}
	e := t.find(a)
	if e == nil {
		return wire.AttachRunResult{Sidecar: t.sidecar}
	}
	return wire.AttachRunResult{
		Known:       true,
		Active:      !e.ended,
		Expired:     e.dropped,
		RunID:       e.runID,
		Holder:      e.holder,
		ContentHash: e.hash,
		Sidecar:     t.sidecar,
	}
}

func (t *Table) find(a wire.AttachRun) *entry {
	if e, ok := t.runs[a.RunID]; ok && e.identity == a.Identity {
		return e
	}
	e, ok := t.byIdentity[a.Identity]
	if !ok || !e.holdsIdentity() {
		return nil
	}
	return e
}

// Fence promises that no run of the holder starts any more. It returns the
// holder's runs in progress and the records that are not known to be durable.
func (t *Table) Fence(holder string) wire.FenceHolderResult {
	t.fenced[holder] = true
	out := wire.FenceHolderResult{Sidecar: t.sidecar, Records: []ledger.Record{}, Active: []string{}}
	for _, e := range t.unacked {
		if e.holder == holder {
			out.Records = append(out.Records, e.end.Record)
		}
	}
	for id, e := range t.active {
		if e.holder == holder {
			out.Active = append(out.Active, id)
		}
	}
	return out
}
