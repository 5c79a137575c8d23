package sim

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Submit.
var (
	ErrQueueFull = eris.New("waiting queue is full")
	ErrTooLong   = eris.New("prompt and output exceed the context or the cache memory")
)

// FinishReason tells why the output of a sequence ended.
type FinishReason string

// Finish reasons, with the values of the OpenAI format.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Request describes a sequence to run.
type Request struct {
	ID            string // unique among the queued and running sequences
	Prompt        string
	MaxTokens     int     // limit of the output; 0 means what the context has left after the prompt
	IgnoreEOS     bool    // produce exactly MaxTokens tokens
	Priority      int     // higher is admitted first
	Seed          uint64  // combined with Config.Seed
	OverrunFactor float64 // above 1: exceed MaxTokens by this factor, as a faulty engine would
}

// Token is an output token. Only the last one of a sequence has a FinishReason.
type Token struct {
	ID           string
	Index        int // from 0
	Text         string
	FinishReason FinishReason
	CachedTokens int // prompt tokens found in the prefix cache
}

// Outcome is the result of a call of Advance. Crashed means that a sequence with
// the crash marker in its prompt ran; the engine is empty afterwards.
type Outcome struct {
	Tokens  []Token
	Crashed bool
}

// sequence is a queued or running request.
type sequence struct {
	Request
	output           Output
	hashes           []uint64 // of the full blocks of the prompt
	promptTokens     int
	outputTokens     int // length of the whole output
	finishReason     FinishReason
	producedTokens   int
	cachedTokens     int // prompt tokens taken from the cache
	pinnedBlocks     int // number of leading hashes that it has pinned in the cache
	privateBlocks    int // blocks that it holds besides the pinned ones
	uncomputedTokens int // prompt tokens still to be computed
	scheduledTokens  int // prompt tokens that the current step computes
}

// Engine is a simulated inference engine. It is not safe for concurrent use.
type Engine struct {
	config         Config
	cache          *cache
	events         *eventLog
	loadHistory    loadHistory
	running        []*sequence
	waiting        []*sequence // highest priority first, then oldest
	stepActive     bool
	stepEnd        time.Time
	pausedAt       time.Time // zero unless paused
	lastTime       time.Time // of the latest call or step end; the time of cache events
	stepTimeFactor float64
}

// New returns an idle engine, or an error if the configuration is invalid.
func New(config Config) (*Engine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	e := &Engine{
		config:         config,
		events:         newEventLog(config),
		loadHistory:    loadHistory{lag: config.LoadLag},
		stepTimeFactor: 1,
	}
	e.cache = newCache(config.CacheBlocks, e.onCacheChange)
	return e, nil
}

func (e *Engine) onCacheChange(kind EventKind, hash uint64) {
	e.events.add(e.lastTime, kind, hash)
}

// Submit queues a request. It fails with ErrQueueFull or ErrTooLong.
func (e *Engine) Submit(now time.Time, r Request) error {
	if len(e.waiting) >= e.config.MaxWaiting {
		return ErrQueueFull
	}
	s, err := e.newSequence(r)
	if err != nil {
		return err
	}
	e.lastTime = now
	index := sort.Search(len(e.waiting), func(i int) bool {
		return e.waiting[i].Priority < s.Priority
	})
	e.waiting = slices.Insert(e.waiting, index, s)
	if !e.stepActive && e.pausedAt.IsZero() {
		e.beginStep(now)
	}
	e.recordLoad(now)
	return nil
}

// newSequence chooses the output length of a request and checks that prompt and
// output fit into the context and the cache memory.
func (e *Engine) newSequence(r Request) (*sequence, error) {
	s := &sequence{Request: r, promptTokens: CountTokens(r.Prompt)}
	available := e.config.ContextTokens - s.promptTokens
	limit := r.MaxTokens
	if limit <= 0 || (limit > available && !r.IgnoreEOS) {
		limit = available
	}
	if limit <= 0 || limit > available {
		return nil, ErrTooLong
	}
	s.output = NewOutput(e.config.Seed^r.Seed, r.Prompt)
	s.outputTokens, s.finishReason = e.outputLength(s, limit)
	if blockCount(s.promptTokens+s.outputTokens) > e.config.CacheBlocks {
		return nil, ErrTooLong
	}
	s.hashes = BlockHashes(r.Prompt)
	return s, nil
}

func (e *Engine) outputLength(s *sequence, limit int) (int, FinishReason) {
	if s.OverrunFactor > 1 {
		return int(math.Ceil(float64(limit) * s.OverrunFactor)), FinishLength
	}
	natural := s.output.NaturalLength(e.config.MinOutput, e.config.MaxOutput)
	if s.IgnoreEOS || natural > limit {
		return limit, FinishLength
	}
	return natural, FinishStop
}

func blockCount(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

// Cancel removes a waiting or running sequence. It returns false if there is none
// with this ID.
func (e *Engine) Cancel(now time.Time, id string) bool {
	e.lastTime = now
	match := func(s *sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(e.waiting, match); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.recordLoad(now)
		return true
	}
	i := slices.IndexFunc(e.running, match)
	if i < 0 {
		return false
	}
	e.freeMemory(e.running[i])
	e.running = slices.Delete(e.running, i, i+1)
	e.recordLoad(now)
	return true
}

// NextStepEnd returns the time at which the current step ends and Advance has to
// be called. It returns false while the engine is idle or paused.
func (e *Engine) NextStepEnd() (time.Time, bool) {
	return e.stepEnd, e.stepActive && e.pausedAt.IsZero()
}

// Advance completes every step that has ended by now, beginning a new step after
// each, and returns the tokens that they produced.
func (e *Engine) Advance(now time.Time) Outcome {
	var out Outcome
	for e.pausedAt.IsZero() && e.stepActive && !e.stepEnd.After(now) {
		end := e.stepEnd
		e.lastTime = end
		if e.hasCrashMarker() {
			e.Reset(end)
			return Outcome{Tokens: out.Tokens, Crashed: true}
		}
		out.Tokens = append(out.Tokens, e.finishStep()...)
		e.beginStep(end)
		e.recordLoad(end)
	}
	return out
}

func (e *Engine) hasCrashMarker() bool {
	if e.config.CrashMarker == "" {
		return false
	}
	return slices.ContainsFunc(e.running, func(s *sequence) bool {
		return strings.Contains(s.Prompt, e.config.CrashMarker)
	})
}

// beginStep admits waiting sequences and, if any run, starts the next step.
func (e *Engine) beginStep(at time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch && e.admit(e.waiting[0]) {
		e.running = append(e.running, e.waiting[0])
		e.waiting = slices.Delete(e.waiting, 0, 1)
	}
	e.stepActive = len(e.running) > 0
	if e.stepActive {
		e.stepEnd = at.Add(e.stepTime(e.schedulePrefill()))
	}
}

// admit reserves memory for the whole sequence, prompt and output, so that no
// running sequence ever has to be preempted. It returns false if memory is short.
func (e *Engine) admit(s *sequence) bool {
	matchedBlocks := e.cache.cachedPrefix(s.hashes)
	e.cache.pin(s.hashes[:matchedBlocks])
	neededBlocks := blockCount(s.promptTokens+s.outputTokens) - matchedBlocks
	if !e.cache.reserve(neededBlocks) {
		e.cache.unpin(s.hashes[:matchedBlocks])
		return false
	}
	s.pinnedBlocks = matchedBlocks
	s.privateBlocks = neededBlocks
	s.cachedTokens = max(0, min(matchedBlocks*BlockTokens, s.promptTokens-1))
	s.uncomputedTokens = s.promptTokens - s.cachedTokens
	return true
}

// schedulePrefill distributes the prompt tokens of a step over the sequences in
// order of admission and returns how many it assigned.
func (e *Engine) schedulePrefill() int {
	unassigned := e.config.PrefillPerStep
	for _, s := range e.running {
		s.scheduledTokens = min(unassigned, s.uncomputedTokens)
		unassigned -= s.scheduledTokens
	}
	return e.config.PrefillPerStep - unassigned
}

func (e *Engine) stepTime(prefillTokens int) time.Duration {
	d := e.config.StepBase
	d += time.Duration(len(e.running)) * e.config.StepPerSequence
	d += time.Duration(prefillTokens) * e.config.PrefillPerToken
	return time.Duration(float64(d) * e.stepTimeFactor)
}

// finishStep emits one token for each sequence whose prompt is fully computed, and
// removes the sequences that are complete.
func (e *Engine) finishStep() []Token {
	var tokens []Token
	unfinished := e.running[:0]
	for _, s := range e.running {
		s.uncomputedTokens -= s.scheduledTokens
		if s.uncomputedTokens == 0 {
			tokens = append(tokens, e.emitToken(s))
		}
		if s.producedTokens < s.outputTokens {
			unfinished = append(unfinished, s)
			continue
		}
		e.freeMemory(s)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
	return tokens
}

func (e *Engine) emitToken(s *sequence) Token {
	if s.producedTokens == 0 {
		e.cachePrompt(s)
	}
	token := Token{ID: s.ID, Index: s.producedTokens, Text: s.output.TokenText(s.producedTokens), CachedTokens: s.cachedTokens}
	s.producedTokens++
	if s.producedTokens == s.outputTokens {
		token.FinishReason = s.finishReason
	}
	return token
}

// cachePrompt makes the blocks of a fully computed prompt available to other
// sequences.
func (e *Engine) cachePrompt(s *sequence) {
	for _, h := range s.hashes[s.pinnedBlocks:] {
		e.cache.promote(h)
		s.privateBlocks--
	}
	s.pinnedBlocks = len(s.hashes)
}

func (e *Engine) freeMemory(s *sequence) {
	e.cache.unpin(s.hashes[:s.pinnedBlocks])
	e.cache.releasePrivate(s.privateBlocks)
	s.pinnedBlocks, s.privateBlocks = 0, 0
}

// Reset empties the queue, the batch and the cache, as a crash does.
func (e *Engine) Reset(now time.Time) {
	e.lastTime = now
	e.running = nil
	e.waiting = nil
	e.stepActive = false
	e.cache = newCache(e.config.CacheBlocks, e.onCacheChange)
	e.events.add(now, EventCleared, 0)
	e.recordLoad(now)
}

// SetStepTimeFactor sets the factor that multiplies the duration of each step
// begun from now on.
func (e *Engine) SetStepTimeFactor(factor float64) { e.stepTimeFactor = factor }

// Pause stops the engine until Resume. The current step ends later by the length
// of the pause.
func (e *Engine) Pause(now time.Time) {
	if e.pausedAt.IsZero() {
		e.pausedAt = now
	}
}

// Resume ends a pause.
func (e *Engine) Resume(now time.Time) {
	if e.pausedAt.IsZero() {
		return
	}
	pauseLength := now.Sub(e.pausedAt)
	e.pausedAt = time.Time{}
	if e.stepActive {
		e.stepEnd = e.stepEnd.Add(pauseLength)
		return
	}
	e.lastTime = now
	e.beginStep(now)
	e.recordLoad(now)
}

func (e *Engine) recordLoad(now time.Time) { e.loadHistory.add(e.currentLoad(now)) }

func (e *Engine) currentLoad(now time.Time) Load {
	return Load{
		Running: len(e.running),
		Waiting: len(e.waiting),
		KVUsed:  float64(e.cache.used()) / float64(e.cache.capacity),
		AsOf:    now,
	}
}

// Load returns the load as it was Config.LoadLag before now.
func (e *Engine) Load(now time.Time) Load { return e.loadHistory.at(now) }

// CacheEvents returns up to limit events with a Seq above after that are at least
// Config.EventDelay old.
func (e *Engine) CacheEvents(now time.Time, after int64, limit int) []CacheEvent {
	return e.events.after(now, after, limit)
}

// ExportPrefix returns the block hashes of the longest cached prefix of a prompt,
// up to Config.KVTransferBlocks.
func (e *Engine) ExportPrefix(prompt string) []uint64 {
	hashes := BlockHashes(prompt)
	n := min(e.cache.cachedPrefix(hashes), e.config.KVTransferBlocks)
	return hashes[:n]
}

// ImportPrefix caches a prefix that another engine exported, as far as memory
// permits, and returns how many of its leading blocks are cached.
func (e *Engine) ImportPrefix(now time.Time, hashes []uint64) int {
	e.lastTime = now
	hashes = hashes[:min(len(hashes), e.config.KVTransferBlocks)]
	alreadyCached := e.cache.cachedPrefix(hashes)
	e.cache.pin(hashes[:alreadyCached])
	stored := alreadyCached
	for stored < len(hashes) && e.cache.insertUnpinned(hashes[stored]) {
		e.cache.pin(hashes[stored : stored+1])
		stored++
	}
	e.cache.unpin(hashes[:stored])
	e.recordLoad(now)
	return stored
}
