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

// httpRun is a completion request whose response is in progress.
type httpRun struct {
	id           string
	chat         bool
	request      completionRequest
	promptTokens int
	created      time.Time
	queue        *tokenQueue
	truncate     bool
	outputTokens int // received from the simulation so far
	cachedTokens int
	finishReason string
}

func (s *Server) chat(c *echo.Context) error       { return s.complete(c, true) }
func (s *Server) completion(c *echo.Context) error { return s.complete(c, false) }

func (s *Server) health(c *echo.Context) error {
	if err := s.waitWhileHung(c); err != nil {
		return err
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) models(c *echo.Context) error {
	if err := s.waitWhileHung(c); err != nil {
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
	if err := s.waitWhileHung(c); err != nil {
		return err
	}
	r, err := s.startRun(c, chat)
	if err != nil {
		return err
	}
	defer s.driver.cancel(r.id) // has no effect on a finished run
	if r.request.Stream {
		return s.respondStream(c, r)
	}
	return s.respondWhole(c, r)
}

// startRun validates a request and submits it to the simulation.
func (s *Server) startRun(c *echo.Context, chat bool) (*httpRun, error) {
	r := &httpRun{chat: chat, created: time.Now()}
	if err := readJSON(c, &r.request); err != nil {
		return nil, err
	}
	if problem := r.request.invalidReason(); problem != "" {
		return nil, badRequest(problem)
	}
	if chat != (len(r.request.Messages) > 0) {
		return nil, badRequest("messages belong to chat completions, prompt to completions")
	}
	prompt, err := r.request.text()
	if err != nil {
		return nil, err
	}
	if !s.orders.isLoaded(r.created, r.request.Model) {
		return nil, newStatusError(http.StatusNotFound, "model_not_found", "the model is not loaded")
	}
	return r, s.submit(c, r, prompt)
}

func (s *Server) submit(c *echo.Context, r *httpRun, prompt string) error {
	fault := s.faults.nextFault()
	if fault.Mode == FaultFail {
		return newStatusError(http.StatusInternalServerError, "server_error", "fault order")
	}
	r.id = ulid.Make().String()
	r.promptTokens = sim.CountTokens(prompt)
	r.truncate = fault.Mode == FaultTruncate
	request := sim.Request{
		ID:        r.id,
		Prompt:    prompt,
		MaxTokens: r.request.maxTokens(),
		IgnoreEOS: r.request.IgnoreEOS,
		Priority:  r.request.Priority,
		Seed:      r.request.Seed,
	}
	if fault.Mode == FaultOverrun {
		request.OverrunFactor = fault.Factor
	}
	header := c.Request().Header
	queue, err := s.driver.submit(RunRecord{
		Team:         header.Get(HeaderTeam),
		RunID:        header.Get(HeaderRunID),
		RequestID:    header.Get(HeaderRequestID),
		Model:        r.request.Model,
		PromptTokens: int64(r.promptTokens),
	}, request)
	r.queue = queue
	return submitError(err)
}

func submitError(err error) error {
	switch {
	case errors.Is(err, sim.ErrQueueFull):
		return newStatusError(http.StatusServiceUnavailable, "overloaded", "the waiting queue is full")
	case errors.Is(err, sim.ErrTooLong):
		return newStatusError(http.StatusBadRequest, "context_length_exceeded", "prompt and output exceed the context")
	}
	return err
}

// nextTokens waits for more tokens of the run. It returns http.ErrAbortHandler if
// the connection has to be closed before the response is complete.
func (s *Server) nextTokens(c *echo.Context, r *httpRun) ([]sim.Token, error) {
	for {
		tokens, crashed := r.queue.take()
		if crashed {
			return nil, http.ErrAbortHandler
		}
		if len(tokens) > 0 {
			r.recordTokens(tokens)
			return tokens, nil
		}
		select {
		case <-r.queue.ready:
		case <-s.ctx.Done():
			return nil, http.ErrAbortHandler
		case <-c.Request().Context().Done():
			return nil, c.Request().Context().Err()
		}
	}
}

func (r *httpRun) recordTokens(tokens []sim.Token) {
	r.outputTokens += len(tokens)
	last := tokens[len(tokens)-1]
	r.cachedTokens = last.CachedTokens
	r.finishReason = string(last.FinishReason)
}

func (r *httpRun) usage() *usage {
	return r.usageAt(r.outputTokens)
}

func (r *httpRun) usageAt(tokens int) *usage {
	return &usage{
		PromptTokens:     r.promptTokens,
		CompletionTokens: tokens,
		TotalTokens:      r.promptTokens + tokens,
		Details:          promptDetails{CachedTokens: r.cachedTokens},
	}
}

func (s *Server) respondWhole(c *echo.Context, r *httpRun) error {
	var text strings.Builder
	for r.finishReason == "" {
		tokens, err := s.nextTokens(c, r)
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
	return c.JSON(http.StatusOK, r.wholeResponse(text.String()))
}

func (r *httpRun) wholeResponse(text string) completionResponse {
	response := r.newResponse("chat.completion", "text_completion")
	singleChoice := choice{FinishReason: &r.finishReason}
	if r.chat {
		singleChoice.Message = &delta{Role: "assistant", Content: &text}
	} else {
		singleChoice.Text = &text
	}
	response.Choices = []choice{singleChoice}
	response.Usage = r.usage()
	return response
}

// truncateBody sends the start of a response and makes the server close the
// connection.
func truncateBody(c *echo.Context, text string) error {
	c.Response().Header().Set("Content-Type", "application/json")
	_, _ = c.Response().Write([]byte(`{"choices":[{"text":"` + text[:len(text)/2]))
	_ = http.NewResponseController(c.Response()).Flush()
	return http.ErrAbortHandler
}

func (r *httpRun) newResponse(chatObject, textObject string) completionResponse {
	object := textObject
	if r.chat {
		object = chatObject
	}
	return completionResponse{
		ID:      "cmpl-" + r.id,
		Object:  object,
		Created: r.created.Unix(),
		Model:   r.request.Model,
		Choices: []choice{},
	}
}

func (s *Server) respondStream(c *echo.Context, r *httpRun) error {
	w := newEventWriter(c)
	if r.chat {
		w.event(r.streamEvent(choice{Delta: &delta{Role: "assistant", Content: new(string)}}, 0))
		w.flush()
	}
	for r.finishReason == "" {
		tokens, err := s.nextTokens(c, r)
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
		usageEvent := r.newResponse("chat.completion.chunk", "text_completion")
		usageEvent.Usage = r.usage()
		w.event(usageEvent)
	}
	w.data([]byte("[DONE]"))
	w.flush()
	return w.err
}

func (r *httpRun) streamEvent(singleChoice choice, tokens int) completionResponse {
	response := r.newResponse("chat.completion.chunk", "text_completion")
	response.Choices = []choice{singleChoice}
	if r.request.StreamOptions.ContinuousUsageStats {
		response.Usage = r.usageAt(tokens)
	}
	return response
}

func (r *httpRun) tokenEvent(t sim.Token) completionResponse {
	singleChoice := choice{}
	if r.chat {
		singleChoice.Delta = &delta{Content: &t.Text}
	} else {
		singleChoice.Text = &t.Text
	}
	if t.FinishReason != "" {
		finish := string(t.FinishReason)
		singleChoice.FinishReason = &finish
	}
	return r.streamEvent(singleChoice, t.Index+1)
}

// eventWriter writes server-sent events. After the first error, which it keeps, it
// writes nothing more.
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

func (w *eventWriter) event(response completionResponse) {
	payload, err := json.Marshal(response)
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
