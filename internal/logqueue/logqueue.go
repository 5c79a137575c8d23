// Package logqueue writes log lines asynchronously, so that a slow log does not
// block the process. Lines that do not fit in the queue are dropped and counted.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines limits the lines in the queue, to about 1 MB.
const maxQueuedLines = 4096

// maxBatchBytes limits a batch: a batch that has reached this size gets no further
// line and is written. Batches save system calls.
const maxBatchBytes = 32 << 10

// Writer queues lines for a slower writer. Create one with New.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	done      chan struct{}
	dropped   atomic.Int64 // lines dropped since the start
	closeOnce sync.Once
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer { return newWithLimit(out, maxQueuedLines) }

func newWithLimit(out io.Writer, maxLines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go w.writeQueued()
	return w
}

// Write queues one line. It never fails and never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped because the queue was
// full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits until they are written. Write must not
// be called afterwards.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
	return nil
}

// writeQueued writes queued lines in batches until the queue is closed. After
// lines were dropped, it adds a line with their number.
func (w *Writer) writeQueued() {
	defer close(w.done)
	var reported int64
	for line := range w.lines {
		batch := w.appendQueued(line)
		if dropped := w.dropped.Load(); dropped > reported {
			batch = fmt.Appendf(batch, "time=%s level=WARN msg=\"log lines dropped\" lines=%d in_all=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), dropped-reported, dropped)
			reported = dropped
		}
		// An error is ignored: there is no other place to report it.
		_, _ = w.out.Write(batch)
	}
}

// appendQueued appends lines that are already in the queue, without waiting for
// more.
func (w *Writer) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, open := <-w.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
