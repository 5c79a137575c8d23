package intake

// Head finds the end of a request's head in the bytes of a connection as they come in. The
// zero value is at the start of a connection, or after the request before.
type Head struct {
	Bytes, Lines int64 // of the head so far, without empty lines before it

	lineBegun bool // something of the current line has come
}

// Began reports whether a part of the head has come in.
func (h *Head) Began() bool { return h.Bytes > 0 }

// Scan searches bytes that have come in. skip is the number of empty lines' bytes at their
// start, which are no part of a head (RFC 9112, 2.2); end is the number of bytes up to the
// end of the head, with those, and 0 if it has not come.
func (h *Head) Scan(p []byte) (skip, end int) {
	for i, b := range p {
		if !h.Began() && (b == '\n' || b == '\r') {
			skip++
			continue
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
