package sidecar

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// drainPollInterval is how often a draining sidecar checks whether it may
// stop.
const drainPollInterval = 20 * time.Millisecond

// minDrainNotifyTime is the minimum time that a draining sidecar keeps its
// connections open, so that the routers receive the drain report.
const minDrainNotifyTime = 200 * time.Millisecond

// drain refuses new runs and notifies the routers. It waits without a limit
// for the runs in progress, and then up to Options.HandoverTimeout for their
// records to become durable.
func (s *Server) drain() {
	s.mu.Lock()
	s.stopping = true
	s.runTable.SetDraining(true)
	s.wakePeers()
	active := s.runTable.ActiveCount()
	s.mu.Unlock()
	s.log.Info("draining", "active", active)
	for deadline := time.Now().Add(minDrainNotifyTime); s.hasPeers() && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	for !s.idle() {
		time.Sleep(drainPollInterval)
	}
	deadline := time.Now().Add(s.opts.HandoverTimeout)
	for s.unackedRecords() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	if s.unackedRecords() == 0 {
		if err := s.closeRegistration(context.Background()); err != nil {
			s.log.Warn("could not mark the registration as closed", "err", err)
		}
	}
	s.log.Info("stopped", "unacked", s.unackedRecords())
}

func (s *Server) hasPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) > 0
}

func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runTable.ActiveCount() == 0 && len(s.readers) == 0
}

func (s *Server) unackedRecords() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runTable.UnackedRecords(0, nil))
}

// checkHealth returns an error with the reason if the sidecar does not accept
// work.
func (s *Server) checkHealth() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.ready:
		return errkind.New(errkind.PlatformUnavailable, "not registered")
	case s.runTable.Draining():
		return errkind.New(errkind.Stopping, "draining")
	}
	return nil
}
