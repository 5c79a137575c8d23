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

// Limits of the listener.
const (
	headerTimeout = 5 * time.Second
	rebindEvery   = 20 * time.Millisecond // distance of attempts to bind the port again after a crash
)

// Server is a running stand-in.
type Server struct {
	config  Config
	log     *slog.Logger
	driver  *driver
	runs    *runBook
	orders  *orderDesk
	faults  *faultDesk
	handler http.Handler
	addr    string
	stop    context.CancelFunc
	stopped context.Context
	tasks   sync.WaitGroup

	mu   sync.Mutex
	life *life // nil while the engine is down
}

// life is the time between two crashes: one listener and its connections.
type life struct {
	http  *http.Server
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Start binds the address and serves until Shutdown or Close.
func Start(config Config) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, eris.Wrap(err, "engine stand-in")
	}
	s := &Server{config: config, log: config.Logger}
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	s.stopped, s.stop = context.WithCancel(context.Background())
	s.runs = newRunBook(config.RunLimit)
	s.orders = newOrderDesk(config)
	s.faults = &faultDesk{}
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
	s.tasks.Go(func() { s.driver.loop(s.stopped) })
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Shutdown stops accepting, waits for requests in progress until ctx ends, and
// then closes.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	current := s.life
	s.mu.Unlock()
	var err error
	if current != nil {
		err = current.http.Shutdown(ctx)
	}
	s.Close()
	return err
}

// Close ends all connections and waits for the stand-in's goroutines.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	current := s.life
	s.life = nil
	s.mu.Unlock()
	if current != nil {
		_ = current.http.Close()
	}
	s.tasks.Wait()
}

// serve begins a life, or closes the listener if the stand-in has stopped.
func (s *Server) serve(listener net.Listener) {
	current := &life{conns: make(map[net.Conn]struct{})}
	current.http = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		ConnState:         current.track,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped.Err() != nil {
		_ = listener.Close()
		return
	}
	s.life = current
	s.tasks.Go(func() { _ = current.http.Serve(listener) })
}

func (l *life) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, conn)
	}
}

// abort resets all connections, as the end of a process does to a peer that
// still has data to send.
func (l *life) abort() {
	l.mu.Lock()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	l.mu.Unlock()
	_ = l.http.Close()
}

// crash ends the current life and begins the next after the restart delay.
func (s *Server) crash() {
	s.mu.Lock()
	current := s.life
	s.life = nil
	s.mu.Unlock()
	if current == nil || s.stopped.Err() != nil {
		return
	}
	s.log.Warn("engine crashed", "restart_delay", s.config.RestartDelay)
	current.abort()
	s.tasks.Go(s.restart)
}

func (s *Server) restart() {
	wait := s.config.RestartDelay
	for {
		select {
		case <-s.stopped.Done():
			return
		case <-time.After(wait):
		}
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			wait = rebindEvery
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
	e.HTTPErrorHandler = answerError
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
