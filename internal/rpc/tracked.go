package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// trackedConn notes when data last arrived and bounds the time of each write.
type trackedConn struct {
	net.Conn
	lastRead     atomic.Int64 // unix time in nanoseconds
	writeTimeout time.Duration
	traffic      *Traffic
}

func newTrackedConn(sock net.Conn, writeTimeout time.Duration, traffic *Traffic) *trackedConn {
	t := &trackedConn{Conn: sock, writeTimeout: writeTimeout, traffic: traffic}
	t.lastRead.Store(time.Now().UnixNano())
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
	if err := t.Conn.SetWriteDeadline(time.Now().Add(t.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := t.Conn.Write(p)
	t.traffic.Sent.Add(int64(n))
	return n, err
}

func (t *trackedConn) silentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.lastRead.Load()))
}
