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

// Merged holds the events of several processes in causal order: an event
// precedes the events that it caused in other processes through messages,
// because every message carries a stamp and the receiver advances its clock
// past it.
type Merged struct {
	Events      []wire.TimelineEvent `json:"events"`
	Dropped     int64                `json:"dropped"`               // number of events overwritten in the ring buffers
	Unreachable []string             `json:"unreachable,omitempty"` // processes that did not respond
}

// Merge orders the events of several processes by stamp, and events with equal
// stamps by process. It keeps the latest limit events, or all if limit is 0.
func Merge(results []wire.TimelineResult, limit int) Merged {
	merged := Merged{Events: []wire.TimelineEvent{}}
	for _, r := range results {
		merged.Events = append(merged.Events, r.Events...)
		merged.Dropped += r.Dropped
	}
	slices.SortStableFunc(merged.Events, func(a, b wire.TimelineEvent) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		}
		return cmp.Compare(a.Process, b.Process)
	})
	if limit > 0 && len(merged.Events) > limit {
		merged.Events = merged.Events[len(merged.Events)-limit:]
	}
	return merged
}

// WriteText writes one line of key=value pairs per event, and comment lines
// about overwritten events and processes that did not respond.
func (m Merged) WriteText(w io.Writer) error {
	for _, e := range m.Events {
		if _, err := fmt.Fprintln(w, formatEvent(e)); err != nil {
			return err
		}
	}
	if m.Dropped > 0 {
		if _, err := fmt.Fprintf(w, "# %d older events are no longer kept\n", m.Dropped); err != nil {
			return err
		}
	}
	for _, process := range m.Unreachable {
		if _, err := fmt.Fprintf(w, "# no answer from %s\n", process); err != nil {
			return err
		}
	}
	return nil
}

func formatEvent(e wire.TimelineEvent) string {
	wallTime := time.UnixMicro(e.Stamp.Wall).UTC().Format("2006-01-02T15:04:05.000000Z")
	pairs := []string{
		fmt.Sprintf("%s.%06d", wallTime, e.Stamp.Logical),
		"process=" + quoteValue(e.Process),
		"event=" + quoteValue(e.Name),
	}
	for _, f := range []struct{ key, value string }{
		{AttrRequestID, e.RequestID}, {AttrRunID, e.RunID}, {AttrTeam, e.Team},
	} {
		if f.value != "" {
			pairs = append(pairs, f.key+"="+quoteValue(f.value))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(e.Attrs)) {
		pairs = append(pairs, key+"="+quoteValue(e.Attrs[key]))
	}
	return strings.Join(pairs, " ")
}

// quoteValue quotes a value that would be ambiguous in a line of key=value
// pairs.
func quoteValue(value string) string {
	plain := value != "" && !strings.ContainsFunc(value, func(r rune) bool {
		return r <= ' ' || r == '=' || r == '"' || !strconv.IsPrint(r)
	})
	if plain {
		return value
	}
	return strconv.Quote(value)
}
