package callers

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/backlog"
)

// newTestPool returns a pool with the limits on requests that a test leaves open.
func newTestPool(o Options) *Pool {
	o.Listener, o.Logger = "test", slog.New(slog.DiscardHandler)
	if o.Requests == nil {
		o.Requests = func() RequestLimits {
			return RequestLimits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
		}
	}
	return NewPool(o)
}

// callerPair returns a connection to a caller that does not read, whose bytes fill its
// buffers and then a backlog, and the caller's end.
func callerPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		return cmp.Or(controlErr, err)
	}}
	caller, err := dialer.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	tcp := accepted.(*net.TCPConn)
	assert.NilError(t, tcp.SetWriteBuffer(4<<10))
	raw, err := tcp.SyscallConn()
	assert.NilError(t, err)
	c := newTestPool(Options{Backlogs: backlog.NewPool(backlog.MaxBytes)}).newConn(tcp, tcp, nil, raw)
	t.Cleanup(func() { _ = tcp.Close() })
	chunk := make([]byte, 1<<10)
	for held := 0; held < backlog.MaxBytes/2; _, held = c.Progress() {
		_, err := c.Write(chunk)
		assert.NilError(t, err)
	}
	return c, caller
}

// Guards against an answer without a length whose end looks complete to its caller though a
// part of it was never written.
func TestBacklogThatFailsEndsInAReset(t *testing.T) {
	for name, end := range map[string]func(*Conn) error{"closed": (*Conn).Close, "closed for writes": (*Conn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			c, caller := callerPair(t)
			assert.NilError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
			assert.NilError(t, end(c))
			assert.ErrorContains(t, c.AwaitWritten(), "timeout")
			assert.NilError(t, caller.SetReadDeadline(time.Now().Add(5*time.Second)))
			n, err := io.Copy(io.Discard, caller)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "the answer ends after %d bytes with %v", n, err)
		})
	}
}

// Guards against a stop that waits for a connection on which nothing is asked, because the
// server has answered its last request without the gateway, as it does OPTIONS *.
func TestConnectionIsQuietAfterAnAnswerOfTheServer(t *testing.T) {
	c := newTestPool(Options{}).newConn(nil, nil, nil, nil)
	c.state.Store(connPartial)
	observeConn(c, http.StateIdle)
	assert.Equal(t, c.state.Load(), connQuiet)
}
