package upstream

import (
	"fmt"
	"io"
	"math"
)

// Bounds of what a target may send in answer to a request, apart from the body of the
// answer, which is its reader's to bound.
const (
	// MaxHeadBytes bounds the status line and the headers of a response.
	MaxHeadBytes = 32 << 10
	// MaxHeaderFields bounds the names of headers in a response.
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

// boundedReader fails once more than a number of bytes are read from it.
type boundedReader struct {
	io.Reader
	left int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &TooLongError{"head", MaxHeadBytes}
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// boundHead bounds the bytes that are read up to the end of the next head. Bytes that
// were read ahead of it count too.
func (c *conn) boundHead() { c.bound.left = MaxHeadBytes }

// liftBound ends boundHead.
func (c *conn) liftBound() { c.bound.left = math.MaxInt64 }
