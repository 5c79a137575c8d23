package load

import (
	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// echoMatcher incrementally compares a completion with the expected response
// to the prompt `echo:<nonce>`, in constant memory.
type echoMatcher struct {
	nonce         string
	remaining     string // unmatched part of the current token
	tokensStarted int    // tokens of which at least one byte has arrived
	mismatch      bool
}

// feed compares the next piece of the completion.
func (m *echoMatcher) feed(text string) {
	for text != "" && !m.mismatch {
		if m.remaining == "" {
			m.remaining = sim.EchoToken(m.nonce, m.tokensStarted)
			m.tokensStarted++
		}
		n := min(len(text), len(m.remaining))
		m.mismatch = text[:n] != m.remaining[:n]
		text, m.remaining = text[n:], m.remaining[n:]
	}
}

// completeTokens returns the number of tokens that have arrived in full.
func (m *echoMatcher) completeTokens() int {
	if m.remaining != "" {
		return m.tokensStarted - 1
	}
	return m.tokensStarted
}

// verdict classifies how a request ended.
type verdict string

const (
	complete   verdict = "complete"
	wrong      verdict = "wrong"      // response text belongs to another request or was altered
	incomplete verdict = "incomplete" // reported as finished, but with missing or surplus tokens
	refused    verdict = "refused"    // final error response
	broken     verdict = "broken"     // connection ended before the response was complete
	expired    verdict = "expired"    // the request timed out or the run ended
)

// completionEnd holds what a completion reports at its end.
type completionEnd struct {
	finishReason     string // finish_reason
	completionTokens int    // usage.completion_tokens; -1 if not reported
	terminated       bool   // the response ended as its format requires, such as with [DONE]
}

// verifyCompletion classifies a completion that was not refused. A response
// without its end is broken and is therefore retried if it has an idempotency
// key.
func verifyCompletion(m *echoMatcher, end completionEnd, maxTokens int, exact bool) verdict {
	switch {
	case m.mismatch:
		return wrong
	case !end.terminated:
		return broken
	case end.finishReason != "length" && end.finishReason != "stop":
		return incomplete
	case m.remaining != "" || m.completeTokens() > maxTokens:
		return incomplete
	case end.completionTokens >= 0 && end.completionTokens != m.completeTokens():
		return incomplete
	case (exact || end.finishReason == "length") && m.completeTokens() != maxTokens:
		return incomplete
	}
	return complete
}

// verifyServiceResponse compares the reference in a service's response, if
// there is one, with the nonce of the request.
func verifyServiceResponse(ref, nonce string) verdict {
	if ref != "" && ref != nonce {
		return wrong
	}
	return complete
}
