package feed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/era"
	"tarragonridge.example/tarragonridge/internal/core/feed"
	"tarragonridge.example/tarragonridge/internal/core/feed/feedtest"
)

// view is the simplest view: the rows.
func view(answers []feed.Changes[int]) map[string]int {
	var fold feed.Fold[int]
	rows := map[string]int{}
	for _, answer := range answers {
		for _, change := range fold.Next(answer) {
			if change.Removed {
				delete(rows, change.Key)
			} else {
				rows[change.Key] = change.Value
			}
		}
	}
	return rows
}

// Guards against a view that depends on how the feed was divided into answers, on what was
// read twice, or on a restore.
func TestViewDoesNotDependOnAnswers(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 0))
		history := feedtest.New(r, 20, r.IntN(3), func() feed.Change[int] {
			return feed.Change[int]{Key: fmt.Sprintf("%c", 'a'+r.IntN(6)), Value: r.Int()}
		})
		want := view(history.Single())
		assert.DeepEqual(t, want, view([]feed.Changes[int]{history.Final()}))
		assert.DeepEqual(t, view(history.Cut(r)), want)
	}
}

// Guards against changes that are applied twice, such as renewals that are counted again.
func TestNothingIsAppliedTwice(t *testing.T) {
	var fold feed.Fold[int]
	at := func(n int64) era.Version { return era.Version{Number: n} }
	row := feed.Change[int]{Key: "a", Value: 1, Version: at(1)}
	assert.Equal(t, len(fold.Next(feed.Changes[int]{Version: at(1), Complete: true, Rows: []feed.Change[int]{row}})), 1)
	assert.Equal(t, len(fold.Next(feed.Changes[int]{Version: at(1), Rows: []feed.Change[int]{row}})), 0)
	assert.Equal(t, len(fold.Next(feed.Changes[int]{Version: at(2), Complete: true, Rows: []feed.Change[int]{row}})), 0)
}

// Guards against a row of this process that the source has not delivered yet and that is
// taken for one that is gone, and against one that is gone and stays in the view.
func TestRowsOfThisProcess(t *testing.T) {
	var fold feed.Fold[int]
	at := func(n int64) era.Version { return era.Version{Number: n} }
	fold.Next(feed.Changes[int]{Version: at(1), Complete: true})
	fold.Written("own", at(5))
	assert.Equal(t, len(fold.Next(feed.Changes[int]{Version: at(4), Complete: true})), 0, "read before the write")
	own := feed.Change[int]{Key: "own", Version: at(5)}
	assert.Equal(t, len(fold.Next(feed.Changes[int]{Version: at(5), Rows: []feed.Change[int]{own}})), 1)
	fold.Written("lost", at(6))
	changes := fold.Next(feed.Changes[int]{Version: at(7), Complete: true, Rows: []feed.Change[int]{own}})
	assert.Assert(t, len(changes) == 1 && changes[0].Key == "lost" && changes[0].Removed, "%+v", changes)
}
