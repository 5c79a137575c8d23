package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func promptOf(tokens int64, parts ...Part) Prompt { return Prompt{Tokens: tokens, Parts: parts} }

// Guards against tokens that count as waiting too long or twice, and against parts of a
// prompt that count as cached before an engine has read them or after they have yielded.
func TestQueueCountsWhatWaits(t *testing.T) {
	q := NewQueue()
	q.SetMemory(2 * 1000)
	shared := promptOf(900, Part{1, 400}, Part{2, 700})
	q.Begin(start, 1, shared)
	q.Begin(start, 1, shared) // a repeated message
	assert.Equal(t, q.Load(start, shared), Load{WaitingTokens: 900, CachedTokens: 700, Running: 1})
	q.Begin(start, 2, shared)
	assert.Equal(t, q.Load(start, promptOf(500, Part{1, 400}, Part{3, 450})), Load{WaitingTokens: 1100, CachedTokens: 400, Running: 2})
	q.FirstEvent(1)
	q.FirstEvent(1)
	assert.Equal(t, q.Load(start, promptOf(1)), Load{WaitingTokens: 200, Running: 2})
	q.End(2)
	q.End(2)
	assert.Equal(t, q.Load(start, promptOf(1)), Load{Running: 1})
	q.Begin(start, 3, promptOf(900, Part{9, 900}))
	assert.Equal(t, q.Load(start, shared).CachedTokens, int64(0), "the least recently used parts have yielded")
}

// Guards against prompts that count for good after their gateway has ended or a message
// was lost.
func TestQueueForgetsWhatIsNotReported(t *testing.T) {
	q := NewQueue()
	q.Begin(start, 1, promptOf(900))
	q.Begin(start.Add(time.Second), 2, promptOf(100))
	assert.Equal(t, q.Load(start.Add(maxPromptWait), promptOf(1)), Load{WaitingTokens: 100, Running: 2})
	assert.Equal(t, q.Load(start.Add(maxRun), promptOf(1)), Load{Running: 1})
	assert.Equal(t, q.Load(start.Add(maxRun+time.Second), promptOf(1)), Load{})
	for id := range uint64(maxRequests + 10) {
		q.Begin(start.Add(time.Hour), id, promptOf(1))
	}
	assert.Equal(t, q.Load(start.Add(time.Hour), promptOf(1)).Running, maxRequests)
}

// Guards against a prompt that is placed behind another although an engine is idle, that
// leaves its engine without need, or goes to one that is full or does not answer.
func TestChoose(t *testing.T) {
	p := promptOf(1000, Part{1, 800})
	cached := func(waiting int64) *Load { return &Load{WaitingTokens: waiting, CachedTokens: 800} }
	idle, full := &Load{}, &Load{Running: 4}
	for want, loads := range map[int][][]*Load{
		0: {{cached(0), idle}, {cached(1599), idle}, {idle, idle}, {nil, nil}, {idle, nil}, {{Running: 5}, {Running: 6}}},
		1: {{cached(1601), idle}, {nil, idle}, {full, idle}, {{Running: 6}, {Running: 5}}, {cached(3000), cached(10), idle}},
	} {
		for _, l := range loads {
			assert.Equal(t, Choose(p, 4, l), want, "%v", l)
		}
	}
	assert.Equal(t, Choose(p, 0, []*Load{full, idle}), 0, "no limit, equal cost")
}
