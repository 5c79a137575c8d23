// Package backlog holds the bytes of answers that their callers have not read yet, and
// decides how many may be held.
//
// It answers the load of callers that read slowly: a target must not be held up by them,
// nor may what is held for them exhaust the memory of the process.
package backlog

import "sync/atomic"

const (
	// MaxBytes bounds the backlog of one answer. Answers have up to some hundred events of
	// some dozen bytes.
	MaxBytes = 64 << 10
	// maxChunk is the most that is written to a caller at once.
	maxChunk = 4 << 10
)

// Pool bounds all backlogs of a process together. It is safe for concurrent use.
type Pool struct {
	limit int64
	held  atomic.Int64
	room  func() int64
}

// BoundBy makes the pool take no more than there is room for besides it. It must be called
// before the first use.
func (p *Pool) BoundBy(room func() int64) { p.room = room }

// NewPool returns a pool for a number of bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Held returns the bytes that are held.
func (p *Pool) Held() int64 { return p.held.Load() }

// take takes up to n bytes and returns how many.
func (p *Pool) take(n int64) int64 {
	if n > 0 && p.room != nil {
		n = min(n, p.room())
	}
	for {
		held := p.held.Load()
		n = min(n, p.limit-held)
		if n <= 0 {
			return 0
		}
		if p.held.CompareAndSwap(held, held+n) {
			return n
		}
	}
}

// Backlog holds the bytes that are to be written to one caller, in order. It is not safe
// for concurrent use.
type Backlog struct {
	pool    *Pool
	pending []byte
}

// New returns an empty backlog.
func New(pool *Pool) Backlog { return Backlog{pool: pool} }

// Add adds as many of the bytes as there is room for and returns their number.
func (b *Backlog) Add(p []byte) int {
	n := b.pool.take(int64(min(len(p), MaxBytes-len(b.pending))))
	b.pending = append(b.pending, p[:n]...)
	return int(n)
}

// Len returns the number of bytes held.
func (b *Backlog) Len() int { return len(b.pending) }

// Next returns the bytes to be written next. They stay valid until Written or Drop.
func (b *Backlog) Next() []byte { return b.pending[:min(len(b.pending), maxChunk)] }

// Written removes the first n bytes.
func (b *Backlog) Written(n int) {
	b.pool.held.Add(-int64(n))
	if b.pending = b.pending[n:]; len(b.pending) == 0 {
		b.pending = nil
	}
}

// Drop removes all bytes.
func (b *Backlog) Drop() { b.Written(len(b.pending)) }
