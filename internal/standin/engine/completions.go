package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// run is a request in progress at the HTTP layer.
type run struct {
	id       string
	chat     bool
	request  completionRequest
	prompt   int // tokens
	created  time.Time
	box      *mailbox
	truncate bool
	tokens   int // received from the model
	cached   int
	finish   string
}

func (s *Server) chat(c *echo.Context) error       { return s.complete(c, true) }
func (s *Server) completion(c *echo.Context) error { return s.complete(c, false) }

func (s *Server) health(c *echo.Context) error {
	if err := s.waitHang(c); err != nil {
		return err
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) models(c *echo.Context) error {
	if err := s.waitHang(c); err != nil {
		return err
	}
	state := s.orders.current(time.Now())
	list := modelList{Object: "list"}
	for _, id := range append([]string{state.Model}, state.Adapters...) {
		list.Data = append(list.Data, modelEntry{ID: id, Object: "model", OwnedBy: "standin"})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) complete(c *echo.Context, chat bool) error {
	if err := s.waitHang(c); err != nil {
		return err
	}
	r, err := s.startRun(c, chat)
	if err != nil {
		return err
	}
	defer s.driver.cancel(r.id) // no effect on a finished run
	if r.request.Stream {
		return s.stream(c, r)
	}
	return s.whole(c, r)
}

// startRun checks a request and submits it to the model.
func (s *Server) startRun(c *echo.Context, chat bool) (*run, error) {
	r := &run{chat: chat, created: time.Now()}
	if err := readJSON(c, &r.request); err != nil {
		return nil, err
	}
	if problem := r.request.problem(); problem != "" {
		return nil, badRequest(problem)
	}
	if chat != (len(r.request.Messages) > 0) {
		return nil, badRequest("messages belong to chat completions, prompt to completions")
	}
	prompt, err := r.request.text()
	if err != nil {
		return nil, err
	}
	if !s.orders.serves(r.created, r.request.Model) {
		return nil, apiError(http.StatusNotFound, "model_not_found", "the model is not loaded")
	}
	return r, s.submit(c, r, prompt)
}

func (s *Server) submit(c *echo.Context, r *run, prompt string) error {
	fault := s.faults.next()
	if fault.Mode == FaultFail {
		return apiError(http.StatusInternalServerError, "server_error", "fault order")
	}
	r.id = ulid.Make().String()
	r.prompt = sim.CountTokens(prompt)
	r.truncate = fault.Mode == FaultTruncate
	request := sim.Request{
		ID:        r.id,
		Prompt:    prompt,
		MaxTokens: r.request.cap(),
		IgnoreEOS: r.request.IgnoreEOS,
		Priority:  r.request.Priority,
		Seed:      r.request.Seed,
	}
	if fault.Mode == FaultOverrun {
		request.OverrunFactor = fault.Factor
	}
	header := c.Request().Header
	box, err := s.driver.submit(RunRecord{
		Team:         header.Get(HeaderTeam),
		RunID:        header.Get(HeaderRunID),
		RequestID:    header.Get(HeaderRequestID),
		Model:        r.request.Model,
		PromptTokens: int64(r.prompt),
	}, request)
	r.box = box
	return submitError(err)
}

func submitError(err error) error {
	switch {
	case errors.Is(err, sim.ErrQueueFull):
		return apiError(http.StatusServiceUnavailable, "overloaded", "the waiting queue is full")
	case errors.Is(err, sim.ErrTooLong):
		return apiError(http.StatusBadRequest, "context_length_exceeded", "prompt and output exceed the context")
	}
	return err
}

// next waits for tokens. It returns http.ErrAbortHandler when the connection
// has to end without a complete answer.
func (s *Server) next(c *echo.Context, r *run) ([]sim.Token, error) {
	for {
		tokens, crashed := r.box.take()
		if crashed {
			return nil, http.ErrAbortHandler
		}
		if len(tokens) > 0 {
			r.count(tokens)
			return tokens, nil
		}
		select {
		case <-r.box.ready:
		case <-s.stopped.Done():
			return nil, http.ErrAbortHandler
		case <-c.Request().Context().Done():
			return nil, c.Request().Context().Err()
		}
	}
}

func (r *run) count(tokens []sim.Token) {
	r.tokens += len(tokens)
	last := tokens[len(tokens)-1]
	r.cached = last.CachedTokens
	r.finish = string(last.FinishReason)
}

func (r *run) usage() *usage {
	return r.usageAt(r.tokens)
}

func (r *run) usageAt(tokens int) *usage {
	return &usage{
		PromptTokens:     r.prompt,
		CompletionTokens: tokens,
		TotalTokens:      r.prompt + tokens,
		Details:          promptDetails{CachedTokens: r.cached},
	}
}

func (s *Server) whole(c *echo.Context, r *run) error {
	var text strings.Builder
	for r.finish == "" {
		tokens, err := s.next(c, r)
		if err != nil {
			return err
		}
		for _, t := range tokens {
			text.WriteString(t.Text)
		}
	}
	if r.truncate {
		return truncateBody(c, text.String())
	}
	return c.JSON(http.StatusOK, r.wholeAnswer(text.String()))
}

func (r *run) wholeAnswer(text string) answer {
	a := r.envelope("chat.completion", "text_completion")
	only := choice{FinishReason: &r.finish}
	if r.chat {
		only.Message = &delta{Role: "assistant", Content: &text}
	} else {
		only.Text = &text
	}
	a.Choices = []choice{only}
	a.Usage = r.usage()
	return a
}

// truncateBody sends the start of an answer and closes the connection.
func truncateBody(c *echo.Context, text string) error {
	c.Response().Header().Set("Content-Type", "application/json")
	_, _ = c.Response().Write([]byte(`{"choices":[{"text":"` + text[:len(text)/2]))
	_ = http.NewResponseController(c.Response()).Flush()
	return http.ErrAbortHandler
}

func (r *run) envelope(chatObject, textObject string) answer {
	object := textObject
	if r.chat {
		object = chatObject
	}
	return answer{
		ID:      "cmpl-" + r.id,
		Object:  object,
		Created: r.created.Unix(),
		Model:   r.request.Model,
		Choices: []choice{},
	}
}

func (s *Server) stream(c *echo.Context, r *run) error {
	w := newEventWriter(c)
	if r.chat {
		w.event(r.event(choice{Delta: &delta{Role: "assistant", Content: new(string)}}, 0))
		w.flush()
	}
	for r.finish == "" {
		tokens, err := s.next(c, r)
		if err != nil {
			return err
		}
		for _, t := range tokens {
			w.event(r.tokenEvent(t))
		}
		if w.flush(); w.err != nil {
			return w.err
		}
		if r.truncate {
			return http.ErrAbortHandler
		}
	}
	if r.request.StreamOptions.IncludeUsage {
		last := r.envelope("chat.completion.chunk", "text_completion")
		last.Usage = r.usage()
		w.event(last)
	}
	w.data([]byte("[DONE]"))
	w.flush()
	return w.err
}

func (r *run) event(only choice, tokens int) answer {
	a := r.envelope("chat.completion.chunk", "text_completion")
	a.Choices = []choice{only}
	if r.request.StreamOptions.ContinuousUsageStats {
		a.Usage = r.usageAt(tokens)
	}
	return a
}

func (r *run) tokenEvent(t sim.Token) answer {
	only := choice{}
	if r.chat {
		only.Delta = &delta{Content: &t.Text}
	} else {
		only.Text = &t.Text
	}
	if t.FinishReason != "" {
		finish := string(t.FinishReason)
		only.FinishReason = &finish
	}
	return r.event(only, t.Index+1)
}

// eventWriter writes server-sent events and keeps the first error.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	err     error
}

func newEventWriter(c *echo.Context) *eventWriter {
	w := c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

func (w *eventWriter) event(a answer) {
	payload, err := json.Marshal(a)
	if err != nil {
		w.err = err
		return
	}
	w.data(payload)
}

func (w *eventWriter) data(payload []byte) {
	if w.err != nil {
		return
	}
	_, w.err = w.w.Write(append(append([]byte("data: "), payload...), "\n\n"...))
}

func (w *eventWriter) flush() {
	if w.err == nil {
		w.err = w.control.Flush()
	}
}
