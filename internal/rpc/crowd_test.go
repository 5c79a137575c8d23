package rpc_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// exhaustedListener has no descriptor for the first connections.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(1) <= 3 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because its descriptors were used up for a moment.
func TestServeOutlivesALackOfDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- rpc.Serve(ctx, &exhaustedListener{Listener: ln}, testOptions("server"), newRecordingHandler())
	}()
	options := testOptions("client")
	options.SilenceTimeout = 5 * time.Second
	c, err := rpc.Dial(t.Context(), ln.Addr().String(), options, newRecordingHandler())
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	cancel()
	assert.NilError(t, <-done)
}

// Guards against strangers that keep connections without a hello, or announce long messages,
// and so use up descriptors or memory that peers need.
func TestStrangersYieldToPeers(t *testing.T) {
	address := startServer(t, newRecordingHandler())
	var strangers []net.Conn
	for range 200 {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		strangers = append(strangers, c)
	}
	options := testOptions("client")
	options.SilenceTimeout = 5 * time.Second
	c, err := rpc.Dial(t.Context(), address, options, newRecordingHandler())
	assert.NilError(t, err)
	defer c.Close()
	var reply wire.Hello
	assert.NilError(t, c.Call(t.Context(), "echo", wire.Hello{Role: "x"}, &reply))
	assert.Equal(t, reply.Role, "x")
	assert.NilError(t, strangers[0].SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = strangers[0].Read(make([]byte, 1))
	assert.Assert(t, err != nil && !isTimeout(err), "%v", err)

	long, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer long.Close()
	_, err = long.Write(binary.AppendUvarint(nil, 1<<20))
	assert.NilError(t, err)
	assert.NilError(t, long.SetReadDeadline(time.Now().Add(250*time.Millisecond)))
	_, err = io.ReadAll(long)
	assert.Assert(t, !isTimeout(err), "the server waits for a long message of a stranger")
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
