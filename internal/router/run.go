package router

import (
	"context"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Reservation is a share of a team's budget set aside for one run.
type Reservation interface {
	Holder() string
	Tokens() int64
	Lower(tokens int64)
	Cancel()
	Settle(rec ledger.Record)
}

// run is one attempt at a sidecar as this router sees it. Chunks arrive from
// the connection in order; readers consume them at their own pace.
type run struct {
	id       string
	identity ledger.Identity
	hash     string // content hash
	sidecar  string // incarnation of the sidecar that has the run
	target   *target
	res      Reservation // nil if another router's grant pays
	keepAll  bool        // further readers may join from the start
	claimed  bool        // a claim names this run
	outCap   int64       // tokens
	template ledger.Record

	mu        sync.Mutex
	buf       []wire.RunChunk
	prompt    int64 // exact prompt tokens, 0 until known
	end       *wire.RunEnd
	err       error     // final failure without an End
	booked    bool      // the record arrived ahead of the End
	lostSince time.Time // connection lost and not yet resumed; zero if connected
	wake      chan struct{}
}

func newRun(id string, identity ledger.Identity, t *target) *run {
	return &run{id: id, identity: identity, target: t, wake: make(chan struct{})}
}

// broadcast wakes all readers. The caller holds mu.
func (r *run) broadcast() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// addChunk takes a chunk. Repeats after a resume are dropped; a gap is
// reported so that the caller attaches again.
func (r *run) addChunk(c wire.RunChunk) (gap bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := int64(len(r.buf))
	if c.Seq < next || r.finished() {
		return false
	}
	if c.Seq > next {
		return true
	}
	r.buf = append(r.buf, c)
	if c.PromptTokens > 0 && r.prompt == 0 {
		r.prompt = c.PromptTokens
		if r.res != nil {
			r.res.Lower(c.PromptTokens + r.outCap + ledger.MaxUnseenTokens)
		}
	}
	r.lostSince = time.Time{}
	r.broadcast()
	return false
}

func (r *run) finished() bool { return r.end != nil || r.err != nil }

// book notes that the run's record is booked.
func (r *run) book() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.booked = true
}

// over reports whether the record is booked and readers need nothing more.
func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.booked && r.finished()
}

// finish takes the End. It returns false if the run had ended before.
func (r *run) finish(e wire.RunEnd) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return false
	}
	r.end = &e
	r.broadcast()
	return true
}

// fail ends the run for its readers without an End.
func (r *run) fail(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished() {
		return false
	}
	r.err = err
	r.broadcast()
	return true
}

// lost notes that the connection that carried the run has ended.
func (r *run) lost(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostSince.IsZero() {
		r.lostSince = now
	}
	r.broadcast()
}

func (r *run) resumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostSince = time.Time{}
	r.broadcast()
}

// data returns the body that a service has sent.
func (r *run) data() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var body []byte
	for _, c := range r.buf {
		body = append(body, c.Data...)
	}
	return body
}

func (r *run) received() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.buf))
}

// reader reads a run from the start.
type reader struct {
	run     *run
	pos     int
	current wire.RunChunk // the latest one taken
}

// step is what a reader finds: a chunk, the End, an error, or nothing yet. In
// the last case wake is closed when that changes, and wait, if positive,
// limits the wait.
type step struct {
	chunk *wire.RunChunk
	end   *wire.RunEnd
	err   error
	wake  <-chan struct{}
	wait  time.Duration
}

// next returns the next chunk or, after all chunks, the End. It fails with
// errkind.Unreachable if the connection stays lost for resumeTimeout.
func (rd *reader) next(ctx context.Context) (*wire.RunChunk, *wire.RunEnd, error) {
	for {
		s := rd.poll()
		if s.wake == nil {
			return s.chunk, s.end, s.err
		}
		if err := waitFor(ctx, s.wake, s.wait); err != nil {
			return nil, nil, err
		}
	}
}

func (rd *reader) poll() step {
	r := rd.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if rd.pos < len(r.buf) {
		return step{chunk: rd.take()}
	}
	if r.end != nil {
		return step{end: r.end}
	}
	if r.err != nil {
		return step{err: r.err}
	}
	if r.lostSince.IsZero() {
		return step{wake: r.wake}
	}
	wait := resumeTimeout - time.Since(r.lostSince)
	if wait <= 0 {
		return step{err: errkind.New(errkind.Unreachable, "sidecar of target %s stayed unreachable for %s", r.target.id, resumeTimeout)}
	}
	return step{wake: r.wake, wait: wait}
}

// take returns the chunk at the reader's position. A run that has one reader
// only gives the chunk's memory up. The result is valid until the next call.
func (rd *reader) take() *wire.RunChunk {
	rd.current = rd.run.buf[rd.pos]
	if !rd.run.keepAll {
		rd.run.buf[rd.pos] = wire.RunChunk{}
	}
	rd.pos++
	return &rd.current
}

// waitFor waits for wake, for ctx, or for the wait time if it is positive.
func waitFor(ctx context.Context, wake <-chan struct{}, wait time.Duration) error {
	var timer <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-wake:
	case <-timer:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
