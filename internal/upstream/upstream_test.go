package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/answers"
	"tarragonridge.example/tarragonridge/internal/core/answer"
)

// startTarget starts a target and returns its address. Each handler serves one
// connection, in order.
func startTarget(t *testing.T, handlers ...func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for _, serve := range handlers {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// respondToEach reads one request for each response and sends the response. %s
// in a response stands for the request's id.
func respondToEach(responses ...string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for _, response := range responses {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprint(c, strings.ReplaceAll(response, "%s", req.Header.Get("Id")))
		}
		_, _ = r.ReadByte() // blocks until the client closes the connection
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"

func request(address, id string, body string) *Request {
	return &Request{
		Address: address, Method: "POST", Body: [][]byte{[]byte(body)},
		Head:                   fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, len(body)),
		ResponseHeaderDeadline: time.Now().Add(2 * time.Second),
		Matches:                func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

func do(t *testing.T, p *Pool, req *Request) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), req)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func asFailure(t *testing.T, err error) *Failure {
	t.Helper()
	var f *Failure
	assert.Assert(t, errors.As(err, &f), "%v", err)
	return f
}

// Guards against a new connection for each request. The target serves only one
// connection.
func TestKeptConnectionIsUsedAgain(t *testing.T) {
	address := startTarget(t, respondToEach(okResponse, okResponse))
	p := NewPool(Options{})
	for _, id := range []string{"a", "b"} {
		body, err := do(t, p, request(address, id, "x"))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against a request to a target that has asked for none since it was chosen, and
// against the loss of the connection on which it would have been sent.
func TestNothingIsSentIfBeforeSendFails(t *testing.T) {
	address := startTarget(t, respondToEach(okResponse))
	p := NewPool(Options{})
	req := request(address, "a", "x")
	req.BeforeSend = func() error { return io.EOF }
	_, err := do(t, p, req)
	assert.Assert(t, errors.Is(err, io.EOF) && !asFailure(t, err).Sent, "%v", err)
	body, err := do(t, p, request(address, "b", "x"))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// Guards against a response delivered to the wrong caller: the target sends two
// responses to one request.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	duplicate := strings.ReplaceAll(okResponse, "%s", "a")
	address := startTarget(t, respondToEach(okResponse, duplicate+okResponse))
	p := NewPool(Options{})
	for _, id := range []string{"a", "b"} {
		body, err := do(t, p, request(address, id, "x"))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against extra bytes after a complete response being read as the next
// response, and against a request on a connection that the target has closed.
func TestIdleConnectionWithDataIsNotReused(t *testing.T) {
	for name, first := range map[string]func(net.Conn){
		"bytes": respondToEach(okResponse + "rubbish"),
		"end": func(c net.Conn) {
			respondOnce(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, first, respondToEach(okResponse))
			p := NewPool(Options{})
			_, err := do(t, p, request(address, "a", "x"))
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond) // until the bytes or the end have arrived
			body, err := do(t, p, request(address, "b", "x"))
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
		})
	}
}

func respondOnce(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	fmt.Fprint(c, strings.ReplaceAll(okResponse, "%s", req.Header.Get("Id")))
}

// Guards against a wrong Failure.Sent: a request that was not sent must not
// count as run, and one that may have been sent must.
func TestFailuresSayWhetherTheRequestWasSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := ln.Addr().String()
	assert.NilError(t, ln.Close())
	p := NewPool(Options{})
	_, err = do(t, p, request(closed, "a", "x"))
	assert.Assert(t, !asFailure(t, err).Sent)

	address := startTarget(t,
		func(c net.Conn) { _, _ = http.ReadRequest(bufio.NewReader(c)) }, // closes without a response
		respondToEach("rubbish\r\n\r\n"),
		respondToEach("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), // no id
	)
	for range 3 {
		_, err = do(t, p, request(address, "a", "x"))
		assert.Assert(t, asFailure(t, err).Sent, "%v", err)
	}
}

// Guards against waiting beyond the deadline for a target that reads the request
// and never responds.
func TestSilentTarget(t *testing.T) {
	address := startTarget(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	req := request(address, "a", "x")
	req.ResponseHeaderDeadline = time.Now().Add(50 * time.Millisecond)
	start := time.Now()
	_, err := do(t, NewPool(Options{}), req)
	f := asFailure(t, err)
	assert.Assert(t, f.Sent && f.TimedOut, "%v", err)
	assert.Assert(t, time.Since(start) < time.Second)
}

// Guards against a truncated response being taken for a complete one: the target
// closes the connection before the end that the framing states.
func TestTruncatedAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(c net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					fmt.Fprint(c, strings.ReplaceAll(text, "%s", req.Header.Get("Id")))
				}
			})
			_, err := do(t, NewPool(Options{}), request(address, "a", ""))
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against the bytes of the next request being read as the rest of a body:
// the target responds before it has read a large body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	early := func(c net.Conn) {
		_, _ = c.Read(make([]byte, 100))
		fmt.Fprint(c, strings.ReplaceAll(okResponse, "%s", "a"))
		time.Sleep(200 * time.Millisecond)
	}
	address := startTarget(t, early, respondToEach(okResponse))
	p := NewPool(Options{})
	body, err := do(t, p, request(address, "a", strings.Repeat("x", 8<<20)))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	p.mu.Lock()
	idle := len(p.idle[address])
	p.mu.Unlock()
	assert.Equal(t, idle, 0)
	body, err = do(t, p, request(address, "b", "x"))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// Guards against a target that continues to work on a request after the caller
// has canceled it.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startTarget(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := NewPool(Options{}).Do(ctx, request(address, "a", "x"))
	assert.Assert(t, asFailure(t, err).Sent)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against more connections to a target than MaxConns, this router's share:
// while the only connection is in use, another request must fail unsent.
func TestConnectionLimit(t *testing.T) {
	address := startTarget(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, respondToEach(okResponse))
	p := NewPool(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := request(address, "a", "x")
	req.MaxConns = 1
	first := make(chan error, 1)
	go func() {
		_, err := p.Do(ctx, req)
		first <- err
	}()
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		n := p.connCount[address]
		p.mu.Unlock()
		if n == 1 {
			break
		}
	}
	second := request(address, "b", "x")
	second.MaxConns = 1
	_, err := do(t, p, second)
	assert.ErrorIs(t, err, ErrConnLimit)
	assert.Assert(t, !asFailure(t, err).Sent)
	cancel()
	assert.Assert(t, <-first != nil)
	_, err = do(t, p, second)
	assert.NilError(t, err, "the connection is free again")
}

// Guards against a request on a connection that the target closes at its
// keep-alive timeout.
func TestIdleConnectionEndsBeforeTheTargetsTimeout(t *testing.T) {
	text := strings.Replace(okResponse, "Content-Length", "Keep-Alive: timeout=1\r\nContent-Length", 1)
	address := startTarget(t, respondToEach(text), respondToEach(okResponse))
	p := NewPool(Options{})
	_, err := do(t, p, request(address, "a", "x"))
	assert.NilError(t, err)
	time.Sleep(time.Second - idleMargin + 50*time.Millisecond)
	p.CloseExpired()
	p.mu.Lock()
	n := p.connCount[address]
	p.mu.Unlock()
	assert.Equal(t, n, 0)
}

// Guards against bytes of a target that crash the client, that it reads beyond its bounds,
// or that it takes for an answer with more headers than it allows.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(strings.ReplaceAll(okResponse, "%s", "a")))
	f.Add([]byte("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nbytes\r\n0\r\nX: x\r\n\r\n"))
	f.Add(bytes.Repeat([]byte("X: x\r\n"), 10_000))
	f.Fuzz(func(t *testing.T, data []byte) {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		go func() {
			_, _ = io.CopyN(io.Discard, theirs, int64(len(request("", "a", "x").Head)+1))
			_, _ = theirs.Write(data)
			_ = theirs.Close()
		}()
		p := NewPool(Options{})
		c := &conn{Conn: answers.NewConn(ours, answer.Limits{}), address: "a"}
		c.reader = bufio.NewReaderSize(c.Conn, readBufferBytes)
		resp, err := p.roundTrip(context.Background(), c, request("a", "a", "x"))
		if err != nil {
			if !asFailure(t, err).Sent {
				t.Fatal("the request was sent")
			}
			return
		}
		defer resp.Close()
		if resp.Header.Get("Id") != "a" || len(resp.Header) > answer.MaxFields {
			t.Fatalf("answer with headers %v", resp.Header)
		}
		if n, _ := io.Copy(io.Discard, resp.Body); n > int64(len(data)) {
			t.Fatalf("%d bytes of body in %d", n, len(data))
		}
	})
}

// Guards against a request that is held for good because its target does not read it, and
// against a connection that such a request leaves open.
func TestTargetThatStopsReading(t *testing.T) {
	closed := make(chan struct{})
	address := startTarget(t, func(c net.Conn) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		for { // until the connection breaks, without reading
			if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				close(closed)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	p := NewPool(Options{})
	req := request(address, "a", strings.Repeat("x", 32<<20))
	const limit = 250 * time.Millisecond
	began := time.Now()
	req.ResponseHeaderDeadline = began.Add(limit)
	_, err := do(t, p, req)
	f := asFailure(t, err)
	assert.Assert(t, f.Sent && f.TimedOut, "%v", err)
	assert.Assert(t, time.Since(began) < 2*limit, "%v", time.Since(began))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against chunks that are read as the text of the response: HTTP/1.0 has none, so that
// nothing tells how such a response ends.
func TestChunksOfAnOldVersionAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		want answer.Reason
	}{
		"chunks":                {"Transfer-Encoding: chunked\r\n", answer.OldVersionCoding},
		"chunks and length":     {"Content-Length: 14\r\nX: y\r\ntransfer-encoding: chunked\r\nConnection: keep-alive\r\n", answer.OldVersionCoding},
		"chunks behind a blank": {"Content-Length: 14\r\nX: y\r\ntransfer-encoding : chunked\r\nConnection: keep-alive\r\n", answer.BadFieldName},
	} {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(conn net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(conn))
				assert.Check(t, err)
				_, _ = io.Copy(io.Discard, req.Body)
				fmt.Fprintf(conn, "HTTP/1.0 200 OK\r\nId: %s\r\n%s\r\n4\r\nbody\r\n0\r\n\r\n", req.Header.Get("Id"), c.head)
			})
			body, err := do(t, NewPool(Options{}), request(address, "a", "x"))
			var fault *answer.Fault
			assert.Assert(t, errors.As(err, &fault), "%q, %v", body, err)
			assert.Equal(t, fault.Reason, c.want)
			assert.Assert(t, asFailure(t, err).Sent)
		})
	}
}

// Guards against a response of HTTP/1.0 that is refused, or loses bytes.
func TestResponsesOfAnOldVersion(t *testing.T) {
	address := startTarget(t,
		respondToEach("HTTP/1.0 200 OK\r\nId: %s\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok", "HTTP/1.0 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"),
		func(c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			assert.Check(t, err)
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nId: %s\r\n\r\n%s", req.Header.Get("Id"), strings.Repeat("x", 3*readBufferBytes))
		})
	p := NewPool(Options{})
	for _, want := range []string{"ok", "ok", strings.Repeat("x", 3*readBufferBytes)} {
		body, err := do(t, p, request(address, "a", "x"))
		assert.NilError(t, err)
		assert.Equal(t, body, want)
	}
}
