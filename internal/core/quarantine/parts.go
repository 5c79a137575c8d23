package quarantine

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A prompt part is quarantined when it reaches one of these limits of successive
// crashes, if crashes without it are rare, and later otherwise (see evidence). Crashes are
// successive if each run was sent after the crash before, so that targets which fail together
// count once. Reports that do not tell when count as successive if the crash before was known.
const (
	MaxStrongCrashes = 3 // with strong reports
	MaxPartCrashes   = 5 // with any reports
)

// ProgressTime is how long an answer goes on after its first piece until its run has made
// progress. A target that crashes as it begins to write may get that far.
const ProgressTime = 250 * time.Millisecond

// MaxParts bounds the parts of a prompt that are reported at a crash.
const MaxParts = 32

// Bounds of the reports that are kept.
const (
	maxReportedParts   = 10_000
	maxReportsPerLevel = 8
	maxLevel           = 16
)

// Part identifies a part of a prompt and the model that reads it.
type Part uint64

// NewPart returns the part of a prompt with a name or text, as read by a model.
func NewPart(model, text string) Part {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(model) // never fails
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(text)
	return Part(hash.Sum64())
}

func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// NewRequest returns the identity of a whole request of a team, by the hash of its
// content. Reports about requests are kept apart from those about parts.
func NewRequest(team, contentHash string) Part { return NewPart(team, contentHash) }

// PartReport says that a run of a request with a prompt part was in flight at a target
// when it crashed, and had made no progress; or that a run of a whole request was in
// flight, whatever its progress.
type PartReport struct {
	Part  Part   `json:"part"`
	Crash uint64 `json:"crash"` // identifies the crash
	Level int    `json:"level"` // number of successive crashes, this one included
	Depth int    `json:"depth"` // number of parts before it in the prompt
	// Strong says that the run is likelier to have caused the crash than others: its
	// answer had begun, or no other run was in flight. Of a whole request it says that the
	// run had made no progress.
	Strong bool `json:"strong,omitempty"`
	// Progress is how long the answer had gone on after its first piece when the target
	// crashed. Only reports about whole requests have it.
	Progress time.Duration `json:"progress,omitempty"`
	// Request identifies the request of the run by its content; 0 if that is not told.
	Request Part `json:"request,omitempty"`
	// Chance is the share of runs that crashes break which the part is not at; 0 if that is
	// not told.
	Chance float64 `json:"chance,omitempty"`
	// SentMS and BrokeMS are when the run was sent and when it broke, in milliseconds of a clock
	// that all routers read; 0 if that is not told.
	SentMS  int64 `json:"sent,omitempty"`
	BrokeMS int64 `json:"broke,omitempty"`
}

// PartTracker tracks reports about prompt parts, or about whole requests. A part is sound,
// and its reports are forgotten, as soon as any run with it makes progress. Crashes that a
// quarantined part explains do not count against other parts. It is not safe for
// concurrent use.
type PartTracker struct {
	parts       map[Part]*reportedPart
	quarantined []Part
	// retention is how long a quarantined part stays so after its last report.
	retention time.Duration
}

// reportedPart is a part with reports.
type reportedPart struct {
	part         Part
	reports      []PartReport
	level        int // highest of the reports, as successive has them
	lastReportAt time.Time
}

// NewPartTracker returns a tracker of prompt parts without reports. Runs in progress show
// whether a quarantined part is sound, so it is tried again after suspectRetention.
func NewPartTracker() *PartTracker {
	return &PartTracker{parts: map[Part]*reportedPart{}, retention: suspectRetention}
}

// NewRequestTracker returns a tracker of whole requests without reports.
func NewRequestTracker() *PartTracker {
	return &PartTracker{parts: map[Part]*reportedPart{}, retention: quarantineRetention}
}

// Reported reports whether there are reports about any part.
func (t *PartTracker) Reported() bool { return len(t.parts) > 0 }

// Level returns the number of successive crashes that are known of a part.
func (t *PartTracker) Level(part Part) int {
	if p := t.parts[part]; p != nil {
		return p.level
	}
	return 0
}

// NextLevel returns the level of a report about a run that was sent at a level of the
// part. Runs that made progress since then have lowered the level.
func (t *PartTracker) NextLevel(part Part, levelWhenSent int) int {
	return min(levelWhenSent, t.Level(part)) + 1
}

// NextLevelBeside is NextLevel for a crash about which there may be reports already. They
// do not count.
func (t *PartTracker) NextLevelBeside(part Part, crash uint64, levelWhenSent int) int {
	level := 0
	reports := slices.DeleteFunc(slices.Clone(t.Reports(part)), func(r PartReport) bool { return r.Crash == crash })
	for _, known := range successive(reports) {
		level = max(level, known)
	}
	return min(levelWhenSent, level) + 1
}

// Report records a report. It returns false if the report is known or not needed.
func (t *PartTracker) Report(now time.Time, r PartReport) (recorded bool) {
	if r.Level < 1 || r.Level > maxLevel {
		return false
	}
	p := t.parts[r.Part]
	if p == nil {
		if len(t.parts) >= maxReportedParts {
			t.evict()
		}
		p = &reportedPart{part: r.Part}
		t.parts[r.Part] = p
	}
	sameLevel := 0
	for i, known := range p.reports {
		if known.Level != r.Level {
			continue
		}
		if known.Crash == r.Crash {
			if known.Strong || !r.Strong {
				return false
			}
			p.reports = slices.Delete(p.reports, i, i+1)
			break
		}
		sameLevel++
	}
	if sameLevel >= maxReportsPerLevel {
		return false
	}
	p.reports = append(p.reports, r)
	p.lastReportAt = now
	t.updateLevel(p)
	return true
}

// Put records a report as the table has it, in place of what is known about the same crash
// and level. It returns false if there was such a report.
func (t *PartTracker) Put(now time.Time, r PartReport) (added bool) {
	if p := t.parts[r.Part]; p != nil {
		i := slices.IndexFunc(p.reports, func(known PartReport) bool { return known.Crash == r.Crash && known.Level == r.Level })
		if i >= 0 {
			p.reports[i] = r
			t.updateLevel(p)
			return false
		}
	}
	return t.Report(now, r)
}

// Withdraw forgets one report, as another router has done.
func (t *PartTracker) Withdraw(part Part, crash uint64, level int) {
	p := t.parts[part]
	if p == nil {
		return
	}
	p.reports = slices.DeleteFunc(p.reports, func(r PartReport) bool { return r.Crash == crash && r.Level == level })
	if len(p.reports) == 0 {
		delete(t.parts, part)
	}
	t.updateLevel(p)
}

// updateLevel updates the level of a part whose reports have changed.
func (t *PartTracker) updateLevel(p *reportedPart) {
	before := p.level
	p.level = 0
	for _, level := range successive(p.reports) {
		p.level = max(p.level, level)
	}
	if max(before, p.level) >= MaxStrongCrashes {
		t.decide()
	}
}

// Clear forgets the reports about a part and returns them.
func (t *PartTracker) Clear(part Part) []PartReport { return t.ClearPassed(part, wholeAnswer) }

// wholeAnswer is more progress than any report has.
const wholeAnswer = time.Duration(math.MaxInt64)

// ClearPassed forgets and returns those reports about a part whose run a later one has
// outlasted by ProgressTime: it has got past the point at which the target crashed.
func (t *PartTracker) ClearPassed(part Part, progress time.Duration) (passed []PartReport) {
	p := t.parts[part]
	if p == nil {
		return nil
	}
	kept := p.reports[:0]
	for _, r := range p.reports {
		if progress-ProgressTime >= r.Progress {
			passed = append(passed, r)
		} else {
			kept = append(kept, r)
		}
	}
	if len(passed) == 0 {
		return nil
	}
	if p.reports = kept; len(kept) == 0 {
		delete(t.parts, part)
	}
	t.updateLevel(p)
	return passed
}

// Expired returns the parts whose last report is too old to matter.
func (t *PartTracker) Expired(now time.Time) (parts []Part) {
	for part, p := range t.parts {
		retention := suspectRetention
		if slices.Contains(t.quarantined, part) {
			retention = t.retention
		}
		if now.Sub(p.lastReportAt) > retention {
			parts = append(parts, part)
		}
	}
	return parts
}

// Reports returns the reports about a part.
func (t *PartTracker) Reports(part Part) []PartReport {
	if p := t.parts[part]; p != nil {
		return p.reports
	}
	return nil
}

// Requests returns the number of different requests whose runs the reports about a part count.
func (t *PartTracker) Requests(part Part) int {
	_, requests := evidence(t.Reports(part))
	return requests
}

// CrashesOf returns whether a crash is the given one or one that the reports about a part are
// about.
func (t *PartTracker) CrashesOf(part Part, crash uint64) func(crash uint64) bool {
	reports := t.Reports(part)
	return func(other uint64) bool {
		return other == crash || slices.ContainsFunc(reports, func(r PartReport) bool { return r.Crash == other })
	}
}

// Quarantined returns the parts that are quarantined.
func (t *PartTracker) Quarantined() []Part { return t.quarantined }

// Find returns the index of the first quarantined part, -1 if there is none.
func (t *PartTracker) Find(parts []Part) int {
	if len(t.quarantined) == 0 {
		return -1
	}
	return slices.IndexFunc(parts, func(part Part) bool { return slices.Contains(t.quarantined, part) })
}

// decide determines the quarantined parts. Of parts that were together at the same
// crashes it takes the one with most parts before it, which fewest requests have.
func (t *PartTracker) decide() {
	t.quarantined = nil
	var suspects []*reportedPart
	for _, p := range t.parts {
		if p.convicted(nil) {
			suspects = append(suspects, p)
		}
	}
	slices.SortFunc(suspects, func(a, b *reportedPart) int {
		return cmp.Or(cmp.Compare(b.depth(), a.depth()), cmp.Compare(len(b.reports), len(a.reports)), cmp.Compare(a.part, b.part))
	})
	var culprits []*reportedPart
	for _, p := range suspects {
		if p.convicted(culprits) {
			culprits = append(culprits, p)
		}
	}
	// A culprit may turn out to explain nothing that those found after it do not explain.
	for i := 0; i < len(culprits); {
		if others := slices.Delete(slices.Clone(culprits), i, i+1); culprits[i].explainedBy(others) {
			culprits = others
		} else {
			i++
		}
	}
	for _, p := range culprits {
		t.quarantined = append(t.quarantined, p.part)
	}
}

// convicted reports whether the crashes that no culprit explains suffice to quarantine
// the part.
func (p *reportedPart) convicted(culprits []*reportedPart) bool {
	if p.level < MaxStrongCrashes {
		return false
	}
	return convincing(slices.DeleteFunc(slices.Clone(p.reports), func(r PartReport) bool { return explains(culprits, r.Crash) }))
}

// explainedBy reports whether culprits explain all crashes of the part.
func (p *reportedPart) explainedBy(culprits []*reportedPart) bool {
	return !slices.ContainsFunc(p.reports, func(r PartReport) bool { return !explains(culprits, r.Crash) })
}

func explains(culprits []*reportedPart, crash uint64) bool {
	return slices.ContainsFunc(culprits, func(c *reportedPart) bool {
		return slices.ContainsFunc(c.reports, func(r PartReport) bool { return r.Crash == crash })
	})
}

func (p *reportedPart) depth() int { return p.reports[len(p.reports)-1].Depth }

// evict forgets the part with the oldest last report.
func (t *PartTracker) evict() {
	var oldest *reportedPart
	for _, p := range t.parts {
		if oldest == nil || p.lastReportAt.Before(oldest.lastReportAt) {
			oldest = p
		}
	}
	t.Clear(oldest.part)
}
