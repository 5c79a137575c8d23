package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// event is a completion or a part of one.
type event struct {
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		Message      struct{ Content string } `json:"message"`
		FinishReason string                   `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
	problem
}

// reader follows one attempt of a stream.
type reader struct {
	client *client
	call   *call
	match  matcher
	end    ending
	failed *refusal // an explicit error event
}

func newReader(c *client, call *call) *reader {
	return &reader{
		client: c,
		call:   call,
		match:  matcher{word: call.word},
		end:    ending{usage: -1},
	}
}

func (c *client) readStream(call *call, body io.Reader) outcome {
	r := newReader(c, call)
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() && !r.end.done && r.failed == nil {
		if data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:")); ok {
			r.take(bytes.TrimSpace(data))
		}
	}
	return r.outcome()
}

func (c *client) readWhole(call *call, body io.Reader) outcome {
	r := newReader(c, call)
	var e event
	if json.NewDecoder(body).Decode(&e) != nil {
		return outcome{verdict: broken}
	}
	if len(e.Choices) > 0 {
		r.match.feed(e.Choices[0].Message.Content)
	}
	r.note(e)
	r.end.done = true
	return r.outcome()
}

func (r *reader) take(data []byte) {
	if string(data) == "[DONE]" {
		r.end.done = true
		return
	}
	var e event
	if json.Unmarshal(data, &e) != nil {
		r.match.wrong = true
		return
	}
	if len(e.Choices) > 0 {
		r.match.feed(e.Choices[0].Delta.Content)
		r.time(time.Now())
	}
	r.note(e)
}

// note keeps the end of the answer or its error.
func (r *reader) note(e event) {
	if len(e.Choices) > 0 && e.Choices[0].FinishReason != "" {
		r.end.finish = e.Choices[0].FinishReason
	}
	if e.Usage != nil {
		r.end.usage = e.Usage.CompletionTokens
	}
	if len(e.Error) > 0 && string(e.Error) != "null" {
		r.failed = streamError(e)
	}
}

// streamError reads an error event; its kind stands in the event or inside the
// error object.
func streamError(e event) *refusal {
	p := e.problem
	if p.Kind == "" {
		_ = json.Unmarshal(e.Error, &p) // a text instead of an object has no kind
	}
	if p.Kind == "" {
		p.Kind, p.Ran = "stream_error", "unknown"
	}
	return &refusal{
		kind:  p.Kind,
		ran:   p.Ran,
		retry: time.Duration(p.RetryAfter * float64(time.Second)),
	}
}

// time records the arrival of tokens that no earlier attempt has received.
func (r *reader) time(now time.Time) {
	call := r.call
	if r.match.started <= call.reached {
		return
	}
	if call.reached == 0 {
		r.client.stats.firstToken(call, now.Sub(call.intended))
	} else {
		r.client.stats.tokenGap(call.kind, now.Sub(call.lastAt))
	}
	call.reached = r.match.started
	call.lastAt = now
}

func (r *reader) outcome() outcome {
	if r.failed != nil && !r.match.wrong {
		return outcome{verdict: refused, refusal: *r.failed}
	}
	return outcome{
		verdict: judge(&r.match, r.end, r.call.maxTokens, r.client.config.ExactLength),
		tokens:  r.match.tokens(),
	}
}
