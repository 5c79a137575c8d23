package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	ok200   = "HTTP/1.1 200 OK\r\n"
	chunked = ok200 + "Transfer-Encoding: chunked\r\n\r\n"
)

// refused are bytes that are no answer, by the reason. Each is followed by what would make
// the answer whole, if the bytes were right.
var refused = map[Reason][]string{
	NoStatusLine: {
		"\r\n" + ok200, "\n", " " + ok200, "rubbish", "\x00", "HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "http/1.1 200 OK\r\n", "HTTP/1. 200 OK\r\n",
		"HTTP/1.10 200 OK\r\n", "HTTP/1.x 200 OK\r\n", "HTTP/1.1\t200 OK\r\n", "ICY 200 OK\r\n",
	},
	BadStatus: {
		"HTTP/1.1 000 No\r\n", "HTTP/1.1 001 No\r\n", "HTTP/1.1 099 No\r\n", "HTTP/1.1 600 No\r\n", "HTTP/1.1 999 No\r\n", "HTTP/1.1 +20 No\r\n",
		"HTTP/1.1 20 OK\r\n", "HTTP/1.1\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 \r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 -20 OK\r\n", "HTTP/1.0 000 No\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 No\r\n", "HTTP/1.1 200\tOK\r\n", "HTTP/1.1 200\r OK\r\n",
	},
	BadReason:         {"HTTP/1.1 200 O\rK\r\n", "HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 200 OK\r\r\n", "HTTP/1.1 200 \x7f\r\n"},
	UnaskedUpgrade:    {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n"},
	NoField:           {ok200 + "X\r\n\r\n", ok200 + "X\x00\r\n\r\n", "HTTP/1.1 103 E\r\nX\r\n\r\n"},
	FoldedField:       {ok200 + "X: y\r\n z\r\n\r\n", ok200 + " X: y\r\n\r\n", ok200 + "\tX: y\r\n\r\n", chunked + "0\r\nX: y\r\n z\r\n\r\n"},
	BadFieldName:      badNames(),
	BadFieldValue:     {ok200 + "X: a\x00b\r\n\r\n", ok200 + "X: a\rb\r\n\r\n", ok200 + "X: a\x01\r\n\r\n", ok200 + "X: a\x7f\r\n\r\n", ok200 + "X: a\r\r\n\r\n", chunked + "0\r\nX: a\x00\r\n\r\n"},
	BadLength:         lengths("7, 8", "7, 7", "7,", "+7", "-7", "0x7", "", "7 7", "7.0", "9223372036854775808", "7_0"),
	SeveralLengths:    {ok200 + "Content-Length: 7\r\nContent-Length: 8\r\n\r\n", ok200 + "Content-Length: 7\r\ncontent-length: 7\r\n\r\n"},
	UnknownCoding:     codings("gzip", "gzip, chunked", "chunked, chunked", "identity", "", "chunked;q=1", "chunked\r\nTransfer-Encoding: chunked"),
	LengthAndCoding:   {ok200 + "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n", ok200 + "Transfer-Encoding: chunked\r\nContent-Length: 7\r\n\r\n"},
	OldVersionCoding:  {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
	BadChunkSize:      chunkLines("", "x", "+5", "-5", "0x5", " 5", "5\n", "5\r", "8000000000000000", "00000000000000005", "5\x00"),
	BadChunkExtension: chunkLines("5 ", "5 x", "5\tx", "5;\x00", "5;a=\x01", "5;a\rb"),
	BadChunkEnd:       {chunked + "2\r\nokay\r\n0\r\n\r\n", chunked + "2\r\nok\n0\r\n\r\n", chunked + "2\r\nok\r\r\n0\r\n\r\n", chunked + "2\r\nok0\r\n\r\n"},
	BadTrailerEnd:     {chunked + "0\r\nX: y\n\r\n", chunked + "0\r\n\n"},
	FramingInTrailer:  {chunked + "0\r\nContent-Length: 7\r\n\r\n", chunked + "0\r\nTransfer-Encoding: chunked\r\n\r\n"},
	Cut: {
		"HTTP", ok200, ok200 + "X: y\r\n", ok200 + "X: y\r\n\r", "HTTP/1.1 103 E\r\nX: y\r\n\r\n", ok200 + "Content-Length: 7\r\n\r\n123456", chunked, chunked + "5\r\nabc",
		chunked + "2\r\nok", chunked + "2\r\nok\r\n", chunked + "2\r\nok\r\n0\r\n", chunked + "0\r\nX: y\r\n", chunked + "0\r\n\r",
	},
	LongHead:      {ok200 + "X: " + strings.Repeat("x", DefaultHeadBytes), "HTTP/1.1 200 " + strings.Repeat("O", DefaultHeadBytes), ok200 + strings.Repeat("X", DefaultHeadBytes)},
	ManyFields:    {ok200 + strings.Repeat("X: y\r\n", MaxFields+1), strings.Repeat("HTTP/1.1 103 E\r\nX: y\r\n\r\n", MaxFields+1), chunked + "0\r\n" + strings.Repeat("X: y\r\n", MaxFields+1)},
	LongChunkLine: {chunked + "5;" + strings.Repeat("x", MaxChunkLineBytes), chunked + strings.Repeat("0", MaxChunkLineBytes)},
	LongTrailer:   {chunked + "0\r\nX: " + strings.Repeat("x", MaxTrailerBytes)},
}

// badNames returns heads, heads of interim answers and trailer sections with names of fields
// that are no tokens.
func badNames() (out []string) {
	for _, name := range []string{
		"X Field", "X-Field ", "Content Length", "Content-Length ", "Transfer-Encoding ", "X-Field\t", "", "X\x00", "X\x01", "X\r", "X\x7f", "X,Y", "X/Y", "X(Y", "X\x80", "X\xff", "X\"", "é",
	} {
		line := name + ": 7\r\n\r\n"
		out = append(out, ok200+line, "HTTP/1.0 200 OK\r\n"+line, "HTTP/1.1 103 E\r\n"+line, chunked+"2\r\nok\r\n0\r\n"+line, ok200+"A: b\r\n"+line)
	}
	return out
}

func lengths(values ...string) (out []string) {
	for _, value := range values {
		out = append(out, ok200+"Content-Length: "+value+"\r\n\r\n")
	}
	return out
}

func codings(values ...string) (out []string) {
	for _, value := range values {
		out = append(out, ok200+"Transfer-Encoding: "+value+"\r\n\r\n")
	}
	return out
}

func chunkLines(lines ...string) (out []string) {
	for _, line := range lines {
		out = append(out, chunked+line+"\r\nbytes\r\n0\r\n\r\n", chunked+"2\r\nok\r\n"+line+"\r\n\r\n")
	}
	return out
}

// check feeds bytes in pieces of a size, 0 for all at once, and ends the connection. It
// returns how many bytes were accepted.
func check(c *Checker, data string, piece int, inOrder bool) (accepted int, err error) {
	fed := 0
	for rest := []byte(data); len(rest) > 0; {
		p := rest
		if piece > 0 {
			p = rest[:min(piece, len(rest))]
		}
		n, err := c.Feed(p)
		if n > 0 {
			accepted = fed + n
		}
		if err != nil {
			return accepted, err
		}
		fed += len(p)
		rest = rest[len(p):]
	}
	return accepted, c.End(inOrder)
}

// Guards against bytes that are no answer and reach a caller as one, for every reason of the
// closed list, however the bytes arrive. No reader may see a line that is refused.
func TestRefused(t *testing.T) {
	for _, reason := range Reasons() {
		examples := refused[reason]
		assert.Assert(t, len(examples) > 0, "no example of %q", reason)
		for _, data := range examples {
			for _, piece := range []int{0, 1, 7} {
				passed, err := check(NewChecker(Limits{}), data, piece, true)
				var fault *Fault
				assert.Assert(t, errors.As(err, &fault), "%.80q passed", data)
				assert.Equal(t, fault.Reason, reason, "%.80q", data)
				assert.Assert(t, readWhole(data[:passed]) != nil, "%.80q is whole to a reader", data)
			}
		}
	}
	assert.Equal(t, len(refused), len(Reasons()))
}

// readWhole reads an answer with net/http, and returns an error unless it is whole.
func readWhole(data string) error {
	reader := bufio.NewReader(strings.NewReader(data))
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		if resp.StatusCode >= 200 {
			_, err = io.ReadAll(resp.Body)
			return err
		}
	}
}

// passed are answers, each with the length of its content.
var passed = []struct {
	method, data string
	content      int
}{
	{"GET", ok200 + "Content-Length: 2\r\n\r\nok", 2},
	{"GET", ok200 + "Content-Length: \t2 \r\n\r\nok", 2},
	{"GET", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 0},
	{"GET", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", 0},
	{"GET", "HTTP/1.1 200 O\xc3\xa9 \t!\r\nContent-Length: 0\r\n\r\n", 0},
	{"GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", 2},
	{"GET", "HTTP/1.9 200 OK\r\nContent-Length: 2\r\n\r\nok", 2},
	{"GET", ok200 + "X:\r\nY:a\tb\r\nZ: \xff\r\n!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 0\r\n\r\n", 0},
	{"GET", chunked + "2\r\nok\r\n0\r\n\r\n", 2},
	{"GET", chunked + "2;a=b ; c=\"d\"\r\nok\r\n00\r\nX: y\r\n\r\n", 2},
	{"GET", chunked + "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n", 20},
	{"GET", ok200 + "transfer-encoding: Chunked\r\n\r\n0\r\n\r\n", 0},
	{"HEAD", ok200 + "Content-Length: 7\r\n\r\n", 0},
	{"HEAD", chunked, 0},
	{"HEAD", ok200 + "\r\n", 0},
	{"GET", "HTTP/1.1 204 No Content\r\n\r\n", 0},
	{"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 0},
	{"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n", 0},
	{"GET", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", 0},
	{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", 0},
	{"GET", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nno", 2},
}

// Guards against answers that are refused though they are right, and against an end that is
// found in the wrong place: the next answer follows at once.
func TestPassed(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for _, first := range passed {
		for _, before := range []string{"", interim} {
			for _, piece := range []int{0, 1, 7} {
				c := NewChecker(Limits{})
				c.Expect(first.method)
				n, err := check(c, before+first.data, piece, false)
				assert.NilError(t, err, "%q", first.data)
				assert.Equal(t, n, len(before+first.data))
				c.Expect("GET")
				_, err = check(c, ok200+"Content-Length: 2\r\n\r\nok", piece, false)
				assert.NilError(t, err, "after %q", first.data)
			}
		}
	}
}

// Guards against an answer without a length that looks whole though its sender did not end
// it in order.
func TestEndOfAnAnswerWithoutALength(t *testing.T) {
	for _, head := range []string{ok200, "HTTP/1.0 200 OK\r\n", ok200 + "Connection: close\r\n", "HTTP/1.1 500 No\r\n"} {
		for _, content := range []string{"", "part", "HTTP/1.1 200 OK\r\n\r\n"} {
			_, err := check(NewChecker(Limits{}), head+"\r\n"+content, 0, true)
			assert.NilError(t, err, "%q", head)
			_, err = check(NewChecker(Limits{}), head+"\r\n"+content, 0, false)
			assert.DeepEqual(t, err, &Fault{Reason: Cut})
		}
	}
}

var (
	statusPattern = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?\r?$`)
	fieldPattern  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\\r?$")
)

// seeds returns the examples, to be changed.
func seeds() (out [][]byte) {
	for _, reason := range Reasons() {
		for _, data := range refused[reason] {
			out = append(out, []byte(data))
		}
	}
	for _, a := range passed {
		out = append(out, []byte(a.data))
	}
	return out
}

// FuzzChecker compares the checker with net/http, and with patterns of the lines of a head:
// what passes is the same to both, wherever the bytes are divided.
func FuzzChecker(f *testing.F) {
	for i, data := range seeds() {
		f.Add(data, i, i%5 == 0)
	}
	f.Fuzz(checkProperties)
}

// Guards against the same as FuzzChecker, with changes that are the same in each run.
func TestChangedAnswers(t *testing.T) {
	const changes = 200 // of each example
	random := rand.New(rand.NewPCG(1, 1))
	fragments := []string{"\r", "\n", "\r\n", " ", ":", "\x00", "0", "HTTP/1.1 200 OK\r\n", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", ";", "\t", "\xff"}
	for _, data := range seeds() {
		for range changes {
			changed := bytes.Clone(data)
			for range 1 + random.IntN(3) {
				from := random.IntN(len(changed) + 1)
				to := from + random.IntN(min(len(changed)-from, 3)+1)
				changed = slices.Replace(changed, from, to, []byte(fragments[random.IntN(len(fragments))])...)
			}
			checkProperties(t, changed, random.IntN(64), random.IntN(5) == 0)
		}
	}
}

// checkProperties checks what holds for all bytes.
func checkProperties(t *testing.T, data []byte, piece int, isHead bool) {
	method := map[bool]string{false: "GET", true: "HEAD"}[isHead]
	whole, inPieces := NewChecker(Limits{}), NewChecker(Limits{})
	whole.Expect(method)
	inPieces.Expect(method)
	n, err := check(whole, string(data), 0, true)
	n2, err2 := check(inPieces, string(data), max(piece%64, 1), true)
	assert.DeepEqual(t, err, err2)
	assert.Equal(t, n, n2)
	if err != nil {
		var fault *Fault
		assert.Assert(t, errors.As(err, &fault) && slices.Contains(Reasons(), fault.Reason))
		data = data[:n]
	}
	compare(t, data, method, err == nil)
}

// compare reads the first answer with net/http. If all bytes passed, it must be able to.
func compare(t *testing.T, data []byte, method string, passed bool) {
	if len(data) == 0 {
		return
	}
	reader := bufio.NewReader(bytes.NewReader(data))
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		assert.Assert(t, !passed, "net/http: %v", err)
		return
	}
	head, _, _ := bytes.Cut(data, []byte("\n"))
	assert.Assert(t, statusPattern.Match(head), "%q", head)
	for _, line := range bytes.Split(headOf(data), []byte("\n"))[1:] {
		assert.Assert(t, fieldPattern.Match(line), "%q", line)
	}
	content, err := io.ReadAll(resp.Body)
	if passed && err != nil {
		assert.ErrorContains(t, err, "too much non-data")
	}
	if resp.ContentLength >= 0 && err == nil && method != "HEAD" && resp.StatusCode >= 200 && resp.StatusCode != 204 && resp.StatusCode != 304 {
		assert.Equal(t, int64(len(content)), resp.ContentLength)
	}
}

// headOf returns the lines of the first head without the empty one.
func headOf(data []byte) []byte {
	end := regexp.MustCompile(`\n\r?\n`).FindIndex(data)
	if end == nil {
		return data[:bytes.LastIndexByte(data, '\n')]
	}
	return data[:end[0]]
}
