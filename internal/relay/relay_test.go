package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/answers"
	"tarragonridge.example/tarragonridge/internal/core/answer"
)

// startRelay starts a relay. It returns the relay's address, a function that stops
// it, and a channel that receives the result of Serve.
func startRelay(t *testing.T, storeAddress string) (address string, stop context.CancelFunc, done chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done = make(chan error, 1)
	s := &Server{StoreAddress: storeAddress, Logger: slog.New(slog.DiscardHandler)}
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(stop)
	return ln.Addr().String(), stop, done
}

// Guards against requests to the store, or its responses, that the relay alters or
// loses, and against a relay that does not stop.
func TestForwardsCalls(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %d", r.Method, r.URL, len(body))
	}))
	defer store.Close()
	address, stop, done := startRelay(t, strings.TrimPrefix(store.URL, "http://"))
	client := &http.Client{Timeout: 5 * time.Second}
	for range 3 {
		resp, err := client.Post("http://"+address+"/x?y=1", "text/plain", strings.NewReader(strings.Repeat("z", 100_000)))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, string(body), "POST /x?y=1 100000")
	}
	stop()
	assert.NilError(t, <-done)
}

// Guards against a client that keeps waiting although the relay cannot reach the
// store, here because no process listens on the store's port.
func TestUnreachableStoreEndsTheConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := ln.Addr().String()
	assert.NilError(t, ln.Close())
	address, _, _ := startRelay(t, closed)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(2*time.Second)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against an answer that looks whole behind a relay though the store reset its
// connection, also while the request was being sent.
func TestResetOfTheStoreIsAReset(t *testing.T) {
	store, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer store.Close()
	go func() {
		for {
			c, err := store.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 10))
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	address, _, _ := startRelay(t, store.Addr().String())
	for _, size := range []int{10, 3 << 20} {
		for range 10 {
			dialed, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			c := answers.NewConn(dialed, answer.Limits{})
			assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, _ = c.Write(make([]byte, size))
			}()
			read, err := io.ReadAll(c)
			assert.Assert(t, err != nil, "%q is whole, request of %d bytes", read, size)
			_ = c.Close()
			<-sent
		}
	}
}
