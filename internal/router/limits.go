package router

import (
	"context"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/callers"
)

// writeTimeout bounds each write to a caller. A caller that accepts no data for
// this long is disconnected.
const writeTimeout = 30 * time.Second

const (
	// parseCopies is what a body costs while it is parsed, besides itself and as a multiple
	// of its bytes.
	parseCopies = 3
	// sentCopies is what it costs until the end of the request: its parts, and the message
	// to the target.
	sentCopies = 3
)

// callerOptions returns the options of the pool of callers' connections.
func (r *Router) callerOptions() callers.Options {
	limits := r.opts.Settings.Limits
	o := callers.Options{
		Listener: "callers", Logger: r.opts.Logger, Requests: r.requestLimits,
		BodyTimeout: time.Duration(limits.ReadTimeoutMS) * time.Millisecond,
		// One body of the largest size must fit.
		MemoryBytes: max(limits.CallerMemoryMB<<20, minBodies*limits.BodyBytes),
	}
	o.Connections = r.callerConnections
	o.Whole = func() int { return o.Connections() - o.Connections()/arrivingDivisor }
	return o
}

// callerConnections returns how many connections callers may have, 0 for no limit.
func (r *Router) callerConnections() int {
	configured, descriptors := int(r.opts.Settings.Limits.Connections), r.opts.Descriptors.Callers(0)
	if configured > 0 && (descriptors == 0 || configured < descriptors) {
		return configured
	}
	return descriptors
}

// arrivingDivisor gives the part of the connections that is kept for requests which have not
// come in whole: those that are closed for new ones. Without it, requests in progress would
// leave new ones no time to come in.
const arrivingDivisor = 8

// minBodies is the memory for callers at least, in bodies of the largest size.
const minBodies = 2 * (1 + parseCopies + sentCopies)

// requestLimits returns the limits on what a caller sends.
func (r *Router) requestLimits() callers.RequestLimits {
	limits := r.opts.Settings.Limits
	return callers.RequestLimits{
		HeaderBytes:   limits.HeaderBytes,
		HeaderTimeout: time.Duration(limits.ReadHeaderTimeoutMS) * time.Millisecond,
		IdleTimeout:   time.Duration(limits.IdleTimeoutMS) * time.Millisecond,
	}
}

// countBytes counts bytes that a caller makes the router hold, or no longer holds if they
// are negative.
func countBytes(ctx context.Context, bytes int64) error {
	conn := callers.FromContext(ctx)
	if conn == nil {
		return nil
	}
	if bytes < 0 {
		conn.Give(-bytes)
		return nil
	}
	return conn.Take(bytes)
}

// withConnectionClose closes keep-alive connections after their next answer
// once the router is about to stop, so that callers do not send a request on a
// connection that is being closed.
func (r *Router) withConnectionClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.isUnready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// withWriteDeadline sets a deadline before each write to the caller.
func withWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w)}, req)
	})
}

type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write implements http.ResponseWriter.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	_ = d.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return d.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }
