// Package explain finds out from log lines what became of a request.
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

// Event is a log line about a request.
type Event struct {
	Time    time.Time
	Process string // what stands before the line, such as the host's name
	Message string
	Attrs   []Attr // in the order of the line
}

// Attr is one key=value pair.
type Attr struct{ Key, Value string }

// Get returns the value of a key, "" if there is none.
func (e Event) Get(key string) string {
	for _, a := range e.Attrs {
		if a.Key == key {
			return a.Value
		}
	}
	return ""
}

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Collect returns the events of a request in r. Lines of other forms are passed
// over.
func Collect(r io.Reader, request string) ([]Event, error) {
	var out []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		if !strings.Contains(line, request) {
			continue
		}
		if e, ok := parse(line); ok && e.Get("request") == request {
			out = append(out, e)
		}
	}
	return out, lines.Err()
}

// parse reads a line of key=value pairs that begins with its time, after an
// optional prefix.
func parse(line string) (Event, bool) {
	at := strings.Index(line, "time=")
	if at < 0 {
		return Event{}, false
	}
	var e Event
	if prefix := strings.Fields(line[:at]); len(prefix) > 0 {
		e.Process = prefix[len(prefix)-1]
	}
	for rest := line[at:]; rest != ""; {
		key, after, ok := strings.Cut(strings.TrimLeft(rest, " "), "=")
		if !ok {
			break
		}
		value, tail, ok := cutValue(after)
		if !ok {
			return Event{}, false
		}
		rest = tail
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

// cutValue splits off a plain or quoted value.
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

// Write prints the events in the order of their times, and a verdict.
func Write(w io.Writer, request string, events []Event) error {
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
	_, err := fmt.Fprintf(w, "verdict: %s\n", verdict(request, events))
	return err
}

// Messages of the gateway that decide the verdict.
const (
	MessageAttemptFailed = "attempt failed"
	MessageNotServed     = "request not served"
)

func verdict(request string, events []Event) string {
	attempts := 0
	for _, e := range events {
		switch e.Message {
		case MessageAttemptFailed:
			attempts++
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
		return fmt.Sprintf("served after %d failed attempts", attempts)
	}
	return "no line about " + request + ": an ordinary answer is not logged"
}
