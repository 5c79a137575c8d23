package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/answers"
	"tarragonridge.example/tarragonridge/internal/core/answer"
	"tarragonridge.example/tarragonridge/internal/dial"
	"tarragonridge.example/tarragonridge/internal/netcount"
)

// Options configures a Pool.
type Options struct {
	DialTimeout       time.Duration // default 400 ms, within which a lost SYN packet is sent again
	MaxIdlePerAddress int           // idle connections kept per address; default 16
	IdleTimeout       time.Duration // how long a connection may stay idle before it is closed; default 4 s
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken (TCP_USER_TIMEOUT); default 1500 ms.
	UserTimeout time.Duration
	Bytes       *netcount.Counter // of all connections; nil if they are not counted
	// Dialed is called with the time after which a new connection was open, or failed. nil
	// if nobody wants to know.
	Dialed func(time.Duration, error)
}

// idleMargin is how long before the target's keep-alive timeout an idle
// connection is no longer used, so that no request is sent while the target
// closes the connection.
const idleMargin = 700 * time.Millisecond

// Pool is a pool of connections to targets. It is safe for concurrent use.
type Pool struct {
	opt    Options
	dialer *dial.Dialer

	mu        sync.Mutex
	idle      map[string][]*conn // by address, least recently used first
	connCount map[string]int     // connections by address, idle and in use
	conns     int                // of all addresses
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	if o.DialTimeout <= 0 {
		o.DialTimeout = 400 * time.Millisecond
	}
	if o.MaxIdlePerAddress <= 0 {
		o.MaxIdlePerAddress = 16
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 4 * time.Second
	}
	if o.UserTimeout <= 0 {
		o.UserTimeout = 1500 * time.Millisecond
	}
	dialer := dial.New(dial.Options{
		Timeout: o.DialTimeout, UserTimeout: o.UserTimeout,
		KeepAlive: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Bytes:     o.Bytes,
	})
	return &Pool{opt: o, dialer: dialer, idle: map[string][]*conn{}, connCount: map[string]int{}}
}

// Request is a request to a target.
type Request struct {
	Address string
	Method  string
	Head    []byte   // request line and headers, including the empty line at the end
	Body    [][]byte // sent unchanged after Head
	// ResponseHeaderDeadline is the time by which the headers of the response
	// must have arrived.
	ResponseHeaderDeadline time.Time
	// Matches reports whether a response belongs to this request.
	Matches func(*http.Response) bool
	// Identity checks the start of the target; nil if any may answer.
	Identity *Identity
	// BeforeSend is called when there is a connection and before anything is sent on it.
	// If it fails, nothing is sent. nil allows every request.
	BeforeSend func() error
	// MaxConns limits the connections to the address, idle and in use; 0 means
	// no limit.
	MaxConns int
}

// ErrConnLimit reports that Request.MaxConns connections to the address are in
// use.
var ErrConnLimit = errors.New("too many connections to the target")

// Do sends a request and returns its response. Every error is a *Failure.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.acquireIdentified(ctx, req)
	if err != nil {
		return nil, &Failure{TimedOut: IsTimeout(err), Cause: err}
	}
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			p.release(c, true)
			return nil, &Failure{Cause: err}
		}
	}
	return p.roundTrip(ctx, c, req)
}

// acquire returns the most recently used idle connection to the address, or a
// new one.
func (p *Pool) acquire(ctx context.Context, req *Request) (*conn, error) {
	for {
		p.mu.Lock()
		idle := p.idle[req.Address]
		if len(idle) == 0 {
			if req.MaxConns > 0 && p.connCount[req.Address] >= req.MaxConns {
				p.mu.Unlock()
				return nil, ErrConnLimit
			}
			p.connCount[req.Address]++
			p.conns++
			p.mu.Unlock()
			return p.dial(ctx, req)
		}
		c := idle[len(idle)-1]
		p.idle[req.Address] = idle[:len(idle)-1]
		p.mu.Unlock()
		if p.withinIdleTimeout(c, time.Now()) && c.reusable() {
			return c, nil
		}
		p.release(c, false)
	}
}

// withinIdleTimeout reports whether an idle connection is neither past the
// pool's own limit nor about to reach the target's keep-alive timeout.
func (p *Pool) withinIdleTimeout(c *conn, now time.Time) bool {
	timeout := p.opt.IdleTimeout
	if c.keepAliveTimeout > 0 {
		timeout = min(timeout, c.keepAliveTimeout-idleMargin)
	}
	return now.Sub(c.idleSince) < timeout
}

// dial opens a connection that the caller has already counted in connCount.
func (p *Pool) dial(ctx context.Context, req *Request) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, req.ResponseHeaderDeadline)
	defer cancel()
	began := time.Now()
	netConn, err := p.dialer.DialContext(ctx, "tcp", req.Address)
	if p.opt.Dialed != nil {
		p.opt.Dialed(time.Since(began), err)
	}
	if err != nil {
		p.mu.Lock()
		p.countClosed(req.Address)
		p.mu.Unlock()
		return nil, fmt.Errorf("dial: %w", err)
	}
	c := &conn{Conn: answers.NewConn(netConn, answer.Limits{}), address: req.Address}
	c.reader = bufio.NewReaderSize(c.Conn, readBufferBytes)
	return c, nil
}

// Probe reports whether the address accepts a connection and, if identity is not nil, whether
// that leads to the start of the target that identity names. The connection is kept for the
// next request. The error is an *IdentityError if the connection was accepted.
func (p *Pool) Probe(ctx context.Context, address string, identity *Identity) error {
	p.mu.Lock()
	p.connCount[address]++
	p.conns++
	p.mu.Unlock()
	now := time.Now()
	req := &Request{Address: address, ResponseHeaderDeadline: now.Add(p.opt.DialTimeout), Identity: identity}
	c, err := p.dial(ctx, req)
	if err != nil {
		return err
	}
	if identity == nil {
		p.release(c, true)
		return nil
	}
	req.ResponseHeaderDeadline = time.Now().Add(identityTimeout)
	err = c.identify(ctx, req)
	p.release(c, err == nil)
	switch {
	case (err == nil || errors.Is(err, errClosesAfterCheck)) && c.start == identity.Start:
		return nil
	case err == nil:
		err = errNoStart
	}
	return &IdentityError{err}
}

// TryConnect reports whether the address accepts a connection, which is closed at once. It
// counts towards no limit.
func (p *Pool) TryConnect(ctx context.Context, address string) error {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// Conns returns the number of connections, idle and in use.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// countClosed removes a closed connection from connCount. p.mu must be held.
func (p *Pool) countClosed(address string) {
	p.conns--
	if p.connCount[address]--; p.connCount[address] <= 0 {
		delete(p.connCount, address)
		delete(p.idle, address)
	}
}

// release returns a connection to the pool after use. It closes the connection
// if keep is false or enough idle ones are kept for the address.
func (p *Pool) release(c *conn, keep bool) {
	if keep && c.SetDeadline(time.Time{}) == nil {
		c.idleSince = time.Now()
		p.mu.Lock()
		if len(p.idle[c.address]) < p.opt.MaxIdlePerAddress {
			p.idle[c.address] = append(p.idle[c.address], c)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
	_ = c.Close() // the exchange is over, so an error of Close is of no use
	p.mu.Lock()
	p.countClosed(c.address)
	p.mu.Unlock()
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if p.withinIdleTimeout(c, now) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.release(c, false)
	}
}

// CloseIdleTo closes the idle connections to an address. It is called after a
// request to the address timed out, since the idle connections may be broken
// too.
func (p *Pool) CloseIdleTo(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	p.idle[address] = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.release(c, false)
	}
}
