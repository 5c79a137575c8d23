package callers

import (
	"errors"
	"io"
)

// Sizes of the blocks in which a body is received. One of unknown length begins small.
const (
	firstBlockBytes = 4 << 10
	blockBytes      = 64 << 10
)

// Body is a body that was received, in blocks.
type Body [][]byte

// Len returns its length in bytes.
func (b Body) Len() (n int64) {
	for _, block := range b {
		n += int64(len(block))
	}
	return n
}

// Join returns the body as one block.
func (b Body) Join() []byte {
	if len(b) == 1 {
		return b[0]
	}
	joined := make([]byte, 0, b.Len())
	for _, block := range b {
		joined = append(joined, block...)
	}
	return joined
}

// ReadBody reads a body to its end, block by block, so that it costs little more than what
// has come in. length is -1 if it is not known. take is called before a block is allocated,
// and its error is returned.
func ReadBody(src io.Reader, length int64, take func(bytes int64) error) (body Body, err error) {
	for size := int64(firstBlockBytes); ; size = min(2*size, blockBytes) {
		if length >= 0 {
			size = min(length-body.Len(), blockBytes)
		}
		if size == 0 {
			// The server notices that a caller leaves only after the body was read to its
			// end.
			_, err := io.Copy(io.Discard, src)
			return body, err
		}
		if err := take(size); err != nil {
			return nil, err
		}
		block := make([]byte, size)
		n, err := fill(src, block)
		if n > 0 {
			body = append(body, block[:n])
		}
		switch {
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// ReadUpTo reads a body like ReadBody, up to a limit or until take refuses a block. whole says
// that the body has ended there.
func ReadUpTo(src io.Reader, length, limit int64, take func(bytes int64) bool) (body Body, whole bool, err error) {
	for size, held := int64(firstBlockBytes), int64(0); ; size = min(2*size, blockBytes) {
		if length >= 0 && held == 0 {
			size = min(max(length, 1), blockBytes)
		}
		size = min(size, limit+1-held)
		if size == 0 || !take(size) {
			return body, false, nil
		}
		block := make([]byte, size)
		n, err := fill(src, block)
		if n > 0 {
			body = append(body, block[:n])
			held += int64(n)
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, held <= limit, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// fill reads until a block is full. It returns io.EOF only at the end of the source.
func fill(src io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = src.Read(block[n:])
		n += read
	}
	if n == len(block) {
		return n, nil // an error comes again
	}
	return n, err
}

// Give counts bytes as no longer held for the request in progress.
func (c *Conn) Give(bytes int64) { c.pool.give(c, bytes) }

// TryTake is Take that does not wait. It reports whether there is room.
func (c *Conn) TryTake(bytes int64) bool { return c.pool.tryTake(c, bytes) }

// Take counts bytes that are about to be held for a request, and waits until there is room
// for them. They are given back at its end. It fails with ErrGone if the connection has
// ended.
func (c *Conn) Take(bytes int64) error {
	err := c.pool.take(c, bytes)
	if errors.Is(err, errEnded) {
		return ErrGone
	}
	return err
}
