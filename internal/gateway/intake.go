package gateway

import (
	"cmp"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/callers"
)

// Limits on what a caller sends, where the configuration names none.
const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 90 * time.Second
)

// callerOptions returns the options of the pool of callers' connections.
func (g *Gateway) callerOptions() callers.Options {
	o := callers.Options{
		Listener: "callers", MemoryBytes: cmp.Or(g.opt.CallerBytes, DefaultCallerBytes), Requests: g.requestLimits, Backlogs: g.backlogs,
		BodyTimeout: bodyTimeout, Logger: g.opt.Logger, Slow: g.opt.Metrics.slowCallers, HeldUp: g.opt.Metrics.heldUp,
	}
	if d := g.opt.Descriptors; d.Limit > 0 {
		o.Connections = func() int { return d.Callers(g.pool.Conns()) }
		o.Whole = d.Whole
	}
	return o
}

// requestLimits returns the limits on what a caller sends that are in force.
func (g *Gateway) requestLimits() callers.RequestLimits {
	limits := callers.RequestLimits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if config := g.config.Load(); config != nil {
		limits.HeaderBytes = cmp.Or(config.Limits.MaxHeaderBytes, limits.HeaderBytes)
		limits.HeaderTimeout = cmp.Or(config.Limits.HeaderTimeout, limits.HeaderTimeout)
		limits.IdleTimeout = cmp.Or(config.Limits.IdleTimeout, limits.IdleTimeout)
	}
	return limits
}

// beginRequest notes on its connection that a request is in progress. It fails if there is
// no memory for it, and with callers.ErrGone if the connection has ended.
func (req *request) beginRequest(r *http.Request) error {
	conn := callers.FromContext(r.Context())
	if conn == nil {
		return nil
	}
	req.delivery.conn, req.conn = conn, conn.Counted()
	return conn.Begin(r)
}

// take counts bytes of the body that are about to be held.
func (req *request) take(bytes int64) error {
	if req.delivery.conn == nil {
		return nil
	}
	return req.delivery.conn.Take(bytes)
}

// tryTake counts bytes that are about to be held for the request, if there is room for them
// at once.
func (req *request) tryTake(bytes int64) bool {
	return req.delivery.conn == nil || req.delivery.conn.TryTake(bytes)
}

// received notes that the request has come in whole. It fails with callers.ErrGone if its
// connection has ended, and if there are too many requests in progress.
func (req *request) received() error {
	if req.delivery.conn == nil {
		return nil
	}
	return req.delivery.conn.Received()
}
