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
// its bytes until then. The server is given whole heads and what belongs to their bodies: a
// part of a head that it had would cost more than is counted, and have no limits. One read
// uses it at a time.
type headReader struct {
	scan      intake.Head // of the head that is awaited
	body      intake.Body // of the request that was passed on last; after it a head is awaited
	length    int64       // of that body, -1 if it is in chunks
	inRequest bool        // the server has not ended the request that was passed on last
	buf       []byte      // read and not passed on
	passable  int         // bytes at the start of buf that may be passed on
	taken     int64       // bytes that are counted for buf
	skipped   int64       // bytes of empty lines before the head
	stopped   atomic.Bool // all reads have ended
}

// Read implements net.Conn. The head of a request is returned once it is whole. What arrives
// when the connection has ended counts as not read.
func (c *Conn) Read(p []byte) (int, error) {
	h := &c.head
	if h.passable == 0 && !h.body.Ended() {
		h.passable = h.body.Scan(h.buf)
	}
	switch {
	case h.passable > 0:
		return c.passOn(p), nil
	case !h.body.Ended():
		return c.readBody(p)
	case h.inRequest && len(p) == 1:
		return c.readByte(p)
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
	n := copy(p, h.buf[:h.passable])
	h.passable -= n
	if h.buf = h.buf[n:]; len(h.buf) == 0 {
		c.dropBuffer()
	}
	return n
}

// dropBuffer gives back the buffer, of which nothing is needed.
func (c *Conn) dropBuffer() {
	c.pool.give(c, c.head.taken)
	c.head.buf, c.head.taken = nil, 0
}

// readBody reads a part of a body, and holds back what comes after its end.
func (c *Conn) readBody(p []byte) (int, error) {
	n, err := c.readAny(p)
	own := c.head.body.Scan(p[:n])
	c.holdBack(p[own:n])
	return own, err
}

// holdBack keeps what came in together with the end of a request.
func (c *Conn) holdBack(read []byte) {
	h := &c.head
	if len(read) == 0 {
		return
	}
	// It was read already, and is as long as the server's buffer at most.
	size := max(len(read), firstHeadBuffer)
	c.pool.holdRead(c, int64(size))
	h.buf, h.taken = append(make([]byte, 0, size), read...), int64(size)
}

// readByte reads the byte by which the server notices that a caller has left while its request
// is in progress. It belongs to the next head: empty lines before that are skipped here too.
func (c *Conn) readByte(p []byte) (int, error) {
	h := &c.head
	for most := c.pool.opt.Requests().HeaderBytes + lineSlack; ; {
		n, err := 1, error(nil)
		if len(h.buf) > 0 {
			h.passable = n
			c.passOn(p)
		} else {
			n, err = c.readAny(p)
		}
		skip, _ := h.scan.Scan(p[:n])
		if h.skipped += int64(skip); skip == 0 || h.skipped > most {
			return n, err
		}
	}
}

// readHead reads until the head of a request is whole.
func (c *Conn) readHead(p []byte) (int, error) {
	h := &c.head
	limits := c.pool.opt.Requests()
	timeout := limits.IdleTimeout
	if h.scan.Began() {
		timeout = limits.HeaderTimeout
	}
	if err := c.setHeadDeadline(timeout); err != nil {
		return 0, err
	}
	read, direct := h.buf, false
	for h.buf = h.buf[:0]; ; read = nil {
		if len(read) == 0 {
			var err error
			if read, direct, err = c.readMore(p); err != nil {
				return 0, err
			}
		}
		began := h.scan.Began()
		skip, end := h.scan.Scan(read)
		if h.scan.Began() && c.state.CompareAndSwap(connQuiet, connPartial) {
			c.since.Store(int64(time.Since(c.pool.start)))
		}
		if c.state.Load() == connEnded {
			return 0, errEnded
		}
		h.skipped += int64(skip)
		if max(h.scan.Bytes, h.skipped) > limits.HeaderBytes+lineSlack {
			return 0, c.answerHead(limitHeadBytes, answerHeadTooLarge)
		}
		switch {
		case end > 0:
			return c.passHead(p, read[skip:], len(read)-end, direct)
		case !h.scan.Began():
			c.dropBuffer()
			continue
		case !began:
			if err := c.setHeadDeadline(limits.HeaderTimeout); err != nil {
				return 0, err
			}
		}
		if err := c.keep(read[skip:], direct); err != nil {
			return 0, c.refuseHead(err)
		}
	}
}

// readMore reads what arrives of a head, into the buffer of the server if nothing is held back
// yet: a head that comes in at once is not copied.
func (c *Conn) readMore(p []byte) (read []byte, direct bool, err error) {
	into := p
	if direct = len(c.head.buf) == 0 && len(p) >= firstHeadBuffer; !direct {
		if into, err = c.headSpace(); err != nil {
			return nil, false, c.refuseHead(err)
		}
	}
	n, err := c.Conn.Read(into)
	if n == 0 && err != nil {
		return nil, false, c.endHead(err)
	}
	return into[:n], direct, nil
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
	h.scan, h.skipped, h.inRequest = intake.Head{}, 0, true
	all := last
	if !direct {
		h.buf = append(h.buf, last...) // there is space
		all = h.buf
	}
	head := len(all) - rest
	h.body = intake.BodyAfter(all[:head])
	h.length = h.body.Length()
	own := head + h.body.Scan(all[head:])
	if !direct {
		h.passable = own
		return c.passOn(p), nil
	}
	c.holdBack(all[own:])
	return copy(p, all[:own]), nil
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
