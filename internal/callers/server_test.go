package callers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/listen"
)

// testServer is a server for the connections of a pool. It answers a request with its body,
// /slow after a while, and /hold when held is closed.
type testServer struct {
	pool    *Pool
	address string
	began   atomic.Int64 // requests
	gone    atomic.Int64 // requests whose callers left
	held    chan struct{}
}

func startServer(t *testing.T, o Options) *testServer {
	t.Helper()
	s := &testServer{pool: newTestPool(o), held: make(chan struct{})}
	ln, err := listen.TCP("127.0.0.1:0", listen.CallerBuffer)
	assert.NilError(t, err)
	s.address = ln.Addr().String()
	server := &http.Server{Handler: Handler(http.HandlerFunc(s.serve))}
	s.pool.Configure(server)
	go func() { _ = server.Serve(s.pool.Listener(ln)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	s.began.Add(1)
	conn := FromContext(r.Context())
	body, err := ReadBody(r.Body, r.ContentLength, conn.Take)
	var noRoom *errkind.Error
	switch {
	case errors.As(err, &noRoom):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil || conn.Received() != nil:
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/slow":
		select {
		case <-time.After(300 * time.Millisecond):
		case <-r.Context().Done():
			s.gone.Add(1)
		}
	case "/hold":
		<-s.held
	}
	fmt.Fprintf(w, "%s %d fields, %d bytes", r.URL.Path, len(r.Header), body.Len())
}

// dial opens a connection to the server.
func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

// answer reads an answer.
func answer(t *testing.T, r *bufio.Reader) (status int, body string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

// waitFor waits until done returns true.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for start := time.Now(); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("timeout waiting for %s", what)
		}
	}
}

// Guards against requests that are lost, altered or answered twice, in whatever pieces and
// one after the other or at once they come in.
func TestRequestsInPieces(t *testing.T) {
	s := startServer(t, Options{})
	long := strings.Repeat("X-Fill: "+strings.Repeat("y", 90)+"\r\n", 60) // beyond the server's buffer
	for _, c := range []struct {
		name, text string
		answers    []string
	}{
		{"no body", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", []string{"/a 0 fields, 0 bytes"}},
		{"empty lines first", "\r\n\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n", []string{"/a 0 fields, 0 bytes"}},
		{"plain newlines", "GET /a HTTP/1.1\nHost: x\n\n", []string{"/a 0 fields, 0 bytes"}},
		{"length", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", []string{"/a 1 fields, 3 bytes"}},
		{"chunks", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", []string{"/a 0 fields, 3 bytes"}},
		{"long head", "GET /a HTTP/1.1\r\nHost: x\r\n" + long + "\r\n", []string{"/a 1 fields, 0 bytes"}},
		{"two at once", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: x\r\n\r\n", []string{"/a 1 fields, 3 bytes", "/b 0 fields, 0 bytes"}},
		{"three at once, with long heads", "GET /a HTTP/1.1\r\nHost: x\r\n" + long + "\r\nGET /b HTTP/1.1\r\nHost: x\r\n" + long + "\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
			[]string{"/a 1 fields, 0 bytes", "/b 1 fields, 0 bytes", "/c 0 fields, 0 bytes"}},
		{"empty line after a body", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", []string{"/a 1 fields, 1 bytes", "/b 0 fields, 0 bytes"}},
		{"empty lines while one is in progress", "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", []string{"/slow 0 fields, 0 bytes", "/b 0 fields, 0 bytes"}},
		{"body that ends a line, then empty lines", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na\n\r\n\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", []string{"/a 1 fields, 2 bytes", "/b 0 fields, 0 bytes"}},
		{"chunks, then a long head", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n" + long + "\r\n",
			[]string{"/a 0 fields, 2 bytes", "/b 1 fields, 0 bytes"}},
		{"while one is in progress", "GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n" + long + "\r\n", []string{"/slow 0 fields, 0 bytes", "/b 1 fields, 0 bytes"}},
	} {
		for _, piece := range []int{1, 2, 7, 100, 4096, len(c.text)} {
			if piece < 100 && len(c.text) > 1000 {
				continue // takes long
			}
			t.Run(fmt.Sprintf("%s in pieces of %d", c.name, piece), func(t *testing.T) {
				conn, reader := s.dial(t)
				for range 2 { // the connection is used again
					go func() {
						for at := 0; at < len(c.text); at += piece {
							if _, err := io.WriteString(conn, c.text[at:min(at+piece, len(c.text))]); err != nil {
								return // the answers show it
							}
							time.Sleep(100 * time.Microsecond)
						}
					}()
					for _, want := range c.answers {
						status, body := answer(t, reader)
						assert.Equal(t, status, http.StatusOK)
						assert.Equal(t, body, want)
					}
				}
			})
		}
	}
	waitFor(t, "memory that is given back", func() bool {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		return s.pool.held == int64(len(s.pool.open))*intake.ConnectionBytes
	})
}

// Guards against limits that are not in force for a head whose start came in with the request
// before it, and against its cost, which nobody counts as the server parses it already.
func TestLimitsOfRequestsThatFollow(t *testing.T) {
	limits := RequestLimits{HeaderBytes: 1000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 5 * time.Second}
	s := startServer(t, Options{Requests: func() RequestLimits { return limits }})
	for _, c := range []struct{ name, before, between string }{
		{"after no body", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", ""},
		{"after a body", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", ""},
		{"after a body that ends a line", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n\n", "\r\n"},
		{"after chunks", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "\r\n"},
		{"after a request that takes a while", "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n", ""},
	} {
		for _, next := range []struct {
			name, text string
			status     int
		}{
			{"without end", c.between + "GET /b HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 2000), http.StatusRequestHeaderFieldsTooLarge},
			{"too late", c.between + "GET /b HTTP/1.1\r\na: b\r\n", http.StatusRequestTimeout},
		} {
			for _, at := range []int{0, len(c.between) + 1, len(next.text)} { // of its bytes come together with the request before
				name := fmt.Sprintf("%s, %s, %d bytes early", c.name, next.name, at)
				conn, reader := s.dial(t)
				_, err := io.WriteString(conn, c.before+next.text[:at])
				assert.NilError(t, err, name)
				status, _ := answer(t, reader)
				assert.Equal(t, status, http.StatusOK, name)
				_, _ = io.WriteString(conn, next.text[at:]) // the server may have answered and closed
				status, _ = answer(t, reader)
				assert.Equal(t, status, next.status, name)
			}
		}
	}
	waitFor(t, "memory that is given back", func() bool {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		return s.pool.held == 0
	})
}

// Guards against a request that goes on though its caller has left.
func TestCallerWhoLeavesEndsItsRequest(t *testing.T) {
	s := startServer(t, Options{})
	for range 2 {
		conn, _ := s.dial(t)
		_, err := io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		before := s.began.Load()
		waitFor(t, "the request", func() bool { return s.began.Load() > before-1 })
		time.Sleep(20 * time.Millisecond)
		assert.NilError(t, conn.Close())
	}
	waitFor(t, "the ends of the requests", func() bool { return s.gone.Load() == 2 })
	waitFor(t, "the ends of the connections", func() bool { return s.pool.Open() == 0 })
}

// Guards against a limit of the configuration that is not in force, and against callers that
// are not told which they exceed.
func TestLimitsOfRequests(t *testing.T) {
	s := startServer(t, Options{Requests: func() RequestLimits {
		return RequestLimits{HeaderBytes: 1000, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 500 * time.Millisecond}
	}})
	began := time.Now()
	for _, c := range []struct {
		name, text string
		status     int
		after      time.Duration
	}{
		{"head without end", "GET /a HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 2000), http.StatusRequestHeaderFieldsTooLarge, 0},
		{"line without end", "GET /a" + strings.Repeat("a", 12000), http.StatusRequestHeaderFieldsTooLarge, 0},
		{"empty lines without end", strings.Repeat("\r\n", 6000), http.StatusRequestHeaderFieldsTooLarge, 0},
		{"head that takes too long", "GET /a HTTP/1.1\r\n", http.StatusRequestTimeout, 200 * time.Millisecond},
	} {
		conn, reader := s.dial(t)
		_, err := io.WriteString(conn, c.text)
		assert.NilError(t, err)
		status, _ := answer(t, reader)
		assert.Equal(t, status, c.status, c.name)
		assert.Assert(t, time.Since(began) >= c.after, c.name)
	}
	_, reader := s.dial(t)
	began = time.Now()
	_, err := reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(began) >= 490*time.Millisecond, "%v", time.Since(began))
	assert.Equal(t, s.began.Load(), int64(0))
}

// Guards against a request that is cut off because its connection was open for longer than a
// body may take, and against a body that may take as long as it likes.
func TestBodyTimeoutBeginsWithTheBody(t *testing.T) {
	s := startServer(t, Options{BodyTimeout: 200 * time.Millisecond})
	conn, reader := s.dial(t)
	for range 2 {
		time.Sleep(300 * time.Millisecond)
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
		assert.NilError(t, err)
		status, _ := answer(t, reader)
		assert.Equal(t, status, http.StatusOK)
	}
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab")
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// Guards against memory that stays counted for requests that the server answers by itself.
func TestAnswersOfTheServerGiveTheirMemoryBack(t *testing.T) {
	s := startServer(t, Options{})
	conn, reader := s.dial(t)
	for range 20 {
		_, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		status, _ := answer(t, reader)
		assert.Equal(t, status, http.StatusOK)
	}
	waitFor(t, "memory that is given back", func() bool {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		return s.pool.held == intake.ConnectionBytes
	})
}

// Guards against silent connections that keep new ones out, and against the close of those
// whose request is in progress.
func TestSilentConnectionsYieldToNewOnes(t *testing.T) {
	s := startServer(t, Options{Connections: func() int { return 10 }})
	busy, busyReader := s.dial(t)
	_, err := io.WriteString(busy, "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, "the request", func() bool { return s.began.Load() == 1 })
	for range 50 {
		s.dial(t)
	}
	conn, reader := s.dial(t)
	_, err = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	status, _ := answer(t, reader)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, s.pool.Open() <= 11, "%d open", s.pool.Open())
	close(s.held)
	status, _ = answer(t, busyReader)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against bodies that stop short and keep the memory, and against a caller of one that
// is not told that its request has not run.
func TestBodiesThatStopShortYield(t *testing.T) {
	const size = 4 << 20
	s := startServer(t, Options{MemoryBytes: 16 << 20})
	head := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	var readers []*bufio.Reader
	for range 8 {
		conn, reader := s.dial(t)
		readers = append(readers, reader)
		go func() { _, _ = io.WriteString(conn, head+strings.Repeat("x", size-1)) }()
	}
	time.Sleep(300 * time.Millisecond)
	for range 3 {
		conn, reader := s.dial(t)
		_, err := io.WriteString(conn, head+strings.Repeat("x", size))
		assert.NilError(t, err)
		status, _ := answer(t, reader)
		assert.Equal(t, status, http.StatusOK)
		s.pool.mu.Lock()
		held := s.pool.held
		s.pool.mu.Unlock()
		assert.Assert(t, held <= 16<<20, "%d MB", held>>20)
	}
	told := 0
	for _, reader := range readers {
		if _, err := reader.Peek(1); err == nil {
			if status, _ := answer(t, reader); status == http.StatusServiceUnavailable {
				told++
			}
		}
		if told > 0 {
			break
		}
	}
	assert.Assert(t, told > 0)
}

// Guards against whole requests that are cut off for others, and against large ones that
// leave no room for small ones.
func TestWholeRequestsStayAndLeaveRoomForSmallOnes(t *testing.T) {
	const size = 4 << 20
	s := startServer(t, Options{MemoryBytes: 16 << 20})
	var readers []*bufio.Reader
	for range 6 {
		conn, reader := s.dial(t)
		readers = append(readers, reader)
		go func() {
			_, _ = io.WriteString(conn, fmt.Sprintf("POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
		}()
	}
	waitFor(t, "whole requests", func() bool { return s.pool.whole.Load() >= 2 })
	time.Sleep(100 * time.Millisecond)
	conn, reader := s.dial(t)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	status, _ := answer(t, reader)
	assert.Equal(t, status, http.StatusOK)
	close(s.held)
	served := 0
	for _, reader := range readers {
		if _, err := reader.Peek(1); err == nil {
			if status, _ := answer(t, reader); status == http.StatusOK {
				served++
			}
		}
	}
	assert.Assert(t, served >= 2, "%d served", served)
}

// Guards against callers that do not read their answers and keep the connections for good.
func TestCallersThatDoNotReadYield(t *testing.T) {
	pool := newTestPool(Options{})
	c := pool.newConn(nil, nil, nil, nil)
	c.state.Store(connWhole)
	assert.Equal(t, c.holding(time.Now()).State, intake.Whole)
	c.noteProgress()
	assert.Equal(t, c.holding(time.Now()).State, intake.Whole)
	assert.Equal(t, c.holding(time.Now().Add(2*stalledAfter)).State, intake.Stalled)
}

// Guards against an answer that is cut short, or held beyond what there is room for.
func TestReadUpTo(t *testing.T) {
	text := strings.Repeat("x", 10_000)
	for _, c := range []struct {
		name          string
		length, limit int64
		room          int64
		bytes         int64
		whole         bool
	}{
		{"whole", -1, 10_000, 1 << 20, 10_000, true},
		{"whole with a length", 10_000, 10_000, 1 << 20, 10_000, true},
		{"too long", -1, 9_999, 1 << 20, 10_000, false},
		{"too long with a length", 10_000, 5_000, 1 << 20, 5_001, false},
		{"no room", -1, 10_000, 0, 0, false},
		{"room for a part", -1, 10_000, 5_000, 4096, false},
	} {
		left := c.room
		body, whole, err := ReadUpTo(strings.NewReader(text), c.length, c.limit, func(bytes int64) bool {
			left -= bytes
			return left >= 0
		})
		assert.NilError(t, err, c.name)
		assert.Equal(t, whole, c.whole, c.name)
		assert.Equal(t, body.Len(), c.bytes, c.name)
	}
}
