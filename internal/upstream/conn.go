// Package upstream sends one HTTP/1.1 request at a time on kept connections to
// targets. It never repeats a request, and it says of each failure whether
// bytes of the request may have reached the target.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of a connection.
const (
	readBufferBytes = 4 << 10
	// maxStrayAnswers bounds the answers to earlier requests that are passed
	// over before the answer to the present one.
	maxStrayAnswers = 4
	// asyncBodyBytes is the body size from which the body is sent beside the
	// wait for the answer, because a target may answer before it has read it.
	asyncBodyBytes = 8 << 10
)

// conn is a connection to a target. One request uses it at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	address   string
	idleSince time.Time
	idleLimit time.Duration // 0 if the target states none
}

// reusable reports whether nothing has arrived on an idle connection, neither
// its end nor bytes that belong to no request.
func (c *conn) reusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n < 0 && (errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// Failure is an exchange without an answer.
type Failure struct {
	// Sent says that bytes of the request may have reached the target, so that
	// it may have run.
	Sent bool
	// TimedOut says that the target did not answer in time, and did not close the
	// connection.
	TimedOut bool
	Cause    error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Response is a target's answer. Body must be read to its end or closed.
type Response struct {
	*http.Response
	ex *exchange
}

// Close ends the exchange. The connection is kept only if the answer was read
// to its end and the request was sent whole.
func (a *Response) Close() { a.ex.finish() }

// exchange is one request on a connection.
type exchange struct {
	ctx   context.Context
	pool  *Pool
	c     *conn
	stop  func() bool // detaches the context
	sent  chan error  // nil once the body is known to be sent
	whole bool        // the answer was read to its end
	keep  bool
	done  bool
}

func (x *exchange) finish() {
	if x.done {
		return
	}
	x.done = true
	detached := x.stop()
	keep := x.keep && x.whole && detached
	if x.sent != nil {
		select {
		case err := <-x.sent:
			keep = keep && err == nil
		default:
			keep = false // the target answered before it had read the body
		}
	}
	x.pool.release(x.c, keep)
}

// wholeReader notes the end of the body.
type wholeReader struct {
	io.Reader
	x *exchange
}

func (r wholeReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		r.x.whole = true
	}
	return n, err
}

func (r wholeReader) Close() error { r.x.finish(); return nil }

// roundTrip sends the request and reads the head of its answer. Answers for
// which accept reports false belong to earlier requests and are passed over.
func (p *Pool) roundTrip(ctx context.Context, c *conn, req *Request) (*Response, error) {
	x := &exchange{ctx: ctx, pool: p, c: c}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	fail := func(sent bool, err error) (*Response, error) {
		x.finish()
		return nil, &Failure{Sent: sent, TimedOut: IsTimeout(err), Cause: err}
	}
	if err := c.SetDeadline(req.ResponseHeaderDeadline); err != nil {
		return fail(false, err)
	}
	if ctx.Err() != nil {
		return fail(false, ctx.Err())
	}
	if len(req.Body) <= asyncBodyBytes {
		n, err := c.Write(append(req.Head, req.Body...))
		if err != nil {
			return fail(n > 0, err)
		}
	} else {
		if n, err := c.Write(req.Head); err != nil {
			return fail(n > 0, err)
		}
		x.sent = make(chan error, 1)
		go func() {
			_, err := c.Write(req.Body)
			x.sent <- err
		}()
	}
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: req.Method})
		if err != nil {
			return fail(true, err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if !req.Matches(resp) {
			if !framed(resp) {
				return fail(true, errStray)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return fail(true, err)
			}
			continue
		}
		x.keep = !resp.Close && framed(resp)
		c.idleLimit = keepAlive(resp.Header.Get("Keep-Alive"))
		if err := c.SetDeadline(time.Time{}); err != nil {
			return fail(true, err)
		}
		if ctx.Err() != nil {
			return fail(true, ctx.Err())
		}
		resp.Body = wholeReader{resp.Body, x}
		return &Response{Response: resp, ex: x}, nil
	}
	return fail(true, errStray)
}

// framed reports whether an answer says where it ends.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Framed reports whether the answer says where it ends. One that does not ends
// with its connection.
func (a *Response) Framed() bool { return framed(a.Response) }

// IsTimeout reports whether err is the end of a wait.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

var errStray = errors.New("answers belong to other requests")

// SetReadDeadline bounds the wait for the next part of the body.
func (a *Response) SetReadDeadline(t time.Time) error {
	if err := a.ex.c.SetReadDeadline(t); err != nil {
		return err
	}
	// The end of the context may have come just before and been overwritten.
	return a.ex.ctx.Err()
}

// past ends all reads and writes at once when set as a deadline.
var past = time.Unix(1, 0)

// keepAlive returns the timeout of a Keep-Alive header, 0 if it has none.
func keepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
