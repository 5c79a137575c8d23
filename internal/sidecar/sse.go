package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

const (
	readBufferBytes = 32 << 10 // read at once
	maxEventBytes   = 1 << 20  // of a line and of the data of an event
)

var errEventTooLong = errors.New("event exceeds the size limit")

// sseReader reads the data payloads of server-sent events.
type sseReader struct {
	input *bufio.Reader
}

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{bufio.NewReaderSize(r, readBufferBytes)}
}

// eventBatch holds the events that were available without waiting again.
type eventBatch struct {
	events []json.RawMessage
	done   bool // the engine sent [DONE]
}

// nextBatch waits for an event and returns it together with the events that
// have already arrived. An event that is cut off by the end of the connection
// is dropped. On an error, the batch holds the events before it.
func (s *sseReader) nextBatch() (eventBatch, error) {
	var batch eventBatch
	for {
		payload, err := s.nextEvent()
		if err != nil {
			return batch, err
		}
		if string(payload) == "[DONE]" {
			batch.done = true
			return batch, nil
		}
		batch.events = append(batch.events, payload)
		if !s.eventBuffered() {
			return batch, nil
		}
	}
}

// eventBuffered reports whether a complete event is buffered.
func (s *sseReader) eventBuffered() bool {
	arrived, _ := s.input.Peek(s.input.Buffered())
	return bytes.Contains(arrived, []byte("\n\n")) || bytes.Contains(arrived, []byte("\r\n\r\n"))
}

// nextEvent returns the data of the next event that has any.
func (s *sseReader) nextEvent() (json.RawMessage, error) {
	var data []byte
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && len(data) > 0 {
			return data, nil
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue // a comment, an unused field or a blank line
		}
		if len(data) > 0 {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// readLine returns a line without its line break. An unterminated last line is
// dropped.
func (s *sseReader) readLine() ([]byte, error) {
	var partial []byte
	for {
		chunk, err := s.input.ReadSlice('\n')
		if err == nil {
			line := bytes.TrimSuffix(append(partial, chunk...), []byte("\n"))
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		partial = append(partial, chunk...)
		if len(partial) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}
