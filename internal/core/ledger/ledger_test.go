package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func records(t *rapid.T) []Record {
	outcomes := []Outcome{Complete, Capped, Failed, Crashed, Canceled, Lost}
	n := rapid.IntRange(0, 30).Draw(t, "runs")
	out := make([]Record, n)
	for i := range out {
		out[i] = Record{
			Identity: Identity{
				Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
				Key:  rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key"),
			},
			RunID: fmt.Sprint("r", i), Holder: "h", Reserved: 100,
			Charged: rapid.Int64Range(0, 100).Draw(t, "charged"),
			Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
			EndedUS: rapid.Int64Range(0, 5).Draw(t, "ended"),
		}
	}
	return out
}

// Guards against an identity with two bills, a charge that appears on no line,
// and a fold that depends on the order in which routers stored the records.
func TestFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := records(t)
		book := Summarize(runs)
		shuffled := Summarize(rapid.Permutation(runs).Draw(t, "order"))
		assert.DeepEqual(t, shuffled, book)
		charged := map[string]int64{}
		for _, r := range runs {
			charged[r.Team] += r.Charged
		}
		assert.Equal(t, len(book.Check(charged)), 0)
		seen := map[Identity]bool{}
		for _, b := range book.Bills {
			assert.Assert(t, !seen[b.Identity], "two bills for %v", b.Identity)
			seen[b.Identity] = true
			checkFirst(t, b, runs)
		}
	})
}

func checkFirst(t *rapid.T, b Bill, runs []Record) {
	for _, r := range runs {
		if r.Identity != b.Identity || !r.Billable() {
			continue
		}
		earlier := r.EndedUS < b.EndedUS || (r.EndedUS == b.EndedUS && r.RunID < b.RunID)
		assert.Assert(t, b.RunID != "" && !earlier, "run %s precedes bill %+v", r.RunID, b)
	}
}

// Guards against checks that pass over a run stored twice, a wrong settled sum
// or a charge beyond its reservation.
func TestChecksFindFaults(t *testing.T) {
	r := Record{Identity: Identity{"a", "k"}, RunID: "r", Holder: "h", Reserved: 5, Charged: 5, Outcome: Complete}
	assert.Equal(t, len(Summarize([]Record{r, r}).Check(map[string]int64{"a": 5})), 1)
	assert.Equal(t, len(Summarize([]Record{r}).Check(map[string]int64{"a": 4})), 1)
	assert.Equal(t, len(Summarize([]Record{r}).Check(map[string]int64{"a": 5, "b": 1})), 1)
	r.Charged = 6
	assert.Equal(t, len(CheckRecords([]Record{r})), 1)
}
