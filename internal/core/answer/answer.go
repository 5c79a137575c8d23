// Package answer checks that what a server sends on a connection are answers of HTTP/1.x, by
// RFC 9110 and 9112. It sees every byte before anything acts on it, and holds no sockets.
//
// Where the RFCs leave a recipient the choice between a repair and a refusal, it refuses: a
// repaired answer may not be the one that the server meant.
package answer

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
)

// Limits bound what an answer may hold apart from its content.
type Limits struct {
	// HeadBytes bounds the status line and the fields of an answer, with the interim answers
	// (1xx) before it; DefaultHeadBytes if 0.
	HeadBytes int
}

// Bounds of an answer.
const (
	DefaultHeadBytes = 16 << 10
	// MaxFields bounds the fields of a head, with those of interim answers before it, and of
	// a trailer section.
	MaxFields = 200
	// MaxChunkLineBytes bounds the line of a chunk's size, with its extensions.
	MaxChunkLineBytes = 4 << 10
	// MaxTrailerBytes bounds a trailer section.
	MaxTrailerBytes = 4 << 10
	// maxChunkDigits is the number of digits of the largest size of a chunk.
	maxChunkDigits = 16
	// protocol begins the answers that this package reads. RFC 9110, section 2.5, has a
	// higher minor version read as the highest known one.
	protocol = "HTTP/1."
)

// Statuses that say where an answer ends.
const (
	statusSwitchingProtocols = 101
	statusNoContent          = 204
	statusNotModified        = 304
)

// state is what the next byte belongs to.
type state int

const (
	statusLine   state = iota // also before an answer
	fieldLine                 // of a head
	content                   // of a known length
	chunkLine                 // size of a chunk
	chunkContent              // of a chunk
	chunkEnd                  // line break after the content of a chunk
	trailerLine
	openContent // until the connection ends
)

// Checker checks the answers on one connection, one after the other. Create one with
// NewChecker.
type Checker struct {
	limits Limits
	isHead bool // the next answer is one to HEAD
	fault  *Fault

	state     state
	line      []byte // begun, without its line feed
	headBytes int    // of the answer and the interim ones before it
	trailer   int    // bytes of the trailer section
	fields    int
	left      int64 // bytes of the content, or of the chunk

	// Of the head in progress.
	minor      int
	status     int
	length     int64 // -1 if it states none
	codings    int   // transfer codings
	oddCoding  bool  // one of them is not "chunked"
	oddLength  bool
	manyLength bool
}

// NewChecker returns a checker of a connection on which nothing has come.
func NewChecker(limits Limits) *Checker {
	if limits.HeadBytes <= 0 {
		limits.HeadBytes = DefaultHeadBytes
	}
	return &Checker{limits: limits, length: -1}
}

// Expect states the method of the request whose answer comes next. An answer to HEAD has no
// content.
func (c *Checker) Expect(method string) { c.isHead = method == "HEAD" }

// Feed checks the next bytes. It returns how many of them may be used: those up to the end of
// the last whole line, or of what came of the content. The rest may be used when a later call
// accepts more, as it belongs to a line that is not whole. The error is a *Fault if what
// follows is no answer; then nothing that follows may be used.
func (c *Checker) Feed(p []byte) (accepted int, err error) {
	for n := 0; n < len(p) && c.fault == nil; {
		switch c.state {
		case content, chunkContent:
			n += c.feedContent(p[n:])
			accepted = n
		case openContent:
			return len(p), nil
		default:
			n += c.feedLine(p[n:])
			if c.fault == nil && len(c.line) == 0 {
				accepted = n
			}
		}
	}
	if c.fault != nil {
		return accepted, c.fault
	}
	return accepted, nil
}

// End reports how the connection may end: nil if no answer is in progress, or if it is one
// that ends with the connection and its sender ended that in order. Otherwise the error is a
// *Fault.
func (c *Checker) End(inOrder bool) error {
	switch {
	case c.fault != nil:
		return c.fault
	case c.state == statusLine && c.headBytes+len(c.line) == 0, c.state == openContent && inOrder:
		return nil
	}
	return &Fault{Reason: Cut}
}

// EndsWithConnection reports whether the answer in progress ends with the connection.
func (c *Checker) EndsWithConnection() bool { return c.state == openContent }

func (c *Checker) refuse(reason Reason) { c.fault = &Fault{Reason: reason} }

// feedContent takes the content of a known length.
func (c *Checker) feedContent(p []byte) int {
	n := int(min(c.left, int64(len(p))))
	if c.left -= int64(n); c.left > 0 {
		return n
	}
	if c.state == content {
		c.endAnswer()
	} else {
		c.state = chunkEnd
	}
	return n
}

// feedLine takes bytes up to the end of a line.
func (c *Checker) feedLine(p []byte) int {
	end := bytes.IndexByte(p, '\n')
	taken := p
	if end >= 0 {
		taken = p[:end]
	}
	room := c.lineRoom()
	tooLong := len(taken) >= room
	taken = taken[:min(len(taken), room)]
	c.line = append(c.line, taken...)
	if c.checkBegun(); tooLong && c.fault == nil {
		c.refuse(c.tooLong())
	}
	if end < 0 || c.fault != nil {
		return len(taken)
	}
	line, hasCR := bytes.CutSuffix(c.line, []byte("\r"))
	c.count(len(c.line) + 1)
	c.endLine(line, hasCR)
	c.line = c.line[:0]
	return len(taken) + 1
}

// lineRoom returns how many more bytes the line may have, with its line feed.
func (c *Checker) lineRoom() int {
	room := c.limits.HeadBytes - c.headBytes
	switch c.state {
	case chunkLine, chunkEnd:
		room = MaxChunkLineBytes
	case trailerLine:
		room = MaxTrailerBytes - c.trailer
	}
	return max(room-len(c.line), 0)
}

func (c *Checker) tooLong() Reason {
	switch c.state {
	case chunkLine, chunkEnd:
		return LongChunkLine
	case trailerLine:
		return LongTrailer
	default:
		return LongHead
	}
}

// count counts the bytes of a line that has ended.
func (c *Checker) count(lineBytes int) {
	switch c.state {
	case trailerLine:
		c.trailer += lineBytes
	case statusLine, fieldLine:
		c.headBytes += lineBytes
	}
}

// checkBegun refuses a line as soon as what has come of it can't be right: bytes that are no
// answer may never bring a line feed.
func (c *Checker) checkBegun() {
	n := min(len(c.line), len(protocol))
	switch {
	case c.state == statusLine && string(c.line[:n]) != protocol[:n]:
		c.refuse(NoStatusLine)
	case c.state == chunkEnd && !strings.HasPrefix("\r", string(c.line)):
		c.refuse(BadChunkEnd)
	}
}

// endLine takes a line without its line break.
func (c *Checker) endLine(line []byte, hasCR bool) {
	switch c.state {
	case statusLine:
		c.endStatusLine(line)
	case fieldLine:
		c.endFieldLine(line)
	case chunkLine:
		c.endChunkLine(line, hasCR)
	case chunkEnd:
		if c.state = chunkLine; !hasCR {
			c.refuse(BadChunkEnd)
		}
	case trailerLine:
		c.endTrailerLine(line, hasCR)
	}
}

// endStatusLine takes a status line: HTTP-version SP status-code [ SP [ reason-phrase ] ].
func (c *Checker) endStatusLine(line []byte) {
	version, rest, _ := strings.Cut(string(line), " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor, isVersion := strings.CutPrefix(version, protocol)
	if !isVersion || len(minor) != 1 || !isDigit(minor[0]) {
		c.refuse(NoStatusLine)
		return
	}
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		c.refuse(BadStatus)
		return
	}
	c.minor = int(minor[0] - '0')
	c.status, _ = strconv.Atoi(code) // three digits
	switch {
	case c.status < 100 || c.status > 599:
		c.refuse(BadStatus)
	case c.status == statusSwitchingProtocols:
		c.refuse(UnaskedUpgrade)
	case !isText(reason):
		c.refuse(BadReason)
	}
	c.state = fieldLine
}

// endFieldLine takes a line of a head after the first.
func (c *Checker) endFieldLine(line []byte) {
	if len(line) == 0 {
		c.endHead()
		return
	}
	name, value, ok := c.field(line)
	if !ok {
		return
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		c.recordLength(value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		for coding := range strings.SplitSeq(value, ",") {
			c.codings++
			c.oddCoding = c.oddCoding || !strings.EqualFold(strings.Trim(coding, " \t"), "chunked")
		}
	}
}

// field splits a field line and checks its parts.
func (c *Checker) field(line []byte) (name, value string, ok bool) {
	if c.fields++; c.fields > MaxFields {
		c.refuse(ManyFields)
		return "", "", false
	}
	name, value, colon := strings.Cut(string(line), ":")
	switch {
	case isBlank(line[0]):
		c.refuse(FoldedField)
	case !colon:
		c.refuse(NoField)
	case !isToken(name):
		c.refuse(BadFieldName)
	case !isText(value):
		c.refuse(BadFieldValue)
	default:
		return name, strings.Trim(value, " \t"), true
	}
	return "", "", false
}

func (c *Checker) recordLength(value string) {
	c.manyLength = c.manyLength || c.length >= 0
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || !isDigit(value[0]) {
		c.oddLength = true
		return
	}
	c.length = int64(length)
}

// endHead takes the end of a head and finds where its answer ends.
func (c *Checker) endHead() {
	interim := c.status < 200
	// Such an answer ends here whatever its fields say (RFC 9112, section 6.3).
	withoutContent := c.status == statusNoContent || c.status == statusNotModified || c.isHead
	switch {
	case c.oddLength:
		c.refuse(BadLength)
	case c.manyLength:
		c.refuse(SeveralLengths)
	case c.codings > 0 && c.minor == 0:
		c.refuse(OldVersionCoding)
	case c.oddCoding || c.codings > 1:
		c.refuse(UnknownCoding)
	case c.codings > 0 && c.length >= 0:
		c.refuse(LengthAndCoding)
	case interim:
		c.beginHead()
	case withoutContent, c.length == 0:
		c.endAnswer()
	case c.codings > 0:
		c.state = chunkLine
	case c.length > 0:
		c.state, c.left = content, c.length
	default:
		c.state = openContent
	}
}

// endChunkLine takes the line of a chunk's size: 1*HEXDIG [ chunk-ext ].
func (c *Checker) endChunkLine(line []byte, hasCR bool) {
	digits, extensions := string(line), ""
	if i := strings.IndexAny(digits, "; \t"); i >= 0 {
		digits, extensions = digits[:i], digits[i:]
	}
	size, err := strconv.ParseUint(digits, 16, 63)
	switch {
	case !hasCR || err != nil || len(digits) > maxChunkDigits || !isHexDigits(digits):
		c.refuse(BadChunkSize)
	case !isText(extensions) || extensions != "" && !strings.HasPrefix(strings.TrimLeft(extensions, " \t"), ";"):
		c.refuse(BadChunkExtension)
	case size == 0:
		c.state, c.trailer, c.fields = trailerLine, 0, 0
	default:
		c.state, c.left = chunkContent, int64(size)
	}
}

// framingFields say where an answer ends, which is too late in a trailer section.
var framingFields = []string{"Content-Length", "Transfer-Encoding", "Trailer"}

// endTrailerLine takes a line of a trailer section.
func (c *Checker) endTrailerLine(line []byte, hasCR bool) {
	if !hasCR {
		c.refuse(BadTrailerEnd)
		return
	}
	if len(line) == 0 {
		c.endAnswer()
		return
	}
	name, _, ok := c.field(line)
	if !ok {
		return
	}
	if slices.ContainsFunc(framingFields, func(field string) bool { return strings.EqualFold(field, name) }) {
		c.refuse(FramingInTrailer)
	}
}

// beginHead prepares for the head after an interim answer, whose bytes and fields count.
func (c *Checker) beginHead() {
	c.state, c.status, c.length, c.codings, c.oddCoding, c.oddLength, c.manyLength = statusLine, 0, -1, 0, false, false, false
}

// endAnswer prepares for the next answer.
func (c *Checker) endAnswer() {
	c.beginHead()
	c.headBytes, c.fields = 0, 0
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isHexDigits(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return !strings.ContainsRune("0123456789abcdefABCDEF", r) }) < 0
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for i := range len(s) {
		b := s[i]
		isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !isLetter && !isDigit(b) && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return s != ""
}

// isText reports whether s has no control bytes but tabs, as a reason phrase and the value
// of a field.
func isText(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
