package router

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"mime"
	"net/http"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/route"
	"tarragonridge.example/tarragonridge/internal/logqueue"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Tokens that the upper bound of a prompt allows for the chat template, which
// adds a few tokens per message and per request. The text itself is bounded by
// its bytes: a byte-level tokenizer yields at most one token per byte.
const (
	templateTokensPerMessage = 8
	templateTokensPerRequest = 16
)

const maxChoices = 16 // per request (n, best_of)

// completionBody holds the fields of a completion request that the router
// evaluates. The target receives the body as the caller sent it, except for the
// fields that the sidecar sets.
type completionBody struct {
	Model               string          `json:"model"`
	Messages            chatMessages    `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	ResponseFormat      json.RawMessage `json:"response_format"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	BestOf              *int64          `json:"best_of"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// chatMessages is what the router needs of the messages of a chat. Most are not kept: a list
// of small ones would cost many times its text.
type chatMessages struct {
	count      int64
	tokenBound int64
	prefix     []byte        // begins the texts, each with a NUL byte at its end
	first      []chatMessage // up to maxKeptMessages
}

// maxKeptMessages are those that may identify parts of a prompt, and the request's own.
const maxKeptMessages = quarantine.MaxParts + 1

// UnmarshalJSON implements json.Unmarshaler.
func (l *chatMessages) UnmarshalJSON(raw []byte) error {
	*l = chatMessages{}
	return eachElement(raw, func(element json.RawMessage) error {
		var m chatMessage
		if err := m.UnmarshalJSON(element); err != nil {
			return err
		}
		l.count++
		l.tokenBound += m.bytes + templateTokensPerMessage
		if len(l.first) < maxKeptMessages {
			l.first = append(l.first, m)
		}
		if len(l.prefix) <= promptPrefixBytes {
			l.prefix = append(append(l.prefix, m.text...), 0)
		}
		return nil
	})
}

// eachElement calls a function with each element of a JSON list, which is valid only until it
// returns. null has none.
func eachElement(raw []byte, use func(json.RawMessage) error) error {
	if string(bytes.TrimSpace(raw)) == "null" {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return errkind.New(errkind.InvalidRequest, "a list was expected")
	}
	var element json.RawMessage
	for decoder.More() {
		element = element[:0]
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		if err := use(element); err != nil {
			return err
		}
	}
	return nil
}

// chatMessage is one message of a chat. Its token bound is derived from the raw
// bytes, so that it also covers fields that this type does not know.
type chatMessage struct {
	text  string // content, or its JSON if the content is not a string
	bytes int64  // size of the message, without the JSON escapes of a string content
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *chatMessage) UnmarshalJSON(raw []byte) error {
	var fields struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	m.bytes = int64(len(raw))
	var text string
	if json.Unmarshal(fields.Content, &text) == nil {
		m.text = text
		// The content is counted without its JSON escapes and quotes, which make
		// the raw form longer than the text. Everything else is counted raw.
		m.bytes += int64(len(text) - len(fields.Content))
	} else {
		m.text = string(fields.Content)
	}
	return nil
}

// parseCompletion validates the body of a completion request.
func parseCompletion(body []byte, chat bool) (*completionBody, error) {
	if !utf8.Valid(body) {
		return nil, errkind.New(errkind.InvalidRequest, "the body is not valid UTF-8")
	}
	var c completionBody
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the body is not a valid request: %s", logqueue.Text(err.Error()))
	}
	switch {
	case c.Model == "":
		return nil, errkind.New(errkind.InvalidRequest, "model is missing")
	case chat && c.Messages.count == 0:
		return nil, errkind.New(errkind.InvalidRequest, "messages is missing or empty")
	case !chat && len(c.Prompt) == 0:
		return nil, errkind.New(errkind.InvalidRequest, "prompt is missing")
	}
	return &c, c.validateNumbers()
}

// validateNumbers checks that the numeric fields are in range.
func (c *completionBody) validateNumbers() error {
	fields := []struct {
		name  string
		value *int64
		max   int64
	}{
		{"max_tokens", c.MaxTokens, 1 << 31},
		{"max_completion_tokens", c.MaxCompletionTokens, 1 << 31},
		{"n", c.N, maxChoices},
		{"best_of", c.BestOf, maxChoices},
	}
	for _, f := range fields {
		if f.value == nil {
			continue
		}
		if *f.value < 1 || *f.value > f.max {
			return errkind.New(errkind.InvalidRequest, "%s is %d, must be from 1 to %d", f.name, *f.value, f.max)
		}
	}
	return nil
}

// promptTokenBound returns an upper bound of the prompt tokens.
func (c *completionBody) promptTokenBound() int64 {
	bound := templateTokensPerRequest + c.Messages.tokenBound
	bound += int64(len(c.Prompt) + len(c.Tools) + len(c.Functions) + len(c.ResponseFormat))
	return bound
}

// outputCap returns the maximum number of output tokens over all choices.
func (c *completionBody) outputCap(model policy.Model, preset policy.Preset) (int64, error) {
	perChoice := preset.DefaultOutputTokens
	if c.MaxTokens != nil {
		perChoice = *c.MaxTokens
	}
	if c.MaxCompletionTokens != nil {
		perChoice = *c.MaxCompletionTokens
	}
	if model.MaxOutputTokens > 0 && perChoice > model.MaxOutputTokens {
		if c.MaxTokens != nil || c.MaxCompletionTokens != nil {
			return 0, errkind.New(errkind.InvalidRequest, "max_tokens is %d, model %s allows %d", perChoice, c.Model, model.MaxOutputTokens)
		}
		perChoice = model.MaxOutputTokens
	}
	return perChoice * c.sequenceCount(), nil
}

// sequenceCount returns the maximum number of sequences that the engine
// generates.
func (c *completionBody) sequenceCount() int64 {
	n := int64(1)
	if c.N != nil {
		n = *c.N
	}
	if c.BestOf != nil {
		n = max(n, *c.BestOf)
	}
	return n * c.promptCount()
}

// promptCount returns the number of prompts. The prompt of a completion request
// may be a list of texts or of token lists, and the choices are generated for
// each.
func (c *completionBody) promptCount() int64 {
	var count int64
	var first byte
	err := eachElement(c.Prompt, func(element json.RawMessage) error {
		if count == 0 {
			first = element[0]
		}
		count++
		return nil
	})
	if err == nil && (first == '"' || first == '[') {
		return count
	}
	return 1
}

// promptPrefix returns the start of the prompt, by which the target choice
// groups requests.
func (c *completionBody) promptPrefix() string {
	var b bytes.Buffer
	b.Write(c.Messages.prefix)
	b.Write(c.Prompt)
	return b.String()
}

// promptPrefixBytes is enough text to cover the prefix on which affinity is
// based.
const promptPrefixBytes = 4096

func (r *Router) chatCompletions(c *echo.Context) error { return r.serveCompletion(c, true) }

func (r *Router) completions(c *echo.Context) error { return r.serveCompletion(c, false) }

// serveCompletion handles a chat completion or text completion request.
func (r *Router) serveCompletion(c *echo.Context, chat bool) error {
	caller, err := r.admitCaller(c)
	if err != nil {
		return err
	}
	defer caller.release()
	if err := requireJSON(c.Request()); err != nil {
		return err
	}
	body, err := r.readBody(c)
	if err != nil {
		return err
	}
	parsed, err := parseCounted(c.Request().Context(), body, chat)
	if err != nil {
		return err
	}
	req, err := r.newCompletionRequest(c, caller, parsed, body)
	if err != nil {
		return err
	}
	if parsed.Stream {
		req.sink = newSSESink(c.Response(), parsed.StreamOptions.IncludeUsage, caller.requestID)
	} else {
		req.sink = newJSONSink(c.Response(), chat, parsed.sequenceCount()-1, caller.requestID)
	}
	return r.serveRequest(c, caller, req)
}

// newCompletionRequest checks that the caller may use the model and builds the
// request.
func (r *Router) newCompletionRequest(c *echo.Context, caller *caller, parsed *completionBody, body []byte) (*request, error) {
	doc := r.config.Current()
	if err := caller.checkModelAllowed(doc, parsed.Model); err != nil {
		return nil, err
	}
	preset := doc.CurrentPreset()
	outputCap, err := parsed.outputCap(doc.Models[parsed.Model], preset)
	if err != nil {
		return nil, err
	}
	req := caller.newRequest(doc, preset)
	req.checkPermitted = func(doc *policy.Document) error { return caller.checkModelAllowed(doc, parsed.Model) }
	req.Kind = wire.CompletionRun
	req.Model = parsed.Model
	req.Method = http.MethodPost
	req.Path = c.Request().URL.Path
	req.ContentType = "application/json"
	req.Body = body
	req.ContentHash = contentHash(req.Path, body)
	req.parts = parsed.promptParts()
	req.OutputCap = outputCap
	req.Reserved = parsed.promptTokenBound() + outputCap
	req.pool = modelPool(parsed.Model)
	req.query.PrefixHash = route.PrefixHash(parsed.Model, parsed.promptPrefix())
	req.idempotent = true
	return req, nil
}

func modelPool(name string) string   { return "model:" + name }
func servicePool(name string) string { return "service:" + name }

// contentHash identifies a request by its content. It joins two 64-bit hashes
// with independent seeds, which makes an accidental collision within a team
// negligible.
func contentHash(path string, body []byte) string {
	var d xxhash.Digest
	d.ResetWithSeed(0)
	_, _ = d.WriteString(path)
	_, _ = d.Write(body)
	sum := d.Sum(nil)
	d.ResetWithSeed(1)
	_, _ = d.WriteString(path)
	_, _ = d.Write(body)
	return hex.EncodeToString(d.Sum(sum))
}

// requireJSON returns an error unless the request body is declared as JSON.
func requireJSON(req *http.Request) error {
	contentType, _, err := mime.ParseMediaType(req.Header.Get("Content-Type"))
	if err != nil || contentType != "application/json" {
		return errkind.New(errkind.UnsupportedMediaType, "Content-Type is %q, must be application/json", req.Header.Get("Content-Type"))
	}
	return nil
}
