package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

func testConfig() Config {
	c := DefaultConfig()
	c.StepBase = 10 * time.Millisecond
	c.StepPerSequence = time.Millisecond
	c.PrefillPerToken = 100 * time.Microsecond
	c.EventDropRate = 0
	return c
}

func newEngine(t testing.TB, c Config) *Engine {
	e, err := New(c)
	assert.NilError(t, err)
	return e
}

// runUntilIdle advances the engine until it is idle and returns the end of its
// last step.
func runUntilIdle(e *Engine) (tokens []Token, end time.Time) {
	for next, ok := e.NextStepEnd(); ok; next, ok = e.NextStepEnd() {
		tokens = append(tokens, e.Advance(next).Tokens...)
		end = next
	}
	return tokens, end
}

func exactLengthRequest(id, prompt string, tokens int) Request {
	return Request{ID: id, Prompt: prompt, MaxTokens: tokens, IgnoreEOS: true}
}

// Guards against a wrong step time: it is the base plus the parts for running
// sequences and for computed prompt tokens.
func TestStepTimes(t *testing.T) {
	e := newEngine(t, testConfig())
	assert.NilError(t, e.Submit(testStart, exactLengthRequest("a", strings.Repeat("x", 400), 2)))
	assert.NilError(t, e.Submit(testStart, exactLengthRequest("b", strings.Repeat("y", 400), 1)))
	first, _ := e.NextStepEnd()
	assert.Equal(t, first.Sub(testStart), 21*time.Millisecond) // 10 + 1 sequence + 100 tokens
	assert.Equal(t, len(e.Advance(first).Tokens), 1)
	second, _ := e.NextStepEnd()
	assert.Equal(t, second.Sub(first), 22*time.Millisecond) // 10 + 2 sequences + 100 tokens of b
	assert.Equal(t, len(e.Advance(second).Tokens), 2)
	_, busy := e.NextStepEnd()
	assert.Assert(t, !busy)
}

// Guards against computing the tokens of a cached prefix again when a second
// request has the same prompt.
func TestCachedPrefixSkipsPrefill(t *testing.T) {
	e := newEngine(t, testConfig())
	prompt := strings.Repeat("x", 64*10) + "tail"
	assert.NilError(t, e.Submit(testStart, exactLengthRequest("a", prompt, 1)))
	_, end := runUntilIdle(e)
	assert.NilError(t, e.Submit(end, exactLengthRequest("b", prompt, 1)))
	tokens, next := runUntilIdle(e)
	assert.Equal(t, tokens[0].CachedTokens, 160)
	assert.Equal(t, next.Sub(end), 11*time.Millisecond+100*time.Microsecond)
}

// Guards against admitting a request before a waiting one of higher priority.
func TestPriorityOrder(t *testing.T) {
	c := testConfig()
	c.MaxBatch = 1
	e := newEngine(t, c)
	for i, priority := range []int{0, 1, 5, 5} {
		r := exactLengthRequest(fmt.Sprint(i), "p", 1)
		r.Priority = priority
		assert.NilError(t, e.Submit(testStart, r))
	}
	tokens, _ := runUntilIdle(e)
	order := ""
	for _, token := range tokens {
		order += token.ID
	}
	assert.Equal(t, order, "0231")
}

// Guards against output beyond MaxTokens, except with an OverrunFactor, and against
// an output of another length than MaxTokens with IgnoreEOS.
func TestOutputLengthNeverExceedsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, _ := New(testConfig())
		r := Request{ID: "a", Prompt: rapid.StringN(1, 50, -1).Draw(t, "prompt")}
		r.MaxTokens = rapid.IntRange(1, 300).Draw(t, "max")
		r.IgnoreEOS = rapid.Bool().Draw(t, "ignore")
		if e.Submit(testStart, r) != nil {
			t.Fatal("the request was rejected")
		}
		tokens, _ := runUntilIdle(e)
		if len(tokens) > r.MaxTokens || (r.IgnoreEOS && len(tokens) != r.MaxTokens) {
			t.Fatalf("got %d tokens", len(tokens))
		}
	})
	e := newEngine(t, testConfig())
	r := exactLengthRequest("a", "p", 10)
	r.OverrunFactor = 1.5
	assert.NilError(t, e.Submit(testStart, r))
	tokens, _ := runUntilIdle(e)
	assert.Equal(t, len(tokens), 15)
}

// Guards against a cache that exceeds its memory or leaks blocks, for any order of
// submissions, cancellations and imports.
func TestCacheStaysWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig()
		c.CacheBlocks = 40
		c.MaxBatch = 4
		e, _ := New(c)
		now := testStart
		for i := range rapid.IntRange(1, 60).Draw(t, "operations") {
			prefix := strings.Repeat(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "prefix"), 64)
			prompt := strings.Repeat(prefix, rapid.IntRange(0, 12).Draw(t, "blocks")) + "end"
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				e.Cancel(now, fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id")))
			case 1:
				e.ImportPrefix(now, BlockHashes(prompt))
			default:
				if err := e.Submit(now, exactLengthRequest(fmt.Sprint(i), prompt, rapid.IntRange(1, 40).Draw(t, "max"))); err != nil {
					t.Fatal(err)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			e.Advance(now)
			if used := e.cache.used(); used > c.CacheBlocks || e.cache.privateBlocks < 0 {
				t.Fatalf("%d blocks in use, %d of them private", used, e.cache.privateBlocks)
			}
		}
		runUntilIdle(e)
		if e.cache.privateBlocks != 0 || e.cache.lru.Len() != len(e.cache.blocks) {
			t.Fatal("the idle engine holds private or pinned blocks")
		}
	})
}

// Guards against a load report that ignores LoadLag and shows the start or the end
// of a sequence at once.
func TestLoadReportLags(t *testing.T) {
	c := testConfig()
	c.LoadLag = 100 * time.Millisecond
	e := newEngine(t, c)
	assert.NilError(t, e.Submit(testStart, exactLengthRequest("a", "p", 1000)))
	assert.Equal(t, e.Load(testStart.Add(99*time.Millisecond)).Running, 0)
	assert.Equal(t, e.Load(testStart.Add(100*time.Millisecond)).Running, 1)
	cancelled := testStart.Add(200 * time.Millisecond)
	e.Cancel(cancelled, "a")
	assert.Equal(t, e.Load(cancelled.Add(99*time.Millisecond)).Running, 1)
	report := e.Load(cancelled.Add(100 * time.Millisecond))
	assert.Equal(t, report.Running, 0)
	assert.Equal(t, report.AsOf, cancelled)
}

// Guards against cache events that become visible before EventDelay, and against
// drops that ignore EventDropRate or differ between engines with the same seed.
func TestCacheEventsAreLateWithSeededGaps(t *testing.T) {
	c := testConfig()
	c.EventDropRate = 0.3
	c.EventDelay = 50 * time.Millisecond
	events := func() []CacheEvent {
		e := newEngine(t, c)
		assert.Equal(t, e.ImportPrefix(testStart, BlockHashes(strings.Repeat("x", 64*100))), 100)
		assert.Equal(t, len(e.CacheEvents(testStart.Add(49*time.Millisecond), 0, 1000)), 0)
		return e.CacheEvents(testStart.Add(50*time.Millisecond), 0, 1000)
	}
	seen := events()
	assert.Assert(t, len(seen) > 50 && len(seen) < 90, "%d events", len(seen))
	assert.DeepEqual(t, seen, events())
}

// Guards against sequences or cached prefixes that survive the crash caused by a
// prompt with the crash marker.
func TestCrashEmptiesEngine(t *testing.T) {
	e := newEngine(t, testConfig())
	long := strings.Repeat("x", 640)
	assert.NilError(t, e.Submit(testStart, exactLengthRequest("a", long, 1)))
	_, end := runUntilIdle(e)
	assert.Equal(t, len(e.ExportPrefix(long)), 10)
	assert.NilError(t, e.Submit(end, exactLengthRequest("b", "please crash-me", 1)))
	next, _ := e.NextStepEnd()
	assert.Assert(t, e.Advance(next).Crashed)
	assert.Equal(t, len(e.ExportPrefix(long)), 0)
	_, busy := e.NextStepEnd()
	assert.Assert(t, !busy)
}

// Guards against counting the time of a pause as part of a step when a request is
// submitted during the pause.
func TestPauseStopsTime(t *testing.T) {
	e := newEngine(t, testConfig())
	e.Pause(testStart)
	assert.NilError(t, e.Submit(testStart.Add(time.Second), exactLengthRequest("a", "p", 1)))
	assert.Equal(t, len(e.Advance(testStart.Add(time.Minute)).Tokens), 0)
	e.Resume(testStart.Add(time.Minute))
	_, end := runUntilIdle(e)
	assert.Equal(t, end.Sub(testStart), time.Minute+11*time.Millisecond+100*time.Microsecond)
}
