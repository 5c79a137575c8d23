package run

import (
	"encoding/json"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Status says whether a run goes on after a Chunk.
type Status struct {
	AtCap       bool // OutputCap tokens are produced; only the end of the answer may follow
	CapExceeded bool // the engine produced a token beyond OutputCap; the run is to be ended as capped
	Failed      bool // the engine reported an error
}

// AppendEvents appends events of an engine's stream as one chunk and takes the slice
// over. AppendEvents from the
// first token beyond the cap on are left out. Unless keepUsage is set, usage is
// removed from events that carry choices, where only the sidecar asked for it.
func (t *Table) AppendEvents(runID string, events []json.RawMessage, keepUsage bool) (Status, error) {
	e, err := t.inProgress(runID)
	if err != nil {
		return Status{}, err
	}
	kept := events[:0]
	for _, raw := range events {
		ev, ok := e.meter.take(raw)
		if !ok {
			break
		}
		if !keepUsage && len(ev.Choices) > 0 {
			raw = withoutUsage(raw)
		}
		kept = append(kept, raw)
	}
	status := Status{AtCap: e.meter.AtCap(), CapExceeded: e.meter.CapExceeded(), Failed: e.meter.failed}
	if len(kept) == 0 {
		return status, nil
	}
	return status, t.append(e, wire.RunChunk{Events: kept, PromptTokens: e.meter.PromptTokens()})
}

// AppendData appends bytes of a service's body as one chunk.
func (t *Table) AppendData(runID string, data []byte) error {
	e, err := t.inProgress(runID)
	if err != nil {
		return err
	}
	return t.append(e, wire.RunChunk{Data: data})
}

func (t *Table) inProgress(runID string) (*entry, error) {
	e, ok := t.active[runID]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "run %s is not in progress", runID)
	}
	return e, nil
}

func (t *Table) append(e *entry, c wire.RunChunk) error {
	size := chunkSize(c)
	if e.bytes+size > t.limits.MaxRunBytes {
		return errkind.New(errkind.TargetFailed, "answer exceeds %d bytes", t.limits.MaxRunBytes)
	}
	c.RunID = e.runID
	c.Seq = int64(len(e.chunks))
	e.chunks = append(e.chunks, c)
	e.bytes += size
	t.bytes += size
	t.evict()
	return nil
}

func chunkSize(c wire.RunChunk) int64 {
	const overhead = 96 // slice headers and fields of a chunk
	n := len(c.Data) + overhead
	for _, ev := range c.Events {
		n += len(ev) + 24 // slice header
	}
	return int64(n)
}

// Read returns the chunks from a sequence number on, and the end once the run
// has ended. It fails with errkind.NotFound if the answer is not kept. The
// chunks must not be changed.
func (t *Table) Read(runID string, from int64) ([]wire.RunChunk, *wire.RunEnd, error) {
	e, ok := t.runs[runID]
	if !ok || e.dropped {
		return nil, nil, errkind.New(errkind.NotFound, "answer of run %s", runID)
	}
	from = min(max(from, 0), int64(len(e.chunks)))
	return e.chunks[from:len(e.chunks):len(e.chunks)], e.end, nil
}

// ReaderAttached counts a reader of the run.
func (t *Table) ReaderAttached(runID string) {
	if e, ok := t.runs[runID]; ok {
		e.readers++
	}
}

// ReaderDetached ends a ReaderAttached.
func (t *Table) ReaderDetached(now time.Time, runID string) {
	e, ok := t.runs[runID]
	if !ok || e.readers == 0 {
		return
	}
	e.readers--
	e.detachedAt = now
}

// evict drops answers of acknowledged runs, oldest acknowledgement first,
// until the memory bound holds. Answers that are being read stay.
func (t *Table) evict() {
	if t.bytes <= t.limits.MaxBytes {
		return
	}
	kept := t.acked[:0]
	for _, e := range t.acked {
		if t.bytes > t.limits.MaxBytes && e.readers == 0 {
			t.drop(e)
			continue
		}
		kept = append(kept, e)
	}
	clear(t.acked[len(kept):])
	t.acked = kept
}

func (t *Table) drop(e *entry) {
	t.bytes -= e.bytes
	e.bytes = 0
	e.chunks = nil
	e.dropped = true
}
