package run

import (
	"encoding/json"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Status is the state of a run after a chunk of engine events was appended.
type Status struct {
	AtCap       bool // OutputCap tokens were produced; only events without content may follow
	CapExceeded bool // the engine produced a token beyond OutputCap; the caller must end the run as capped
	Failed      bool // the engine reported an error
}

// AppendEvents appends events of an engine's stream to the run's response as
// one chunk. It takes ownership of the slice. The event with the first token
// beyond the output cap and all later events are discarded. Unless keepUsage is
// set, usage is removed from events that carry choices: the client did not
// request it there, the sidecar did.
func (t *Table) AppendEvents(runID string, events []json.RawMessage, keepUsage bool) (Status, error) {
	e, err := t.activeEntry(runID)
	if err != nil {
		return Status{}, err
	}
	kept := events[:0]
	for _, raw := range events {
		ev, ok := e.meter.count(raw)
		if !ok {
			break
		}
		if !keepUsage && len(ev.Choices) > 0 {
			raw = withoutUsage(raw)
		}
		kept = append(kept, raw)
	}
	status := Status{AtCap: e.meter.AtCap(), CapExceeded: e.meter.CapExceeded(), Failed: e.meter.engineFailed}
	if len(kept) == 0 {
		return status, nil
	}
	return status, t.appendChunk(e, wire.RunChunk{Events: kept, PromptTokens: e.meter.PromptTokens()})
}

// AppendData appends bytes of a service's response body as one chunk.
func (t *Table) AppendData(runID string, data []byte) error {
	e, err := t.activeEntry(runID)
	if err != nil {
		return err
	}
	return t.appendChunk(e, wire.RunChunk{Data: data})
}

// activeEntry returns the entry of a run in progress.
func (t *Table) activeEntry(runID string) (*entry, error) {
	e, ok := t.activeRuns[runID]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "run %s is not in progress", runID)
	}
	return e, nil
}

// appendChunk buffers a chunk, unless the response would exceed MaxRunBytes.
func (t *Table) appendChunk(e *entry, c wire.RunChunk) error {
	size := chunkSize(c)
	if e.bufferedBytes+size > t.limits.MaxRunBytes {
		return errkind.New(errkind.TargetFailed, "answer exceeds %d bytes", t.limits.MaxRunBytes)
	}
	c.RunID = e.runID
	c.Seq = int64(len(e.chunks))
	e.chunks = append(e.chunks, c)
	e.bufferedBytes += size
	t.bufferedBytes += size
	t.evict()
	return nil
}

// chunkSize estimates the memory that a chunk occupies, in bytes.
func chunkSize(c wire.RunChunk) int64 {
	const overhead = 96 // fields of a chunk, including its slice headers
	n := len(c.Data) + overhead
	for _, ev := range c.Events {
		n += len(ev) + 24 // slice header of the event
	}
	return int64(n)
}

// Read returns the buffered chunks whose sequence number is at least from, and
// the end message if the run has ended. It fails with errkind.NotFound if the
// response is not buffered. The caller must not modify the chunks.
func (t *Table) Read(runID string, from int64) ([]wire.RunChunk, *wire.RunEnd, error) {
	e, ok := t.runs[runID]
	if !ok || e.responseDropped {
		return nil, nil, errkind.New(errkind.NotFound, "answer of run %s", runID)
	}
	from = min(max(from, 0), int64(len(e.chunks)))
	return e.chunks[from:len(e.chunks):len(e.chunks)], e.end, nil
}

// AddReader registers a reader of the run's response.
func (t *Table) AddReader(runID string) {
	if e, ok := t.runs[runID]; ok {
		e.readers++
	}
}

// RemoveReader reverts one call of ReaderAttached.
func (t *Table) RemoveReader(now time.Time, runID string) {
	e, ok := t.runs[runID]
	if !ok || e.readers == 0 {
		return
	}
	e.readers--
	e.detachedAt = now
}

// evict drops responses of acknowledged runs, oldest acknowledgment first,
// until the total is within MaxBytes. A response that is being read is kept.
func (t *Table) evict() {
	if t.bufferedBytes <= t.limits.MaxBytes {
		return
	}
	kept := t.ackedRuns[:0]
	for _, e := range t.ackedRuns {
		if t.bufferedBytes > t.limits.MaxBytes && e.readers == 0 {
			t.dropResponse(e)
			continue
		}
		kept = append(kept, e)
	}
	clear(t.ackedRuns[len(kept):])
	t.ackedRuns = kept
}

// dropResponse frees the buffered response of a run.
func (t *Table) dropResponse(e *entry) {
	t.bufferedBytes -= e.bufferedBytes
	e.bufferedBytes = 0
	e.chunks = nil
	e.responseDropped = true
}
