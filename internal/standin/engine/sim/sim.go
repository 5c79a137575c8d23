package sim

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Reasons for which Submit refuses a request.
var (
	ErrQueueFull = eris.New("waiting queue is full")
	ErrTooLong   = eris.New("prompt and output exceed the context or the cache memory")
)

// FinishReason says why an output ended.
type FinishReason string

// Finish reasons of the published format.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Request is a sequence to run.
type Request struct {
	ID            string // unique among the sequences of the engine
	Prompt        string
	MaxTokens     int     // cap of the output; 0 permits what the context leaves
	IgnoreEOS     bool    // produce exactly MaxTokens
	Priority      int     // higher runs first
	Seed          uint64  // mixed with the engine's seed
	OverrunFactor float64 // above 1: a faulty engine that exceeds MaxTokens by this factor
}

// Token is an output token. The last token of a sequence has a Finish.
type Token struct {
	ID           string
	Index        int // from 0
	Text         string
	FinishReason FinishReason
	CachedTokens int // prompt tokens found in the prefix cache
}

// Outcome is what a call of Advance produced. Crashed means that a request with
// the marker ran; the engine is then empty.
type Outcome struct {
	Tokens  []Token
	Crashed bool
}

// sequence is a request in the engine.
type sequence struct {
	Request
	output    Output
	hashes    []uint64
	prompt    int // tokens
	target    int // output tokens
	finish    FinishReason
	produced  int
	cached    int // prompt tokens taken from the cache
	pinned    int // leading hashes pinned in the cache
	private   int // blocks held beyond those
	prefill   int // prompt tokens still to compute
	scheduled int // prompt tokens computed in the current step
}

// Engine is the model. It is not safe for concurrent use.
type Engine struct {
	config   Config
	cache    *cache
	events   *eventLog
	history  history
	running  []*sequence
	waiting  []*sequence // highest priority first, then oldest
	stepping bool
	stepEnd  time.Time
	paused   time.Time // zero unless paused
	clock    time.Time // latest time passed in
	slow     float64   // factor of step times
}

// New returns an idle engine, or the fault of its configuration.
func New(config Config) (*Engine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	e := &Engine{
		config:  config,
		events:  newEventLog(config),
		history: history{lag: config.LoadLag},
		slow:    1,
	}
	e.cache = newCache(config.CacheBlocks, e.cacheChanged)
	return e, nil
}

func (e *Engine) cacheChanged(kind EventKind, hash uint64) {
	e.events.add(e.clock, kind, hash)
}

// Submit queues a request. It returns ErrQueueFull or ErrTooLong.
func (e *Engine) Submit(now time.Time, r Request) error {
	if len(e.waiting) >= e.config.MaxWaiting {
		return ErrQueueFull
	}
	s, err := e.plan(r)
	if err != nil {
		return err
	}
	e.clock = now
	at := sort.Search(len(e.waiting), func(i int) bool {
		return e.waiting[i].Priority < s.Priority
	})
	e.waiting = slices.Insert(e.waiting, at, s)
	if !e.stepping && e.paused.IsZero() {
		e.begin(now)
	}
	e.note(now)
	return nil
}

// plan decides the length of the output and the memory for it.
func (e *Engine) plan(r Request) (*sequence, error) {
	s := &sequence{Request: r, prompt: CountTokens(r.Prompt)}
	room := e.config.ContextTokens - s.prompt
	limit := r.MaxTokens
	if limit <= 0 || (limit > room && !r.IgnoreEOS) {
		limit = room
	}
	if limit <= 0 || limit > room {
		return nil, ErrTooLong
	}
	s.output = NewOutput(e.config.Seed^r.Seed, r.Prompt)
	s.target, s.finish = e.outputLength(s, limit)
	if blocks(s.prompt+s.target) > e.config.CacheBlocks {
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

func blocks(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

// Cancel removes a sequence. It returns false if the engine does not have it.
func (e *Engine) Cancel(now time.Time, id string) bool {
	e.clock = now
	match := func(s *sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(e.waiting, match); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.note(now)
		return true
	}
	i := slices.IndexFunc(e.running, match)
	if i < 0 {
		return false
	}
	e.free(e.running[i])
	e.running = slices.Delete(e.running, i, i+1)
	e.note(now)
	return true
}

// NextStepEnd returns when Advance has something to do; false while the engine
// is idle or paused.
func (e *Engine) NextStepEnd() (time.Time, bool) {
	return e.stepEnd, e.stepping && e.paused.IsZero()
}

// Advance ends every step that is due and begins the next one.
func (e *Engine) Advance(now time.Time) Outcome {
	var out Outcome
	for e.paused.IsZero() && e.stepping && !e.stepEnd.After(now) {
		end := e.stepEnd
		e.clock = end
		if e.poisoned() {
			e.Reset(end)
			return Outcome{Tokens: out.Tokens, Crashed: true}
		}
		out.Tokens = append(out.Tokens, e.finishStep()...)
		e.begin(end)
		e.note(end)
	}
	return out
}

func (e *Engine) poisoned() bool {
	if e.config.CrashMarker == "" {
		return false
	}
	return slices.ContainsFunc(e.running, func(s *sequence) bool {
		return strings.Contains(s.Prompt, e.config.CrashMarker)
	})
}

// begin admits sequences and sets the end of the next step.
func (e *Engine) begin(at time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch && e.admit(e.waiting[0]) {
		e.running = append(e.running, e.waiting[0])
		e.waiting = slices.Delete(e.waiting, 0, 1)
	}
	e.stepping = len(e.running) > 0
	if e.stepping {
		e.stepEnd = at.Add(e.stepTime(e.schedulePrefill()))
	}
}

// admit takes the memory for the whole sequence, so that no running sequence
// has to be preempted.
func (e *Engine) admit(s *sequence) bool {
	matched := e.cache.match(s.hashes)
	e.cache.pin(s.hashes[:matched])
	need := blocks(s.prompt+s.target) - matched
	if !e.cache.reserve(need) {
		e.cache.unpin(s.hashes[:matched])
		return false
	}
	s.pinned = matched
	s.private = need
	s.cached = max(0, min(matched*BlockTokens, s.prompt-1))
	s.prefill = s.prompt - s.cached
	return true
}

// schedulePrefill shares the prompt tokens of a step out in order of admission
// and returns their number.
func (e *Engine) schedulePrefill() int {
	left := e.config.PrefillPerStep
	for _, s := range e.running {
		s.scheduled = min(left, s.prefill)
		left -= s.scheduled
	}
	return e.config.PrefillPerStep - left
}

func (e *Engine) stepTime(prefill int) time.Duration {
	d := e.config.StepBase
	d += time.Duration(len(e.running)) * e.config.StepPerSequence
	d += time.Duration(prefill) * e.config.PrefillPerToken
	return time.Duration(float64(d) * e.slow)
}

// finishStep emits one token per sequence whose prompt is computed.
func (e *Engine) finishStep() []Token {
	var tokens []Token
	left := e.running[:0]
	for _, s := range e.running {
		s.prefill -= s.scheduled
		if s.prefill == 0 {
			tokens = append(tokens, e.emit(s))
		}
		if s.produced < s.target {
			left = append(left, s)
			continue
		}
		e.free(s)
	}
	clear(e.running[len(left):])
	e.running = left
	return tokens
}

func (e *Engine) emit(s *sequence) Token {
	if s.produced == 0 {
		e.sharePrompt(s)
	}
	token := Token{ID: s.ID, Index: s.produced, Text: s.output.TokenText(s.produced), CachedTokens: s.cached}
	s.produced++
	if s.produced == s.target {
		token.FinishReason = s.finish
	}
	return token
}

// sharePrompt caches the computed blocks of a prompt.
func (e *Engine) sharePrompt(s *sequence) {
	for _, h := range s.hashes[s.pinned:] {
		e.cache.share(h)
		s.private--
	}
	s.pinned = len(s.hashes)
}

func (e *Engine) free(s *sequence) {
	e.cache.unpin(s.hashes[:s.pinned])
	e.cache.release(s.private)
	s.pinned, s.private = 0, 0
}

// Reset empties queue, batch and cache, as a crash does.
func (e *Engine) Reset(now time.Time) {
	e.clock = now
	e.running = nil
	e.waiting = nil
	e.stepping = false
	e.cache = newCache(e.config.CacheBlocks, e.cacheChanged)
	e.events.add(now, EventCleared, 0)
	e.note(now)
}

// SetStepTimeFactor multiplies the times of the steps that begin from now on.
func (e *Engine) SetStepTimeFactor(factor float64) { e.slow = factor }

// Pause stops the steps until Resume; the time between does not count.
func (e *Engine) Pause(now time.Time) {
	if e.paused.IsZero() {
		e.paused = now
	}
}

// Resume continues after Pause.
func (e *Engine) Resume(now time.Time) {
	if e.paused.IsZero() {
		return
	}
	stopped := now.Sub(e.paused)
	e.paused = time.Time{}
	if e.stepping {
		e.stepEnd = e.stepEnd.Add(stopped)
		return
	}
	e.clock = now
	e.begin(now)
	e.note(now)
}

func (e *Engine) note(now time.Time) { e.history.add(e.current(now)) }

func (e *Engine) current(now time.Time) Load {
	return Load{
		Running: len(e.running),
		Waiting: len(e.waiting),
		KVUsed:  float64(e.cache.used()) / float64(e.cache.capacity),
		AsOf:    now,
	}
}

// Load returns the state as it was LoadLag before now.
func (e *Engine) Load(now time.Time) Load { return e.history.at(now) }

// CacheEvents returns up to limit visible events with a Seq above after.
func (e *Engine) CacheEvents(now time.Time, after int64, limit int) []CacheEvent {
	return e.events.after(now, after, limit)
}

// ExportPrefix returns the hashes of the longest cached prefix of a prompt.
func (e *Engine) ExportPrefix(prompt string) []uint64 {
	hashes := BlockHashes(prompt)
	n := min(e.cache.match(hashes), e.config.KVTransferBlocks)
	return hashes[:n]
}

// ImportPrefix stores a prefix that another engine exported and returns how many
// blocks of it are cached.
func (e *Engine) ImportPrefix(now time.Time, hashes []uint64) int {
	e.clock = now
	hashes = hashes[:min(len(hashes), e.config.KVTransferBlocks)]
	known := e.cache.match(hashes)
	e.cache.pin(hashes[:known])
	stored := known
	for stored < len(hashes) && e.cache.adopt(hashes[stored]) {
		e.cache.pin(hashes[stored : stored+1])
		stored++
	}
	e.cache.unpin(hashes[:stored])
	e.note(now)
	return stored
}
