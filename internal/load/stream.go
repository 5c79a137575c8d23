package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// completionEvent is a chat completion or one event of its stream.
type completionEvent struct {
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

// responseReader reads the response to one attempt of a completion.
type responseReader struct {
	client     *client
	call       *call
	matcher    echoMatcher
	end        completionEnd
	errorEvent *refusal // error reported by the response itself
}

func newResponseReader(c *client, call *call) *responseReader {
	return &responseReader{
		client:  c,
		call:    call,
		matcher: echoMatcher{nonce: call.nonce},
		end:     completionEnd{completionTokens: -1},
	}
}

func (c *client) readStream(call *call, body io.Reader) outcome {
	r := newResponseReader(c, call)
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() && !r.end.terminated && r.errorEvent == nil {
		if data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:")); ok {
			r.handleData(bytes.TrimSpace(data))
		}
	}
	return r.outcome()
}

func (c *client) readUnary(call *call, body io.Reader) outcome {
	r := newResponseReader(c, call)
	var e completionEvent
	if json.NewDecoder(body).Decode(&e) != nil {
		return outcome{verdict: broken}
	}
	if len(e.Choices) > 0 {
		r.matcher.feed(e.Choices[0].Message.Content)
	}
	r.recordEnd(e)
	r.end.terminated = true
	return r.outcome()
}

func (r *responseReader) handleData(data []byte) {
	if string(data) == "[DONE]" {
		r.end.terminated = true
		return
	}
	var e completionEvent
	if json.Unmarshal(data, &e) != nil {
		r.matcher.mismatch = true
		return
	}
	if len(e.Choices) > 0 {
		r.matcher.feed(e.Choices[0].Delta.Content)
		r.recordTokenTime(time.Now())
	}
	r.recordEnd(e)
}

// recordEnd records the finish reason, usage and error that an event reports.
func (r *responseReader) recordEnd(e completionEvent) {
	if len(e.Choices) > 0 && e.Choices[0].FinishReason != "" {
		r.end.finishReason = e.Choices[0].FinishReason
	}
	if e.Usage != nil {
		r.end.completionTokens = e.Usage.CompletionTokens
	}
	if len(e.Error) > 0 && string(e.Error) != "null" {
		r.errorEvent = parseStreamError(e)
	}
}

// parseStreamError parses an error event. The error kind is a field of the
// event itself or of its error object.
func parseStreamError(e completionEvent) *refusal {
	p := e.problem
	if p.Kind == "" {
		_ = json.Unmarshal(e.Error, &p) // fails for a string, which has no kind
	}
	if p.Kind == "" {
		p.Kind, p.Ran = "stream_error", "unknown"
	}
	return &refusal{
		kind:       p.Kind,
		ran:        p.Ran,
		retryAfter: time.Duration(p.RetryAfter * float64(time.Second)),
	}
}

// recordTokenTime records the latency of tokens that no earlier attempt has
// received.
func (r *responseReader) recordTokenTime(now time.Time) {
	call := r.call
	if r.matcher.tokensStarted <= call.tokensReceived {
		return
	}
	if call.tokensReceived == 0 {
		r.client.stats.recordFirstToken(call, now.Sub(call.plannedAt))
	} else {
		r.client.stats.recordTokenGap(call.kind, now.Sub(call.lastTokenAt))
	}
	call.tokensReceived = r.matcher.tokensStarted
	call.lastTokenAt = now
}

func (r *responseReader) outcome() outcome {
	if r.errorEvent != nil && !r.matcher.mismatch {
		return outcome{verdict: refused, refusal: *r.errorEvent}
	}
	return outcome{
		verdict: verifyCompletion(&r.matcher, r.end, r.call.maxTokens, r.client.config.ExactLength),
		tokens:  r.matcher.completeTokens(),
	}
}
