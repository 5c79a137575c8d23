package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options configures a Pool.
type Options struct {
	DialTimeout       time.Duration // default: 400 ms; two lost opening packets on a link within a region
	MaxIdlePerAddress int           // idle connections kept per address; default 16
	IdleTimeout       time.Duration // age at which an idle connection is closed; default 4 s
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken; default 1500 ms.
	UserTimeout time.Duration
}

// idleMargin is how long before the target's own timeout an idle connection is
// given up, so that a request does not meet the target's close.
const idleMargin = 700 * time.Millisecond

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	opt    Options
	dialer net.Dialer

	mu    sync.Mutex
	idle  map[string][]*conn // by address, least recently used first
	count map[string]int     // connections by address, idle and in use
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
	p := &Pool{opt: o, idle: map[string][]*conn{}, count: map[string]int{}}
	p.dialer.Timeout = o.DialTimeout
	p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}
	p.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	}
	return p
}

// Request is a request to a target.
type Request struct {
	Address                string
	Method                 string
	Head                   []byte    // request line and headers, with the empty line
	Body                   []byte    // sent after the head as it is
	ResponseHeaderDeadline time.Time // the head of the answer must have arrived
	// Matches reports whether an answer belongs to this request.
	Matches func(*http.Response) bool
	// MaxConns bounds the connections to the address; 0 means no limit.
	MaxConns int
}

// ErrConnLimit says that all connections to the address are in use.
var ErrConnLimit = errors.New("connections to the target are at their limit")

// Do sends a request and returns its answer. Every error is a *Failure.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.get(ctx, req)
	if err != nil {
		return nil, &Failure{TimedOut: IsTimeout(err), Cause: err}
	}
	return p.roundTrip(ctx, c, req)
}

func (p *Pool) get(ctx context.Context, req *Request) (*conn, error) {
	for {
		p.mu.Lock()
		list := p.idle[req.Address]
		if len(list) == 0 {
			if req.MaxConns > 0 && p.count[req.Address] >= req.MaxConns {
				p.mu.Unlock()
				return nil, ErrConnLimit
			}
			p.count[req.Address]++
			p.mu.Unlock()
			return p.dial(ctx, req)
		}
		c := list[len(list)-1]
		p.idle[req.Address] = list[:len(list)-1]
		p.mu.Unlock()
		if p.fresh(c, time.Now()) && c.reusable() {
			return c, nil
		}
		p.release(c, false)
	}
}

func (p *Pool) fresh(c *conn, now time.Time) bool {
	limit := p.opt.IdleTimeout
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit-idleMargin)
	}
	return now.Sub(c.idleSince) < limit
}

func (p *Pool) dial(ctx context.Context, req *Request) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, req.ResponseHeaderDeadline)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", req.Address)
	if err != nil {
		p.mu.Lock()
		p.forget(req.Address)
		p.mu.Unlock()
		return nil, fmt.Errorf("dial: %w", err)
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBufferBytes), address: req.Address}, nil
}

// Probe opens a connection to an address and keeps it for the next request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	p.mu.Lock()
	p.count[address]++
	p.mu.Unlock()
	c, err := p.dial(ctx, &Request{Address: address, ResponseHeaderDeadline: time.Now().Add(p.opt.DialTimeout)})
	if err != nil {
		return err
	}
	p.release(c, true)
	return nil
}

// forget counts a closed connection. p.mu is held.
func (p *Pool) forget(address string) {
	if p.count[address]--; p.count[address] <= 0 {
		delete(p.count, address)
		delete(p.idle, address)
	}
}

// release takes a connection back after use.
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
	_ = c.Close() // the exchange is over; a failed close leaves nothing to do
	p.mu.Lock()
	p.forget(c.address)
	p.mu.Unlock()
}

// CloseExpired closes the idle connections that are past their age.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.fresh(c, now) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		p.release(c, false)
	}
}

// CloseIdleTo closes the idle connections to an address, after one of them went silent.
func (p *Pool) CloseIdleTo(address string) {
	p.mu.Lock()
	old := p.idle[address]
	p.idle[address] = nil
	p.mu.Unlock()
	for _, c := range old {
		p.release(c, false)
	}
}
