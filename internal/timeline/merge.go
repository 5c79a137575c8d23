package timeline

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/wire"
)

// Merged holds the events of several processes in one order. An event that
// caused another through a message precedes it, because every message carries
// a stamp and its receiver's clock moves past it.
type Merged struct {
	Events      []wire.TimelineEvent `json:"events"`
	Dropped     int64                `json:"dropped"`               // overwritten in the rings
	Unreachable []string             `json:"unreachable,omitempty"` // processes that did not answer
}

// Merge orders the events of several processes by stamp. Events with equal
// stamps are ordered by process. limit keeps the latest events; 0 keeps all.
func Merge(results []wire.TimelineResult, limit int) Merged {
	m := Merged{Events: []wire.TimelineEvent{}}
	for _, r := range results {
		m.Events = append(m.Events, r.Events...)
		m.Dropped += r.Dropped
	}
	slices.SortStableFunc(m.Events, func(a, b wire.TimelineEvent) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		}
		return cmp.Compare(a.Process, b.Process)
	})
	if limit > 0 && len(m.Events) > limit {
		m.Events = m.Events[len(m.Events)-limit:]
	}
	return m
}

// WriteText writes one line of key=value pairs per event.
func (m Merged) WriteText(w io.Writer) error {
	for _, e := range m.Events {
		if _, err := fmt.Fprintln(w, eventLine(e)); err != nil {
			return err
		}
	}
	if m.Dropped > 0 {
		if _, err := fmt.Fprintf(w, "# %d older events are no longer kept\n", m.Dropped); err != nil {
			return err
		}
	}
	for _, p := range m.Unreachable {
		if _, err := fmt.Fprintf(w, "# no answer from %s\n", p); err != nil {
			return err
		}
	}
	return nil
}

func eventLine(e wire.TimelineEvent) string {
	at := time.UnixMicro(e.Stamp.Wall).UTC().Format("2006-01-02T15:04:05.000000Z")
	pairs := []string{
		fmt.Sprintf("%s.%06d", at, e.Stamp.Logical),
		"process=" + quoted(e.Process),
		"event=" + quoted(e.Name),
	}
	for _, f := range []struct{ key, value string }{
		{AttrRequestID, e.RequestID}, {AttrRunID, e.RunID}, {AttrTeam, e.Team},
	} {
		if f.value != "" {
			pairs = append(pairs, f.key+"="+quoted(f.value))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(e.Attrs)) {
		pairs = append(pairs, key+"="+quoted(e.Attrs[key]))
	}
	return strings.Join(pairs, " ")
}

// quoted quotes a value that would break the line into other pairs.
func quoted(v string) string {
	plain := v != "" && !strings.ContainsFunc(v, func(c rune) bool {
		return c <= ' ' || c == '=' || c == '"' || !strconv.IsPrint(c)
	})
	if plain {
		return v
	}
	return strconv.Quote(v)
}
