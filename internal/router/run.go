package router

import (
	"context"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Reservation is the part of a team's budget that is set aside for one run.
type Reservation interface {
	// Holder returns the id of the incarnation whose grant is charged.
	Holder() string
	// Tokens returns the size of the reservation.
	Tokens() int64
	// LowerTo reduces the reservation to the given size. It never increases it.
	LowerTo(tokens int64)
	// Cancel frees the whole reservation because the run did not start.
	Cancel()
	// Settle charges the record's tokens to the budget and frees the rest of the
	// reservation.
	Settle(rec ledger.Record)
}

// run is this router's view of one attempt at a sidecar. Chunks arrive from the
// sidecar connection in order; each reader consumes them at its own pace.
type run struct {
	id             string
	identity       ledger.Identity
	contentHash    string            // of the request, to detect a reused idempotency key
	parts          []quarantine.Part // of the prompt
	partLevels     []int             // of the parts when the run was registered
	sidecar        string            // incarnation of the sidecar that executes the run
	target         *target
	reservation    Reservation   // nil if this router made no reservation for the run and only relays its answer
	keepChunks     bool          // keep consumed chunks, so that further readers can join from the start
	claimed        bool          // an at-most-once claim names this run
	outputCap      int64         // tokens
	recordTemplate ledger.Record // settled, with outcome, charge and end filled in, if the run is lost

	mu           sync.Mutex
	chunks       []wire.RunChunk
	firstChunkAt time.Time     // zero if none came
	promptTokens int64         // exact count; 0 until known
	end          *wire.RunEnd  // nil until the End message arrives
	err          error         // final failure of a run that ended without an End message
	settled      bool          // a ledger record was settled although the End message had not arrived
	lostSince    time.Time     // when the connection was lost; zero while connected
	wake         chan struct{} // closed and replaced at each change
}

func newRun(id string, identity ledger.Identity, t *target) *run {
	return &run{id: id, identity: identity, target: t, wake: make(chan struct{})}
}

// broadcast wakes all readers. The caller holds mu.
func (r *run) broadcast() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// addChunk stores a chunk. Duplicates after a resume and chunks after the end
// are ignored. A missing chunk is reported as a gap; the caller then attaches
// to the run again. A stored chunk also shows that the run is connected. The first
// chunk that states the exact number of prompt tokens lowers the reservation.
func (r *run) addChunk(c wire.RunChunk) (gap bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := int64(len(r.chunks))
	if c.Seq < next || r.ended() {
		return false
	}
	if c.Seq > next {
		return true
	}
	r.chunks = append(r.chunks, c)
	if r.firstChunkAt.IsZero() {
		r.firstChunkAt = time.Now()
	}
	if c.PromptTokens > 0 && r.promptTokens == 0 {
		r.promptTokens = c.PromptTokens
		if r.reservation != nil {
			r.reservation.LowerTo(c.PromptTokens + r.outputCap + ledger.MaxUnseenTokens)
		}
	}
	r.lostSince = time.Time{}
	r.broadcast()
	return false
}

// ended reports whether the run has ended for its readers, by its End message or
// by a failure. The caller holds mu.
func (r *run) ended() bool { return r.end != nil || r.err != nil }

// madeProgress reports whether the answer has gone on for long enough to show that the
// target can read the prompt.
func (r *run) madeProgress(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.firstChunkAt.IsZero() && now.Sub(r.firstChunkAt) >= quarantine.ProgressTime
}

// markSettled records that the run's ledger record was settled although the End
// message had not arrived.
func (r *run) markSettled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = true
}

// settledAndEnded reports whether the ledger record is settled and the run has
// ended for its readers.
func (r *run) settledAndEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled && r.ended()
}

// finish stores the End message. It returns false if an End message was stored
// before. A run that fail has ended still accepts its End message.
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

// fail ends the run for its readers without an End message. It returns false if
// the run had ended before, by an End message or by an earlier fail.
func (r *run) fail(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended() {
		return false
	}
	r.err = err
	r.broadcast()
	return true
}

// takeLost claims the settlement of a run that no process will end any more, and ends
// it for its readers if fail has not. It returns false if the run is settled already
// or will be, because its End message has arrived.
func (r *run) takeLost(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil || r.settled {
		return false
	}
	r.settled = true
	if r.err == nil {
		r.err = err
	}
	r.broadcast()
	return true
}

// markLost records that the connection that carried the run was lost.
func (r *run) markLost(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostSince.IsZero() {
		r.lostSince = now
	}
	r.broadcast()
}

// markResumed records that the run is attached to a connection again.
func (r *run) markResumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostSince = time.Time{}
	r.broadcast()
}

// body returns the body of a service's answer, as far as it has arrived.
func (r *run) body() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var body []byte
	for _, c := range r.chunks {
		body = append(body, c.Data...)
	}
	return body
}

// nextSeq returns the sequence number of the first chunk that has not arrived.
func (r *run) nextSeq() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.chunks))
}

// reader reads the chunks of a run from the first one on.
type reader struct {
	run     *run
	pos     int           // index of the next chunk
	current wire.RunChunk // the chunk that take returned last
}

// readResult is the result of one poll: a chunk, the End message, an error, or
// nothing yet. In the last case wake is set; it is closed at the next change of
// the run. A positive wait limits how long to wait for it.
type readResult struct {
	chunk *wire.RunChunk
	end   *wire.RunEnd
	err   error
	wake  <-chan struct{}
	wait  time.Duration
}

// next returns the next chunk or, after the last one, the End message. It fails
// with errkind.Unreachable if the connection stays lost for reconnectTimeout.
func (rd *reader) next(ctx context.Context) (*wire.RunChunk, *wire.RunEnd, error) {
	for {
		result := rd.poll()
		if result.wake == nil {
			return result.chunk, result.end, result.err
		}
		if err := waitFor(ctx, result.wake, result.wait); err != nil {
			return nil, nil, err
		}
	}
}

// poll returns what the reader finds without waiting.
func (rd *reader) poll() readResult {
	r := rd.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if rd.pos < len(r.chunks) {
		return readResult{chunk: rd.take()}
	}
	if r.end != nil {
		return readResult{end: r.end}
	}
	if r.err != nil {
		return readResult{err: r.err}
	}
	if r.lostSince.IsZero() {
		return readResult{wake: r.wake}
	}
	wait := reconnectTimeout - time.Since(r.lostSince)
	if wait <= 0 {
		return readResult{err: errkind.New(errkind.Unreachable, "sidecar of target %s stayed unreachable for %s", r.target.id, reconnectTimeout)}
	}
	return readResult{wake: r.wake, wait: wait}
}

// take returns the chunk at the reader's position and advances. If no further
// reader can join the run, the stored chunk is dropped to free its memory. The
// result is valid until the next call.
func (rd *reader) take() *wire.RunChunk {
	rd.current = rd.run.chunks[rd.pos]
	if !rd.run.keepChunks {
		rd.run.chunks[rd.pos] = wire.RunChunk{}
	}
	rd.pos++
	return &rd.current
}

// waitFor waits until wake is closed or, if wait is positive, the time has
// passed. It fails only if ctx ends first.
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
