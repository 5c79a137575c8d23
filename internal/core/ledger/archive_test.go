package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an object beyond its bounds, one with a segment that is too
// young or whose flush is not confirmed, and sums that differ from its records.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := ArchiveCriteria{
			Holder: "h", LastSeq: rapid.Int64Range(0, 8).Draw(t, "last"), EndedBefore: rapid.Int64Range(0, 7).Draw(t, "before"),
			MaxSegments: rapid.IntRange(1, 5).Draw(t, "most"), MaxBytes: rapid.IntRange(1, 40).Draw(t, "bytes"),
		}
		p := NewArchiveBuilder(rule)
		var taken []Record
		bytes, n := 0, 0
		for seq := int64(1); seq <= 9; seq++ {
			s := Segment{Holder: "h", Seq: seq, Records: records(t)}
			size := rapid.IntRange(1, 20).Draw(t, "size")
			if !p.TryAdd(s, size) {
				break
			}
			taken = append(taken, s.Records...)
			bytes += size
			n++
		}
		index := p.Row()
		assert.Assert(t, index.Last <= rule.LastSeq && n <= rule.MaxSegments && (bytes <= rule.MaxBytes || n == 1))
		assert.Equal(t, index.Records, len(taken))
		charged, billable := map[string]int64{}, map[string]int64{}
		for _, r := range taken {
			assert.Assert(t, r.EndedUS < rule.EndedBefore)
			charged[r.Team] += r.Charged
			if r.Billable() {
				billable[r.Team] += r.Charged
			}
			q := Query{Teams: []string{r.Team}, FromUS: r.EndedUS, ToUS: r.EndedUS + 1}
			assert.Assert(t, q.Match(r) && q.MayContain(index), "the index hides %+v", r)
		}
		for team, sum := range index.Teams {
			assert.Assert(t, sum.Charged == charged[team] && sum.Billable == billable[team])
		}
		assert.Assert(t, !(Query{Teams: []string{"c"}}).MayContain(index))
		assert.NilError(t, index.Check(index))
	})
}

// Guards against pages that repeat or miss a record, and against a run whose
// bill depends on the page or the period in which it is shown.
func TestPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := records(t)
		for i := range runs {
			runs[i].EndedUS *= RepeatWindow.Microseconds() / 3
		}
		whole := billsOf(runs, runs)
		size := rapid.IntRange(1, 7).Draw(t, "size")
		var after *Cursor
		seen := map[string]bool{}
		for {
			page := NewPage(size, after)
			for _, r := range runs {
				page.Add(r)
			}
			shown := page.Records()
			bills := billsOf(shown, runs)
			for _, r := range shown {
				assert.Assert(t, !seen[r.RunID])
				seen[r.RunID] = true
				assert.Equal(t, bills.IsBilled(r), whole.IsBilled(r))
			}
			if len(shown) < size {
				break
			}
			c, err := ParseCursor(CursorOf(shown[size-1]).String())
			assert.NilError(t, err)
			after = &c
		}
		assert.Equal(t, len(seen), len(runs))
	})
}

// billsOf decides with the records that the decision asks for and no others.
func billsOf(runs, all []Record) *RepeatDetector {
	b := NewRepeatDetector(runs)
	q, ok := b.Query()
	for _, r := range all {
		if ok && q.Match(r) {
			b.Add(r)
		}
	}
	return b
}
