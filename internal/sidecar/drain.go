package sidecar

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// drainPoll is the period in which a stopping sidecar looks for its end.
const drainPoll = 20 * time.Millisecond

// farewell is the time for which a stopping sidecar keeps its connections at
// least, so that reports of the drain are sent.
const farewell = 200 * time.Millisecond

// drain refuses new runs, tells the routers, waits for the runs in progress
// without a limit and then for their records to become durable, at most
// Options.HandoverLimit.
func (s *Server) drain() {
	s.mu.Lock()
	s.stopping = true
	s.table.SetDraining(true)
	s.wakePeers()
	active := s.table.ActiveCount()
	s.mu.Unlock()
	s.log.Info("draining", "active", active)
	for until := time.Now().Add(farewell); s.connected() && time.Now().Before(until); {
		time.Sleep(drainPoll)
	}
	for !s.idle() {
		time.Sleep(drainPoll)
	}
	limit := time.Now().Add(s.opts.HandoverTimeout)
	for s.unacked() > 0 && time.Now().Before(limit) {
		time.Sleep(drainPoll)
	}
	if s.unacked() == 0 {
		if err := s.closeRow(context.Background()); err != nil {
			s.log.Warn("registration not closed", "err", err)
		}
	}
	s.log.Info("stopped", "unacked", s.unacked())
}

func (s *Server) connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) > 0
}

func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ActiveCount() == 0 && len(s.readers) == 0
}

func (s *Server) unacked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.table.UnackedRecords(0, nil))
}

// healthy reports why the sidecar does not accept work, or nil.
func (s *Server) healthy() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.ready:
		return errkind.New(errkind.PlatformUnavailable, "not registered")
	case s.table.Draining():
		return errkind.New(errkind.Stopping, "draining")
	}
	return nil
}
