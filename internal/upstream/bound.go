package upstream

import (
	"bytes"
	"fmt"
	"io"
	"math"
)

// Bounds of what a target may send in answer to a request, apart from the body of the
// answer, which is its reader's to bound.
const (
	// MaxHeadBytes bounds the status line and the headers of a response.
	MaxHeadBytes = 16 << 10
	// MaxHeaderFields bounds the headers in a response.
	MaxHeaderFields = 200
	// MaxSkippedBytes bounds the body of a response to another request.
	MaxSkippedBytes = 64 << 10
)

// TooLongError reports that a target has sent more than a bound permits. The rest is not
// read.
type TooLongError struct {
	What  string
	Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s of the target exceeds %d", e.What, e.Limit)
}

// boundedReader fails once too many bytes or lines are read from it. Lines are examined
// before a read, because the last one may reach into the body.
type boundedReader struct {
	io.Reader
	left  int64 // bytes
	lines int   // left; not counted if negative
}

func (b *boundedReader) Read(p []byte) (int, error) {
	switch {
	case b.left <= 0:
		return 0, &TooLongError{"head", MaxHeadBytes}
	case b.lines == 0:
		return 0, &TooLongError{"number of headers", MaxHeaderFields}
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.lines > 0 {
		b.lines = max(b.lines-bytes.Count(p[:n], []byte{'\n'}), 0)
	}
	return n, err
}

// boundHead bounds the bytes that are read up to the end of the next head. Bytes that
// were read ahead of it count too.
func (c *conn) boundHead() { c.bound.left, c.bound.lines = MaxHeadBytes, MaxHeaderFields }

// liftBound ends boundHead.
func (c *conn) liftBound() { c.bound.left, c.bound.lines = math.MaxInt64, -1 }
