package engine

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rotisserie/eris"
)

// Timing of the listener.
const (
	readHeaderTimeout = 5 * time.Second       // of a request
	rebindInterval    = 20 * time.Millisecond // between attempts to bind the port again after a crash
)

// Server is a running engine stand-in.
type Server struct {
	config  Config
	log     *slog.Logger
	driver  *driver
	runs    *runLog
	orders  *orderController
	faults  *faultController
	handler http.Handler
	addr    string
	cancel  context.CancelFunc
	ctx     context.Context // ends when the server is closed
	tasks   sync.WaitGroup

	mu       sync.Mutex
	instance *httpInstance // nil while crashed or closed
}

// httpInstance is the HTTP server with its open connections. Each restart after a
// crash creates a new one.
type httpInstance struct {
	http  *http.Server
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Start binds Config.Listen and serves until Shutdown or Close.
func Start(config Config) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, eris.Wrap(err, "engine stand-in")
	}
	s := &Server{config: config, log: config.Logger}
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.runs = newRunLog(config.RunLimit)
	s.orders = newOrderController(config)
	s.faults = &faultController{}
	var err error
	if s.driver, err = newDriver(config.Sim, s.runs, s.crash); err != nil {
		return nil, err
	}
	s.handler = s.routes()
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "engine stand-in")
	}
	s.addr = listener.Addr().String()
	s.serve(listener)
	s.tasks.Go(func() { s.driver.loop(s.ctx) })
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Shutdown stops accepting connections, waits until the requests in progress are
// complete or ctx ends, and then closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	instance := s.instance
	s.mu.Unlock()
	var err error
	if instance != nil {
		err = instance.http.Shutdown(ctx)
	}
	s.Close()
	return err
}

// Close closes all connections and waits for the server's goroutines.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	instance := s.instance
	s.instance = nil
	s.mu.Unlock()
	if instance != nil {
		_ = instance.http.Close()
	}
	s.tasks.Wait()
}

// serve starts a new HTTP instance on the listener, or closes the listener if the
// server has been closed.
func (s *Server) serve(listener net.Listener) {
	instance := &httpInstance{conns: make(map[net.Conn]struct{})}
	instance.http = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         instance.track,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		_ = listener.Close()
		return
	}
	s.instance = instance
	s.tasks.Go(func() { _ = instance.http.Serve(listener) })
}

func (i *httpInstance) track(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew:
		i.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(i.conns, conn)
	}
}

// abort closes all connections with a reset, as a peer that still sends data sees
// it when the process of a server dies.
func (i *httpInstance) abort() {
	i.mu.Lock()
	for conn := range i.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	i.mu.Unlock()
	_ = i.http.Close()
}

// crash aborts the current HTTP instance and starts a new one after the restart
// delay.
func (s *Server) crash() {
	s.mu.Lock()
	instance := s.instance
	s.instance = nil
	s.mu.Unlock()
	if instance == nil || s.ctx.Err() != nil {
		return
	}
	s.log.Warn("engine crashed", "restart_delay", s.config.RestartDelay)
	instance.abort()
	s.tasks.Go(s.restart)
}

func (s *Server) restart() {
	wait := s.config.RestartDelay
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(wait):
		}
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			wait = rebindInterval
			continue
		}
		s.serve(listener)
		s.log.Info("engine restarted")
		return
	}
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.Logger = s.log
	e.HTTPErrorHandler = writeError
	e.Use(s.limitBody)
	e.POST("/v1/chat/completions", s.chat)
	e.POST("/v1/completions", s.completion)
	e.GET("/v1/models", s.models)
	e.GET("/health", s.health)
	e.GET("/control/load", s.load)
	e.GET("/control/cache_events", s.cacheEvents)
	e.POST("/control/kv/export", s.exportKV)
	e.POST("/control/kv/import", s.importKV)
	e.GET("/control/orders", s.orderState)
	e.POST("/control/orders", s.order)
	e.GET("/control/fault", s.faultState)
	e.POST("/control/fault", s.setFault)
	e.GET("/control/runs", s.listRuns)
	return e
}

func (s *Server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, s.config.MaxBodyBytes)
		return next(c)
	}
}
