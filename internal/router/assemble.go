package router

import (
	"encoding/json"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// streamEvent is one event of a streamed chat completion or text completion.
type streamEvent struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint"`
	Choices           []streamChoice  `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
}

type streamChoice struct {
	Index        int             `json:"index"`
	Delta        streamDelta     `json:"delta"`
	Text         string          `json:"text"`
	FinishReason *string         `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type streamDelta struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	Refusal   *string         `json:"refusal"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// completionResponse is the answer to a request without streaming.
type completionResponse struct {
	ID                string           `json:"id"`
	Object            string           `json:"object"`
	Created           int64            `json:"created"`
	Model             string           `json:"model"`
	SystemFingerprint string           `json:"system_fingerprint,omitempty"`
	Choices           []responseChoice `json:"choices"`
	Usage             json.RawMessage  `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	Logprobs     json.RawMessage  `json:"logprobs"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role      string      `json:"role"`
	Content   *string     `json:"content"`
	Refusal   *string     `json:"refusal"`
	ToolCalls []*toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// choiceBuilder accumulates the deltas of one choice.
type choiceBuilder struct {
	role         string
	content      *strings.Builder
	refusal      *strings.Builder
	text         strings.Builder
	toolCalls    []*toolCall
	logprobs     []json.RawMessage
	finishReason *string
}

// assembleResponse builds from the events of a stream the document that the
// engine would have sent without streaming. maxIndex is the highest index that a
// choice may have.
func assembleResponse(events []json.RawMessage, chat bool, maxIndex int64) ([]byte, error) {
	doc := completionResponse{Object: "text_completion"}
	if chat {
		doc.Object = "chat.completion"
	}
	var builders []*choiceBuilder
	for _, raw := range events {
		var event streamEvent
		if err := json.Unmarshal(raw, &event); err != nil {
			return nil, errkind.Wrap(err, errkind.TargetFailed, "the target sent a malformed event")
		}
		doc.mergeMetadata(event)
		for _, choice := range event.Choices {
			if choice.Index < 0 || int64(choice.Index) > maxIndex {
				return nil, errkind.New(errkind.TargetFailed, "the target sent choice %d", choice.Index)
			}
			for len(builders) <= choice.Index {
				builders = append(builders, &choiceBuilder{})
			}
			builders[choice.Index].add(choice)
		}
	}
	for i, b := range builders {
		choice, err := b.build(i, chat)
		if err != nil {
			return nil, err
		}
		doc.Choices = append(doc.Choices, choice)
	}
	return json.Marshal(doc)
}

// mergeMetadata takes the fields outside of the choices from an event: the
// identifying fields from the first event that has them, the usage from the
// last.
func (d *completionResponse) mergeMetadata(e streamEvent) {
	if d.ID == "" {
		d.ID = e.ID
		d.Created = e.Created
		d.Model = e.Model
		d.SystemFingerprint = e.SystemFingerprint
	}
	if len(e.Usage) > 0 && string(e.Usage) != "null" {
		d.Usage = e.Usage
	}
}

// add appends the delta of one event.
func (b *choiceBuilder) add(c streamChoice) {
	if c.Delta.Role != "" {
		b.role = c.Delta.Role
	}
	b.content = appendText(b.content, c.Delta.Content)
	b.refusal = appendText(b.refusal, c.Delta.Refusal)
	b.text.WriteString(c.Text)
	for _, delta := range c.Delta.ToolCalls {
		b.addToolCall(delta)
	}
	if len(c.Logprobs) > 0 && string(c.Logprobs) != "null" {
		b.logprobs = append(b.logprobs, c.Logprobs)
	}
	if c.FinishReason != nil {
		b.finishReason = c.FinishReason
	}
}

// appendText appends s, if there is one, to b. b stays nil until the first
// text, so that an absent text can be told from an empty one.
func appendText(b *strings.Builder, s *string) *strings.Builder {
	if s == nil {
		return b
	}
	if b == nil {
		b = &strings.Builder{}
	}
	b.WriteString(*s)
	return b
}

const maxToolCalls = 256 // per choice

// addToolCall appends a part of a tool call. Calls beyond maxToolCalls are
// ignored.
func (b *choiceBuilder) addToolCall(d toolCallDelta) {
	if d.Index < 0 || d.Index >= maxToolCalls {
		return
	}
	for len(b.toolCalls) <= d.Index {
		b.toolCalls = append(b.toolCalls, &toolCall{Type: "function"})
	}
	t := b.toolCalls[d.Index]
	if d.ID != "" {
		t.ID = d.ID
	}
	if d.Type != "" {
		t.Type = d.Type
	}
	t.Function.Name += d.Function.Name
	t.Function.Arguments += d.Function.Arguments
}

// build returns the finished choice.
func (b *choiceBuilder) build(index int, chat bool) (responseChoice, error) {
	logprobs, err := joinLogprobs(b.logprobs)
	if err != nil {
		return responseChoice{}, err
	}
	c := responseChoice{Index: index, FinishReason: b.finishReason, Logprobs: logprobs}
	if !chat {
		text := b.text.String()
		c.Text = &text
		return c, nil
	}
	c.Message = &responseMessage{Role: "assistant", Content: stringOrNil(b.content), Refusal: stringOrNil(b.refusal), ToolCalls: b.toolCalls}
	if b.role != "" {
		c.Message.Role = b.role
	}
	return c, nil
}

// stringOrNil returns the text, or nil if there was none.
func stringOrNil(b *strings.Builder) *string {
	if b == nil {
		return nil
	}
	s := b.String()
	return &s
}

// joinLogprobs concatenates the arrays of the parts, field by field. Without
// parts it returns null.
func joinLogprobs(parts []json.RawMessage) (json.RawMessage, error) {
	if len(parts) == 0 {
		return json.RawMessage("null"), nil
	}
	joined := map[string][]json.RawMessage{}
	for _, part := range parts {
		var fields map[string][]json.RawMessage
		if err := json.Unmarshal(part, &fields); err != nil {
			return nil, errkind.Wrap(err, errkind.TargetFailed, "the target sent malformed logprobs")
		}
		for name, values := range fields {
			joined[name] = append(joined[name], values...)
		}
	}
	return json.Marshal(joined)
}
