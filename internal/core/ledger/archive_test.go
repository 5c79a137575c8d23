package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an object that exceeds its limits, an object with a segment that
// is too recent or not confirmed as stored, and totals that differ from the
// records.
func TestArchiveBuilder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		criteria := ArchiveCriteria{
			Holder: "h", LastSeq: rapid.Int64Range(0, 8).Draw(t, "last"), EndedBefore: rapid.Int64Range(0, 7).Draw(t, "before"),
			MaxSegments: rapid.IntRange(1, 5).Draw(t, "most"), MaxBytes: rapid.IntRange(1, 40).Draw(t, "bytes"),
		}
		builder := NewArchiveBuilder(criteria)
		var taken []Record
		lineBytes, segments := 0, 0
		for seq := int64(1); seq <= 9; seq++ {
			s := Segment{Holder: "h", Seq: seq, Records: drawRecords(t)}
			size := rapid.IntRange(1, 20).Draw(t, "size")
			if !builder.TryAdd(s, size) {
				break
			}
			taken = append(taken, s.Records...)
			lineBytes += size
			segments++
		}
		row := builder.Row()
		assert.Assert(t, row.Last <= criteria.LastSeq && segments <= criteria.MaxSegments && (lineBytes <= criteria.MaxBytes || segments == 1))
		assert.Equal(t, row.Records, len(taken))
		charged, billable := map[string]int64{}, map[string]int64{}
		for _, r := range taken {
			assert.Assert(t, r.EndedUS < criteria.EndedBefore)
			charged[r.Team] += r.Charged
			if r.Billable() {
				billable[r.Team] += r.Charged
			}
			q := Query{Teams: []string{r.Team}, FromUS: r.EndedUS, ToUS: r.EndedUS + 1}
			assert.Assert(t, q.Match(r) && q.MayContain(row), "the query does not find the object of %+v", r)
		}
		for team, sum := range row.Teams {
			assert.Assert(t, sum.Charged == charged[team] && sum.Billable == billable[team])
		}
		assert.Assert(t, !(Query{Teams: []string{"c"}}).MayContain(row))
		assert.NilError(t, row.Check(row))
	})
}

// Guards against pages that repeat or miss a record, and against a run that is
// billed on some pages and not on others.
func TestPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := drawRecords(t)
		for i := range runs {
			runs[i].EndedUS *= RepeatWindow.Microseconds() / 3
		}
		reference := detectRepeats(runs, runs)
		size := rapid.IntRange(1, 7).Draw(t, "size")
		var after *Cursor
		seen := map[string]bool{}
		for {
			page := NewPage(size, after)
			for _, r := range runs {
				page.Add(r)
			}
			listed := page.Records()
			detector := detectRepeats(listed, runs)
			for _, r := range listed {
				assert.Assert(t, !seen[r.RunID])
				seen[r.RunID] = true
				assert.Equal(t, detector.IsBilled(r), reference.IsBilled(r))
			}
			if len(listed) < size {
				break
			}
			c, err := ParseCursor(CursorOf(listed[size-1]).String())
			assert.NilError(t, err)
			after = &c
		}
		assert.Equal(t, len(seen), len(runs))
	})
}

// detectRepeats returns a detector for runs that is given only the records which
// its Query selects.
func detectRepeats(runs, all []Record) *RepeatDetector {
	d := NewRepeatDetector(runs)
	q, ok := d.Query()
	for _, r := range all {
		if ok && q.Match(r) {
			d.Add(r)
		}
	}
	return d
}
