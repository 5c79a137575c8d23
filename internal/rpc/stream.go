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
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	readBuffer    = 64 << 10               // bytes
	maxFrame      = 64 << 20               // bytes of one message
	keptBuffer    = 256 << 10              // larger buffers are given back after use
	maxQueued     = 256 << 10              // bytes that wait for the socket; more blocks the senders
	flushAtClose  = 100 * time.Millisecond // for messages still queued when the connection is closed
	maxFrameStart = 1 << 20                // a longer frame grows its buffer as the data arrives
)

// envelope is a JSON-RPC 2.0 message as far as its kind depends on it.
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

// stream is the jsonrpc2.ObjectStream of a connection: each message has its
// length before it as a varint. Notifications bypass the library's message
// type, which decodes and encodes their parameters as generic values.
type stream struct {
	sock   *trackedConn
	in     *bufio.Reader
	frame  []byte // reused by each message
	notify func(method string, params json.RawMessage)
	out    sendQueue
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

// newStream returns a stream that passes notifications to notify in their
// order. The parameters are valid until notify returns.
func newStream(sock *trackedConn, notify func(method string, params json.RawMessage)) *stream {
	s := &stream{sock: sock, in: bufio.NewReaderSize(sock, readBuffer), notify: notify}
	s.out.init(sock)
	return s
}

// ReadObject implements jsonrpc2.ObjectStream. It returns with the first
// message that is not a notification.
func (s *stream) ReadObject(v any) error {
	for {
		if err := s.readFrame(); err != nil {
			return err
		}
		if method, params, ok := cutNotification(s.frame); ok {
			s.notify(method, params)
			continue
		}
		var e envelope
		if err := json.Unmarshal(s.frame, &e); err != nil {
			return err
		}
		if e.Method == "" || e.ID != nil {
			return json.Unmarshal(s.frame, v)
		}
		s.notify(e.Method, e.Params)
	}
}

// Parts of a notification in the form in which sendNotification encodes it.
var (
	notificationHead = []byte(`{"jsonrpc":"2.0","method":"`)
	notificationBody = []byte(`","params":`)
)

// cutNotification takes the parameters out of a notification that has the form
// of sendNotification, without decoding the message around them. Any other
// message is left to the decoder.
func cutNotification(frame []byte) (method string, params json.RawMessage, ok bool) {
	rest, ok := bytes.CutPrefix(frame, notificationHead)
	if !ok {
		return "", nil, false
	}
	name, params, ok := bytes.Cut(rest, notificationBody)
	if !ok || bytes.ContainsAny(name, `"\`) || !bytes.HasSuffix(params, []byte("}")) {
		return "", nil, false
	}
	params = params[:len(params)-1]
	if len(params) == 0 || params[0] != '{' || params[len(params)-1] != '}' {
		return "", nil, false
	}
	return methodName(name), params, true
}

// methodName returns the name without an allocation for the method that comes
// with every token.
func methodName(name []byte) string {
	if string(name) == wire.MethodRunChunk {
		return wire.MethodRunChunk
	}
	return string(name)
}

func (s *stream) readFrame() error {
	size, err := binary.ReadUvarint(s.in)
	if err != nil {
		return err
	}
	if size > maxFrame {
		return errkind.New(errkind.InvalidRequest, "message of %d bytes exceeds %d", size, maxFrame)
	}
	if cap(s.frame) > keptBuffer {
		s.frame = nil
	}
	if size > maxFrameStart {
		s.frame, err = readLong(s.in, int64(size))
		return err
	}
	if uint64(cap(s.frame)) < size {
		s.frame = make([]byte, size)
	}
	s.frame = s.frame[:size]
	_, err = io.ReadFull(s.in, s.frame)
	return err
}

// readLong reads a frame into memory that grows with the data, so that a
// length alone reserves none.
func readLong(r io.Reader, size int64) ([]byte, error) {
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
	return s.out.add(data)
}

// sendNotification queues a notification.
func (s *stream) sendNotification(method string, params any) error {
	return s.WriteObject(&notification{Version: "2.0", Method: method, Params: params})
}

// Close implements io.Closer. Messages that are queued get flushAtClose to
// leave, because a sender may close right after its last message.
func (s *stream) Close() error {
	s.out.close()
	return s.sock.Close()
}

var errStreamClosed = errors.New("connection is closed")

// sendQueue holds messages until its goroutine writes them. Messages that are
// added while a write is in progress leave together with the next one.
type sendQueue struct {
	sock    *trackedConn
	mu      sync.Mutex
	changed sync.Cond // queue filled, emptied, closed or failed
	queued  []byte
	spare   []byte // the buffer that queued takes turns with
	closed  bool
	err     error
	done    chan struct{} // the goroutine has ended
}

func (q *sendQueue) init(sock *trackedConn) {
	q.sock = sock
	q.changed.L = &q.mu
	q.done = make(chan struct{})
	go q.run()
}

// add queues a message. It blocks while too much is queued.
func (q *sendQueue) add(data []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.queued) > maxQueued && !q.closed && q.err == nil {
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

// run writes until the queue is closed and empty, or a write fails.
func (q *sendQueue) run() {
	defer close(q.done)
	for {
		data, ok := q.take()
		if !ok {
			return
		}
		_, err := q.sock.Write(data)
		if !q.written(data, err) {
			_ = q.sock.Close() // ends the read loop, which closes the connection
			return
		}
	}
}

// take waits for messages and returns all of them. Senders that are ready to
// run go first: their messages share the write.
func (q *sendQueue) take() ([]byte, bool) {
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

func (q *sendQueue) written(data []byte, err error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cap(data) <= 2*keptBuffer {
		q.spare = data[:0]
	}
	q.err = err
	if err != nil {
		q.changed.Broadcast()
	}
	return err == nil
}

// close ends the queue and waits for what is queued, up to flushAtClose.
func (q *sendQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.sock.endWrites(time.Now().Add(flushAtClose))
	q.changed.Broadcast()
	q.mu.Unlock()
	<-q.done
}
