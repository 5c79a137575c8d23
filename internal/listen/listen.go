// Package listen opens listeners for connections that may come in crowds.
package listen

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonridge.example/tarragonridge/internal/timing"
)

// Receive buffers: what the kernel receives of a connection before it is read, or before it
// is accepted.
const (
	CallerBuffer = 32 << 10 // for requests with long bodies
	SideBuffer   = 8 << 10
)

// maxPending bounds the connections that wait to be accepted, each of which may have filled
// its buffer.
const maxPending = 256

// TCP listens on an address. The kernel holds little for each connection.
func TCP(address string, buffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without it, connections only cost more.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.Listen(int(fd), maxPending) // as above
		})
	}
	return ln, nil
}

// acceptPause is the pause after a connection could not be accepted.
const acceptPause = 20 * time.Millisecond

// Again waits after an error of Accept and reports whether the listener may accept again, as
// it does once the process has descriptors again.
func Again(ctx context.Context, err error) bool {
	var netErr net.Error
	later := errors.As(err, &netErr) && netErr.Timeout() ||
		errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
	return later && timing.Sleep(ctx, acceptPause)
}
