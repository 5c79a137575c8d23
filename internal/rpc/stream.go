package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	readBufferBytes      = 64 << 10
	maxFrameBytes        = 64 << 20               // of a message
	maxHelloBytes        = 64 << 10               // of a message of a peer that has not sent its hello
	maxKeptBufferBytes   = 256 << 10              // larger buffers are released after use
	maxQueuedBytes       = 256 << 10              // waiting to be written; senders block while there are more
	closeFlushTimeout    = 100 * time.Millisecond // for messages that are queued when the connection is closed
	maxPreallocatedBytes = 1 << 20                // the buffer of a longer frame grows as the data arrives
)

// envelope holds the fields of a JSON-RPC 2.0 message that tell notifications
// from other messages.
type envelope struct {
	Method string          `json:"method"`
	ID     json.RawMessage `json:"id"`
	Params json.RawMessage `json:"params"`
}

// notification is an outgoing JSON-RPC 2.0 notification.
type notification struct {
	Version string `json:"jsonrpc"`
	Method  string `json:"method"`
	Params  any    `json:"params"`
}

// stream is the jsonrpc2.ObjectStream of a connection. Each message is preceded
// by its length as a varint. Notifications bypass the message type of jsonrpc2,
// which would decode and encode their parameters as generic values.
type stream struct {
	sock   *trackedConn
	reader *bufio.Reader
	frame  []byte // reused for each message
	notify func(method string, params json.RawMessage)
	queue  sendQueue
	// greeted says that the peer may send long messages; nil if it always may.
	greeted *atomic.Bool
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

// newStream returns a stream that passes notifications to notify in the order of
// their arrival. Their params are valid only until notify returns.
func newStream(sock *trackedConn, notify func(method string, params json.RawMessage)) *stream {
	s := &stream{sock: sock, reader: bufio.NewReaderSize(sock, readBufferBytes), notify: notify}
	s.queue.init(sock)
	return s
}

// ReadObject implements jsonrpc2.ObjectStream. It handles notifications itself
// and returns the first other message.
func (s *stream) ReadObject(v any) error {
	for {
		if err := s.readFrame(); err != nil {
			return err
		}
		if method, params, ok := parseNotification(s.frame); ok {
			s.notify(method, params)
			continue
		}
		var message envelope
		if err := json.Unmarshal(s.frame, &message); err != nil {
			return err
		}
		if message.Method == "" || message.ID != nil {
			return json.Unmarshal(s.frame, v)
		}
		s.notify(message.Method, message.Params)
	}
}

// Parts of a notification as sendNotification encodes it.
var (
	notificationPrefix = []byte(`{"jsonrpc":"2.0","method":"`)
	paramsSeparator    = []byte(`","params":`)
)

// parseNotification extracts the method and the params of a notification without
// decoding the message, provided that sendNotification has encoded it. For any
// other message it reports false, and the message must be decoded.
func parseNotification(frame []byte) (method string, params json.RawMessage, ok bool) {
	rest, ok := bytes.CutPrefix(frame, notificationPrefix)
	if !ok {
		return "", nil, false
	}
	name, params, ok := bytes.Cut(rest, paramsSeparator)
	if !ok || bytes.ContainsAny(name, `"\`) || !bytes.HasSuffix(params, []byte("}")) {
		return "", nil, false
	}
	params = params[:len(params)-1]
	if len(params) == 0 || params[0] != '{' || params[len(params)-1] != '}' {
		return "", nil, false
	}
	return methodName(name), params, true
}

// methodName returns the name as a string. It does not allocate for the method
// that is used for every token.
func methodName(name []byte) string {
	if string(name) == wire.MethodRunChunk {
		return wire.MethodRunChunk
	}
	return string(name)
}

func (s *stream) readFrame() error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	limit := uint64(maxFrameBytes)
	if s.greeted != nil && !s.greeted.Load() {
		limit = maxHelloBytes
	}
	if size > limit {
		return errkind.New(errkind.InvalidRequest, "message of %d bytes exceeds %d", size, limit)
	}
	if cap(s.frame) > maxKeptBufferBytes {
		s.frame = nil
	}
	if size > maxPreallocatedBytes {
		s.frame, err = readGrowing(s.reader, int64(size))
		return err
	}
	if uint64(cap(s.frame)) < size {
		s.frame = make([]byte, size)
	}
	s.frame = s.frame[:size]
	_, err = io.ReadFull(s.reader, s.frame)
	return err
}

// readGrowing reads a frame into a buffer that grows with the received data, so
// that a length prefix alone can't make the receiver reserve memory.
func readGrowing(r io.Reader, size int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, size))
	if err == nil && int64(len(data)) < size {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.queue.enqueue(data)
}

// sendNotification queues a notification.
func (s *stream) sendNotification(method string, params any) error {
	return s.WriteObject(&notification{Version: "2.0", Method: method, Params: params})
}

// Close implements io.Closer. Queued messages are written for up to
// closeFlushTimeout, because a sender may close the connection right after its
// last message.
func (s *stream) Close() error {
	s.queue.close()
	return s.sock.Close()
}

var errStreamClosed = errors.New("connection is closed")

// sendQueue buffers messages until its goroutine writes them. Messages that are
// queued while a write is in progress are combined into the next write.
type sendQueue struct {
	sock    *trackedConn
	mu      sync.Mutex
	changed sync.Cond // signals that the queue was filled, emptied, closed or has failed
	queued  []byte    // encoded messages that wait to be written
	spare   []byte    // second buffer, swapped with queued at each write
	closed  bool
	err     error         // of a failed write
	done    chan struct{} // closed when the goroutine has ended
}

func (q *sendQueue) init(sock *trackedConn) {
	q.sock = sock
	q.changed.L = &q.mu
	q.done = make(chan struct{})
	go q.writeLoop()
}

// enqueue queues a message. It blocks while more than maxQueuedBytes are queued.
func (q *sendQueue) enqueue(data []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.queued) > maxQueuedBytes && !q.closed && q.err == nil {
		q.changed.Wait()
	}
	switch {
	case q.err != nil:
		return q.err
	case q.closed:
		return errStreamClosed
	}
	empty := len(q.queued) == 0
	q.queued = binary.AppendUvarint(q.queued, uint64(len(data)))
	q.queued = append(q.queued, data...)
	if empty {
		q.changed.Broadcast()
	}
	return nil
}

// writeLoop writes queued messages until the queue is closed and empty, or a
// write fails.
func (q *sendQueue) writeLoop() {
	defer close(q.done)
	for {
		data, ok := q.takeQueued()
		if !ok {
			return
		}
		_, err := q.sock.Write(data)
		if !q.finishWrite(data, err) {
			_ = q.sock.Close() // ends the read loop, which closes the connection
			return
		}
	}
}

// takeQueued waits for messages and returns all that are queued. It yields to
// goroutines that are ready to run first, so that their messages are combined
// into the same write. It reports false if the queue is closed and empty.
func (q *sendQueue) takeQueued() ([]byte, bool) {
	q.mu.Lock()
	for len(q.queued) == 0 && !q.closed {
		q.changed.Wait()
	}
	q.mu.Unlock()
	runtime.Gosched()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queued) == 0 {
		return nil, false
	}
	data := q.queued
	q.queued, q.spare = q.spare[:0], nil
	q.changed.Broadcast()
	return data, true
}

// finishWrite records the result of a write and keeps the buffer for reuse unless
// it is too large. It reports whether the write succeeded.
func (q *sendQueue) finishWrite(data []byte, err error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cap(data) <= 2*maxKeptBufferBytes {
		q.spare = data[:0]
	}
	q.err = err
	if err != nil {
		q.changed.Broadcast()
	}
	return err == nil
}

// close closes the queue and waits up to closeFlushTimeout until the queued
// messages are written.
func (q *sendQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.sock.endWritesAt(time.Now().Add(closeFlushTimeout))
	q.changed.Broadcast()
	q.mu.Unlock()
	<-q.done
}
