package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"
)

// completionRequest holds the fields of both completion endpoints that the
// stand-in uses. Priority and IgnoreEOS are extensions of the OpenAI format that
// inference engines offer.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	Seed                uint64          `json:"seed"`
	IgnoreEOS           bool            `json:"ignore_eos"`
	Priority            int             `json:"priority"`
}

type streamOptions struct {
	IncludeUsage         bool `json:"include_usage"`
	ContinuousUsageStats bool `json:"continuous_usage_stats"` // send the usage with every chunk
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// usage reports token counts in the OpenAI format.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// completionResponse is a whole completion or one event of a streamed one.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // Unix seconds
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// text returns the prompt that the simulation runs: the prompt of a completion, or
// for each chat message its role, a line feed, its text and a line feed.
func (r *completionRequest) text() (string, error) {
	if len(r.Messages) == 0 {
		return promptText(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		content, err := m.text()
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role + "\n" + content + "\n")
	}
	return b.String(), nil
}

func promptText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && text != "" {
		return text, nil
	}
	var prompts []string
	if json.Unmarshal(raw, &prompts) == nil && len(prompts) == 1 && prompts[0] != "" {
		return prompts[0], nil
	}
	return "", badRequest("prompt must be a text or a list of one text")
}

func (m *chatMessage) text() (string, error) {
	switch m.Role {
	case "system", "developer", "user", "assistant", "tool":
	default:
		return "", badRequest("unknown role")
	}
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", badRequest("content must be a text or a list of parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", badRequest("only text parts are supported")
		}
		text += p.Text
	}
	return text, nil
}

// maxTokens returns max_completion_tokens, or max_tokens, its older name, if that is
// not set; 0 if neither is.
func (r *completionRequest) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// invalidReason says why the request is invalid. It is empty for a valid request.
func (r *completionRequest) invalidReason() string {
	switch {
	case r.Model == "":
		return "model is missing"
	case r.N > 1:
		return "n above 1 is not supported"
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return "max_tokens must not be negative"
	case r.IgnoreEOS && r.maxTokens() == 0:
		return "ignore_eos needs max_tokens"
	}
	return ""
}

func badRequest(message string) error {
	return newStatusError(http.StatusBadRequest, "invalid_request_error", message)
}

// readJSON decodes the request body into v.
func readJSON(c *echo.Context, v any) error {
	body, err := io.ReadAll(c.Request().Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newStatusError(http.StatusRequestEntityTooLarge, "invalid_request_error", "the body is too large")
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return badRequest("the body is not valid JSON for this endpoint")
	}
	return nil
}
