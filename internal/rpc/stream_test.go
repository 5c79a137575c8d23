package rpc

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// socketPair returns both ends of a loopback connection.
func socketPair(t *testing.T) (a, b *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	in, err := ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { out.Close(); in.Close() })
	return out.(*net.TCPConn), in.(*net.TCPConn)
}

func ignoreNotification(string, json.RawMessage) {}

// Guards against losing the last messages when a process closes a connection
// right after it has queued them, and against interleaving or reordering the
// messages of concurrent senders.
func TestQueuedMessagesLeaveBeforeClose(t *testing.T) {
	a, b := socketPair(t)
	sender := newStream(newTrackedConn(a, time.Second, &Traffic{}), ignoreNotification)
	const senders, perSender = 4, 200
	lastSeen := map[string]int{}
	received := 0
	receiver := newStream(newTrackedConn(b, time.Second, &Traffic{}), func(method string, params json.RawMessage) {
		var n int
		assert.Check(t, json.Unmarshal(params, &n))
		assert.Check(t, n == lastSeen[method]+1, "%s: %d after %d", method, n, lastSeen[method])
		lastSeen[method] = n
		received++
	})
	defer receiver.Close()
	var running sync.WaitGroup
	for i := range senders {
		running.Go(func() {
			for n := range perSender {
				assert.Check(t, sender.sendNotification(fmt.Sprint("m", i), n+1))
			}
		})
	}
	go func() { running.Wait(); assert.Check(t, sender.Close()) }()
	assert.Equal(t, receiver.ReadObject(new(jsonrpc2.Request)), io.EOF)
	assert.Equal(t, received, senders*perSender)
}

// Guards against unbounded memory use for a peer that accepts no data, and
// against a close that waits for it. Senders must block instead.
func TestStalledPeerBoundsQueue(t *testing.T) {
	a, b := socketPair(t)
	assert.NilError(t, a.SetWriteBuffer(4096))
	assert.NilError(t, b.SetReadBuffer(4096))
	s := newStream(newTrackedConn(a, time.Minute, &Traffic{}), ignoreNotification)
	sent := make(chan int, 1)
	go func() {
		n := 0
		for s.sendNotification("n", make([]byte, 32<<10)) == nil {
			n++
		}
		sent <- n
	}()
	time.Sleep(100 * time.Millisecond)
	s.queue.mu.Lock()
	queued := len(s.queue.queued)
	s.queue.mu.Unlock()
	assert.Assert(t, queued <= 2*maxQueuedBytes, "%d bytes", queued)
	began := time.Now()
	_ = s.Close()
	assert.Assert(t, time.Since(began) < 10*closeFlushTimeout)
	<-sent
}

// Guards against taking a call or a response for a notification, so that it is
// never answered or handled. parseNotification inspects only the beginning and
// the end of a message.
func TestOnlyNotificationsAreCut(t *testing.T) {
	method, params, ok := parseNotification([]byte(`{"jsonrpc":"2.0","method":"run.chunk","params":{"r":"}"}}`))
	assert.Assert(t, ok)
	assert.Equal(t, method+string(params), `run.chunk{"r":"}"}`)
	for _, frame := range []string{
		`{"id":1,"jsonrpc":"2.0","method":"m","params":{}}`,
		`{"jsonrpc":"2.0","method":"m","params":{},"id":1}`,
		`{"jsonrpc":"2.0","method":"m","id":1,"params":{}}`,
		`{"jsonrpc":"2.0","method":"m\"","params":{}}`,
		`{"jsonrpc":"2.0","method":"m"}`,
		`{"jsonrpc":"2.0","id":1,"result":{}}`,
	} {
		_, _, ok := parseNotification([]byte(frame))
		assert.Assert(t, !ok, frame)
	}
}

// Guards against a length prefix that makes the receiver reserve memory for data
// that never arrives.
func TestFrameLengthIsBounded(t *testing.T) {
	a, b := socketPair(t)
	s := newStream(newTrackedConn(b, time.Second, &Traffic{}), ignoreNotification)
	defer s.Close()
	_, err := a.Write(binary.AppendUvarint(nil, maxFrameBytes+1))
	assert.NilError(t, err)
	assert.ErrorContains(t, s.ReadObject(new(jsonrpc2.Request)), "exceeds")
}
