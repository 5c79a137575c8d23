package rpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// trackedConn notes when data last arrived and bounds the time of each write.
type trackedConn struct {
	net.Conn
	lastRead     atomic.Int64 // unix time in nanoseconds
	writeTimeout time.Duration

	mu    sync.Mutex
	until time.Time // no write lasts longer; zero means no such bound
}

func newTrackedConn(sock net.Conn, writeTimeout time.Duration) *trackedConn {
	t := &trackedConn{Conn: sock, writeTimeout: writeTimeout}
	t.lastRead.Store(time.Now().UnixNano())
	return t
}

// Read implements net.Conn.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn. A write that the peer does not accept in time
// fails, so that a stalled peer cannot block its senders for ever.
func (t *trackedConn) Write(p []byte) (int, error) {
	if err := t.armWrite(); err != nil {
		return 0, err
	}
	return t.Conn.Write(p)
}

func (t *trackedConn) armWrite() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	deadline := time.Now().Add(t.writeTimeout)
	if !t.until.IsZero() && t.until.Before(deadline) {
		deadline = t.until
	}
	return t.Conn.SetWriteDeadline(deadline)
}

// endWrites bounds all writes, including one in progress.
func (t *trackedConn) endWrites(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = until
	_ = t.Conn.SetWriteDeadline(until) // fails only on a closed connection
}

func (t *trackedConn) silentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.lastRead.Load()))
}
