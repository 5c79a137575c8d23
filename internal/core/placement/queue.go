// Package placement decides at which engine a prompt is read. The process beside each
// engine counts, in a Queue, what all routers together have placed there; a router asks
// the queues of a few engines and chooses the one that will have read the prompt first.
//
// It answers the load of many routers before many engines, each router with less than
// one request at an engine: what a router has placed itself says nothing about the
// prompts that wait there, and one long prompt delays every stream of its engine.
package placement

import (
	"container/list"
	"time"
)

// Prompt describes a prompt by the parts that other requests may share.
type Prompt struct {
	Tokens int64  // of the whole prompt
	Parts  []Part // shared parts, in order
	Output int64  // the most tokens that its answer may have; 0 if unknown
}

// Part is a shared part of a prompt.
type Part struct {
	Hash   uint64 // of this part and all parts before it
	Tokens int64  // of this part and all parts before it
}

// Load is what an engine has to do, as seen by a request with a certain prompt.
type Load struct {
	WaitingTokens int64         // of prompts that it has to read first
	CachedTokens  int64         // of the request's own prompt that it is likely to hold in memory
	Running       int           // requests of all routers
	HeldTokens    int64         // of memory that running requests need
	MemoryTokens  int64         // of the engine; 0 if unknown
	Wait          time.Duration // until the prompts that wait are read; 0 also if unknown
	Pace          Pace
}

const (
	// maxPromptWait is how long a prompt counts as waiting at most. Its router may have
	// ended, or the message about its first event may be lost.
	maxPromptWait = 2 * time.Second
	// maxRun is how long a request counts as running at most, for the same reason.
	maxRun = 20 * time.Second
	// maxRequests bounds the requests that a queue counts.
	maxRequests = 4096
	// maxParts bounds the shared parts that the engine is taken to hold. Parts may have few
	// tokens or none.
	maxParts = 16384
	// cacheDivisor is the part of the engine's memory that is taken to hold shared parts;
	// running requests use the rest.
	cacheDivisor = 2
)

// Queue counts the requests that routers have placed at one engine. It is not safe for
// concurrent use.
type Queue struct {
	requests map[uint64]*list.Element // of entries, by request
	order    *list.List               // of entries, in the order in which they began
	waiting  int64                    // tokens
	prompts  int                      // that wait
	held     int64                    // tokens of memory
	meter    paceMeter

	memory   int64 // tokens
	capacity int64 // tokens of shared parts that the engine is taken to hold
	cached   int64
	parts    map[uint64]*list.Element // of cachedPart, by hash
	recency  *list.List               // of cachedPart, most recently used first
}

type entry struct {
	id      uint64
	began   time.Time
	waits   bool  // its first event is not there yet
	waiting int64 // uncached tokens of its prompt; 0 once its first event is there
	held    int64 // tokens of memory that it needs by itself
}

type cachedPart struct {
	hash   uint64
	tokens int64 // without the parts before it
}

// NewQueue returns the queue of an engine.
func NewQueue() *Queue {
	return &Queue{requests: map[uint64]*list.Element{}, order: list.New(), parts: map[uint64]*list.Element{}, recency: list.New(), meter: newPaceMeter()}
}

// SetMemory sets the memory of the engine in tokens. Until then it is taken to hold no
// shared parts.
func (q *Queue) SetMemory(tokens int64) { q.memory, q.capacity = tokens, tokens/cacheDivisor }

// Load returns the engine's load as seen by a request.
func (q *Queue) Load(now time.Time, p Prompt) Load {
	q.expire(now)
	l := Load{
		WaitingTokens: q.waiting, CachedTokens: q.cachedTokens(p), Running: len(q.requests),
		HeldTokens: q.held, MemoryTokens: q.memory, Pace: q.meter.pace(now),
	}
	l.Wait = q.wait(now, l.Pace)
	return l
}

// wait returns the time until the engine has read what waits. It is reading the oldest
// prompt: what that has taken so far is over, or, if the prompt is overdue, it is taken to
// need as much again.
func (q *Queue) wait(now time.Time, p Pace) time.Duration {
	if q.prompts == 0 || p.Read == 0 {
		return 0
	}
	wait := p.readTime(float64(q.waiting) + promptOverhead*float64(q.prompts))
	for at := q.order.Front(); at != nil; at = at.Next() {
		if e := at.Value.(*entry); e.waits {
			needs, progress := p.readTime(work(e.waiting)), q.meter.progress(now)
			return wait - min(progress, needs) + max(progress-needs, 0)
		}
	}
	return wait
}

// Begin counts a request that a router sends to the engine.
func (q *Queue) Begin(now time.Time, id uint64, p Prompt) {
	q.expire(now)
	if q.requests[id] != nil || len(q.requests) >= maxRequests {
		return
	}
	e := &entry{id: id, began: now, waits: true, waiting: max(p.Tokens-q.cachedTokens(p), 0)}
	e.held = e.waiting + p.Output
	q.requests[id] = q.order.PushBack(e)
	q.waiting += e.waiting
	q.held += e.held
	q.prompts++
	q.meter.begin(now)
	q.use(p)
}

// FirstEvent records that the engine has read the prompt of a request.
func (q *Queue) FirstEvent(now time.Time, id uint64) {
	at := q.requests[id]
	if at == nil || !at.Value.(*entry).waits {
		return
	}
	e := at.Value.(*entry)
	done := work(e.waiting)
	q.stopWaiting(e)
	q.meter.read(now, done, q.prompts == 0)
}

// End records that a request has ended.
func (q *Queue) End(id uint64) {
	if at := q.requests[id]; at != nil {
		q.remove(at)
	}
}

func (q *Queue) stopWaiting(e *entry) {
	if !e.waits {
		return
	}
	q.waiting -= e.waiting
	q.prompts--
	e.waits, e.waiting = false, 0
}

// dropPrompt ends the wait for a first event that does not come.
func (q *Queue) dropPrompt(e *entry) {
	if e.waits {
		q.stopWaiting(e)
		q.meter.drop(q.prompts == 0)
	}
}

func (q *Queue) remove(at *list.Element) {
	e := q.order.Remove(at).(*entry)
	q.dropPrompt(e)
	q.held -= e.held
	delete(q.requests, e.id)
}

// expire removes what counts no longer.
func (q *Queue) expire(now time.Time) {
	for at := q.order.Front(); at != nil; {
		e, next := at.Value.(*entry), at.Next()
		switch age := now.Sub(e.began); {
		case age >= maxRun:
			q.remove(at)
		case age >= maxPromptWait:
			q.dropPrompt(e)
		default:
			return
		}
		at = next
	}
}

// cachedTokens returns the tokens of a prompt that the engine is likely to hold.
func (q *Queue) cachedTokens(p Prompt) (tokens int64) {
	for _, part := range p.Parts {
		if q.parts[part.Hash] == nil {
			break
		}
		tokens = part.Tokens
	}
	return min(tokens, p.Tokens)
}

// use records that the engine reads a prompt and holds its parts from then on. The least
// recently used parts yield.
func (q *Queue) use(p Prompt) {
	before := int64(0)
	for _, part := range p.Parts {
		if at := q.parts[part.Hash]; at != nil {
			q.recency.MoveToFront(at)
		} else {
			c := cachedPart{part.Hash, max(part.Tokens-before, 0)}
			q.parts[part.Hash] = q.recency.PushFront(c)
			q.cached += c.tokens
		}
		before = part.Tokens
	}
	for q.recency.Len() > maxParts || q.cached > q.capacity && q.recency.Len() > 0 {
		c := q.recency.Remove(q.recency.Back()).(cachedPart)
		delete(q.parts, c.hash)
		q.cached -= c.tokens
	}
}
