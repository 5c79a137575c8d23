package load

import (
	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// matcher compares an answer with the text that `echo:<word>` asks for, piece
// by piece and in constant memory.
type matcher struct {
	word    string
	rest    string // what is left of the current token
	started int    // tokens of which a byte has arrived
	wrong   bool
}

// feed takes the next piece of the answer.
func (m *matcher) feed(text string) {
	for text != "" && !m.wrong {
		if m.rest == "" {
			m.rest = sim.EchoToken(m.word, m.started)
			m.started++
		}
		n := min(len(text), len(m.rest))
		m.wrong = text[:n] != m.rest[:n]
		text, m.rest = text[n:], m.rest[n:]
	}
}

// tokens returns how many tokens have arrived to their end.
func (m *matcher) tokens() int {
	if m.rest != "" {
		return m.started - 1
	}
	return m.started
}

// verdict says how a request ended.
type verdict string

const (
	complete   verdict = "complete"
	wrong      verdict = "wrong"      // text of another request, or altered
	incomplete verdict = "incomplete" // declared complete, but tokens are missing or too many
	refused    verdict = "refused"    // final refusal or error answer
	broken     verdict = "broken"     // connection ended without an answer
	expired    verdict = "expired"    // the caller gave up
)

// ending is what a completion reported at its end.
type ending struct {
	finish string // finish_reason
	usage  int    // completion tokens; -1 if not reported
	done   bool   // the answer ended as its format demands
}

// judge decides on a completion that was not refused. An answer without its
// end is broken, thus repeated with its key.
func judge(m *matcher, end ending, maxTokens int, exact bool) verdict {
	switch {
	case m.wrong:
		return wrong
	case !end.done:
		return broken
	case end.finish != "length" && end.finish != "stop":
		return incomplete
	case m.rest != "" || m.tokens() > maxTokens:
		return incomplete
	case end.usage >= 0 && end.usage != m.tokens():
		return incomplete
	case (exact || end.finish == "length") && m.tokens() != maxTokens:
		return incomplete
	}
	return complete
}

// judgeService compares the reference that a service repeats, if it does.
func judgeService(ref, word string) verdict {
	if ref != "" && ref != word {
		return wrong
	}
	return complete
}
