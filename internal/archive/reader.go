package archive

import (
	"cmp"
	"context"
	"encoding/json"
	"iter"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// rowPage is the number of rows read at once. It keeps a page of long segments
// below the largest answer of the platform and bounds memory.
const rowPage = 100

// Reader reads the records of the ledger from rows and archived objects.
type Reader struct {
	Table   platform.Table
	Objects Objects
	// OnUnreadable is called for a row or an object whose content is damaged, and
	// reading continues. If it is nil, reading ends with the error.
	OnUnreadable func(name string, err error)
}

// Records yields each stored record that the query selects exactly once, in no
// particular order. It ends after the first error.
//
// Rows are read before the index: a segment that is archived in between was
// seen as a row, or its index row was written before the index is read. The
// keys of the rows seen tell which segments of an object were already yielded.
func (r Reader) Records(ctx context.Context, q ledger.Query) iter.Seq2[ledger.Record, error] {
	return r.records(ctx, q, nil)
}

func (r Reader) records(ctx context.Context, q ledger.Query, floor func() int64) iter.Seq2[ledger.Record, error] {
	return func(yield func(ledger.Record, error) bool) {
		for s, err := range r.segments(ctx, q, floor) {
			if err != nil {
				yield(ledger.Record{}, err)
				return
			}
			for _, rec := range s.Records {
				if q.Match(rec) && !yield(rec, nil) {
					return
				}
			}
		}
	}
}

// Latest yields the selected records like Records, but reads the objects whose
// records ended last first, and none whose records ended before floor, which
// may rise meanwhile.
func (r Reader) Latest(ctx context.Context, q ledger.Query, floor func() int64) iter.Seq2[ledger.Record, error] {
	return r.records(ctx, q, floor)
}

func (r Reader) segments(ctx context.Context, q ledger.Query, floor func() int64) iter.Seq2[ledger.Segment, error] {
	return func(yield func(ledger.Segment, error) bool) {
		seen := map[string]bool{}
		for row, err := range scan(ctx, r.Table, rowPrefix(q)) {
			if err != nil {
				yield(ledger.Segment{}, err)
				return
			}
			seen[row.Key] = true
			s, err := segmentOf(row.Value, row.Key)
			if !r.pass(s, row.Key, err, yield) {
				return
			}
		}
		for index, err := range r.matching(ctx, q, floor) {
			if err != nil {
				yield(ledger.Segment{}, err)
				return
			}
			if !r.object(ctx, index, seen, yield) {
				return
			}
		}
	}
}

// matching yields the index rows whose objects may hold a selected record, in
// key order without a floor.
func (r Reader) matching(ctx context.Context, q ledger.Query, floor func() int64) iter.Seq2[ledger.ArchiveRow, error] {
	return func(yield func(ledger.ArchiveRow, error) bool) {
		var found []ledger.ArchiveRow
		for index, err := range r.index(ctx, indexPrefix(q)) {
			switch {
			case err != nil:
				yield(index, err)
				return
			case !q.MayContain(index):
			case floor != nil:
				found = append(found, index)
			case !yield(index, nil):
				return
			}
		}
		slices.SortFunc(found, func(a, b ledger.ArchiveRow) int { return cmp.Compare(b.LastUS, a.LastUS) })
		for _, index := range found {
			if index.LastUS < floor() || !yield(index, nil) {
				return
			}
		}
	}
}

// pass yields a segment, or reports that it is damaged.
func (r Reader) pass(s ledger.Segment, name string, err error, yield func(ledger.Segment, error) bool) bool {
	if err != nil && r.OnUnreadable != nil {
		r.OnUnreadable(name, err)
		return true
	}
	return yield(s, err) && err == nil
}

// object yields the segments of an object that were not seen as rows.
func (r Reader) object(ctx context.Context, index ledger.ArchiveRow, seen map[string]bool, yield func(ledger.Segment, error) bool) bool {
	content, err := fetch(ctx, r.Objects, index)
	if err != nil {
		return r.damaged(index, err, yield)
	}
	read := ledger.ArchiveRow{Teams: map[string]ledger.TeamSum{}}
	for s, err := range content.segments() {
		if err != nil {
			return r.damaged(index, err, yield)
		}
		read.AddSegment(s)
		if !seen[s.Key()] && !yield(s, nil) {
			return false
		}
	}
	if err := index.Check(read); err != nil {
		return r.pass(ledger.Segment{}, index.Object, err, yield)
	}
	return true
}

// damaged ends reading if the platform cannot be reached, because the records
// read so far would look complete.
func (r Reader) damaged(index ledger.ArchiveRow, err error, yield func(ledger.Segment, error) bool) bool {
	if unreachable(err) {
		yield(ledger.Segment{}, err)
		return false
	}
	return r.pass(ledger.Segment{}, index.Object, err, yield)
}

// HolderIndex yields the index rows of a holder, ordered by sequence number.
func (r Reader) HolderIndex(ctx context.Context, holder string) iter.Seq2[ledger.ArchiveRow, error] {
	return r.index(ctx, ledger.ArchiveHolderPrefix(holder))
}

func (r Reader) index(ctx context.Context, prefix string) iter.Seq2[ledger.ArchiveRow, error] {
	return func(yield func(ledger.ArchiveRow, error) bool) {
		for row, err := range scan(ctx, r.Table, prefix) {
			var index ledger.ArchiveRow
			if err == nil {
				err = decodeIndex(row, &index)
				if err != nil && r.OnUnreadable != nil {
					r.OnUnreadable(row.Key, err)
					continue
				}
			}
			if !yield(index, err) || err != nil {
				return
			}
		}
	}
}

func decodeIndex(row platform.Row, index *ledger.ArchiveRow) error {
	if err := json.Unmarshal(row.Value, index); err != nil {
		return unreadable(err, row.Key)
	}
	return nil
}

// RunIDs yields the run ids in the object of an index row.
func (r Reader) RunIDs(ctx context.Context, index ledger.ArchiveRow) iter.Seq2[string, error] {
	return func(yield func(string, error) bool) {
		content, err := fetch(ctx, r.Objects, index)
		if err != nil {
			yield("", err)
			return
		}
		for s, err := range content.segments() {
			if err != nil {
				yield("", err)
				return
			}
			for _, rec := range s.Records {
				if !yield(rec.RunID, nil) {
					return
				}
			}
		}
	}
}

func rowPrefix(q ledger.Query) string {
	if q.Holder == "" {
		return ledger.Prefix
	}
	return ledger.HolderSegmentPrefix(q.Holder)
}

func indexPrefix(q ledger.Query) string {
	if q.Holder == "" {
		return ledger.ArchivePrefix
	}
	return ledger.ArchiveHolderPrefix(q.Holder)
}

// scan yields the rows with a prefix, a page at a time.
func scan(ctx context.Context, table platform.Table, prefix string) iter.Seq2[platform.Row, error] {
	return func(yield func(platform.Row, error) bool) {
		after := ""
		for {
			page, err := table.Scan(ctx, prefix, after, rowPage)
			if err != nil {
				yield(platform.Row{}, err)
				return
			}
			for _, row := range page {
				if !yield(row, nil) {
					return
				}
			}
			if len(page) < rowPage {
				return
			}
			after = page[len(page)-1].Key
		}
	}
}
