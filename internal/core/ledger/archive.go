package ledger

import (
	"fmt"
	"maps"
	"slices"
)

// ArchivePrefix is the prefix of the keys of all index rows.
const ArchivePrefix = "archive/"

// ArchiveRow is the index row of one archived object. The transaction that writes
// it deletes the rows of the segments that the object holds, so each segment
// is either a row or part of exactly one indexed object.
type ArchiveRow struct {
	Holder   string             `json:"holder"`
	First    int64              `json:"first"` // sequence number of the first segment
	Last     int64              `json:"last"`  // sequence number of the last segment
	Object   string             `json:"object"`
	Digest   string             `json:"digest"` // of the lines of the object
	Segments int                `json:"segments"`
	Records  int                `json:"records"`
	FirstUS  int64              `json:"first_us"` // earliest end of a run, unix time in microseconds
	LastUS   int64              `json:"last_us"`  // latest end of a run
	Teams    map[string]TeamSum `json:"teams"`
}

// TeamSum sums the records of one team in an object.
type TeamSum struct {
	Records  int   `json:"records"`
	Charged  int64 `json:"charged"`  // tokens
	Billable int64 `json:"billable"` // tokens charged by runs that delivered an answer
}

// Key returns the key of the index row.
func (a ArchiveRow) Key() string {
	return fmt.Sprintf("%s%012d", ArchiveHolderPrefix(a.Holder), a.Last)
}

// ArchiveHolderPrefix returns the prefix of the keys of a holder's index rows.
func ArchiveHolderPrefix(holder string) string { return ArchivePrefix + holder + "/" }

// ObjectName returns the name of the object with the given digest. The same
// segments always have the same name, so an object that was written without
// its index row is written again under its name.
func (a ArchiveRow) ObjectName(digest string) string {
	return fmt.Sprintf("%s%s/%012d-%012d-%s.jsonl.gz", Prefix, a.Holder, a.First, a.Last, digest)
}

// ArchiveCriteria says which segments may go into an object.
type ArchiveCriteria struct {
	Holder      string
	LastSeq     int64 // last segment that its writer knows to be stored
	EndedBefore int64 // unix time in microseconds; segments with a later run stay rows
	MaxSegments int
	MaxBytes    int // of the lines; a single segment may exceed it
}

// ArchiveBuilder collects the leading segments of a holder for one object.
type ArchiveBuilder struct {
	rule  ArchiveCriteria
	index ArchiveRow
	bytes int
}

// NewArchiveBuilder returns an empty pack.
func NewArchiveBuilder(rule ArchiveCriteria) *ArchiveBuilder {
	return &ArchiveBuilder{rule: rule, index: ArchiveRow{Holder: rule.Holder, Teams: map[string]TeamSum{}}}
}

// TryAdd adds the next segment, whose line has the given size in bytes. It
// returns false if the segment stays a row or has to go into another object;
// no later segment may be taken then.
func (p *ArchiveBuilder) TryAdd(s Segment, size int) bool {
	if s.Holder != p.rule.Holder || s.Seq <= p.index.Last || s.Seq > p.rule.LastSeq {
		return false
	}
	for _, r := range s.Records {
		if r.EndedUS >= p.rule.EndedBefore {
			return false
		}
	}
	full := p.index.Segments >= p.rule.MaxSegments || p.bytes+size > p.rule.MaxBytes
	if full && p.index.Segments > 0 {
		return false
	}
	p.bytes += size
	p.index.AddSegment(s)
	return true
}

// Row returns the index row of the segments taken, without object and digest.
func (p *ArchiveBuilder) Row() ArchiveRow { return p.index }

// AddSegment adds a segment to the sums of the index row. Teams must not be nil.
func (a *ArchiveRow) AddSegment(s Segment) {
	if a.Segments == 0 {
		a.First = s.Seq
	}
	a.Last = s.Seq
	a.Segments++
	for _, r := range s.Records {
		if a.Records == 0 {
			a.FirstUS, a.LastUS = r.EndedUS, r.EndedUS
		}
		a.FirstUS = min(a.FirstUS, r.EndedUS)
		a.LastUS = max(a.LastUS, r.EndedUS)
		a.Records++
		sum := a.Teams[r.Team]
		sum.Records++
		sum.Charged += r.Charged
		if r.Billable() {
			sum.Billable += r.Charged
		}
		a.Teams[r.Team] = sum
	}
}

// Check compares the index row with the row of the segments that were read from
// its object.
func (a ArchiveRow) Check(read ArchiveRow) error {
	if read.First != a.First || read.Last != a.Last || read.Segments != a.Segments || read.Records != a.Records {
		return fmt.Errorf("object %s holds %d segments (%d to %d) with %d records, its index row says %d (%d to %d) with %d",
			a.Object, read.Segments, read.First, read.Last, read.Records, a.Segments, a.First, a.Last, a.Records)
	}
	if !maps.Equal(read.Teams, a.Teams) {
		return fmt.Errorf("object %s: sums by team are %v, its index row says %v", a.Object, read.Teams, a.Teams)
	}
	return nil
}

// Query selects records. Zero fields match all.
type Query struct {
	Teams     []string
	RequestID string
	Holder    string
	FromUS    int64 // earliest end of a run, unix time in microseconds
	ToUS      int64 // the end of a run is before it
}

// Match reports whether the query selects a record.
func (q Query) Match(r Record) bool {
	return (len(q.Teams) == 0 || slices.Contains(q.Teams, r.Team)) &&
		(q.RequestID == "" || r.RequestID == q.RequestID) &&
		(q.Holder == "" || r.Holder == q.Holder) &&
		r.EndedUS >= q.FromUS && (q.ToUS == 0 || r.EndedUS < q.ToUS)
}

// MayContain reports whether the object of an index row can hold a record that
// the query selects.
func (q Query) MayContain(a ArchiveRow) bool {
	if (q.Holder != "" && a.Holder != q.Holder) || a.LastUS < q.FromUS || (q.ToUS != 0 && a.FirstUS >= q.ToUS) {
		return false
	}
	return len(q.Teams) == 0 || slices.ContainsFunc(q.Teams, func(team string) bool { return a.Teams[team].Records > 0 })
}
