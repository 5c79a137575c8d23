package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

var errCallerGone = errors.New("the caller has left")

// callerConnKey is the key of a caller's connection in the context of its requests.
type callerConnKey struct{}

// withCallerConn adds a caller's connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// checkCaller returns errCallerGone if the caller has closed its connection. The context
// of its request ends only a moment later, which matters on a host that reads requests
// late: their callers may have left before.
func checkCaller(ctx context.Context) error {
	if ctx.Err() != nil {
		return errCallerGone
	}
	c, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return nil // not served by Serve
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return errCallerGone
	}
	if n, err := peek(raw); n == 0 && err == nil || errors.Is(err, unix.ECONNRESET) || errors.Is(err, net.ErrClosed) {
		return errCallerGone
	}
	return nil
}
