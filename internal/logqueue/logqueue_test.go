package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter blocks writes until unblock is closed.
type blockingWriter struct {
	writing chan struct{} // receives a value when a write begins
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	b.writing <- struct{}{}
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Guards against a slow log that blocks the process, and against lines that are
// dropped without a report. While a write to the log is blocked, the test logs more
// lines than the queue holds.
func TestDropsInsteadOfBlocking(t *testing.T) {
	out := &blockingWriter{writing: make(chan struct{}, 10), unblock: make(chan struct{})}
	w := newWithLimit(out, 10)
	fmt.Fprintln(w, "first")
	<-out.writing // from here on no line leaves the queue
	for i := range 100 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	assert.Equal(t, w.Dropped(), int64(90))
	close(out.unblock)
	assert.NilError(t, w.Close())
	got := out.written.String()
	assert.Equal(t, strings.Count(got, "line "), 10)
	assert.Assert(t, strings.Contains(got, "msg=\"log lines dropped\" lines=90"), got)
}

// Guards against lines that are lost or reordered when Close is called while they
// are queued.
func TestCloseWritesAll(t *testing.T) {
	var b bytes.Buffer
	w := New(&b)
	var want strings.Builder
	for i := range 1000 {
		fmt.Fprintf(w, "line %d\n", i)
		fmt.Fprintf(&want, "line %d\n", i)
	}
	assert.NilError(t, w.Close())
	assert.Equal(t, b.String(), want.String())
}

// Guards against a panic of a process that ends: goroutines that it does not wait for still
// write lines after the log is closed.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var b bytes.Buffer
	w := New(&b)
	fmt.Fprintln(w, "first")
	var late sync.WaitGroup
	for range 4 {
		late.Go(func() {
			for range 1000 {
				fmt.Fprintln(w, "late")
			}
		})
	}
	assert.NilError(t, w.Close())
	fmt.Fprintln(w, "last")
	late.Wait()
	assert.Assert(t, strings.HasPrefix(b.String(), "first\n"))
	assert.Assert(t, !strings.Contains(b.String(), "last"))
}

// Guards against a queue of few but long lines that uses up the memory, as what callers send
// is logged.
func TestLongLinesAreBounded(t *testing.T) {
	out := &blockingWriter{writing: make(chan struct{}, 100), unblock: make(chan struct{})}
	w := New(out)
	fmt.Fprintln(w, "first")
	<-out.writing // from here on no line leaves the queue
	long := strings.Repeat("x", 16<<10)
	for range 1000 {
		fmt.Fprintln(w, long)
	}
	assert.Equal(t, w.Dropped(), int64(1000-maxQueuedBytes/(16<<10+1)))
	close(out.unblock)
	assert.NilError(t, w.Close())
	assert.Equal(t, strings.Count(out.written.String(), long), maxQueuedBytes/(16<<10+1))
}
