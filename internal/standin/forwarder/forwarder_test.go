package forwarder_test

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/standin/forwarder"
)

const (
	arrivalTimeout = 5 * time.Second       // for bytes that must arrive
	silencePeriod  = 80 * time.Millisecond // time during which nothing must arrive
)

// startEcho starts a target that sends back what it receives, and returns its
// address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func startForwarder(t *testing.T) *forwarder.Forwarder {
	t.Helper()
	f, err := forwarder.Start("127.0.0.1:0", startEcho(t), slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

func dial(t *testing.T, f *forwarder.Forwarder) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends text and returns what arrives within the timeout, up to its length.
func exchange(conn net.Conn, text string, timeout time.Duration) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, len(text))
	n, err := io.ReadFull(conn, buffer)
	return string(buffer[:n]), err
}

func assertEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	got, err := exchange(conn, "ping", arrivalTimeout)
	assert.NilError(t, err)
	assert.Equal(t, got, "ping")
}

func assertSilent(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := exchange(conn, "lost", silencePeriod)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "want an open connection without data, got: %v", err)
}

// Guards against a discard that the endpoints of the connection can detect, and
// against the scope existing affecting new connections.
func TestDiscardExistingKeepsConnectionOpen(t *testing.T) {
	f := startForwarder(t)
	for _, direction := range []forwarder.Direction{forwarder.Both, forwarder.ToTarget, forwarder.ToClient} {
		old := dial(t, f)
		assertEcho(t, old)
		assert.NilError(t, f.Apply(forwarder.Setting{
			Mode: forwarder.Discard, Direction: direction, Scope: forwarder.Existing,
		}))
		assertSilent(t, old)
		assertSilent(t, old)
		assertEcho(t, dial(t, f))
	}
	assert.Assert(t, f.Stats().Discarded > 0)
}

// Guards against passing on the end of a stream in a discarded direction, and against
// losing it after the mode has changed back to pass.
func TestDiscardHidesTheEndOfTheStream(t *testing.T) {
	f := startForwarder(t)
	conn := dial(t, f)
	assertEcho(t, conn)
	assert.NilError(t, f.Apply(forwarder.Setting{Mode: forwarder.Discard, Direction: forwarder.ToTarget}))
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	_ = conn.SetReadDeadline(time.Now().Add(silencePeriod))
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.NilError(t, f.Apply(forwarder.Setting{Mode: forwarder.Pass}))
	_ = conn.SetReadDeadline(time.Now().Add(arrivalTimeout))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a refused connection that looks accepted to the client, which would
// count its request as sent, and against a forwarder that cannot accept again.
func TestRefuseAndAcceptAgain(t *testing.T) {
	f := startForwarder(t)
	old := dial(t, f)
	assertEcho(t, old)
	assert.NilError(t, f.Apply(forwarder.Setting{Mode: forwarder.Refuse}))
	_, err := net.Dial("tcp", f.Addr())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assertEcho(t, old)
	assert.NilError(t, f.Apply(forwarder.Setting{Mode: forwarder.Pass}))
	assertEcho(t, dial(t, f))
}

// Guards against mode close with scope existing leaving existing connections open or
// closing new ones.
func TestCloseExisting(t *testing.T) {
	f := startForwarder(t)
	old := dial(t, f)
	assertEcho(t, old)
	assert.NilError(t, f.Apply(forwarder.Setting{Mode: forwarder.Close, Scope: forwarder.Existing}))
	_ = old.SetReadDeadline(time.Now().Add(arrivalTimeout))
	_, err := old.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assertEcho(t, dial(t, f))
}

// Guards against a delay that reorders or loses bytes, or that is not applied.
func TestDelayKeepsOrder(t *testing.T) {
	const delay = 50 * time.Millisecond
	f := startForwarder(t)
	conn := dial(t, f)
	setting := forwarder.Setting{Mode: forwarder.Delay, Direction: forwarder.ToClient, DelayMS: delay.Milliseconds()}
	assert.NilError(t, f.Apply(setting))
	text := strings.Repeat("0123456789", 20_000)
	start := time.Now()
	got, err := exchange(conn, text, arrivalTimeout)
	assert.NilError(t, err)
	assert.Assert(t, got == text)
	assert.Assert(t, time.Since(start) >= delay)
}

// Guards against a mistyped setting that is accepted without effect, so that a
// scenario runs without the fault that it set.
func TestControlRejectsInvalidSettings(t *testing.T) {
	control := startForwarder(t).Control()
	for body, want := range map[string]int{
		`{"mode":"discard","scope":"existing"}`: http.StatusNoContent,
		`{"mode":"drop"}`:                       http.StatusBadRequest,
		`{"mode":"delay"}`:                      http.StatusBadRequest,
		`{"mode":"refuse","scope":"existing"}`:  http.StatusBadRequest,
		`{"mode":"pass","direction":"up"}`:      http.StatusBadRequest,
	} {
		recorder := httptest.NewRecorder()
		control.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/control/mode", strings.NewReader(body)))
		assert.Equal(t, recorder.Code, want, body)
	}
}
