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
	lastWrite    atomic.Int64 // unix time in nanoseconds
	writeTimeout time.Duration
	traffic      *Traffic

	mu    sync.Mutex
	until time.Time // no write lasts longer; zero means no such bound
}

func newTrackedConn(sock net.Conn, writeTimeout time.Duration, traffic *Traffic) *trackedConn {
	t := &trackedConn{Conn: sock, writeTimeout: writeTimeout, traffic: traffic}
	now := time.Now().UnixNano()
	t.lastRead.Store(now)
	t.lastWrite.Store(now)
	return t
}

// Read implements net.Conn.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.traffic.Received.Add(int64(n))
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
	n, err := t.Conn.Write(p)
	t.traffic.Sent.Add(int64(n))
	return n, err
}

func (t *trackedConn) unsentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.lastWrite.Load()))
}

func (t *trackedConn) armWrite() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.lastWrite.Store(now.UnixNano())
	deadline := now.Add(t.writeTimeout)
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
