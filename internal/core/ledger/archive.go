package ledger

import (
	"fmt"
	"maps"
	"slices"
)

// ArchivePrefix is the key prefix of all index rows.
const ArchivePrefix = "archive/"

// ArchiveRow is the index row of one archive object. The transaction that writes
// it also deletes the rows of the segments in the object. So each segment is
// stored either in a row or in exactly one indexed object.
type ArchiveRow struct {
	Holder   string             `json:"holder"`
	First    int64              `json:"first"` // sequence number of the first segment
	Last     int64              `json:"last"`  // sequence number of the last segment
	Object   string             `json:"object"`
	Digest   string             `json:"digest"` // of the object's lines
	Segments int                `json:"segments"`
	Records  int                `json:"records"`
	FirstUS  int64              `json:"first_us"` // earliest end of a run, Unix time in microseconds
	LastUS   int64              `json:"last_us"`  // latest end of a run
	Teams    map[string]TeamSum `json:"teams"`
}

// TeamSum holds the totals of one team's records in an object.
type TeamSum struct {
	Records  int   `json:"records"`
	Charged  int64 `json:"charged"`  // tokens
	Billable int64 `json:"billable"` // tokens charged for billable runs
}

// Key returns the key under which the index row is stored.
func (a ArchiveRow) Key() string {
	return fmt.Sprintf("%s%012d", ArchiveHolderPrefix(a.Holder), a.Last)
}

// ArchiveHolderPrefix returns the key prefix of a holder's index rows.
func ArchiveHolderPrefix(holder string) string { return ArchivePrefix + holder + "/" }

// ObjectName returns the name of the object with the given digest. The name
// depends only on the segments, so if an object was written but its index row
// was not, a retry overwrites the object.
func (a ArchiveRow) ObjectName(digest string) string {
	return fmt.Sprintf("%s%s/%012d-%012d-%s.jsonl.gz", Prefix, a.Holder, a.First, a.Last, digest)
}

// ArchiveCriteria determine which segments may go into an object.
type ArchiveCriteria struct {
	Holder      string
	LastSeq     int64 // last segment that the holder knows to be stored
	EndedBefore int64 // Unix time in microseconds; a segment with a run that ended at or after it stays a row
	MaxSegments int
	MaxBytes    int // of the lines; an object with a single segment may exceed it
}

// ArchiveBuilder collects the leading segments of a holder for one object.
type ArchiveBuilder struct {
	criteria  ArchiveCriteria
	row       ArchiveRow
	lineBytes int // size of the segments' lines
}

// NewArchiveBuilder returns a builder without segments.
func NewArchiveBuilder(criteria ArchiveCriteria) *ArchiveBuilder {
	return &ArchiveBuilder{criteria: criteria, row: ArchiveRow{Holder: criteria.Holder, Teams: map[string]TeamSum{}}}
}

// TryAdd adds the next segment, whose line has the given size in bytes. It
// returns false if the segment has to stay a row or to go into another object, or
// if it is out of order or of another holder. After TryAdd has returned false, no
// later segment may be added.
func (b *ArchiveBuilder) TryAdd(s Segment, size int) bool {
	if s.Holder != b.criteria.Holder || s.Seq <= b.row.Last || s.Seq > b.criteria.LastSeq {
		return false
	}
	for _, r := range s.Records {
		if r.EndedUS >= b.criteria.EndedBefore {
			return false
		}
	}
	full := b.row.Segments >= b.criteria.MaxSegments || b.lineBytes+size > b.criteria.MaxBytes
	if full && b.row.Segments > 0 {
		return false
	}
	b.lineBytes += size
	b.row.AddSegment(s)
	return true
}

// Row returns the index row of the added segments, without Object and Digest.
func (b *ArchiveBuilder) Row() ArchiveRow { return b.row }

// AddSegment adds a segment to the totals of the index row. Teams must not be nil.
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

// Check returns an error if the index row differs in its sequence numbers, counts
// or sums by team from found, which is computed from the segments in the object.
// It does not compare the times, the object's name or its digest.
func (a ArchiveRow) Check(found ArchiveRow) error {
	if found.First != a.First || found.Last != a.Last || found.Segments != a.Segments || found.Records != a.Records {
		return fmt.Errorf("object %s holds %d segments (%d to %d) with %d records, its index row says %d (%d to %d) with %d",
			a.Object, found.Segments, found.First, found.Last, found.Records, a.Segments, a.First, a.Last, a.Records)
	}
	if !maps.Equal(found.Teams, a.Teams) {
		return fmt.Errorf("object %s: sums by team are %v, its index row says %v", a.Object, found.Teams, a.Teams)
	}
	return nil
}

// Query selects records. A field with its zero value matches all records.
type Query struct {
	Teams     []string
	RequestID string
	Holder    string
	FromUS    int64 // selects runs that ended at or after this Unix time in microseconds
	ToUS      int64 // selects runs that ended before this Unix time in microseconds
}

// Match reports whether the query selects the record.
func (q Query) Match(r Record) bool {
	return (len(q.Teams) == 0 || slices.Contains(q.Teams, r.Team)) &&
		(q.RequestID == "" || r.RequestID == q.RequestID) &&
		(q.Holder == "" || r.Holder == q.Holder) &&
		r.EndedUS >= q.FromUS && (q.ToUS == 0 || r.EndedUS < q.ToUS)
}

// MayContain reports whether the object of an index row may contain a record
// that the query selects.
func (q Query) MayContain(a ArchiveRow) bool {
	if (q.Holder != "" && a.Holder != q.Holder) || a.LastUS < q.FromUS || (q.ToUS != 0 && a.FirstUS >= q.ToUS) {
		return false
	}
	return len(q.Teams) == 0 || slices.ContainsFunc(q.Teams, func(team string) bool { return a.Teams[team].Records > 0 })
}
