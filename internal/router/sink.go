package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/httpapi"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// sseSink streams the engine's events to the caller as server-sent events.
type sseSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	withUsage  bool // the caller requested the usage event
	requestID  string
	headerSent bool
	buf        bytes.Buffer
}

func newSSESink(w http.ResponseWriter, withUsage bool, requestID string) *sseSink {
	return &sseSink{w: w, controller: http.NewResponseController(w), withUsage: withUsage, requestID: requestID}
}

func (s *sseSink) started() bool { return s.headerSent }

// sendHeader sends the response header unless it was sent before.
func (s *sseSink) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(httpapi.HeaderRequestID, s.requestID)
	s.w.WriteHeader(http.StatusOK)
}

// emptyChoices marks an event that carries only the usage.
var emptyChoices = []byte(`"choices":[]`)

func (s *sseSink) chunk(c wire.RunChunk) error {
	s.buf.Reset()
	for _, event := range c.Events {
		if !s.withUsage && bytes.Contains(event, emptyChoices) {
			continue
		}
		s.buf.WriteString("data: ")
		s.buf.Write(event)
		s.buf.WriteString("\n\n")
	}
	if s.buf.Len() == 0 {
		return nil
	}
	return s.send()
}

// send writes the buffered events and flushes them to the caller.
func (s *sseSink) send() error {
	s.sendHeader()
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *sseSink) finish(wire.RunEnd) error {
	s.buf.Reset()
	s.buf.WriteString("data: [DONE]\n\n")
	return s.send()
}

// fail ends a started stream with an error event, so that the caller does not
// mistake the partial answer for a complete one.
func (s *sseSink) fail(e *errkind.Error) {
	s.buf.Reset()
	payload, err := json.Marshal(httpapi.NewProblem(e, s.requestID))
	if err != nil {
		return
	}
	fmt.Fprintf(&s.buf, "event: error\ndata: %s\n\n", payload)
	_ = s.send()
}

// jsonSink collects the engine's events and answers with a single JSON
// document.
type jsonSink struct {
	w         http.ResponseWriter
	chat      bool
	maxIndex  int64 // highest index that a choice may have
	requestID string
	events    []json.RawMessage
}

func newJSONSink(w http.ResponseWriter, chat bool, maxIndex int64, requestID string) *jsonSink {
	return &jsonSink{w: w, chat: chat, maxIndex: maxIndex, requestID: requestID}
}

func (s *jsonSink) started() bool { return false }

func (s *jsonSink) chunk(c wire.RunChunk) error {
	if c.Seq == 0 {
		s.events = s.events[:0] // a new attempt starts from the beginning
	}
	s.events = append(s.events, c.Events...)
	return nil
}

func (s *jsonSink) finish(wire.RunEnd) error {
	doc, err := assembleResponse(s.events, s.chat, s.maxIndex)
	if err != nil {
		return err
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(httpapi.HeaderRequestID, s.requestID)
	return writeWhole(s.w, http.StatusOK, doc)
}

// serviceSink collects the answer of a plain service. The HTTP status is known
// only at the end of the answer.
type serviceSink struct {
	w         http.ResponseWriter
	requestID string
	body      []byte
}

func (s *serviceSink) started() bool { return false }

func (s *serviceSink) chunk(c wire.RunChunk) error {
	if c.Seq == 0 {
		s.body = s.body[:0]
	}
	s.body = append(s.body, c.Data...)
	return nil
}

func (s *serviceSink) finish(end wire.RunEnd) error {
	return s.write(end.HTTPStatus, end.ContentType, s.body)
}

func (s *serviceSink) write(status int, contentType string, body []byte) error {
	h := s.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(httpapi.HeaderRequestID, s.requestID)
	return writeWhole(s.w, status, body)
}

// writeWhole writes an answer with its length. Without it, the end of the connection alone
// would end an answer to a caller that knows no chunks, also one that is cut off.
func writeWhole(w http.ResponseWriter, status int, body []byte) error {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}
