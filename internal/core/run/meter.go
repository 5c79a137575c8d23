package run

import (
	"encoding/json"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Meter counts the tokens of a completion. Each event counts as one output
// token per choice with content. If the engine also reports usage, the larger
// of the two counts applies.
type Meter struct {
	outputCap       int64           // output tokens; 0 or less means no limit
	reserved        int64           // tokens reserved for the run; the charge never exceeds them
	promptTokens    int64           // as reported by the engine; 0 if not reported yet
	countedOutput   int64           // output tokens counted from the events
	reportedOutput  int64           // output tokens in the engine's usage
	finishedChoices map[int]bool    // by index: choices with a finish reason
	seenChoices     map[int]bool    // by index: choices that occurred in an event
	capExceeded     bool            // the engine produced a token beyond outputCap
	engineFailed    bool            // the engine reported an error in the stream
	lastChoiceEvent json.RawMessage // latest event with choices
}

// streamEvent holds the fields of an engine's event that the sidecar reads.
type streamEvent struct {
	Choices []streamChoice  `json:"choices"`
	Usage   streamUsage     `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// finalEvent is an event that the sidecar adds to the end of a capped response.
// ID, Object, Created and Model are copied from the engine's last event with choices.
type finalEvent struct {
	ID      string        `json:"id,omitempty"`
	Object  string        `json:"object,omitempty"`
	Created int64         `json:"created,omitempty"`
	Model   string        `json:"model,omitempty"`
	Choices []finalChoice `json:"choices"`
	Usage   *streamUsage  `json:"usage,omitempty"`
}

type finalChoice struct {
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

// hasContent reports whether the event adds output to the choice.
func (c streamChoice) hasContent() bool {
	d := c.Delta
	return c.Text != "" || d.Content != "" || d.ReasoningContent != "" || d.Refusal != "" || d.hasToolCalls()
}

// hasToolCalls reports whether the delta holds a tool call. Some engines send
// null or an empty list in every event.
func (d streamDelta) hasToolCalls() bool {
	calls := string(d.ToolCalls)
	return calls != "" && calls != "null" && calls != "[]"
}

// NewMeter returns a meter for a run.
func NewMeter(s wire.StartRun) Meter {
	return Meter{outputCap: s.OutputCap, reserved: s.Reserved, finishedChoices: map[int]bool{}, seenChoices: map[int]bool{}}
}

// count counts the tokens of an event and returns the decoded event. It returns
// false if the event holds tokens beyond the output cap and must not be passed
// on.
func (m *Meter) count(raw json.RawMessage) (streamEvent, bool) {
	var ev streamEvent
	if m.capExceeded {
		return ev, false
	}
	if json.Unmarshal(raw, &ev) != nil {
		return streamEvent{}, true // an event in an unknown format holds no countable tokens
	}
	tokens := countContentChoices(ev)
	if m.outputCap > 0 && tokens > 0 && m.outputAfter(ev, tokens) > m.outputCap {
		m.capExceeded = true
		m.countedOutput += tokens
		m.recordUsage(ev.Usage)
		return ev, false
	}
	m.countedOutput += tokens
	m.recordEvent(ev)
	if len(ev.Choices) > 0 {
		m.lastChoiceEvent = raw
	}
	return ev, true
}

// countContentChoices returns the number of choices to which the event adds output.
func countContentChoices(ev streamEvent) int64 {
	var n int64
	for _, c := range ev.Choices {
		if c.hasContent() {
			n++
		}
	}
	return n
}

// recordEvent records the choices, usage and error of an event.
func (m *Meter) recordEvent(ev streamEvent) {
	for _, c := range ev.Choices {
		m.seenChoices[c.Index] = true
		if c.FinishReason != "" {
			m.finishedChoices[c.Index] = true
		}
	}
	m.recordUsage(ev.Usage)
	if len(ev.Error) > 0 && string(ev.Error) != "null" {
		m.engineFailed = true
	}
}

func (m *Meter) recordUsage(u streamUsage) {
	m.promptTokens = max(m.promptTokens, u.PromptTokens)
	m.reportedOutput = max(m.reportedOutput, u.CompletionTokens)
}

// outputAfter returns the output tokens that an event with the given number of
// tokens would lead to.
func (m *Meter) outputAfter(ev streamEvent, tokens int64) int64 {
	return max(m.OutputTokens()+tokens, ev.Usage.CompletionTokens)
}

// OutputTokens returns the number of output tokens so far.
func (m *Meter) OutputTokens() int64 { return max(m.countedOutput, m.reportedOutput) }

// PromptTokens returns the number of prompt tokens that the engine reported, or
// 0 if it has not reported them yet.
func (m *Meter) PromptTokens() int64 { return m.promptTokens }

// AtCap reports whether the output cap is reached and a choice is unfinished.
func (m *Meter) AtCap() bool {
	return m.outputCap > 0 && m.OutputTokens() >= m.outputCap && !m.Finished()
}

// CapExceeded reports whether the engine produced a token beyond the output cap.
func (m *Meter) CapExceeded() bool { return m.capExceeded }

// Finished reports whether at least one choice was seen and every choice seen
// has a finish reason.
func (m *Meter) Finished() bool {
	return len(m.seenChoices) > 0 && len(m.finishedChoices) == len(m.seenChoices)
}

// finishEvent returns an event that finishes all unfinished choices with the
// reason "length", or nil if there are none.
func (m *Meter) finishEvent() json.RawMessage {
	var ev finalEvent
	_ = json.Unmarshal(m.lastChoiceEvent, &ev) // if there was no event, the copied fields stay empty
	ev.Choices, ev.Usage = nil, nil
	for i := range m.seenChoices {
		if !m.finishedChoices[i] {
			ev.Choices = append(ev.Choices, finalChoice{Index: i, FinishReason: "length"})
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

// usageEvent returns an event with the usage of a response that the sidecar
// ended at the output cap. The engine has not sent one, because it had not
// finished. It returns nil if the run has no output cap.
func (m *Meter) usageEvent() json.RawMessage {
	if m.outputCap <= 0 {
		return nil
	}
	prompt, output, _ := m.charge()
	output = min(output, m.outputCap)
	var ev finalEvent
	_ = json.Unmarshal(m.lastChoiceEvent, &ev) // if there was no event, the copied fields stay empty
	ev.Choices = []finalChoice{}
	ev.Usage = &streamUsage{PromptTokens: prompt, CompletionTokens: output, TotalTokens: prompt + output}
	raw, err := json.Marshal(ev)
	if err != nil {
		return nil
	}
	return raw
}

// charge returns the prompt tokens, output tokens and charge of a completion
// that reached the engine. If the engine did not report the prompt tokens, their
// upper bound is used: the reservation less the output cap. The charge never
// exceeds the reservation.
func (m *Meter) charge() (prompt, output, charged int64) {
	prompt = m.promptTokens
	if prompt == 0 {
		prompt = max(0, m.reserved-max(0, m.outputCap))
	}
	output = m.OutputTokens()
	return prompt, output, max(0, min(prompt+output, m.reserved))
}

// fillTokenCounts sets the token fields of a run's record.
func (e *entry) fillTokenCounts(r *ledger.Record, ending Ending) {
	r.Reserved = e.start.Reserved
	if ending.NotCharged {
		return
	}
	if e.start.Kind == wire.ServiceRun {
		r.Charged = max(0, e.start.Reserved)
		return
	}
	r.PromptTokens, r.OutputTokens, r.Charged = e.meter.charge()
	if ending.Outcome != ledger.Complete {
		r.Charged = max(r.Charged, min(r.Charged+ledger.MaxUnseenTokens, r.Reserved))
	}
}
