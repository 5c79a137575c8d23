package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

const (
	sseBuffer   = 32 << 10 // bytes read at once
	maxSSEEvent = 1 << 20  // bytes
)

var errLongEvent = errors.New("event is too long")

// sseReader reads the data payloads of server-sent events.
type sseReader struct {
	r *bufio.Reader
}

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{bufio.NewReaderSize(r, sseBuffer)}
}

// batch is the set of events that were available together.
type batch struct {
	events []json.RawMessage
	done   bool // the engine sent [DONE]
}

// next waits for an event and returns it with those that have already arrived.
// An event that the connection cuts off is dropped. With an error, the batch
// holds the events before it.
func (s *sseReader) next() (batch, error) {
	var b batch
	for {
		payload, err := s.event()
		if err != nil {
			return b, err
		}
		if string(payload) == "[DONE]" {
			b.done = true
			return b, nil
		}
		b.events = append(b.events, payload)
		if !s.buffered() {
			return b, nil
		}
	}
}

// buffered reports whether a whole event has arrived.
func (s *sseReader) buffered() bool {
	ahead, _ := s.r.Peek(s.r.Buffered())
	return bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\r\n\r\n"))
}

// event returns the payload of the next event that has one.
func (s *sseReader) event() (json.RawMessage, error) {
	var data []byte
	for {
		line, err := s.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && len(data) > 0 {
			return data, nil
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue // a comment, a field without use here, or a blank line
		}
		if len(data) > 0 {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > maxSSEEvent {
			return nil, errLongEvent
		}
	}
}

// line returns a line without its end. A last line without an end is dropped.
func (s *sseReader) line() ([]byte, error) {
	var long []byte
	for {
		part, err := s.r.ReadSlice('\n')
		if err == nil {
			line := bytes.TrimSuffix(append(long, part...), []byte("\n"))
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		long = append(long, part...)
		if len(long) > maxSSEEvent {
			return nil, errLongEvent
		}
	}
}
