package upstream

import (
	"bufio"
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
)

// script serves each connection of a target with the next function.
func script(t *testing.T, conns ...func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for _, serve := range conns {
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

// answers reads a request for each text and sends the text. %s stands for the
// request's id.
func answers(texts ...string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for _, text := range texts {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprint(c, strings.ReplaceAll(text, "%s", req.Header.Get("Id")))
		}
		_, _ = r.ReadByte() // until the router closes
	}
}

const good = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"

func request(address, id string, body string) *Request {
	return &Request{
		Address: address, Method: "POST", Body: []byte(body),
		Head:                   fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, len(body)),
		ResponseHeaderDeadline: time.Now().Add(2 * time.Second),
		Matches:                func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

func do(t *testing.T, p *Pool, req *Request) (string, error) {
	t.Helper()
	a, err := p.Do(context.Background(), req)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func asFailure(t *testing.T, err error) *Failure {
	t.Helper()
	var f *Failure
	assert.Assert(t, errors.As(err, &f), "%v", err)
	return f
}

func TestKeptConnectionIsUsedAgain(t *testing.T) {
	address := script(t, answers(good, good))
	p := NewPool(Options{})
	for _, id := range []string{"a", "b"} {
		body, err := do(t, p, request(address, id, "x"))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against an answer that reaches another caller: a target sends two for
// one request.
func TestStrayAnswerIsPassedOver(t *testing.T) {
	late := strings.ReplaceAll(good, "%s", "a")
	address := script(t, answers(good, late+good))
	p := NewPool(Options{})
	for _, id := range []string{"a", "b"} {
		body, err := do(t, p, request(address, id, "x"))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against bytes after a complete answer being read as the next answer,
// and against an ended connection taking a request.
func TestUnquietIdleConnectionIsNotUsed(t *testing.T) {
	for name, first := range map[string]func(net.Conn){
		"bytes": answers(good + "rubbish"),
		"end": func(c net.Conn) {
			answersOnce(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := script(t, first, answers(good))
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

func answersOnce(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	fmt.Fprint(c, strings.ReplaceAll(good, "%s", req.Header.Get("Id")))
}

// Guards against a failure before the request was sent counting as a run, and
// the other way round.
func TestFailuresSayWhetherTheRequestWasSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := ln.Addr().String()
	assert.NilError(t, ln.Close())
	p := NewPool(Options{})
	_, err = do(t, p, request(closed, "a", "x"))
	assert.Assert(t, !asFailure(t, err).Sent)

	address := script(t,
		func(c net.Conn) { _, _ = http.ReadRequest(bufio.NewReader(c)) }, // closes without an answer
		answers("rubbish\r\n\r\n"),
		answers("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), // no id
	)
	for range 3 {
		_, err = do(t, p, request(address, "a", "x"))
		assert.Assert(t, asFailure(t, err).Sent, "%v", err)
	}
}

// Guards against waiting for a silent target beyond the limit.
func TestSilentTarget(t *testing.T) {
	address := script(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	req := request(address, "a", "x")
	req.ResponseHeaderDeadline = time.Now().Add(50 * time.Millisecond)
	start := time.Now()
	_, err := do(t, NewPool(Options{}), req)
	f := asFailure(t, err)
	assert.Assert(t, f.Sent && f.TimedOut, "%v", err)
	assert.Assert(t, time.Since(start) < time.Second)
}

// Guards against an answer that broke off passing as a whole one.
func TestTruncatedAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := script(t, func(c net.Conn) {
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

// Guards against another request's bytes where the rest of a body is due: the
// target answers before it has read a long body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	early := func(c net.Conn) {
		_, _ = c.Read(make([]byte, 100))
		fmt.Fprint(c, strings.ReplaceAll(good, "%s", "a"))
		time.Sleep(200 * time.Millisecond)
	}
	address := script(t, early, answers(good))
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

// Guards against work that goes on at a target after the caller has left.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := script(t, func(c net.Conn) {
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

// Guards against more connections to a target than this router's share.
func TestConnectionLimit(t *testing.T) {
	address := script(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, answers(good))
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
		n := p.count[address]
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

// Guards against a request that meets the target's own idle close.
func TestIdleConnectionEndsBeforeTheTargetsTimeout(t *testing.T) {
	text := strings.Replace(good, "Content-Length", "Keep-Alive: timeout=1\r\nContent-Length", 1)
	address := script(t, answers(text), answers(good))
	p := NewPool(Options{})
	_, err := do(t, p, request(address, "a", "x"))
	assert.NilError(t, err)
	time.Sleep(time.Second - idleMargin + 50*time.Millisecond)
	p.CloseExpired()
	p.mu.Lock()
	n := p.count[address]
	p.mu.Unlock()
	assert.Equal(t, n, 0)
}
