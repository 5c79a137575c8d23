// Package upstream is an HTTP/1.1 client for targets. It pools connections and
// sends one request at a time on each. Unlike net/http it never retries a
// request, and each error says whether bytes of the request may have reached
// the target.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"tarragonridge.example/tarragonridge/internal/answers"
	"tarragonridge.example/tarragonridge/internal/netcount"
)

// Limits of a connection.
const (
	readBufferBytes = 4 << 10
	// maxUnmatchedResponses limits the responses, informational (1xx) ones and
	// those to earlier requests, that are read in search of the response to the
	// current request.
	maxUnmatchedResponses = 4
	// asyncBodyBytes is the body size above which the body is sent while the
	// response is awaited, because a target may respond before it has read the
	// body.
	asyncBodyBytes = 8 << 10
)

// conn is a connection to a target. One request uses it at a time.
type conn struct {
	*answers.Conn
	reader    *bufio.Reader // of Conn
	address   string
	idleSince time.Time
	// keepAliveTimeout is the timeout in the target's Keep-Alive header, 0 if it
	// sent none.
	keepAliveTimeout time.Duration
	identified       bool  // the target was asked for its start
	start            int64 // of the target; 0 if it does not name it
}

// reusable reports whether nothing has arrived on an idle connection. Bytes that
// belong to no request or a close by the target make it unusable.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 || !c.Unused() {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = n < 0 && (errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK))
		return true
	})
	return err == nil && empty
}

// Failure is the error of a request that got no response.
type Failure struct {
	// Sent reports that bytes of the request may have reached the target, so the
	// target may have run it.
	Sent bool
	// TimedOut reports that the target neither responded in time nor closed the
	// connection.
	TimedOut bool
	Cause    error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Response is a target's response. The caller must call Close when it is done
// with it.
type Response struct {
	*http.Response
	exchange *exchange
}

// Close ends the exchange. The connection goes back to the pool only if the
// response was read to its end and the request was sent completely.
func (r *Response) Close() { r.exchange.finish() }

// EndConnection keeps the connection from being used for another request.
func (r *Response) EndConnection() { r.exchange.reusable = false }

// exchange is a request on a connection and the response to it.
type exchange struct {
	ctx  context.Context
	pool *Pool
	conn *conn
	// detachContext keeps the end of ctx from affecting the connection. It
	// returns false if ctx has already ended.
	detachContext func() bool
	bodySent      chan error // receives the result of sending a large body; nil for a small one
	readToEnd     bool       // the response was read to its end
	reusable      bool       // the response leaves the connection open
	finished      bool
}

func (x *exchange) finish() {
	if x.finished {
		return
	}
	x.finished = true
	detached := x.detachContext()
	reuse := x.reusable && x.readToEnd && detached
	if x.bodySent != nil {
		select {
		case err := <-x.bodySent:
			reuse = reuse && err == nil
		default:
			reuse = false // the target responded before it had read the body
		}
	}
	x.pool.release(x.conn, reuse)
}

// bodyReader records whether the body of a response is read to its end.
type bodyReader struct {
	io.Reader
	exchange *exchange
}

func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		r.exchange.readToEnd = true
	}
	return n, err
}

func (r bodyReader) Close() error { r.exchange.finish(); return nil }

// bodyBytes returns the length of a body in blocks.
func bodyBytes(body [][]byte) (n int) {
	for _, block := range body {
		n += len(block)
	}
	return n
}

// roundTrip sends the request and reads the headers of its response. It skips
// responses for which req.Matches returns false, as they belong to earlier
// requests.
func (p *Pool) roundTrip(ctx context.Context, c *conn, req *Request) (*Response, error) {
	x := &exchange{ctx: ctx, pool: p, conn: c}
	x.detachContext = context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
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
	if bodyBytes(req.Body) <= asyncBodyBytes {
		n, err := c.Write(slices.Concat(append([][]byte{req.Head}, req.Body...)...))
		if err != nil {
			return fail(n > 0, err)
		}
	} else {
		if n, err := c.Write(req.Head); err != nil {
			return fail(n > 0, err)
		}
		x.bodySent = make(chan error, 1)
		go func() {
			blocks := net.Buffers(slices.Clone(req.Body)) // WriteTo empties it
			_, err := blocks.WriteTo(c)
			x.bodySent <- err
		}()
	}
	for range maxUnmatchedResponses {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return fail(true, err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if !req.Matches(resp) {
			if !framed(resp) {
				return fail(true, errUnmatchedResponses)
			}
			switch n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxSkippedBytes+1)); {
			case err != nil:
				return fail(true, err)
			case n > MaxSkippedBytes:
				return fail(true, &TooLongError{"answer to another request", MaxSkippedBytes})
			}
			continue
		}
		x.reusable = !resp.Close && framed(resp)
		c.keepAliveTimeout = parseKeepAliveTimeout(resp.Header.Get("Keep-Alive"))
		if err := c.SetDeadline(time.Time{}); err != nil {
			return fail(true, err)
		}
		if ctx.Err() != nil {
			return fail(true, ctx.Err())
		}
		resp.Body = bodyReader{resp.Body, x}
		return &Response{Response: resp, exchange: x}, nil
	}
	return fail(true, errUnmatchedResponses)
}

// readHead reads the status line and the headers of a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.Expect(method)
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// framed reports whether a response has a Content-Length or is chunked, or has no body as the
// answer to HEAD, so that its end is distinct from the end of the connection.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead
}

// Framed reports whether the response has a Content-Length or is chunked. One
// that has neither ends when the target closes the connection, so a truncated
// one looks complete.
func (r *Response) Framed() bool { return framed(r.Response) }

// Open reports whether the target has not ended the connection of the response, as far as
// this host has received. Bytes that came before may still be unread.
func (r *Response) Open() bool { return r.exchange.conn.Open() }

// Received returns the bytes that the connection of the response has received, 0 if they are
// not counted.
func (r *Response) Received() int64 {
	if counted, ok := r.exchange.conn.Conn.Conn.(*netcount.Conn); ok {
		return counted.Received()
	}
	return 0
}

// Chunked reports whether the response is chunked.
func (r *Response) Chunked() bool { return len(r.TransferEncoding) > 0 }

// IsTimeout reports whether err is a network timeout.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

var errUnmatchedResponses = errors.New("target sent responses to other requests")

// SetReadDeadline sets the deadline for reads of the body.
func (r *Response) SetReadDeadline(t time.Time) error {
	if err := r.exchange.conn.SetReadDeadline(t); err != nil {
		return err
	}
	// If the context ended just before, its deadline has been overwritten.
	return r.exchange.ctx.Err()
}

// pastDeadline makes pending and later reads and writes of a connection fail at
// once.
var pastDeadline = time.Unix(1, 0)

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header, 0
// if there is none.
func parseKeepAliveTimeout(header string) time.Duration {
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
