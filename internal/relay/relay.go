// Package relay forwards TCP connections to the platform's store. Relays run on
// the hosts of targets, for routers that cannot reach the store directly.
package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/dial"
	"tarragonridge.example/tarragonridge/internal/listen"
)

// Limits of the relay.
const (
	// maxConnections limits the connections that are forwarded at once. A router needs
	// three: one for each of two watches, and one for writes.
	maxConnections = 256
	// ownDescriptors of the process are not for connections, each of which takes two.
	ownDescriptors = 64
	minConnections = 4
	dialTimeout    = 500 * time.Millisecond
	// idleTimeout closes connections that transfer nothing. It is well above the
	// second within which the store responds to a watch.
	idleTimeout = 30 * time.Second
	bufferBytes = 16 << 10
	// maxAcceptPause bounds the wait until a connection that was closed for a new one has
	// ended.
	maxAcceptPause = 50 * time.Millisecond
	// answerTime is what a new connection has to bring an answer before it is closed for
	// another. Accepting pauses for it.
	answerTime = 200 * time.Millisecond
	// warnInterval is the least time between two lines about connections that were closed
	// for others.
	warnInterval = 10 * time.Second
)

var storeDialer = dial.New(dial.Options{Timeout: dialTimeout})

// Server forwards connections to the store.
type Server struct {
	StoreAddress string // host and port
	Logger       *slog.Logger
	OpenFiles    int // that the process may have; 0 if unknown

	mu     sync.Mutex
	conns  map[*forwarded]struct{}
	closed int       // for others since the last line about them
	warned time.Time // when it was written
}

// forwarded is a connection of a client and its connection to the store.
type forwarded struct {
	client   net.Conn
	activeAt atomic.Int64 // when bytes last came, in nanoseconds since start
	answered atomic.Bool  // the store has sent something on it
	start    time.Time
	ended    chan struct{} // closed when both sides are closed
	closed   bool          // for others; guarded by the server's lock
}

func (f *forwarded) noteActive() { f.activeAt.Store(int64(time.Since(f.start))) }

// holding returns what the connection holds. One that has brought no answer counts from its
// start, however often it sends something.
func (f *forwarded) holding() intake.Holding {
	h := intake.Holding{State: intake.Quiet, Since: f.start, Served: f.answered.Load()}
	if h.Served {
		h.Since = f.start.Add(time.Duration(f.activeAt.Load()))
	}
	if f.closed {
		h.State = intake.Ending
	}
	return h
}

// limit returns how many connections are forwarded at once.
func (s *Server) limit() int {
	if s.OpenFiles <= 0 {
		return maxConnections
	}
	return min(max((s.OpenFiles-ownDescriptors)/2, minConnections), maxConnections)
}

// Serve accepts and forwards connections until ctx ends or ln is closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case listen.Again(ctx, err):
			continue
		default:
			return err
		}
		f := s.add(c)
		go func() {
			defer s.remove(f)
			s.forward(ctx, f)
		}()
	}
}

// add lists a new connection. If there are too many, the one that has transferred nothing
// for longest is closed.
func (s *Server) add(c net.Conn) *forwarded {
	f := &forwarded{client: c, start: time.Now(), ended: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*forwarded]struct{}{}
	}
	if len(s.conns) >= s.limit() {
		if other := s.closeLongest(time.Now()); other != nil {
			s.mu.Unlock()
			select {
			case <-other.ended:
			case <-time.After(maxAcceptPause):
			}
			s.mu.Lock()
		}
	}
	s.conns[f] = struct{}{}
	return f
}

// closeLongest closes a connection for a new one, and returns it. s.mu is held, but not while
// a connection has time left to bring an answer.
func (s *Server) closeLongest(now time.Time) *forwarded {
	conns := slices.Collect(maps.Keys(s.conns))
	holdings := make([]intake.Holding, len(conns))
	for i, f := range conns {
		holdings[i] = f.holding()
	}
	i, ok := intake.ForConnection(now, holdings)
	if !ok {
		return nil
	}
	if left := answerTime - now.Sub(conns[i].start); left > 0 {
		s.mu.Unlock()
		time.Sleep(left)
		s.mu.Lock()
	}
	conns[i].closed = true
	_ = conns[i].client.Close() // its goroutine closes the other side
	if s.closed++; now.Sub(s.warned) >= warnInterval {
		s.Logger.Warn("too many connections; closed those that transferred nothing for longest", "limit", s.limit(), "closed", s.closed,
			"last_from", conns[i].client.RemoteAddr(), "held_ms", now.Sub(holdings[i].Since).Milliseconds(), "answered", holdings[i].Served)
		s.closed, s.warned = 0, now
	}
	return conns[i]
}

func (s *Server) remove(f *forwarded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, f)
	close(f.ended)
}

// forward connects to the store and forwards a client until either side closes.
func (s *Server) forward(ctx context.Context, f *forwarded) {
	client := f.client
	defer client.Close()
	store, err := storeDialer.DialContext(ctx, "tcp", s.StoreAddress)
	if err != nil {
		s.Logger.Warn("cannot connect to the store", "err", err)
		return
	}
	defer store.Close()
	stop := context.AfterFunc(ctx, func() { _ = client.Close(); _ = store.Close() })
	defer stop()
	var directions sync.WaitGroup
	forwardOneWay := func(dst, src net.Conn, transferred func()) {
		if copyBytes(dst, src, transferred) != nil {
			resetOnClose(dst)
			resetOnClose(src)
		}
		// Without one direction the other is of no use, so both connections close.
		_ = dst.Close()
		_ = src.Close()
	}
	directions.Go(func() { forwardOneWay(store, client, f.noteActive) })
	directions.Go(func() { forwardOneWay(client, store, func() { f.noteActive(); f.answered.Store(true) }) })
	directions.Wait()
}

// resetOnClose makes the close of a connection a reset, as that of the other side was: an
// answer without a length would look whole otherwise.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is gone
	}
}

// copyBytes copies from src to dst until src ends. It returns an error if either fails before,
// or src is idle for idleTimeout. It calls transferred after each write.
func copyBytes(dst, src net.Conn, transferred func()) error {
	buf := make([]byte, bufferBytes)
	for {
		if err := src.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		n, err := src.Read(buf)
		if n > 0 {
			if err := dst.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
				return err
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return err
			}
			transferred()
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
