package router_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/platform"
)

// Guards against a connection that is closed without an answer after a part of a request was
// read, because the router stops.
func TestRequestReadInPartAtAStopIsAnswered(t *testing.T) {
	p := startRouter(t, "r1", platform.NewMemoryTable(), false)
	const head, rest = "GET /healthz HT", "TP/1.1\r\nHost: r\r\n\r\n"
	type caller struct {
		net.Conn
		r *bufio.Reader
	}
	dial := func() caller {
		conn, err := net.Dial("tcp", p.callers)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		return caller{conn, bufio.NewReader(conn)}
	}
	call := func(c caller, request string) {
		_, _ = io.WriteString(c, request) // an error shows when the answer is read
		resp, err := http.ReadResponse(c.r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	kept, fresh, idle := dial(), dial(), dial()
	call(kept, head+rest)
	call(idle, head+rest)
	for _, c := range []caller{kept, fresh} {
		_, err := io.WriteString(c, head)
		assert.NilError(t, err)
	}
	p.stop()
	time.Sleep(2200 * time.Millisecond) // the router would close idle connections now
	call(kept, rest)
	call(fresh, rest)
	_, err := idle.r.ReadByte()
	assert.Equal(t, err, io.EOF)
}
