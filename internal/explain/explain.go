// Package explain reconstructs from the logs of several processes what happened
// to a request.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Event is a parsed log line about a request.
type Event struct {
	Time    time.Time
	Process string // last word before the line's time, such as the host's name
	Message string
	Attrs   []Attr // in the order in which they are logged
}

// Attr is a key=value pair of a log line.
type Attr struct{ Key, Value string }

// Get returns the value of the attribute with a key, "" if there is none.
func (e Event) Get(key string) string {
	for _, a := range e.Attrs {
		if a.Key == key {
			return a.Value
		}
	}
	return ""
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Collect returns the events of a request that are logged in r. It skips lines
// that are not in slog's text format.
func Collect(r io.Reader, requestID string) ([]Event, error) {
	var out []Event
	err := readEvents(r, func(e Event) {
		if e.Get("request") == requestID {
			out = append(out, e)
		}
	}, requestID)
	return out, err
}

// readEvents calls visit for the log lines of r that contain one of the texts. It skips
// lines that are not in slog's text format.
func readEvents(r io.Reader, visit func(Event), texts ...string) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		if !slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			continue
		}
		if e, ok := parse(line); ok {
			visit(e)
		}
	}
	return lines.Err()
}

// parse parses a line of key=value pairs that begins with the time, after an
// optional prefix.
func parse(line string) (Event, bool) {
	start := strings.Index(line, "time=")
	if start < 0 {
		return Event{}, false
	}
	var e Event
	if prefix := strings.Fields(line[:start]); len(prefix) > 0 {
		e.Process = prefix[len(prefix)-1]
	}
	for rest := line[start:]; rest != ""; {
		key, afterKey, ok := strings.Cut(strings.TrimLeft(rest, " "), "=")
		if !ok {
			break
		}
		value, afterValue, ok := cutValue(afterKey)
		if !ok {
			return Event{}, false
		}
		rest = afterValue
		switch key {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Event{}, false
			}
			e.Time = t
		case "msg":
			e.Message = value
		case "level":
		default:
			e.Attrs = append(e.Attrs, Attr{key, value})
		}
	}
	return e, !e.Time.IsZero()
}

// cutValue splits a plain or quoted value off the start of s.
func cutValue(s string) (value, rest string, ok bool) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return value, s[len(quoted):], err == nil
}

// Write prints the events in the order of their times, and then a verdict, which
// says how the request ended.
func Write(w io.Writer, requestID string, events []Event) error {
	slices.SortStableFunc(events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	for _, e := range events {
		line := e.Time.Format("15:04:05.000") + " " + e.Process + " " + e.Message
		for _, a := range e.Attrs {
			if a.Key != "request" && a.Value != "" {
				line += fmt.Sprintf(" %s=%s", a.Key, a.Value)
			}
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "verdict: %s\n", verdict(requestID, events))
	return err
}

// Log messages of the gateway about single requests.
const (
	MessageAttemptFailed = "attempt failed"
	MessageNotServed     = "request not served"
	MessageLate          = "answer late"                      // served later than the route's objective
	MessageContinues     = "stream continues"                 // at another target than before
	MessageUnframedEnd   = "answer ended with its connection" // which may have cut it off
)

// verdict says how a request ended. The gateway logs MessageNotServed at the end
// of a request that it could not serve, and nothing at the end of one that it
// served, unless only the connection of its target ended the answer.
func verdict(requestID string, events []Event) string {
	attempts, unframed := 0, ""
	for _, e := range events {
		switch e.Message {
		case MessageAttemptFailed:
			attempts++
		case MessageUnframedEnd:
			if e.Get("end") == "cut_off" {
				continue
			}
			unframed = fmt.Sprintf("; its end was that of the connection to %s, which was %s, and counted as %s", e.Get("target"), e.Get("state"), e.Get("end"))
		case MessageNotServed:
			text := fmt.Sprintf("not served: %s, %s; status %s, ran %s, after %s ms",
				e.Get("kind"), e.Get("detail"), e.Get("status"), e.Get("ran"), e.Get("ms"))
			if e.Get("started") == "true" {
				text += "; the answer was broken off"
			}
			return text
		}
	}
	if attempts > 0 {
		return fmt.Sprintf("served after %d failed attempts%s", attempts, unframed)
	}
	if unframed != "" {
		return "served" + unframed
	}
	return "no line about " + requestID + ": an ordinary answer is not logged"
}
