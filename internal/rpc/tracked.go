package rpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// trackedConn records when data was last received and sent, counts bytes and
// limits the duration of each write.
type trackedConn struct {
	net.Conn
	lastRead     atomic.Int64 // unix time in nanoseconds
	lastWrite    atomic.Int64 // unix time in nanoseconds
	writeTimeout time.Duration
	traffic      *Traffic

	mu          sync.Mutex
	writesEndAt time.Time // deadline of all writes; zero means none
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

// Write implements net.Conn. It fails if the peer does not accept the data in
// time, so that a stalled peer can't block senders forever.
func (t *trackedConn) Write(p []byte) (int, error) {
	if err := t.setWriteDeadline(); err != nil {
		return 0, err
	}
	n, err := t.Conn.Write(p)
	t.traffic.Sent.Add(int64(n))
	return n, err
}

func (t *trackedConn) sinceLastWrite(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.lastWrite.Load()))
}

func (t *trackedConn) setWriteDeadline() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.lastWrite.Store(now.UnixNano())
	deadline := now.Add(t.writeTimeout)
	if !t.writesEndAt.IsZero() && t.writesEndAt.Before(deadline) {
		deadline = t.writesEndAt
	}
	return t.Conn.SetWriteDeadline(deadline)
}

// endWritesAt sets a deadline for all writes, including one in progress.
func (t *trackedConn) endWritesAt(deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writesEndAt = deadline
	_ = t.Conn.SetWriteDeadline(deadline) // fails only on a closed connection
}

func (t *trackedConn) sinceLastRead(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.lastRead.Load()))
}
