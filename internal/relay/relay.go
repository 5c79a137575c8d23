// Package relay forwards connections to the platform's store. It runs beside
// targets, for routers that are cut off from the store.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the relay.
const (
	// MaxConnections bounds the connections that are forwarded at once. Each
	// router needs three: two watches and the writes.
	MaxConnections = 256
	// dialTimeout allows for one lost opening packet.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout ends connections on which nothing moves. Watches answer every
	// second.
	idleTimeout = 30 * time.Second
	bufferBytes = 16 << 10
)

// Server forwards each connection to one address.
type Server struct {
	StoreAddress string // the store
	Logger       *slog.Logger
	open         atomic.Int64
}

// Serve forwards connections until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if s.open.Load() >= MaxConnections {
			s.Logger.Warn("connection refused", "from", c.RemoteAddr(), "open", s.open.Load())
			_ = c.Close()
			continue
		}
		s.open.Add(1)
		go func() {
			defer s.open.Add(-1)
			s.forward(ctx, c)
		}()
	}
}

func (s *Server) forward(ctx context.Context, in net.Conn) {
	defer in.Close()
	dialer := net.Dialer{Timeout: dialTimeout}
	out, err := dialer.DialContext(ctx, "tcp", s.StoreAddress)
	if err != nil {
		s.Logger.Warn("store not reached", "err", err)
		return
	}
	defer out.Close()
	stop := context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	defer stop()
	var both sync.WaitGroup
	pass := func(dst, src net.Conn) {
		copyBytes(dst, src)
		// One end is gone: nothing more can be answered.
		_ = dst.Close()
		_ = src.Close()
	}
	both.Go(func() { pass(out, in) })
	both.Go(func() { pass(in, out) })
	both.Wait()
}

// copyBytes forwards until either end fails or is idle for too long.
func copyBytes(dst, src net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		if src.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		n, err := src.Read(buf)
		if n > 0 {
			if dst.SetWriteDeadline(time.Now().Add(idleTimeout)) != nil {
				return
			}
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return // an end and a failure are passed on alike
		}
	}
}
