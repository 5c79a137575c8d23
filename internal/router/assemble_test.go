package router

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/policy"
)

// rawEvents returns the events of a stream.
func rawEvents(events ...string) []json.RawMessage {
	var out []json.RawMessage
	for _, e := range events {
		out = append(out, json.RawMessage(e))
	}
	return out
}

// Guards against an answer whose tool calls, choices or logprobs are incomplete
// or mixed up, because the events of a stream interleave the choices and split
// tool calls and logprobs into parts.
func TestAssembleChat(t *testing.T) {
	doc, err := assembleResponse(rawEvents(
		`{"id":"x","created":5,"model":"m","choices":[{"index":1,"delta":{"role":"assistant","content":"b"}}]}`,
		`{"choices":[{"index":0,"delta":{"content":"a"},"logprobs":{"content":[{"token":"a"}]}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"f","arguments":"{\"x\""}}]}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"logprobs":{"content":[{"token":"z"}]}}]}`,
		`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"},{"index":1,"delta":{},"finish_reason":"stop"}]}`,
		`{"choices":[],"usage":{"total_tokens":9}}`,
	), true, 1)
	assert.NilError(t, err)
	assert.Equal(t, string(doc), `{"id":"x","object":"chat.completion","created":5,"model":"m","choices":[`+
		`{"index":0,"message":{"role":"assistant","content":"a","refusal":null,"tool_calls":[{"id":"c1","type":"function","function":{"name":"f","arguments":"{\"x\":1}"}}]},"logprobs":{"content":[{"token":"a"},{"token":"z"}]},"finish_reason":"tool_calls"},`+
		`{"index":1,"message":{"role":"assistant","content":"b","refusal":null},"logprobs":null,"finish_reason":"stop"}],"usage":{"total_tokens":9}}`)
}

// Guards against answering with a document that was built from malformed events
// of the target: invalid JSON, or a choice with an index that is out of range.
func TestAssembleRejectsMalformedEvents(t *testing.T) {
	_, err := assembleResponse(rawEvents(`{"choices":[{"index":99}]}`), true, 0)
	assert.ErrorContains(t, err, "choice 99")
	_, err = assembleResponse(rawEvents(`{`), false, 0)
	assert.ErrorContains(t, err, "malformed")
}

// Guards against refusing the answer to a request with several prompts, which has n
// choices for each and so higher indexes than one prompt may have.
func TestAssembleAcceptsTheChoicesOfAllPrompts(t *testing.T) {
	c, err := parseCompletion([]byte(`{"model":"m","prompt":["a","b"],"n":16}`), false)
	assert.NilError(t, err)
	maxIndex := c.sequenceCount() - 1
	_, err = assembleResponse(rawEvents(`{"choices":[{"index":31,"text":"x","finish_reason":"stop"}]}`), false, maxIndex)
	assert.NilError(t, err)
	_, err = assembleResponse(rawEvents(`{"choices":[{"index":32,"text":"x"}]}`), false, maxIndex)
	assert.ErrorContains(t, err, "choice 32")
}

// Guards against a prompt bound below the number of tokens that the engine may
// count, because a part of the request, such as structured content or the
// tools, was left out. The reservation would then be too small.
func TestPromptBoundCoversEveryByte(t *testing.T) {
	body := `{"model":"m","messages":[{"role":"user","content":"h\u00e9llo"},{"role":"user","content":[{"type":"text","text":"abc"}]}],"tools":[{"type":"function"}]}`
	c, err := parseCompletion([]byte(body), true)
	assert.NilError(t, err)
	text := int64(len("héllo") + len(`[{"type":"text","text":"abc"}]`) + len(`[{"type":"function"}]`))
	assert.Assert(t, c.promptTokenBound() >= text+2*templateTokensPerMessage+templateTokensPerRequest)
}

// Guards against reserving tokens for only one prompt when a request contains a
// list of prompts, each of which has its own choices. A list of numbers is a
// single prompt.
func TestChoicesCountPrompts(t *testing.T) {
	for body, want := range map[string]int64{
		`{"model":"m","prompt":"a"}`:                 1,
		`{"model":"m","prompt":["a","b"],"n":3}`:     6,
		`{"model":"m","prompt":[[1,2],[3]]}`:         2,
		`{"model":"m","prompt":[1,2,3],"best_of":2}`: 2,
	} {
		c, err := parseCompletion([]byte(body), false)
		assert.NilError(t, err)
		assert.Equal(t, c.sequenceCount(), want, body)
	}
}

// Guards against invalid numbers that cost the team tokens or overflow the
// reservation, and against passing on a body that is not a valid request.
func TestParseCompletionRejects(t *testing.T) {
	for name, body := range map[string]string{
		"negative max_tokens": `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`,
		"zero n":              `{"model":"m","messages":[{"role":"user","content":"x"}],"n":0}`,
		"huge max_tokens":     `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":99999999999999}`,
		"no messages":         `{"model":"m"}`,
		"no model":            `{"messages":[{"role":"user","content":"x"}]}`,
		"not JSON":            `{"model":`,
		"invalid UTF-8":       "{\"model\":\"m\xff\"}",
	} {
		_, err := parseCompletion([]byte(body), true)
		assert.ErrorContains(t, err, "invalid_request", name)
	}
}

// Guards against bodies that make the parser panic or lead to a prompt bound that
// is negative or out of proportion to the body.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","prompt":["a","b"],"n":2}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := parseCompletion(body, chat)
		if err != nil {
			return
		}
		if bound := c.promptTokenBound(); bound < 0 || bound > int64(20*len(body)+templateTokensPerRequest) {
			t.Fatalf("prompt bound %d of a body of %d bytes", bound, len(body))
		}
	})
}

// Guards against errors that repeat what a caller sent, many times as long once it is quoted
// and encoded.
func TestErrorsDoNotRepeatLongTexts(t *testing.T) {
	const long, most = 1 << 20, 4 << 10
	_, err := parseCompletion([]byte(`{"model":"m","messages":[{}],"max_tokens":`+strings.Repeat("1", long)+`}`), true)
	assert.ErrorContains(t, err, "not a valid request")
	assert.Assert(t, len(err.Error()) < most, "%d bytes", len(err.Error()))
	err = (&caller{}).checkModelAllowed(&policy.Document{}, strings.Repeat("\x7f", long))
	assert.ErrorContains(t, err, "not served here")
	assert.Assert(t, len(err.Error()) < most, "%d bytes", len(err.Error()))
}
