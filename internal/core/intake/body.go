package intake

import (
	"bytes"
	"strconv"
)

// Body finds the end of a request's body in the bytes of a connection as they come in (RFC
// 9112, 6 and 7.1). The zero value is a body without bytes.
type Body struct {
	expects   bodyPart
	left      int64 // bytes to come of a body with a length, or of the current chunk with its end
	size      int64 // of the current chunk, as far as its digits have come
	lineBegun bool  // something of the current line of the trailer has come
}

// bodyPart is a part of a body.
type bodyPart int

// Parts of a body. Those from chunkSize on are of a body in chunks.
const (
	bodyEnd bodyPart = iota
	bodyBytes
	chunkSize
	chunkExtension
	chunkBytes
	chunkTrailer
)

const (
	// chunkEndBytes come after the bytes of a chunk.
	chunkEndBytes = 2
	// maxChunkBytes bounds the size of a chunk that is told from a malformed one.
	maxChunkBytes = 1 << 56
)

var (
	fieldLength   = []byte("Content-Length")
	fieldEncoding = []byte("Transfer-Encoding")
	chunked       = []byte("chunked")
	oldVersion    = []byte("HTTP/1.0") // which has no chunks
)

// BodyAfter returns the body of a request with a head. The head may lack its first byte. A
// head that is not valid has a body without bytes: its request is the last of a connection.
func BodyAfter(head []byte) Body {
	var length, encoding []byte
	var field *[]byte // that the current line may continue
	first, rest, _ := bytes.Cut(head, []byte("\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			if field != nil {
				*field = bytes.TrimSpace(append(append(bytes.Clone(*field), ' '), bytes.TrimSpace(line)...))
			}
			continue
		}
		field = nil
		name, after, _ := bytes.Cut(line, []byte(":"))
		value := bytes.TrimSpace(after)
		switch {
		case bytes.EqualFold(name, fieldLength):
			length, field = value, &length
		case bytes.EqualFold(name, fieldEncoding):
			encoding, field = value, &encoding
		}
	}
	if bytes.EqualFold(encoding, chunked) && !bytes.HasSuffix(bytes.TrimSpace(first), oldVersion) {
		return Body{expects: chunkSize}
	}
	if left, err := strconv.ParseInt(string(length), 10, 64); err == nil && left > 0 {
		return Body{expects: bodyBytes, left: left}
	}
	return Body{}
}

// Length returns how many bytes are to come, -1 if the body is in chunks.
func (b *Body) Length() int64 {
	if b.expects >= chunkSize {
		return -1
	}
	return b.left
}

// Ended reports whether the body has come in whole.
func (b *Body) Ended() bool { return b.expects == bodyEnd }

// Scan searches bytes that have come in, and returns how many of them are the body's.
func (b *Body) Scan(p []byte) (n int) {
	for n < len(p) && !b.Ended() {
		if b.expects == bodyBytes || b.expects == chunkBytes {
			taken := min(int64(len(p)-n), b.left)
			n += int(taken)
			b.left -= taken
			switch {
			case b.left > 0:
			case b.expects == bodyBytes:
				b.expects = bodyEnd
			default:
				b.expects = chunkSize
			}
			continue
		}
		b.scanLine(p[n])
		n++
	}
	return n
}

// scanLine takes a byte of the lines around chunks.
func (b *Body) scanLine(c byte) {
	switch b.expects {
	case chunkSize:
		if digit, ok := hexDigit(c); ok && b.size < maxChunkBytes {
			b.size = b.size<<4 | digit
			return
		}
		b.expects = chunkExtension
		b.scanLine(c)
	case chunkExtension:
		if c != '\n' {
			return
		}
		if b.expects, b.left = chunkBytes, b.size+chunkEndBytes; b.size == 0 {
			b.expects, b.left = chunkTrailer, 0
		}
		b.size = 0
	case chunkTrailer:
		switch {
		case c == '\n' && !b.lineBegun:
			b.expects = bodyEnd
		case c != '\r':
			b.lineBegun = c != '\n'
		}
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (value int64, ok bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
