// Package logqueue writes log lines without blocking whoever logs. Lines that do
// not fit its queue are dropped and counted.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines bounds the lines that wait, about 1 MB.
const queueLines = 4096

// batchBytes bounds the bytes of one write, so that many lines cost one system
// call.
const batchBytes = 32 << 10

// Writer queues lines for a slower writer. Create one with New.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64 // in all
	once    sync.Once
}

// New returns a writer in front of out.
func New(out io.Writer) *Writer { return newSized(out, queueLines) }

func newSized(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
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

// Dropped returns the number of lines that did not fit.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued. Nothing may be written afterwards.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.lines) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	var told int64
	for line := range w.lines {
		batch := w.more(line)
		if dropped := w.dropped.Load(); dropped > told {
			batch = fmt.Appendf(batch, "time=%s level=WARN msg=\"log lines dropped\" lines=%d in_all=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), dropped-told, dropped)
			told = dropped
		}
		// Nobody is left to tell of a log that cannot be written.
		_, _ = w.out.Write(batch)
	}
}

// more appends the lines that wait already.
func (w *Writer) more(batch []byte) []byte {
	for len(batch) < batchBytes {
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
