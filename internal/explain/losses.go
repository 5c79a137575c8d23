package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Outcomes of a request that was not served in time.
const (
	outcomeRefused = "refused" // not run
	outcomeFailed  = "failed"  // ran, or may have run
	outcomeLeft    = "left"    // the caller left before the answer was complete
	outcomeLate    = "late"    // served, but later than the route's objective
)

// Groups are the attributes by which losses can be counted.
var Groups = []string{"outcome", "cause", "route", "team", "host", "second", "status"}

// Losses counts the requests that gateways did not serve, or served late, from their
// logs.
type Losses struct {
	groupBy []string
	counts  map[string]int // by the values of the groups, separated by groupSeparator
	total   int
}

const groupSeparator = "\x00"

// NewLosses returns empty counts by some of Groups. It fails for an unknown group.
func NewLosses(groupBy []string) (*Losses, error) {
	for _, group := range groupBy {
		if !slices.Contains(Groups, group) {
			return nil, eris.Errorf("unknown group %q, must be one of %s", group, strings.Join(Groups, ", "))
		}
	}
	return &Losses{groupBy: groupBy, counts: map[string]int{}}, nil
}

// Read adds the log lines of r. It skips lines that are not in slog's text format or
// about something else.
func (l *Losses) Read(r io.Reader) error {
	return readEvents(r, func(e Event) {
		if e.Message == MessageNotServed || e.Message == MessageLate {
			l.add(e)
		}
	}, MessageNotServed, MessageLate)
}

func (l *Losses) add(e Event) {
	values := make([]string, len(l.groupBy))
	for i, group := range l.groupBy {
		values[i] = groupValue(e, group)
	}
	l.counts[strings.Join(values, groupSeparator)]++
	l.total++
}

func groupValue(e Event, group string) string {
	switch group {
	case "outcome":
		return outcome(e)
	case "cause":
		return cause(e)
	case "host":
		return e.Process
	case "second":
		return e.Time.Format("15:04:05")
	}
	return e.Get(group)
}

func outcome(e Event) string {
	switch {
	case e.Message == MessageLate:
		return outcomeLate
	case e.Get("kind") == "canceled":
		return outcomeLeft
	case e.Get("ran") == "no":
		return outcomeRefused
	}
	return outcomeFailed
}

var numberPattern = regexp.MustCompile(`[0-9]+`)

// cause returns the reason of a loss without its figures.
func cause(e Event) string {
	if e.Message == MessageLate {
		return "late " + e.Get("phase")
	}
	return e.Get("kind") + ": " + numberPattern.ReplaceAllString(e.Get("detail"), "N")
}

// Write prints the most frequent groups, at most limit, and the total.
func (l *Losses) Write(w io.Writer, limit int) error {
	keys := slices.SortedFunc(maps.Keys(l.counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.counts[b], l.counts[a]), strings.Compare(a, b))
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "requests\t"+strings.Join(l.groupBy, "\t")); err != nil {
		return err
	}
	for _, key := range keys[:min(limit, len(keys))] {
		if _, err := fmt.Fprintf(table, "%d\t%s\n", l.counts[key], strings.ReplaceAll(key, groupSeparator, "\t")); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d requests in %d groups\n", l.total, len(keys))
	return err
}
