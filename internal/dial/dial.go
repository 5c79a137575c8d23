// Package dial opens TCP connections to hosts that may be unreachable or lose packets.
package dial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonridge.example/tarragonridge/internal/netcount"
)

// retryInterval is how long an attempt to connect may stay unanswered before another
// one is started beside it. Linux repeats a lost SYN packet only after 1 s.
const retryInterval = 150 * time.Millisecond

// Options configures a Dialer.
type Options struct {
	Timeout time.Duration // of a dial, over all attempts
	// UserTimeout is how long sent bytes may stay unacknowledged before a connection
	// counts as broken (TCP_USER_TIMEOUT); 0 leaves it to the kernel.
	UserTimeout time.Duration
	KeepAlive   net.KeepAliveConfig
	Bytes       *netcount.Counter // of all connections; nil if they are not counted
}

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	timeout time.Duration
	connect func(ctx context.Context, network, address string) (net.Conn, error) // one attempt
}

// New returns a Dialer.
func New(o Options) *Dialer {
	dialer := &net.Dialer{KeepAliveConfig: o.KeepAlive}
	if o.UserTimeout > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
			})
			return errors.Join(controlErr, err)
		}
	}
	return &Dialer{timeout: o.Timeout, connect: netcount.Dial(dialer.DialContext, o.Bytes)}
}

// result is the result of an attempt.
type result struct {
	conn net.Conn
	err  error
}

// DialContext connects to the address. It starts another attempt whenever the last one
// has been unanswered for a while, and returns the first result of any of them.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel() // ends the attempts that are still in progress
	results := make(chan result)
	attempt := func() {
		conn, err := d.connect(ctx, network, address)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close() // another attempt was answered first
			}
		}
	}
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	go attempt()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-retry.C:
			go attempt()
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
}
