// Package sse splits a stream of server-sent events without decoding it.
package sse

import (
	"bytes"
	"iter"
	"strconv"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

var separator = []byte("\n\n")

// Splitter cuts a stream at the ends of its events.
type Splitter struct {
	limit   int
	pending []byte
}

// NewSplitter returns a splitter for events of at most limit bytes.
func NewSplitter(limit int) *Splitter { return &Splitter{limit: limit} }

// Add takes in bytes of the stream and returns the events that are complete
// now. The result is valid until the next call.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	if len(s.pending) == 0 {
		if end := completeBytes(p); end > 0 {
			s.pending = append(s.pending, p[end:]...)
			return p[:end], nil
		}
	}
	s.pending = append(s.pending, p...)
	end := completeBytes(s.pending)
	if end == 0 {
		if len(s.pending) > s.limit {
			return nil, errkind.New(errkind.TargetFailed, "event exceeds %d bytes", s.limit)
		}
		return nil, nil
	}
	whole := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return whole, nil
}

// completeBytes returns the length of the complete events at the start of p. It
// looks from the start, like Events: in a run of newlines the last separator may
// overlap the one that ends the event.
func completeBytes(p []byte) int {
	end := 0
	for event := range Events(p) {
		end += len(event)
	}
	return end
}

// PendingBytes returns the number of bytes of an incomplete event.
func (s *Splitter) PendingBytes() int { return len(s.pending) }

// Events yields the complete events of p, each with its separator.
func Events(p []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(p) > 0 {
			end := bytes.Index(p, separator)
			if end < 0 {
				return
			}
			end += len(separator)
			if !yield(p[:end]) {
				return
			}
			p = p[end:]
		}
	}
}

// ID returns the id of an event, if it has a whole number as one.
func ID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
