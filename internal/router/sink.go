package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/httpapi"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// sseSink streams the engine's events to the caller.
type sseSink struct {
	w         http.ResponseWriter
	flush     *http.ResponseController
	withUsage bool // the caller asked for the usage event
	requestID string
	open      bool
	buf       bytes.Buffer
}

func newSSESink(w http.ResponseWriter, withUsage bool, requestID string) *sseSink {
	return &sseSink{w: w, flush: http.NewResponseController(w), withUsage: withUsage, requestID: requestID}
}

func (s *sseSink) started() bool { return s.open }

func (s *sseSink) header() {
	if s.open {
		return
	}
	s.open = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(httpapi.HeaderRequestID, s.requestID)
	s.w.WriteHeader(http.StatusOK)
}

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

func (s *sseSink) send() error {
	s.header()
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.flush.Flush()
}

func (s *sseSink) finish(wire.RunEnd) error {
	s.buf.Reset()
	s.buf.WriteString("data: [DONE]\n\n")
	return s.send()
}

// fail ends a started stream with an error event, so that the caller does not
// take the partial answer for a whole one.
func (s *sseSink) fail(e *errkind.Error) {
	s.buf.Reset()
	payload, err := json.Marshal(httpapi.NewProblem(e, s.requestID))
	if err != nil {
		return
	}
	fmt.Fprintf(&s.buf, "event: error\ndata: %s\n\n", payload)
	_ = s.send()
}

// wholeSink collects the engine's events and answers with one JSON document.
type wholeSink struct {
	w         http.ResponseWriter
	chat      bool
	requestID string
	events    []json.RawMessage
}

func newWholeSink(w http.ResponseWriter, chat bool, requestID string) *wholeSink {
	return &wholeSink{w: w, chat: chat, requestID: requestID}
}

func (s *wholeSink) started() bool { return false }

func (s *wholeSink) chunk(c wire.RunChunk) error {
	if c.Seq == 0 {
		s.events = s.events[:0] // another attempt starts from the beginning
	}
	s.events = append(s.events, c.Events...)
	return nil
}

func (s *wholeSink) finish(wire.RunEnd) error {
	doc, err := assemble(s.events, s.chat)
	if err != nil {
		return err
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(httpapi.HeaderRequestID, s.requestID)
	s.w.WriteHeader(http.StatusOK)
	_, err = s.w.Write(doc)
	return err
}

// serviceSink collects the answer of a plain service, whose status is known
// only at its end.
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
	s.w.WriteHeader(status)
	_, err := s.w.Write(body)
	return err
}
