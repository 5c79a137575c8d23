package ledger

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RepeatWindow is the time after the end of a billable run in which another run
// with the same key counts as its repeat. The charge of a repeat is lost. Keys
// are kept for 24 h; one more hour allows for clock skew. The window also limits
// which earlier records decide whether a run is billed, so a query for a period
// need not read all records before it.
const RepeatWindow = 25 * time.Hour

// AttemptWindow replaces RepeatWindow for a request without an idempotency key.
// Its runs are attempts to serve one call, which takes less than 10 min.
const AttemptWindow = 15 * time.Minute

// repeatWindowUS returns the window that applies to a run, in microseconds. The
// key of a request without an idempotency key is its request ID.
func repeatWindowUS(r Record) int64 {
	if r.Key == r.RequestID {
		return AttemptWindow.Microseconds()
	}
	return RepeatWindow.Microseconds()
}

// Cursor is the position of a record in a list that starts with the latest record.
type Cursor struct {
	EndedUS int64
	RunID   string
}

// CursorOf returns the position of a record.
func CursorOf(r Record) Cursor { return Cursor{EndedUS: r.EndedUS, RunID: r.RunID} }

// String returns the cursor in the opaque format that ParseCursor reads.
func (c Cursor) String() string {
	return base64.RawURLEncoding.EncodeToString([]byte(strconv.FormatInt(c.EndedUS, 10) + " " + c.RunID))
}

// ParseCursor parses the result of Cursor.String.
func ParseCursor(text string) (Cursor, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Cursor{}, fmt.Errorf("malformed cursor: %w", err)
	}
	endedUS, runID, ok := strings.Cut(string(raw), " ")
	us, err := strconv.ParseInt(endedUS, 10, 64)
	if !ok || err != nil || runID == "" {
		return Cursor{}, fmt.Errorf("malformed cursor")
	}
	return Cursor{EndedUS: us, RunID: runID}, nil
}

// Page collects the latest records that come after a cursor in a list that starts
// with the latest record. It holds at most twice as many records as it returns.
type Page struct {
	after   *Cursor
	size    int
	records []Record
}

// NewPage returns an empty page for at most size records. If after is nil, the
// page starts with the latest record.
func NewPage(size int, after *Cursor) *Page { return &Page{after: after, size: size} }

// Add adds a record, which later records may displace from the page.
func (p *Page) Add(r Record) {
	if p.after != nil && compareByEnd(r, Record{EndedUS: p.after.EndedUS, RunID: p.after.RunID}) >= 0 {
		return
	}
	p.records = append(p.records, r)
	if len(p.records) >= 2*p.size {
		p.truncate()
	}
}

// truncate sorts the records and discards those that do not fit on the page.
func (p *Page) truncate() {
	slices.SortFunc(p.records, func(a, b Record) int { return compareByEnd(b, a) })
	p.records = p.records[:min(p.size, len(p.records))]
}

// Records returns the records of the page, latest first.
func (p *Page) Records() []Record {
	p.truncate()
	return p.records
}

// MinEndUS returns the earliest end time with which a record can still be added
// to the page, as Unix time in microseconds, or 0 while the page is not full. It
// rises as records are added.
func (p *Page) MinEndUS() int64 {
	p.truncate()
	if len(p.records) < p.size {
		return 0
	}
	return p.records[p.size-1].EndedUS
}

// RepeatDetector decides which runs of a set are billed. A billable run is billed
// unless it is a repeat: another billable run of its identity ended before it and
// within RepeatWindow, or AttemptWindow for a request without an idempotency key.
type RepeatDetector struct {
	byIdentity map[Identity][]Record // billable runs of the set
	repeats    map[string]bool       // by run ID
}

// NewRepeatDetector returns a detector for a set of runs. Before IsBilled is
// called, all records that Query selects must be passed to Add.
func NewRepeatDetector(runs []Record) *RepeatDetector {
	d := &RepeatDetector{byIdentity: map[Identity][]Record{}, repeats: map[string]bool{}}
	for _, r := range runs {
		if r.Billable() {
			d.byIdentity[r.Identity] = append(d.byIdentity[r.Identity], r)
		}
	}
	return d
}

// Query returns a query for the records that decide which runs are billed. ok is
// false if no records are needed.
func (d *RepeatDetector) Query() (q Query, ok bool) {
	first, last := int64(0), int64(0)
	for id, runs := range d.byIdentity {
		if !slices.Contains(q.Teams, id.Team) {
			q.Teams = append(q.Teams, id.Team)
		}
		for _, r := range runs {
			if from := r.EndedUS - repeatWindowUS(r); !ok || from < first {
				first = from
			}
			if !ok || r.EndedUS > last {
				last = r.EndedUS
			}
			ok = true
		}
	}
	q.FromUS = max(0, first)
	q.ToUS = last + 1
	return q, ok
}

// Add marks the runs of the set that repeat the run of record r.
func (d *RepeatDetector) Add(r Record) {
	if !r.Billable() {
		return
	}
	for _, run := range d.byIdentity[r.Identity] {
		if compareByEnd(r, run) < 0 && run.EndedUS-r.EndedUS < repeatWindowUS(run) {
			d.repeats[run.RunID] = true
		}
	}
}

// IsBilled reports whether a run of the set is billed.
func (d *RepeatDetector) IsBilled(r Record) bool { return r.Billable() && !d.repeats[r.RunID] }
