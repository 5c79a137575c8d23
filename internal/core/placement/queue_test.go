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
	assert.Equal(t, q.Load(start, shared), Load{WaitingTokens: 900, CachedTokens: 700, Running: 1, HeldTokens: 900, MemoryTokens: 2000})
	q.Begin(start, 2, shared)
	assert.Equal(t, q.Load(start, promptOf(500, Part{1, 400}, Part{3, 450})), Load{WaitingTokens: 1100, CachedTokens: 400, Running: 2, HeldTokens: 1100, MemoryTokens: 2000})
	q.FirstEvent(start, 1)
	q.FirstEvent(start, 1)
	assert.Equal(t, q.Load(start, promptOf(1)), Load{WaitingTokens: 200, Running: 2, HeldTokens: 1100, MemoryTokens: 2000})
	q.End(2)
	q.End(2)
	assert.Equal(t, q.Load(start, promptOf(1)), Load{Running: 1, HeldTokens: 900, MemoryTokens: 2000})
	q.Begin(start, 3, promptOf(900, Part{9, 900}))
	assert.Equal(t, q.Load(start, shared).CachedTokens, int64(0), "the least recently used parts have yielded")
}

// Guards against prompts that count for good after their gateway has ended or a message
// was lost.
func TestQueueForgetsWhatIsNotReported(t *testing.T) {
	q := NewQueue()
	q.Begin(start, 1, promptOf(900))
	q.Begin(start.Add(time.Second), 2, promptOf(100))
	assert.Equal(t, q.Load(start.Add(maxPromptWait), promptOf(1)), Load{WaitingTokens: 100, Running: 2, HeldTokens: 1000})
	assert.Equal(t, q.Load(start.Add(maxRun), promptOf(1)), Load{Running: 1, HeldTokens: 100})
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
			assert.Equal(t, Choose(Request{Prompt: p, Slots: 4}, l), want, "%v", l)
		}
	}
	assert.Equal(t, Choose(Request{Prompt: p}, []*Load{full, idle}), 0, "no limit, equal cost")
}

// Guards against a request that goes to an engine whose memory it does not fit into beside
// what runs there, and against a choice by tokens where times are known.
func TestChooseByTimeAndMemory(t *testing.T) {
	p := promptOf(1000)
	fast, slow := Pace{Read: 20 * time.Millisecond}, Pace{Read: 60 * time.Millisecond}
	for name, c := range map[string]struct {
		r     Request
		loads []*Load
		want  int
	}{
		"slow engine":           {Request{Prompt: p}, []*Load{{Pace: slow}, {Pace: fast, WaitingTokens: 1000, Wait: 20 * time.Millisecond}}, 1},
		"unknown pace":          {Request{Prompt: p, Usual: fast}, []*Load{{Pace: slow}, {}}, 1},
		"no pace":               {Request{Prompt: p}, []*Load{{WaitingTokens: 10}, {}}, 1},
		"memory":                {Request{Prompt: p}, []*Load{{Pace: fast, HeldTokens: 8100, MemoryTokens: 10_000}, {Pace: slow, HeldTokens: 10, MemoryTokens: 10_000}}, 1},
		"read of a long prompt": {Request{Prompt: p}, []*Load{{Pace: fast, WaitingTokens: 10_000, Wait: 5 * time.Millisecond}, {Pace: fast, WaitingTokens: 1000, Wait: 40 * time.Millisecond}}, 1},
		"more than all memory":  {Request{Prompt: p}, []*Load{{Pace: fast, HeldTokens: 9900, MemoryTokens: 10_000}, {Pace: slow, HeldTokens: 9500, MemoryTokens: 10_000}}, 0},
	} {
		assert.Equal(t, Choose(c.r, c.loads), c.want, name)
	}
}

// Guards against a wait that does not tell what an overdue prompt shows, and against an
// estimate that a lost message spoils.
func TestWaitFollowsTheEngine(t *testing.T) {
	q, now := NewQueue(), start
	read := func(took time.Duration) {
		q.Begin(now, 1, promptOf(2048-promptOverhead))
		now = now.Add(took)
		q.FirstEvent(now, 1)
		q.End(1)
		now = now.Add(time.Second)
	}
	for range 40 {
		read(40 * time.Millisecond)
	}
	near := func(got, want time.Duration) {
		t.Helper()
		assert.Assert(t, got > want*9/10 && got < want*11/10, "%v instead of %v", got, want)
	}
	near(q.Load(now, promptOf(1)).Pace.Read, 20*time.Millisecond)
	read(maxPromptWait) // the message is lost
	read(40 * time.Millisecond)
	near(q.Load(now, promptOf(1)).Pace.Read, 20*time.Millisecond)
	q.Begin(now, 2, promptOf(2048-promptOverhead))
	near(q.Load(now, promptOf(1)).Wait, 40*time.Millisecond)
	near(q.Load(now.Add(20*time.Millisecond), promptOf(1)).Wait, 20*time.Millisecond)
	near(q.Load(now.Add(400*time.Millisecond), promptOf(1)).Wait, 360*time.Millisecond)
}

// Guards against a queue whose memory is used up by parts that have no tokens, or few, as
// callers name them.
func TestPartsAreBounded(t *testing.T) {
	q := NewQueue()
	q.SetMemory(1 << 30)
	for i := range uint64(3 * maxParts) {
		q.Begin(start, i, Prompt{Tokens: 10, Parts: []Part{{Hash: 2 * i, Tokens: 0}, {Hash: 2*i + 1, Tokens: 1}}})
		q.End(i)
	}
	assert.Equal(t, len(q.parts), maxParts)
	assert.Equal(t, q.recency.Len(), maxParts)
}
