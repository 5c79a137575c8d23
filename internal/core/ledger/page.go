package ledger

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RepeatWindow is how long after a billable run another run of the same key
// counts as its repeat, whose charge is lost. Keys are kept for 24 h; one more
// hour covers the difference between clocks. With a bounded window, the bill of
// a run depends on no record that ended much earlier, so a query for a period
// need not read all records before it.
const RepeatWindow = 25 * time.Hour

// AttemptWindow is the same for a request without a key. Its runs are attempts
// for one caller, whose answer takes less than 10 min.
const AttemptWindow = 15 * time.Minute

// repeatWindow returns the window of a run in microseconds.
func repeatWindow(r Record) int64 {
	if r.Key == r.RequestID {
		return AttemptWindow.Microseconds()
	}
	return RepeatWindow.Microseconds()
}

// Cursor is the position of a record in the order latest first.
type Cursor struct {
	EndedUS int64
	RunID   string
}

// CursorOf returns the position of a record.
func CursorOf(r Record) Cursor { return Cursor{EndedUS: r.EndedUS, RunID: r.RunID} }

// String returns an opaque text that ParseCursor reads.
func (c Cursor) String() string {
	return base64.RawURLEncoding.EncodeToString([]byte(strconv.FormatInt(c.EndedUS, 10) + " " + c.RunID))
}

// ParseCursor reads the text of a cursor.
func ParseCursor(text string) (Cursor, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Cursor{}, fmt.Errorf("malformed cursor: %w", err)
	}
	at, run, ok := strings.Cut(string(raw), " ")
	us, err := strconv.ParseInt(at, 10, 64)
	if !ok || err != nil || run == "" {
		return Cursor{}, fmt.Errorf("malformed cursor")
	}
	return Cursor{EndedUS: us, RunID: run}, nil
}

// Page keeps the latest records that come after a cursor in the order latest
// first. It holds at most twice as many records as it returns.
type Page struct {
	after   *Cursor
	size    int
	records []Record
}

// NewPage returns an empty page. A nil cursor starts with the latest record.
func NewPage(size int, after *Cursor) *Page { return &Page{after: after, size: size} }

// Add offers a record to the page.
func (p *Page) Add(r Record) {
	if p.after != nil && compareRuns(r, Record{EndedUS: p.after.EndedUS, RunID: p.after.RunID}) >= 0 {
		return
	}
	p.records = append(p.records, r)
	if len(p.records) >= 2*p.size {
		p.cut()
	}
}

func (p *Page) cut() {
	slices.SortFunc(p.records, func(a, b Record) int { return compareRuns(b, a) })
	p.records = p.records[:min(p.size, len(p.records))]
}

// Records returns the records of the page, latest first.
func (p *Page) Records() []Record {
	p.cut()
	return p.records
}

// MinEndUS returns the earliest end of a run that can still enter the page, in
// unix microseconds. It rises while records are added.
func (p *Page) MinEndUS() int64 {
	p.cut()
	if len(p.records) < p.size {
		return 0
	}
	return p.records[p.size-1].EndedUS
}

// RepeatDetector decides which of some runs are billed. A billable run is billed unless
// an earlier billable run of its identity ended within RepeatWindow, or for a
// request without a key within AttemptWindow, before it.
type RepeatDetector struct {
	byIdentity map[Identity][]Record
	repeats    map[string]bool // by run id
}

// NewRepeatDetector returns the decision over the runs, which have to be told about all
// records that Query selects.
func NewRepeatDetector(runs []Record) *RepeatDetector {
	b := &RepeatDetector{byIdentity: map[Identity][]Record{}, repeats: map[string]bool{}}
	for _, r := range runs {
		if r.Billable() {
			b.byIdentity[r.Identity] = append(b.byIdentity[r.Identity], r)
		}
	}
	return b
}

// Query selects the records on which the decision depends. ok is false if it
// depends on none.
func (b *RepeatDetector) Query() (q Query, ok bool) {
	first, last := int64(0), int64(0)
	for id, runs := range b.byIdentity {
		if !slices.Contains(q.Teams, id.Team) {
			q.Teams = append(q.Teams, id.Team)
		}
		for _, r := range runs {
			if from := r.EndedUS - repeatWindow(r); !ok || from < first {
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

// Add tells about a record.
func (b *RepeatDetector) Add(r Record) {
	if !r.Billable() {
		return
	}
	for _, run := range b.byIdentity[r.Identity] {
		if compareRuns(r, run) < 0 && run.EndedUS-r.EndedUS < repeatWindow(run) {
			b.repeats[run.RunID] = true
		}
	}
}

// IsBilled reports whether a run of the decision is billed.
func (b *RepeatDetector) IsBilled(r Record) bool { return r.Billable() && !b.repeats[r.RunID] }
