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
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.Write(p)
}

// Guards against a log that holds up the process, and against lines that vanish
// without a word.
func TestDropsInsteadOfBlocking(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := newSized(g, 10)
	for i := range 100 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	dropped := w.Dropped()
	assert.Assert(t, dropped >= 88 && dropped <= 90, "%d dropped", dropped)
	close(g.open)
	assert.NilError(t, w.Close())
	got := g.b.String()
	assert.Equal(t, int64(strings.Count(got, "line ")), 100-dropped)
	assert.Assert(t, strings.Contains(got, fmt.Sprintf("msg=\"log lines dropped\" lines=%d", dropped)), got)
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
