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

// rowPageSize is the number of rows read by one call. It bounds memory, and
// keeps a page of long segments below the largest response of the platform.
const rowPageSize = 100

// Reader reads the records of the ledger from segment rows and archived
// objects.
type Reader struct {
	Table   platform.Table
	Objects Objects
	// OnUnreadable is called with the name of a row or an object that is
	// damaged or missing, and reading continues. If OnUnreadable is nil,
	// reading ends with the error. If the platform cannot be reached, reading
	// always ends with the error.
	OnUnreadable func(name string, err error)
}

// Records yields each stored record that the query selects exactly once, in no
// particular order. It ends after the first error.
//
// Segment rows are read before the index rows: a segment that is archived
// meanwhile either was read as a row, or its index row was written before the
// index is read. The keys of the rows that were read tell which segments of an
// object have already been yielded.
func (r Reader) Records(ctx context.Context, q ledger.Query) iter.Seq2[ledger.Record, error] {
	return r.records(ctx, q, nil)
}

// records implements Records and Latest. minEndUS is nil for Records.
func (r Reader) records(ctx context.Context, q ledger.Query, minEndUS func() int64) iter.Seq2[ledger.Record, error] {
	return func(yield func(ledger.Record, error) bool) {
		for segment, err := range r.segments(ctx, q, minEndUS) {
			if err != nil {
				yield(ledger.Record{}, err)
				return
			}
			for _, rec := range segment.Records {
				if q.Match(rec) && !yield(rec, nil) {
					return
				}
			}
		}
	}
}

// Latest yields the selected records like Records, but reads the objects in
// descending order of the latest end of a run in them. It skips objects in
// which all runs ended before minEndUS, a unix time in microseconds. minEndUS is
// called before each object, and its result may increase from call to call.
func (r Reader) Latest(ctx context.Context, q ledger.Query, minEndUS func() int64) iter.Seq2[ledger.Record, error] {
	return r.records(ctx, q, minEndUS)
}

// segments yields the segments that may contain a selected record: first those
// in rows, then those in archived objects that were not read as rows.
func (r Reader) segments(ctx context.Context, q ledger.Query, minEndUS func() int64) iter.Seq2[ledger.Segment, error] {
	return func(yield func(ledger.Segment, error) bool) {
		rowsRead := map[string]bool{}
		for row, err := range scanRows(ctx, r.Table, segmentPrefix(q)) {
			if err != nil {
				yield(ledger.Segment{}, err)
				return
			}
			rowsRead[row.Key] = true
			segment, err := decodeSegment(row.Value, row.Key)
			if !r.yieldSegment(segment, row.Key, err, yield) {
				return
			}
		}
		for index, err := range r.indexesToRead(ctx, q, minEndUS) {
			if err != nil {
				yield(ledger.Segment{}, err)
				return
			}
			if !r.yieldObject(ctx, index, rowsRead, yield) {
				return
			}
		}
	}
}

// indexesToRead yields the index rows whose objects may contain a selected
// record. If minEndUS is nil, they are in key order, otherwise in the order of
// Latest.
func (r Reader) indexesToRead(ctx context.Context, q ledger.Query, minEndUS func() int64) iter.Seq2[ledger.ArchiveRow, error] {
	return func(yield func(ledger.ArchiveRow, error) bool) {
		var indexes []ledger.ArchiveRow
		for index, err := range r.indexRows(ctx, indexPrefix(q)) {
			switch {
			case err != nil:
				yield(index, err)
				return
			case !q.MayContain(index):
			case minEndUS != nil:
				indexes = append(indexes, index)
			case !yield(index, nil):
				return
			}
		}
		slices.SortFunc(indexes, func(a, b ledger.ArchiveRow) int { return cmp.Compare(b.LastUS, a.LastUS) })
		for _, index := range indexes {
			if index.LastUS < minEndUS() || !yield(index, nil) {
				return
			}
		}
	}
}

// yieldSegment yields a segment, or passes the error of a damaged one to
// OnUnreadable. It returns false if reading has to end.
func (r Reader) yieldSegment(segment ledger.Segment, name string, err error, yield func(ledger.Segment, error) bool) bool {
	if err != nil && r.OnUnreadable != nil {
		r.OnUnreadable(name, err)
		return true
	}
	return yield(segment, err) && err == nil
}

// yieldObject yields the segments of an object that were not read as rows, and
// compares the object with its index row. It returns false if reading has to end.
func (r Reader) yieldObject(ctx context.Context, index ledger.ArchiveRow, rowsRead map[string]bool, yield func(ledger.Segment, error) bool) bool {
	content, err := fetchObject(ctx, r.Objects, index)
	if err != nil {
		return r.handleObjectError(index, err, yield)
	}
	actual := ledger.ArchiveRow{Teams: map[string]ledger.TeamSum{}}
	for segment, err := range content.segments() {
		if err != nil {
			return r.handleObjectError(index, err, yield)
		}
		actual.AddSegment(segment)
		if !rowsRead[segment.Key()] && !yield(segment, nil) {
			return false
		}
	}
	if err := index.Check(actual); err != nil {
		return r.yieldSegment(ledger.Segment{}, index.Object, err, yield)
	}
	return true
}

// handleObjectError handles an object that cannot be read. It ends reading with
// the error if the platform cannot be reached, because otherwise the records
// read so far would look complete.
func (r Reader) handleObjectError(index ledger.ArchiveRow, err error, yield func(ledger.Segment, error) bool) bool {
	if isUnreachable(err) {
		yield(ledger.Segment{}, err)
		return false
	}
	return r.yieldSegment(ledger.Segment{}, index.Object, err, yield)
}

// HolderIndex yields the index rows of a holder, ordered by sequence number.
func (r Reader) HolderIndex(ctx context.Context, holder string) iter.Seq2[ledger.ArchiveRow, error] {
	return r.indexRows(ctx, ledger.ArchiveHolderPrefix(holder))
}

// indexRows yields the index rows with a key prefix.
func (r Reader) indexRows(ctx context.Context, prefix string) iter.Seq2[ledger.ArchiveRow, error] {
	return func(yield func(ledger.ArchiveRow, error) bool) {
		for row, err := range scanRows(ctx, r.Table, prefix) {
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
		return unreadableError(err, row.Key)
	}
	return nil
}

// RunIDs yields the ids of the runs whose records are in the object of an index
// row.
func (r Reader) RunIDs(ctx context.Context, index ledger.ArchiveRow) iter.Seq2[string, error] {
	return func(yield func(string, error) bool) {
		content, err := fetchObject(ctx, r.Objects, index)
		if err != nil {
			yield("", err)
			return
		}
		for segment, err := range content.segments() {
			if err != nil {
				yield("", err)
				return
			}
			for _, rec := range segment.Records {
				if !yield(rec.RunID, nil) {
					return
				}
			}
		}
	}
}

// segmentPrefix returns the key prefix of the segment rows that the query can
// select.
func segmentPrefix(q ledger.Query) string {
	if q.Holder == "" {
		return ledger.Prefix
	}
	return ledger.HolderSegmentPrefix(q.Holder)
}

// indexPrefix returns the key prefix of the index rows that the query can
// select.
func indexPrefix(q ledger.Query) string {
	if q.Holder == "" {
		return ledger.ArchivePrefix
	}
	return ledger.ArchiveHolderPrefix(q.Holder)
}

// scanRows yields the rows with a key prefix. It reads one page at a time.
func scanRows(ctx context.Context, table platform.Table, prefix string) iter.Seq2[platform.Row, error] {
	return func(yield func(platform.Row, error) bool) {
		after := ""
		for {
			page, err := table.Scan(ctx, prefix, after, rowPageSize)
			if err != nil {
				yield(platform.Row{}, err)
				return
			}
			for _, row := range page {
				if !yield(row, nil) {
					return
				}
			}
			if len(page) < rowPageSize {
				return
			}
			after = page[len(page)-1].Key
		}
	}
}
