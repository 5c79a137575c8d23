package router

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

// writeTimeout bounds each write to a caller. A caller that accepts no data for
// this long is disconnected.
const writeTimeout = 30 * time.Second

// limitConnections limits the number of open caller connections.
func (r *Router) limitConnections(ln net.Listener) net.Listener {
	if n := r.opts.Settings.Limits.Connections; n > 0 {
		return netutil.LimitListener(ln, int(n))
	}
	return ln
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
