// Package feed folds the answers of a watched table into single changes. However the
// source divides its log into answers, and whatever it reads again, a view to which the
// changes are applied one after the other ends with the rows of the table.
package feed

import (
	"maps"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/era"
)

// Change is one change of a row of a watched table.
type Change[V any] struct {
	Key     string
	Value   V // of a row that is there and was decoded
	Version era.Version
	Removed bool  // the row is gone
	Err     error // why the row, which is there, could not be decoded
}

// Changes is an answer of the source.
type Changes[V any] struct {
	// Version is the version of the table up to which it was read.
	Version era.Version
	// Complete says that Rows are all rows of the table, not only changed ones. Rows that
	// have changed since Version may be among them.
	Complete bool
	Rows     []Change[V] // in the order in which they changed, or of their keys if Complete
}

// Fold turns answers of the source into the changes to apply to a view, in their order. The
// zero value has read nothing. It is not safe for concurrent use.
type Fold[V any] struct {
	era  int64
	rows map[string]row
}

// row is what is known of a row of the table.
type row struct {
	version era.Version
	read    bool // the source has delivered this version
}

// Written records the version of a row that this process has written itself. The change is
// returned by Next when the source delivers it.
func (f *Fold[V]) Written(key string, version era.Version) {
	if f.rows != nil && version.Era == f.era && version.After(f.rows[key].version) {
		f.rows[key] = row{version: version}
	}
}

// Next returns the changes that an answer adds to those of the answers before. Rows that are
// read again are not among them. A row that a complete answer lacks is removed, unless it was
// written after the answer.
func (f *Fold[V]) Next(c Changes[V]) []Change[V] {
	restored := f.Restored(c)
	known := f.rows
	if f.rows == nil || restored {
		f.era, f.rows = c.Version.Era, map[string]row{}
	}
	var changes []Change[V]
	if c.Complete {
		changes = f.missing(c, known)
	}
	for _, change := range c.Rows {
		if f.record(change, c.Complete) {
			changes = append(changes, change)
		}
	}
	return changes
}

// Restored reports whether the table was restored from an older copy since the last answer.
func (f *Fold[V]) Restored(c Changes[V]) bool { return f.rows != nil && c.Version.Era != f.era }

// missing returns the removals of known rows that a complete answer lacks.
func (f *Fold[V]) missing(c Changes[V], known map[string]row) (removals []Change[V]) {
	present := make(map[string]bool, len(c.Rows))
	for _, change := range c.Rows {
		present[change.Key] = !change.Removed
	}
	for _, key := range slices.Sorted(maps.Keys(known)) {
		if !present[key] && !known[key].version.After(c.Version) {
			delete(f.rows, key)
			removals = append(removals, Change[V]{Key: key, Version: c.Version, Removed: true})
		}
	}
	return removals
}

// record records a change and reports whether it is news. Versions of a row only grow within
// an era; a change without a version is always news unless it is part of a complete answer.
func (f *Fold[V]) record(change Change[V], complete bool) bool {
	known, ok := f.rows[change.Key]
	switch {
	case known.version.After(change.Version) && !change.Version.IsZero():
		return false
	case change.Removed:
		delete(f.rows, change.Key)
		return true
	case ok && known.read && known.version == change.Version && (complete || !change.Version.IsZero()):
		return false
	}
	f.rows[change.Key] = row{version: change.Version, read: true}
	return true
}
