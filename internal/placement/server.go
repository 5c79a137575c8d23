package placement

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/placement"
)

// Server keeps the queue of the engine on its host and answers gateways.
type Server struct {
	Queue  *placement.Queue
	Logger *slog.Logger

	mu      sync.Mutex // guards Queue
	invalid int        // messages dropped since the last line about them
	warned  time.Time
}

// invalidWarningInterval is the least time between two lines about dropped messages.
const invalidWarningInterval = 10 * time.Second

// Serve answers messages until ctx ends or the connection fails.
func (s *Server) Serve(ctx context.Context, c *net.UDPConn) error {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	buf := make([]byte, maxMessageBytes+1)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			return err
		}
		answer, ok := s.handle(time.Now(), buf[:n], from)
		if !ok {
			continue
		}
		// A gateway that gets no answer does without one.
		if _, err := c.WriteToUDPAddrPort(answer, from); err != nil {
			s.Logger.Debug("failed to answer a gateway", "to", from, "err", err)
		}
	}
}

// handle applies a message and returns the answer, if it asks for one.
func (s *Server) handle(now time.Time, data []byte, from netip.AddrPort) (answer []byte, ok bool) {
	m, err := decode(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.countInvalid(now, from, err)
		return nil, false
	}
	switch m.Kind {
	case kindQuery:
		load := message{Kind: kindLoad, ID: m.ID}
		load.setLoad(s.Queue.Load(now, m.prompt()))
		answer, err = encode(load)
		return answer, err == nil
	case kindBegin:
		s.Queue.SetMemory(m.Memory)
		s.Queue.Begin(now, m.ID, m.prompt())
	case kindFirstEvent:
		s.Queue.FirstEvent(now, m.ID)
	case kindEnd:
		s.Queue.End(m.ID)
	case kindLoad: // gateways do not send it
	}
	return nil, false
}

// countInvalid counts a dropped message and logs it now and then. s.mu is held.
func (s *Server) countInvalid(now time.Time, from netip.AddrPort, err error) {
	if s.invalid++; now.Sub(s.warned) < invalidWarningInterval {
		return
	}
	s.Logger.Warn("dropped invalid messages about placement", "count", s.invalid, "last_from", from, "err", err)
	s.invalid, s.warned = 0, now
}
