// Package sse splits a stream of server-sent events into events without decoding
// them.
package sse

import (
	"bytes"
	"iter"
	"strconv"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

var separator = []byte("\n\n")

// Splitter splits a stream of bytes at the ends of its events.
type Splitter struct {
	maxEventBytes int
	pending       []byte // start of an incomplete event
	searched      int    // length of the part of pending that has no end of an event
}

// NewSplitter returns a splitter for events of at most maxEventBytes.
func NewSplitter(maxEventBytes int) *Splitter { return &Splitter{maxEventBytes: maxEventBytes} }

// Add adds the next bytes of the stream and returns the events that they complete. On an
// error these are the events before the text that is none. The result is valid until the
// next call and while p is not changed.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	complete, err := s.add(p)
	if err != nil {
		return nil, err
	}
	checked := 0
	for event := range Events(complete) {
		if !wellFormed(event) {
			return complete[:checked], errkind.New(errkind.TargetFailed, "text that is no event")
		}
		checked += len(event)
	}
	return complete, nil
}

func (s *Splitter) add(p []byte) ([]byte, error) {
	if len(s.pending) == 0 {
		if end := completeLen(p); end > 0 {
			s.keep(append(s.pending, p[end:]...))
			return p[:end], nil
		}
	}
	s.pending = append(s.pending, p...)
	if !bytes.Contains(s.pending[s.searched:], separator) {
		if len(s.pending) > s.maxEventBytes {
			return nil, errkind.New(errkind.TargetFailed, "event exceeds %d bytes", s.maxEventBytes)
		}
		s.keep(s.pending)
		return nil, nil
	}
	end := completeLen(s.pending)
	complete := bytes.Clone(s.pending[:end])
	s.keep(append(s.pending[:0], s.pending[end:]...))
	return complete, nil
}

// keep sets the start of an incomplete event. Its last byte may begin a separator.
func (s *Splitter) keep(pending []byte) {
	s.pending, s.searched = pending, max(len(pending)-1, 0)
}

// completeLen returns the length of the complete events at the start of p. Like
// Events it searches from the start. A search for the last separator could cut at
// another place: in a run of newlines, the last separator may overlap the one that
// ends the event.
func completeLen(p []byte) int {
	end := 0
	for event := range Events(p) {
		end += len(event)
	}
	return end
}

// PendingBytes returns the length of the incomplete event.
func (s *Splitter) PendingBytes() int { return len(s.pending) }

// Events yields the complete events of p, each including its separator.
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

// notInNames are the characters other than control characters that no name of a field holds.
const notInNames = " \"(),/;<=>?@[\\]{}\x7f"

// wellFormed reports whether all lines of an event are comments or fields, of whatever name.
// The standard takes any line for a field, but a status line, a document and a sentence
// are the text of an error, whose reader would take a broken stream for a complete one.
func wellFormed(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if bytes.ContainsAny(name, notInNames) || bytes.ContainsFunc(name, func(r rune) bool { return r < ' ' }) {
			return false
		}
	}
	return true
}

// HasData reports whether an event has data. A comment has none.
func HasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// ID returns the id of an event and reports whether it has one that is an integer.
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
