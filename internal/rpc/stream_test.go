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

func ignore(string, json.RawMessage) {}

// Guards against the last messages being lost when a process closes a
// connection right after it has sent them, and against messages of concurrent
// senders that mix or change order.
func TestQueuedMessagesLeaveBeforeClose(t *testing.T) {
	a, b := socketPair(t)
	sender := newStream(newTrackedConn(a, time.Second, &Traffic{}), ignore)
	const senders, each = 4, 200
	last := map[string]int{}
	got := 0
	receiver := newStream(newTrackedConn(b, time.Second, &Traffic{}), func(method string, params json.RawMessage) {
		var n int
		assert.Check(t, json.Unmarshal(params, &n))
		assert.Check(t, n == last[method]+1, "%s: %d after %d", method, n, last[method])
		last[method] = n
		got++
	})
	defer receiver.Close()
	var all sync.WaitGroup
	for i := range senders {
		all.Go(func() {
			for n := range each {
				assert.Check(t, sender.sendNotification(fmt.Sprint("m", i), n+1))
			}
		})
	}
	go func() { all.Wait(); assert.Check(t, sender.Close()) }()
	assert.Equal(t, receiver.ReadObject(new(jsonrpc2.Request)), io.EOF)
	assert.Equal(t, got, senders*each)
}

// Guards against a peer that accepts no data: senders must be blocked instead
// of filling memory, and closing must not wait for the peer.
func TestStalledPeerBoundsQueue(t *testing.T) {
	a, b := socketPair(t)
	assert.NilError(t, a.SetWriteBuffer(4096))
	assert.NilError(t, b.SetReadBuffer(4096))
	s := newStream(newTrackedConn(a, time.Minute, &Traffic{}), ignore)
	sent := make(chan int, 1)
	go func() {
		n := 0
		for s.sendNotification("n", make([]byte, 32<<10)) == nil {
			n++
		}
		sent <- n
	}()
	time.Sleep(100 * time.Millisecond)
	s.out.mu.Lock()
	queued := len(s.out.queued)
	s.out.mu.Unlock()
	assert.Assert(t, queued <= 2*maxQueued, "%d bytes", queued)
	began := time.Now()
	_ = s.Close()
	assert.Assert(t, time.Since(began) < 10*flushAtClose)
	<-sent
}

// Guards against a call, or a message of another form, being taken for a
// notification and therefore never answered.
func TestOnlyNotificationsAreCut(t *testing.T) {
	method, params, ok := cutNotification([]byte(`{"jsonrpc":"2.0","method":"run.chunk","params":{"r":"}"}}`))
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
		_, _, ok := cutNotification([]byte(frame))
		assert.Assert(t, !ok, frame)
	}
}

// Guards against a length that makes the receiver reserve memory for data that
// never comes.
func TestFrameLengthIsBounded(t *testing.T) {
	a, b := socketPair(t)
	s := newStream(newTrackedConn(b, time.Second, &Traffic{}), ignore)
	defer s.Close()
	_, err := a.Write(binary.AppendUvarint(nil, maxFrame+1))
	assert.NilError(t, err)
	assert.ErrorContains(t, s.ReadObject(new(jsonrpc2.Request)), "exceeds")
}
