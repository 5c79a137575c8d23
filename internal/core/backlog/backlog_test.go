package backlog

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bytes that are lost, doubled or out of order, and against more bytes than
// an answer or the process may hold.
func TestBacklogIsBoundedAndInOrder(t *testing.T) {
	pool := NewPool(MaxBytes + 10)
	a, b := New(pool), New(pool)
	data := bytes.Repeat([]byte("0123456789"), MaxBytes/10+1)
	assert.Equal(t, a.Add(data), MaxBytes)
	assert.Equal(t, a.Add(data), 0, "the answer's bound")
	assert.Equal(t, b.Add(data), 10, "the process's bound")
	assert.Equal(t, pool.Held(), int64(MaxBytes+10))
	var got []byte
	for a.Len() > 0 {
		next := a.Next()
		n := max(len(next)/2, 1)
		got = append(got, next[:n]...)
		a.Written(n)
	}
	assert.Assert(t, bytes.Equal(got, data[:MaxBytes]))
	b.Drop()
	assert.Equal(t, pool.Held(), int64(0))
	assert.Equal(t, b.Add(data[:5]), 5)
}
