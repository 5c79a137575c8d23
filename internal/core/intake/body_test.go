package intake

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// bodyCases are requests and what comes after them. The server decides where they end.
var bodyCases = []struct{ name, head, body string }{
	{"none", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", ""},
	{"length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n", "abc\r\n"},
	{"length in another spelling", "POST / HTTP/1.1\nHost: x\ncontent-LENGTH:\t 5 \n\n", "abcde"},
	{"length twice", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", "abc"},
	{"length on a further line", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length:\r\n 3\r\nA: b\r\n 9\r\n\r\n", "abc"},
	{"length of 0", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", ""},
	{"length of a request that needs none", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n", "abc"},
	{"chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"},
	{"chunks with ends of lines", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n", "04\r\n\r\n\r\n\r\n00\r\n\r\n"},
	{"large chunk", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "1aB\r\n" + strings.Repeat("0", 0x1ab) + "\r\n0\r\n\r\n"},
	{"chunks with extensions", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "2;a=b\r\nab\r\n0;0\r\n\r\n"},
	{"chunks with a trailer", "POST / HTTP/1.1\r\nHost: x\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n0\r\nA: b\r\nC: d\r\n\r\n"},
	{"chunks and a length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n0\r\n\r\n"},
	{"chunks of a version without", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", "2\r"},
	{"other fields", "POST / HTTP/1.1\r\nHost: x\r\nX-Content-Length: 9\r\nContent-Lengths: 8\r\n\r\n", ""},
}

// Guards against a body that ends elsewhere for the server: a part of the next head would be
// passed on, or a part of the body held back.
func TestEndOfBodyIsTheServers(t *testing.T) {
	const next = "\r\nGET /next HTTP/1.1\r\n"
	for _, c := range bodyCases {
		reader := bufio.NewReader(strings.NewReader(c.head + c.body + next))
		r, err := http.ReadRequest(reader)
		assert.NilError(t, err, c.name)
		_, err = io.Copy(io.Discard, r.Body)
		assert.NilError(t, err, c.name)
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err, c.name)
		assert.Equal(t, string(rest), next, c.name)

		for _, head := range []string{c.head, c.head[1:]} {
			body := BodyAfter([]byte(head))
			assert.Equal(t, body.Length(), r.ContentLength, c.name)
		}
		for _, piece := range []int{1, 2, 3, len(c.body + next)} { // bytes that come in together
			body, text := BodyAfter([]byte(c.head)), c.body+next
			end := 0
			for at := 0; at < len(text) && !body.Ended(); at += piece {
				end = at + body.Scan([]byte(text[at:min(at+piece, len(text))]))
			}
			assert.Assert(t, body.Ended(), "%s in pieces of %d", c.name, piece)
			assert.Equal(t, end, len(c.body), "%s in pieces of %d", c.name, piece)
		}
	}
}

// Guards against a body that counts as whole though a part of it is to come.
func TestBodyInPartHasNotEnded(t *testing.T) {
	for _, c := range bodyCases {
		for at := range len(c.body) {
			body := BodyAfter([]byte(c.head))
			assert.Equal(t, body.Scan([]byte(c.body[:at])), at, c.name)
			assert.Assert(t, !body.Ended(), "%s after %d bytes", c.name, at)
		}
	}
}
