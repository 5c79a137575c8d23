package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// gate blocks writes until it is opened.
type gate struct {
	entered chan struct{} // receives once for each write that has begun
	open    chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	g.entered <- struct{}{}
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.Write(p)
}

// Guards against a log that holds up the process, and against lines that vanish
// without a word.
func TestDropsInsteadOfBlocking(t *testing.T) {
	g := &gate{entered: make(chan struct{}, 10), open: make(chan struct{})}
	w := newSized(g, 10)
	fmt.Fprintln(w, "first")
	<-g.entered // from here on nothing leaves the queue
	for i := range 100 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	assert.Equal(t, w.Dropped(), int64(90))
	close(g.open)
	assert.NilError(t, w.Close())
	got := g.b.String()
	assert.Equal(t, strings.Count(got, "line "), 10)
	assert.Assert(t, strings.Contains(got, "msg=\"log lines dropped\" lines=90"), got)
}

// Guards against lines that are lost or reordered at the end.
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
