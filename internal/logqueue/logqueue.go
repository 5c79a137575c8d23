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

// maxQueuedLines and maxQueuedBytes limit the lines in the queue. A line may hold what a
// caller has sent, and be long.
const (
	maxQueuedLines = 4096
	maxQueuedBytes = 1 << 20
)

// maxBatchBytes limits a batch: a batch that has reached this size gets no further
// line and is written. Batches save system calls.
const maxBatchBytes = 32 << 10

// Writer queues lines for a slower writer. Create one with New.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	closing   chan struct{} // closed by Close
	done      chan struct{} // closed when the lines queued before Close are written
	queued    atomic.Int64  // bytes of lines
	dropped   atomic.Int64  // lines dropped since the start
	closeOnce sync.Once
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer { return newWithLimit(out, maxQueuedLines) }

func newWithLimit(out io.Writer, maxLines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.writeQueued()
	return w
}

// Write queues one line. It never fails and never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case <-w.closing:
		return len(p), nil
	default:
	}
	if w.queued.Add(int64(len(p))) <= maxQueuedBytes {
		select {
		case w.lines <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	w.queued.Add(-int64(len(p)))
	w.dropped.Add(1)
	return len(p), nil
}

// Dropped returns the number of lines that were dropped because the queue was
// full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits until they are written. Lines that are written
// later are discarded.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
	return nil
}

// writeQueued writes queued lines in batches until the queue is closed. After
// lines were dropped, it adds a line with their number.
func (w *Writer) writeQueued() {
	defer close(w.done)
	var reported int64
	for {
		var line []byte
		select {
		case line = <-w.lines:
		case <-w.closing:
			select {
			case line = <-w.lines:
			default:
				return
			}
		}
		w.queued.Add(-int64(len(line)))
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
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
