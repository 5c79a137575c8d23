package router

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/wire"
)

// Guards against an answer that ends with its connection, and would look complete if the
// router were killed while it writes: callers of HTTP/1.0 know no chunks.
func TestAnswersStateTheirLength(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 64<<10)
	event, err := json.Marshal(map[string]any{"id": "1", "choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": string(body)}, "finish_reason": "stop"}}})
	assert.NilError(t, err)
	for name, answer := range map[string]func(w http.ResponseWriter) error{
		"service": func(w http.ResponseWriter) error {
			s := &serviceSink{w: w}
			assert.Check(t, s.chunk(wire.RunChunk{Data: body}))
			return s.finish(wire.RunEnd{HTTPStatus: http.StatusOK})
		},
		"completion": func(w http.ResponseWriter) error {
			s := newJSONSink(w, true, 0, "r")
			assert.Check(t, s.chunk(wire.RunChunk{Events: []json.RawMessage{event}}))
			return s.finish(wire.RunEnd{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { assert.Check(t, answer(w)) }))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Assert(t, len(got) >= len(body), "%d bytes", len(got))
			assert.Equal(t, resp.ContentLength, int64(len(got)))
		})
	}
}
