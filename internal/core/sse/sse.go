// Package sse splits a stream of server-sent events into events without decoding
// them.
package sse

import (
	"bytes"
	"iter"
	"slices"
	"strconv"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// eventEnds finds the ends of events. A blank line ends an event, and CR, LF or CRLF ends a
// line. Further blank lines count as events of their own.
type eventEnds struct {
	inLine  bool // the line has a byte
	blank   bool // the line before had none
	afterCR bool // the line before has ended with CR, which may be the start of CRLF
}

// next reads a byte and reports whether an event ends after it. After CR, the event ends
// there, and again after the LF of a CRLF.
func (e *eventEnds) next(b byte) bool {
	switch {
	case b == '\n' && e.afterCR:
		e.afterCR = false
		return e.blank
	case b == '\n' || b == '\r':
		e.blank, e.inLine, e.afterCR = !e.inLine, false, b == '\r'
		return e.blank
	}
	e.inLine, e.afterCR = true, false
	return false
}

// Splitter splits a stream of bytes at the ends of its events.
type Splitter struct {
	maxEventBytes int
	pending       []byte // start of an incomplete event
	ends          eventEnds
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
	end := 0
	for i, b := range p {
		if s.ends.next(b) {
			end = i + 1
		}
	}
	if end == 0 {
		s.pending = append(s.pending, p...)
		if len(s.pending) > s.maxEventBytes {
			return nil, errkind.New(errkind.TargetFailed, "event exceeds %d bytes", s.maxEventBytes)
		}
		return nil, nil
	}
	complete := p[:end]
	if len(s.pending) > 0 {
		complete = slices.Concat(s.pending, complete)
	}
	s.pending = append(s.pending[:0], p[end:]...)
	return complete, nil
}

// PendingBytes returns the length of the incomplete event.
func (s *Splitter) PendingBytes() int { return len(s.pending) }

// Events yields the complete events of p, each including the blank line that ends it.
func Events(p []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		var ends eventEnds
		start := 0
		for i, b := range p {
			if !ends.next(b) || b == '\r' && i+1 < len(p) && p[i+1] == '\n' {
				continue
			}
			if !yield(p[start : i+1]) {
				return
			}
			start = i + 1
		}
	}
}

// lines yields the lines of an event that are not blank, without what ends them.
func lines(event []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		start := 0
		for i, b := range event {
			if b != '\n' && b != '\r' {
				continue
			}
			if start < i && !yield(event[start:i]) {
				return
			}
			start = i + 1
		}
	}
}

// notInNames are the characters, other than control characters and blanks, that no name of a
// field holds.
const notInNames = "\"(),/;<=>?@[\\]{}\x7f"

// wellFormed reports whether all lines of an event are comments or fields, of whatever name.
// The standard takes any line for a field, but a status line, a document and a sentence
// are the text of an error, whose reader would take a broken stream for a complete one.
func wellFormed(event []byte) bool {
	for line := range lines(event) {
		for _, b := range line {
			if b == ':' {
				break
			}
			if b <= ' ' || strings.IndexByte(notInNames, b) >= 0 {
				return false
			}
		}
	}
	return true
}

// HasData reports whether an event has data. A comment has none.
func HasData(event []byte) bool {
	for line := range lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// ID returns the id of an event and reports whether it has one that is an integer.
func ID(event []byte) (int64, bool) {
	for line := range lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
