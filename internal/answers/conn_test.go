package answers

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/answer"
)

// testTimeout bounds each exchange of a test.
const testTimeout = 10 * time.Second

// exchange opens a connection to a server that handles it with serve, sends a request with a
// body in another goroutine, and returns what could be read.
func exchange(t *testing.T, body []byte, serve func(c *net.TCPConn)) (read []byte, err error) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		if c, err := listener.AcceptTCP(); err == nil {
			defer c.Close()
			serve(c)
		}
	}()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	c := NewConn(dialed, answer.Limits{})
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)); err == nil {
			_, _ = c.Write(body)
		}
	}()
	read, err = io.ReadAll(c)
	_ = c.Close()
	<-sent
	return read, err
}

// answerAndReset sends an answer while its request is still being sent, and resets the
// connection after a pause.
func answerAndReset(text string, pause time.Duration) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 1000))
		_, _ = io.WriteString(c, text)
		time.Sleep(pause)
		_ = c.SetLinger(0)
	}
}

// Guards against a part of an answer that looks whole: its server resets the connection
// while the request is being sent, and the error goes to the write, so that the read finds
// an end.
func TestResetDuringTheRequestCutsTheAnswer(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 3<<20)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		for _, pause := range []time.Duration{0, time.Millisecond, 40 * time.Millisecond} {
			for range 10 {
				read, err := exchange(t, body, answerAndReset(head+"part", pause))
				assert.Assert(t, err != nil, "%q is whole, %v before the reset", read, pause)
			}
		}
	}
}

// Guards against an answer without a length that is refused though its server ended it in
// order, also before it had read the whole request.
func TestAnswerWithoutALengthThatEndsInOrder(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\nwhole"
	for name, c := range map[string]struct {
		body  int
		serve func(c *net.TCPConn)
	}{
		"after the request": {10, func(c *net.TCPConn) {
			_, _ = io.ReadFull(c, make([]byte, 10))
			_, _ = io.WriteString(c, text)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}},
		"before its end": {3 << 20, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, text)
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, c)
		}},
	} {
		read, err := exchange(t, make([]byte, c.body), c.serve)
		assert.NilError(t, err, name)
		assert.Equal(t, string(read), text, name)
	}
}

// Guards against readers that take bytes for an answer which are none, through net/http and
// through TLS too, and against an error that does not say what was wrong.
func TestTransportRefusesWhatIsNoAnswer(t *testing.T) {
	texts := map[answer.Reason]string{
		answer.BadStatus:       "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n",
		answer.BadFieldName:    "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		answer.LengthAndCoding: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		answer.Cut:             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart",
		answer.BadChunkEnd:     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\npart\r\n0\r\n\r\n",
		answer.NoStatusLine:    "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		answer.LongHead:        "HTTP/1.1 200 OK\r\nX: " + string(bytes.Repeat([]byte("x"), 70<<10)),
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, texts[answer.Reason(r.Header.Get("Reason"))])
			_ = c.Close()
		}
	})
	for _, start := range []func(http.Handler) *httptest.Server{httptest.NewServer, httptest.NewTLSServer} {
		server := start(handler)
		transport := Check(&http.Transport{MaxResponseHeaderBytes: 64 << 10, TLSClientConfig: server.Client().Transport.(*http.Transport).TLSClientConfig})
		client := &http.Client{Transport: transport, Timeout: testTimeout}
		for reason := range texts {
			req, err := http.NewRequest(http.MethodGet, server.URL, nil)
			assert.NilError(t, err)
			req.Header.Set("Reason", string(reason))
			resp, err := client.Do(req)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			var fault *answer.Fault
			assert.Assert(t, errors.As(err, &fault), "%s: %v", reason, err)
			assert.Equal(t, fault.Reason, reason)
		}
		transport.CloseIdleConnections()
		server.Close()
	}
}

// Guards against a transport that no longer reads answers of servers that are well: kept
// connections, HEAD, and TLS.
func TestTransportReadsAnswers(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/empty" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = io.WriteString(w, "whole")
		if r.URL.Path == "/chunks" {
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, " in chunks")
		}
	})
	for _, start := range []func(http.Handler) *httptest.Server{httptest.NewServer, httptest.NewTLSServer} {
		server := start(handler)
		for _, keepsAlive := range []bool{true, false} {
			transport := Check(&http.Transport{DisableKeepAlives: !keepsAlive, TLSClientConfig: server.Client().Transport.(*http.Transport).TLSClientConfig})
			for _, c := range []struct{ method, path, want string }{
				{"GET", "/", "whole"}, {"POST", "/chunks", "whole in chunks"}, {"GET", "/empty", ""}, {"GET", "/", "whole"}, {"HEAD", "/", ""},
			} {
				req, err := http.NewRequest(c.method, server.URL+c.path, nil)
				assert.NilError(t, err)
				if c.method == http.MethodHead {
					transport.CloseIdleConnections()
				}
				resp, err := (&http.Client{Transport: transport, Timeout: testTimeout}).Do(req)
				assert.NilError(t, err, "%+v", c)
				read, err := io.ReadAll(resp.Body)
				assert.NilError(t, err, "%+v", c)
				assert.Equal(t, string(read), c.want)
				_ = resp.Body.Close()
			}
			transport.CloseIdleConnections()
		}
		server.Close()
	}
}
