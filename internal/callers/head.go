package callers

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/intake"
)

const (
	// lineSlack is what a head may have beyond the limit on its fields, for its first line.
	lineSlack = 4 << 10
	// firstHeadBuffer is the buffer of a head that does not come in at once.
	firstHeadBuffer = 1 << 10
)

// Answers to requests that exceed a limit. Neither was run.
var (
	answerHeadTooLarge = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	answerHeadTooLate  = []byte("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
)

// headReader holds what was read of a head until it is whole, so that it costs no more than
// its bytes until then. One read uses it at a time.
type headReader struct {
	awaited bool // the head of a request is awaited; all else is passed on as it comes
	scan    intake.Head
	buf     []byte      // read and not passed on
	taken   int64       // bytes that are counted for buf
	skipped int64       // bytes of empty lines before the head
	counted bool        // the request whose head was passed on last is counted, and has not begun
	stopped atomic.Bool // all reads have ended
}

// next begins the wait for the next head, unless a part of it was passed on.
func (h *headReader) next() {
	h.counted = false
	if !h.awaited && len(h.buf) == 0 {
		h.awaited = true
		h.scan.Next()
	}
}

// Read implements net.Conn. The head of a request is returned once it is whole. What arrives
// when the connection has ended counts as not read.
func (c *Conn) Read(p []byte) (int, error) {
	h := &c.head
	switch {
	case !h.awaited && len(h.buf) > 0:
		return c.passOn(p), nil
	case !h.awaited:
		n, err := c.readAny(p)
		h.scan.Passed(p[:n])
		return n, err
	case len(p) == 1:
		// While a request is in progress, the server reads a byte to notice that the caller
		// has left.
		n, err := c.readAny(p)
		if _, end := h.scan.Scan(p[:n]); end > 0 {
			h.awaited, h.scan = false, intake.Head{}
		}
		return n, err
	}
	return c.readHead(p)
}

// readAny reads what arrives.
func (c *Conn) readAny(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.state.Load() == connEnded {
		return 0, errEnded
	}
	return n, err
}

// passOn returns a part of what is held back.
func (c *Conn) passOn(p []byte) int {
	h := &c.head
	n := copy(p, h.buf)
	if h.buf = h.buf[n:]; len(h.buf) == 0 {
		h.buf = nil
		c.pool.give(c, h.taken)
		h.taken = 0
	}
	return n
}

// readHead reads until the head of a request is whole.
func (c *Conn) readHead(p []byte) (int, error) {
	h := &c.head
	limits := c.pool.opt.Requests()
	if err := c.setHeadDeadline(limits.IdleTimeout); err != nil {
		return 0, err
	}
	for {
		// A head that comes in at once is not copied.
		into := p
		if len(h.buf) > 0 || len(p) < firstHeadBuffer {
			var err error
			if into, err = c.headSpace(); err != nil {
				return 0, c.refuseHead(err)
			}
		}
		n, err := c.Conn.Read(into)
		if n == 0 && err != nil {
			return 0, c.endHead(err)
		}
		began := h.scan.Began()
		skip, end := h.scan.Scan(into[:n])
		if !began && h.scan.Began() {
			c.state.CompareAndSwap(connQuiet, connPartial)
			c.since.Store(int64(time.Since(c.pool.start)))
		}
		if c.state.Load() == connEnded {
			return 0, errEnded
		}
		h.skipped += int64(skip)
		if max(h.scan.Bytes, h.skipped) > limits.HeaderBytes+lineSlack {
			return 0, c.answerHead(limitHeadBytes, answerHeadTooLarge)
		}
		direct := len(h.buf) == 0 && len(p) > 0 && &into[0] == &p[0]
		if end == 0 {
			if !began && h.scan.Began() {
				if err := c.setHeadDeadline(limits.HeaderTimeout); err != nil {
					return 0, err
				}
			}
			if h.scan.Began() {
				if err := c.keep(into[skip:n], direct); err != nil {
					return 0, c.refuseHead(err)
				}
			}
			continue
		}
		return c.passHead(p, into[skip:n], n-end, direct)
	}
}

// passHead passes on a head that is whole. last is what was read last, and rest the number
// of its bytes that come after the head.
func (c *Conn) passHead(p, last []byte, rest int, direct bool) (int, error) {
	h := &c.head
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	if h.stopped.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.pool.take(c, intake.RequestBytes(h.scan.Bytes, h.scan.Lines)); err != nil {
		return 0, c.refuseHead(err)
	}
	h.counted = true
	h.awaited, h.scan, h.skipped = false, intake.Head{}, 0
	if rest > 0 {
		h.scan.Passed(last[len(last)-rest:])
	}
	if direct {
		return copy(p, last), nil
	}
	h.buf = append(h.buf, last...) // there is space
	return c.passOn(p), nil
}

// headSpace returns the unused space of the buffer for a head, and makes more if there is
// none.
func (c *Conn) headSpace() ([]byte, error) {
	h := &c.head
	if len(h.buf) == cap(h.buf) {
		size := max(2*cap(h.buf), firstHeadBuffer)
		if err := c.pool.take(c, int64(size)); err != nil {
			return nil, err
		}
		c.pool.give(c, h.taken)
		h.buf, h.taken = append(make([]byte, 0, size), h.buf...), int64(size)
	}
	return h.buf[len(h.buf):cap(h.buf)], nil
}

// keep holds back what was read of a head.
func (c *Conn) keep(read []byte, direct bool) error {
	h := &c.head
	if !direct {
		// The bytes are in the buffer already; empty lines before them are not kept.
		copy(h.buf[len(h.buf):cap(h.buf)], read)
		h.buf = h.buf[:len(h.buf)+len(read)]
		return nil
	}
	for len(read) > 0 {
		space, err := c.headSpace()
		if err != nil {
			return err
		}
		n := copy(space, read)
		h.buf, read = h.buf[:len(h.buf)+n], read[n:]
	}
	return nil
}

// setHeadDeadline bounds the next reads, unless all reads have ended.
func (c *Conn) setHeadDeadline(timeout time.Duration) error {
	if err := c.Conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if c.head.stopped.Load() {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// endHead returns the error of a read of a head. A caller that took too long gets an answer.
func (c *Conn) endHead(err error) error {
	if c.state.Load() == connEnded {
		return errEnded
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.head.stopped.Load() {
		return err
	}
	if c.head.scan.Began() {
		return c.answerHead(limitHeadTime, answerHeadTooLate)
	}
	c.pool.metrics.closed.WithLabelValues(string(limitIdle)).Inc()
	return err
}

// answerHead ends a connection whose head exceeds a limit, with an answer.
func (c *Conn) answerHead(limit Limit, answer []byte) error {
	if !c.state.CompareAndSwap(connPartial, connEnded) && !c.state.CompareAndSwap(connQuiet, connEnded) {
		return errEnded
	}
	c.pool.noteClosed(c, limit)
	if c.answerNow(answer) == nil && !c.pool.pressed() {
		c.discard()
	}
	return errEnded
}

// answerNow writes an answer if the connection takes it at once.
func (c *Conn) answerNow(answer []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits || c.writing {
		return errEnded
	}
	_, err := c.try(answer)
	return err
}

const (
	// discardTime and discardBytes bound what is read and discarded of a request after its
	// answer: a connection that is closed with unread bytes is reset, and the answer lost.
	discardTime  = 250 * time.Millisecond
	discardBytes = 64 << 10
)

// discard reads what the caller still sends after its answer.
func (c *Conn) discard() {
	err := errors.Join(c.tcp.CloseWrite(), c.Conn.SetReadDeadline(time.Now().Add(discardTime)))
	buf := make([]byte, firstHeadBuffer)
	for read := 0; err == nil && read < discardBytes; {
		var n int
		n, err = c.Conn.Read(buf)
		read += n
	}
}

// refuseHead ends a connection for whose head there is no memory.
func (c *Conn) refuseHead(err error) error {
	if errors.Is(err, errEnded) {
		return err
	}
	return c.answerHead(limitMemory, refusalOfPart)
}
