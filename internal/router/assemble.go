package router

import (
	"encoding/json"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// streamEvent is an event of a chat completion or completion stream.
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

// wholeAnswer is the document of a request without stream.
type wholeAnswer struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	Choices           []wholeChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int             `json:"index"`
	Message      *wholeMessage   `json:"message,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason *string         `json:"finish_reason"`
}

type wholeMessage struct {
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

// choiceBuilder collects the deltas of one choice.
type choiceBuilder struct {
	role     string
	content  *strings.Builder
	refusal  *strings.Builder
	text     strings.Builder
	tools    []*toolCall
	logprobs []json.RawMessage
	finish   *string
}

// assemble builds the document that the engine would have sent without
// streaming.
func assemble(events []json.RawMessage, chat bool) ([]byte, error) {
	doc := wholeAnswer{Object: "text_completion"}
	if chat {
		doc.Object = "chat.completion"
	}
	var builders []*choiceBuilder
	for _, raw := range events {
		var event streamEvent
		if err := json.Unmarshal(raw, &event); err != nil {
			return nil, errkind.Wrap(err, errkind.TargetFailed, "the target sent a malformed event")
		}
		doc.takeHead(event)
		for _, choice := range event.Choices {
			if choice.Index < 0 || choice.Index >= maxChoices {
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

func (d *wholeAnswer) takeHead(e streamEvent) {
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

func (b *choiceBuilder) add(c streamChoice) {
	if c.Delta.Role != "" {
		b.role = c.Delta.Role
	}
	b.content = appendText(b.content, c.Delta.Content)
	b.refusal = appendText(b.refusal, c.Delta.Refusal)
	b.text.WriteString(c.Text)
	for _, delta := range c.Delta.ToolCalls {
		b.addTool(delta)
	}
	if len(c.Logprobs) > 0 && string(c.Logprobs) != "null" {
		b.logprobs = append(b.logprobs, c.Logprobs)
	}
	if c.FinishReason != nil {
		b.finish = c.FinishReason
	}
}

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

const maxToolCalls = 256 // of one choice

func (b *choiceBuilder) addTool(d toolCallDelta) {
	if d.Index < 0 || d.Index >= maxToolCalls {
		return
	}
	for len(b.tools) <= d.Index {
		b.tools = append(b.tools, &toolCall{Type: "function"})
	}
	t := b.tools[d.Index]
	if d.ID != "" {
		t.ID = d.ID
	}
	if d.Type != "" {
		t.Type = d.Type
	}
	t.Function.Name += d.Function.Name
	t.Function.Arguments += d.Function.Arguments
}

func (b *choiceBuilder) build(index int, chat bool) (wholeChoice, error) {
	logprobs, err := joinLogprobs(b.logprobs)
	if err != nil {
		return wholeChoice{}, err
	}
	c := wholeChoice{Index: index, FinishReason: b.finish, Logprobs: logprobs}
	if !chat {
		text := b.text.String()
		c.Text = &text
		return c, nil
	}
	c.Message = &wholeMessage{Role: "assistant", Content: textOf(b.content), Refusal: textOf(b.refusal), ToolCalls: b.tools}
	if b.role != "" {
		c.Message.Role = b.role
	}
	return c, nil
}

func textOf(b *strings.Builder) *string {
	if b == nil {
		return nil
	}
	s := b.String()
	return &s
}

// joinLogprobs concatenates the arrays of the parts, field by field.
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
