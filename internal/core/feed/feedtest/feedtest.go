// Package feedtest makes histories of watched tables, and the answers in which a source may
// deliver them, for tests of views.
package feedtest

import (
	"maps"
	"math/rand/v2"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/era"
	"tarragonridge.example/tarragonridge/internal/core/feed"
)

// Bounds of a history.
const (
	maxRowsPerWrite = 3
	maxAnswerWrites = 6
)

// History is what was written to a table. A restore from an older copy begins a new era, whose
// log begins with what the copy has.
type History[V any] struct {
	eras []log[V]
}

// log is what was written in an era and what its copy had, as lists of the rows of a version.
type log[V any] struct {
	era    int64
	copied int // writes of the copy
	writes [][]feed.Change[V]
}

// New returns a history of writes whose rows are those of draw, of which some are removed again,
// with a number of restores.
func New[V any](r *rand.Rand, writes, restores int, draw func() feed.Change[V]) History[V] {
	var h History[V]
	current := log[V]{era: 1}
	for e := range restores + 1 {
		for range writes {
			current.write(r, draw)
		}
		h.eras = append(h.eras, current)
		kept := r.IntN(len(current.writes) + 1)
		current = log[V]{era: int64(e + 2), copied: kept, writes: slices.Clone(current.writes[:kept])}
	}
	return h
}

func (l *log[V]) write(r *rand.Rand, draw func() feed.Change[V]) {
	version := era.Version{Era: l.era, Number: int64(len(l.writes) + 1)}
	present := l.rows(len(l.writes))
	rows := map[string]feed.Change[V]{}
	for range 1 + r.IntN(maxRowsPerWrite) {
		row := draw()
		if _, ok := present[row.Key]; ok && r.IntN(2) == 0 {
			row = feed.Change[V]{Key: row.Key, Removed: true}
		}
		row.Version = version
		rows[row.Key] = row
	}
	var write []feed.Change[V]
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		write = append(write, rows[key])
	}
	l.writes = append(l.writes, write)
}

// rows returns the rows that are there after some writes.
func (l log[V]) rows(writes int) map[string]feed.Change[V] {
	rows := map[string]feed.Change[V]{}
	for _, write := range l.writes[:writes] {
		for _, row := range write {
			if row.Removed {
				delete(rows, row.Key)
			} else {
				row.Version.Era = l.era // as a reader of this era sees it
				rows[row.Key] = row
			}
		}
	}
	return rows
}

// answer returns the changes of some writes.
func (l log[V]) answer(from, to int) feed.Changes[V] {
	c := feed.Changes[V]{Version: era.Version{Era: l.era, Number: int64(to)}}
	for _, write := range l.writes[from:to] {
		for _, row := range write {
			row.Version.Era = l.era
			c.Rows = append(c.Rows, row)
		}
	}
	return c
}

// complete returns all rows, those up to a key as of an earlier write than the others.
func (l log[V]) complete(first, second int, split string) feed.Changes[V] {
	c := feed.Changes[V]{Version: era.Version{Era: l.era, Number: int64(first)}, Complete: true}
	for page, rows := range []map[string]feed.Change[V]{l.rows(first), l.rows(second)} {
		for _, key := range slices.Sorted(maps.Keys(rows)) {
			if (key > split) == (page == 1) {
				c.Rows = append(c.Rows, rows[key])
			}
		}
	}
	return c
}

// Single returns answers that hold one write each. All rows are read at the start and after
// each restore.
func (h History[V]) Single() (answers []feed.Changes[V]) {
	for _, l := range h.eras {
		answers = append(answers, l.complete(l.copied, l.copied, ""))
		for at := l.copied; at < len(l.writes); at++ {
			answers = append(answers, l.answer(at, at+1))
		}
	}
	return answers
}

// Final returns an answer with all rows as they are in the end.
func (h History[V]) Final() feed.Changes[V] {
	l := h.eras[len(h.eras)-1]
	return l.complete(len(l.writes), len(l.writes), "")
}

// Cut returns answers that divide the history otherwise: some hold many writes, some are read
// again, and between them all rows are read, page by page while others write.
func (h History[V]) Cut(r *rand.Rand) (answers []feed.Changes[V]) {
	for e, l := range h.eras {
		end := len(l.writes)
		at := l.copied + r.IntN(end-l.copied+1)
		answers = append(answers, l.complete(at, at, ""))
		if e < len(h.eras)-1 {
			end = at + r.IntN(end-at+1) // what follows is not read before the restore
		}
		for at < end {
			next := min(at+1+r.IntN(maxAnswerWrites), end)
			switch r.IntN(5) {
			case 0: // read again
				answers = append(answers, l.answer(max(at-r.IntN(maxAnswerWrites), 0), next))
				at = next
			case 1: // all rows, in two pages
				answers = append(answers, l.complete(at, next, string(rune('a'+r.IntN(26)))))
			case 2: // a part that is read again, from which the feed goes on
				at = max(at-r.IntN(maxAnswerWrites), 0)
				next = min(at+1+r.IntN(maxAnswerWrites), end)
				fallthrough
			default:
				answers = append(answers, l.answer(at, next))
				at = next
			}
		}
		if r.IntN(2) == 0 {
			answers = append(answers, l.complete(end, end, ""))
		}
	}
	return answers
}
