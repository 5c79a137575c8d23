package intake

// Head finds the end of a request's head in the bytes of a connection as they come in. The
// zero value is at the start of a connection.
type Head struct {
	Bytes, Lines int64 // of the head so far, without empty lines before it

	begun     bool // a line that is not empty has begun
	lineBegun bool // likewise, the current one
	tail      tail // of what was passed on since the last head
}

// tail is the end of the bytes that were read last.
type tail struct {
	bytes [2]byte
	any   bool
}

func (t *tail) add(p []byte) {
	for _, b := range p[max(len(p)-len(t.bytes), 0):] {
		t.bytes[0], t.bytes[1] = t.bytes[1], b
		t.any = true
	}
}

// Passed records bytes that were read after the end of a head: of a body, or of what a
// caller sends after it without waiting for the answer.
func (h *Head) Passed(p []byte) { h.tail.add(p) }

// Next begins the search for the end of the next head. What was passed on may end with a
// part of it.
func (h *Head) Next() {
	last := h.tail
	*h = Head{}
	if !last.any {
		return
	}
	h.begun = true
	h.lineBegun = last.bytes[1] != '\n' && (last.bytes[1] != '\r' || last.bytes[0] != '\n')
}

// Began reports whether a part of the head has come in since the last one was passed on.
func (h *Head) Began() bool { return h.Bytes > 0 }

// Scan searches bytes that have come in. skip is the number of empty lines' bytes at their
// start, which are no part of a head (RFC 9112, 2.2); end is the number of bytes up to the
// end of the head, with those, and 0 if it has not come.
func (h *Head) Scan(p []byte) (skip, end int) {
	for i, b := range p {
		if !h.begun {
			if b == '\n' || b == '\r' {
				skip++
				continue
			}
			h.begun = true
		}
		h.Bytes++
		switch b {
		case '\n':
			h.Lines++
			if !h.lineBegun {
				return skip, i + 1
			}
			h.lineBegun = false
		case '\r':
		default:
			h.lineBegun = true
		}
	}
	return skip, 0
}
