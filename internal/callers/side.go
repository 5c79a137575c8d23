package callers

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/backlog"
)

// Limits at side listeners, whose requests have short bodies or none.
const (
	sideHeaderBytes   = 8 << 10
	sideBodyBytes     = 64 << 10
	sideHeaderTimeout = 5 * time.Second
	sideReadTimeout   = 10 * time.Second
	sideWriteTimeout  = 10 * time.Second
	sideIdleTimeout   = 90 * time.Second
	sideMemoryBytes   = 4 << 20
	// defaultSideConnections may be open at a time, unless the process has few descriptors.
	defaultSideConnections = 64
	// MaxMetricsReads bounds the reads of metrics at a time, each of which costs the text of
	// all of them.
	MaxMetricsReads = 4
)

// SideServer serves the load balancer or operators at a listener of its own.
type SideServer struct {
	*http.Server
	*Pool
}

// NewSideServer returns a server for the listener with a name. connections may be open at a
// time; 0 stands for the default.
func NewSideServer(name string, handler http.Handler, connections int, log *slog.Logger) SideServer {
	if connections <= 0 {
		connections = defaultSideConnections
	}
	pool := NewPool(Options{
		Listener: name, Logger: log, MemoryBytes: sideMemoryBytes, Connections: func() int { return connections }, BodyTimeout: sideReadTimeout,
		// Reads of metrics are over once they are written, also if nobody takes them.
		Backlogs: backlog.NewPool(sideMemoryBytes / 2),
		Requests: func() RequestLimits {
			return RequestLimits{HeaderBytes: sideHeaderBytes, HeaderTimeout: sideHeaderTimeout, IdleTimeout: sideIdleTimeout}
		},
	})
	server := &http.Server{
		Handler: Handler(refuseLongBodies(handler)), WriteTimeout: sideWriteTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	pool.Configure(server)
	return SideServer{server, pool}
}

// refuseLongBodies refuses requests whose bodies are long or of unknown length: the server
// would read a part of them after the answer, and then keep the connection for a while.
func refuseLongBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength >= 0 && r.ContentLength <= sideBodyBytes {
			next.ServeHTTP(w, r)
			return
		}
		if c := FromContext(r.Context()); c != nil {
			_ = c.answerNow(answerBodyTooLarge) // the client may have left
		}
		panic(http.ErrAbortHandler)
	})
}

// answerBodyTooLarge answers a request with a body that is not read.
var answerBodyTooLarge = []byte("HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// Serve serves on a listener until the server is closed, which is not an error.
func (s SideServer) Serve(l net.Listener) error {
	if err := s.Server.Serve(s.Listener(l)); err != http.ErrServerClosed {
		return err
	}
	return nil
}
