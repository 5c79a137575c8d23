package run

import (
	"encoding/json"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Meter counts the tokens of a completion. Each event with content counts as
// one token per choice until the engine reports usage, and the larger of the
// two counts holds.
type Meter struct {
	cap      int64 // output tokens; 0 or less means no bound
	reserved int64
	prompt   int64 // exact, 0 until known
	counted  int64
	reported int64 // output tokens by the engine's usage
	finished map[int]bool
	seen     map[int]bool // choices that produced content
	exceeded bool
	failed   bool            // the engine reported an error in the stream
	last     json.RawMessage // latest event with choices
}

// streamEvent is the part of an engine's event that the sidecar reads.
type streamEvent struct {
	Choices []streamChoice  `json:"choices"`
	Usage   streamUsage     `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// closingEvent is an event that finishes choices. Its head is that of the
// events before it.
type closingEvent struct {
	ID      string         `json:"id,omitempty"`
	Object  string         `json:"object,omitempty"`
	Created int64          `json:"created,omitempty"`
	Model   string         `json:"model,omitempty"`
	Choices []closedChoice `json:"choices"`
	Usage   *streamUsage   `json:"usage,omitempty"`
}

type closedChoice struct {
	Index        int      `json:"index"`
	Delta        struct{} `json:"delta"`
	FinishReason string   `json:"finish_reason"`
}

type streamChoice struct {
	Index        int         `json:"index"`
	Text         string      `json:"text"`
	Delta        streamDelta `json:"delta"`
	FinishReason string      `json:"finish_reason"`
}

type streamDelta struct {
	Content          string          `json:"content"`
	ReasoningContent string          `json:"reasoning_content"`
	Refusal          string          `json:"refusal"`
	ToolCalls        json.RawMessage `json:"tool_calls"`
}

type streamUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func (c streamChoice) hasContent() bool {
	d := c.Delta
	return c.Text != "" || d.Content != "" || d.ReasoningContent != "" || d.Refusal != "" || d.hasToolCalls()
}

// hasToolCalls reports whether the field carries anything. Some engines send
// null or an empty list with every event.
func (d streamDelta) hasToolCalls() bool {
	calls := string(d.ToolCalls)
	return calls != "" && calls != "null" && calls != "[]"
}

// NewMeter returns a meter for a run.
func NewMeter(s wire.StartRun) Meter {
	return Meter{cap: s.OutputCap, reserved: s.Reserved, finished: map[int]bool{}, seen: map[int]bool{}}
}

// take counts an event and returns its decoded form. It returns false if the
// event carries tokens beyond the cap and must not be passed on.
func (m *Meter) take(raw json.RawMessage) (streamEvent, bool) {
	var ev streamEvent
	if m.exceeded {
		return ev, false
	}
	if json.Unmarshal(raw, &ev) != nil {
		return streamEvent{}, true // a payload of unknown form carries no countable tokens
	}
	tokens := contentChoices(ev)
	if m.cap > 0 && tokens > 0 && m.outputWith(ev, tokens) > m.cap {
		m.exceeded = true
		m.counted += tokens
		m.noteUsage(ev.Usage)
		return ev, false
	}
	m.counted += tokens
	m.note(ev)
	if len(ev.Choices) > 0 {
		m.last = raw
	}
	return ev, true
}

func contentChoices(ev streamEvent) int64 {
	var n int64
	for _, c := range ev.Choices {
		if c.hasContent() {
			n++
		}
	}
	return n
}

func (m *Meter) note(ev streamEvent) {
	for _, c := range ev.Choices {
		m.seen[c.Index] = true
		if c.FinishReason != "" {
			m.finished[c.Index] = true
		}
	}
	m.noteUsage(ev.Usage)
	if len(ev.Error) > 0 && string(ev.Error) != "null" {
		m.failed = true
	}
}

func (m *Meter) noteUsage(u streamUsage) {
	m.prompt = max(m.prompt, u.PromptTokens)
	m.reported = max(m.reported, u.CompletionTokens)
}

// outputWith returns the output tokens once an event has been counted.
func (m *Meter) outputWith(ev streamEvent, tokens int64) int64 {
	return max(m.OutputTokens()+tokens, ev.Usage.CompletionTokens)
}

// OutputTokens returns the output tokens known so far.
func (m *Meter) OutputTokens() int64 { return max(m.counted, m.reported) }

// PromptTokens returns the exact prompt tokens, 0 until the engine reports them.
func (m *Meter) PromptTokens() int64 { return m.prompt }

// AtCap reports whether the cap is reached while a choice is unfinished.
func (m *Meter) AtCap() bool {
	return m.cap > 0 && m.OutputTokens() >= m.cap && !m.Finished()
}

// CapExceeded reports whether the engine produced a token beyond the cap.
func (m *Meter) CapExceeded() bool { return m.exceeded }

// Finished reports whether every choice seen has a finish reason.
func (m *Meter) Finished() bool {
	return len(m.seen) > 0 && len(m.finished) == len(m.seen)
}

// closing returns an event that finishes the open choices with the reason
// "length", or nil if there are none.
func (m *Meter) closing() json.RawMessage {
	var ev closingEvent
	_ = json.Unmarshal(m.last, &ev) // without an event before it, the head stays empty
	ev.Choices, ev.Usage = nil, nil
	for i := range m.seen {
		if !m.finished[i] {
			ev.Choices = append(ev.Choices, closedChoice{Index: i, FinishReason: "length"})
		}
	}
	if len(ev.Choices) == 0 {
		return nil
	}
	raw, err := json.Marshal(ev)
	if err != nil {
		return nil
	}
	return raw
}

// usageEvent returns the usage of an answer that was ended at the cap. The
// engine, which goes on, has not sent it.
func (m *Meter) usageEvent() json.RawMessage {
	if m.cap <= 0 {
		return nil
	}
	prompt, output, _ := m.charge()
	output = min(output, m.cap)
	var ev closingEvent
	_ = json.Unmarshal(m.last, &ev) // without an event before it, the head stays empty
	ev.Choices = []closedChoice{}
	ev.Usage = &streamUsage{PromptTokens: prompt, CompletionTokens: output, TotalTokens: prompt + output}
	raw, err := json.Marshal(ev)
	if err != nil {
		return nil
	}
	return raw
}

// charge returns the prompt tokens, output tokens and charge of a completion
// that reached the engine. A prompt count that the engine never reported is
// replaced by its bound, the reservation less the cap. The sum is never above
// the reservation.
func (m *Meter) charge() (prompt, output, charged int64) {
	prompt = m.prompt
	if prompt == 0 {
		prompt = max(0, m.reserved-max(0, m.cap))
	}
	output = m.OutputTokens()
	return prompt, output, max(0, min(prompt+output, m.reserved))
}

// account fills the token fields of a record.
func (e *entry) account(r *ledger.Record, how Ending) {
	r.Reserved = e.start.Reserved
	if how.NotCharged {
		return
	}
	if e.start.Kind == wire.ServiceRun {
		r.Charged = max(0, e.start.Reserved)
		return
	}
	r.PromptTokens, r.OutputTokens, r.Charged = e.meter.charge()
	if how.Outcome != ledger.Complete {
		r.Charged = max(r.Charged, min(r.Charged+ledger.MaxUnseenTokens, r.Reserved))
	}
}
