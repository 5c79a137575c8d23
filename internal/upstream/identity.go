package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Identity is a check of which start of a target a connection leads to. It is made once on
// each connection, which ends with that start.
type Identity struct {
	Start int64  // the connection must lead to this start
	Head  []byte // of the request for the start, including the empty line at the end
	// Parse returns the start that a response names, 0 if the target names none.
	Parse func(status int, body []byte) (start int64, err error)
}

// ErrOtherStart reports that the target has started again.
var ErrOtherStart = errors.New("the target has started again")

// IdentityError is the failure of the check of a connection that a target has accepted. It
// wraps ErrOtherStart if the target has named another start.
type IdentityError struct{ Cause error }

// Error implements error.
func (e *IdentityError) Error() string { return "start of the target: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *IdentityError) Unwrap() error { return e.Cause }

const (
	// identityTimeout bounds the check of a connection. Targets answer it without a queue.
	identityTimeout = 300 * time.Millisecond
	// maxIdentityConns limits the connections that are tried for a request, as a target may
	// close one after the check.
	maxIdentityConns = 2
)

var (
	errClosesAfterCheck = errors.New("the target closes the connection after the check of its start")
	errNoStart          = errors.New("the target names no start")
)

// acquireIdentified returns a connection to the start of the target that the request needs.
func (p *Pool) acquireIdentified(ctx context.Context, req *Request) (*conn, error) {
	for tries := 1; ; tries++ {
		c, err := p.acquire(ctx, req)
		if err != nil || req.Identity == nil {
			return c, err
		}
		if err = c.identify(ctx, req); err == nil {
			return c, nil
		}
		p.release(c, false)
		if tries == maxIdentityConns || !errors.Is(err, errClosesAfterCheck) {
			return nil, err
		}
	}
}

// identify checks that the connection leads to the start that a request needs.
func (c *conn) identify(ctx context.Context, req *Request) error {
	if !c.identified {
		if err := c.readStart(ctx, req); err != nil {
			return err
		}
		c.identified = true
	}
	if c.start != 0 && c.start != req.Identity.Start {
		return ErrOtherStart
	}
	return nil
}

// readStart asks the target for its start.
func (c *conn) readStart(ctx context.Context, req *Request) error {
	detach := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	defer detach()
	deadline := time.Now().Add(identityTimeout)
	if req.ResponseHeaderDeadline.Before(deadline) {
		deadline = req.ResponseHeaderDeadline
	}
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := c.Write(req.Identity.Head); err != nil {
		return err
	}
	resp, err := c.readHead(http.MethodGet)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxSkippedBytes+1))
	switch {
	case err != nil:
		return err
	case len(body) > MaxSkippedBytes:
		return &TooLongError{"description of its start", MaxSkippedBytes}
	}
	c.start, err = req.Identity.Parse(resp.StatusCode, body)
	switch {
	case err != nil:
		return err
	case c.start != 0 && c.start != req.Identity.Start:
		return ErrOtherStart
	case resp.Close || !framed(resp):
		return errClosesAfterCheck
	}
	return nil
}
