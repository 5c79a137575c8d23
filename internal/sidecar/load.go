package sidecar

import (
	"context"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	pollEvery   = 250 * time.Millisecond
	reportEvery = 2 * time.Second // of a load that has changed
)

// loadState is what the target last told about itself.
type loadState struct {
	running  int
	waiting  int
	kvUsed   float64
	healthy  bool
	models   []string
	adapters []string
	role     string
}

// engineLoad is the answer of GET /control/load.
type engineLoad struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	KVUsed  float64 `json:"kv_used"`
}

// engineState is the answer of GET /control/orders.
type engineState struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// reportLoad polls the target and wakes the peers if something has changed.
func (s *Server) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		s.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) poll(ctx context.Context) {
	if s.opts.Kind == Service {
		healthy := s.target.accepts(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.note(loadState{running: s.table.ActiveCount(), healthy: healthy})
		return
	}
	s.pollEngine(ctx)
}

func (s *Server) pollEngine(ctx context.Context) {
	var load engineLoad
	err := s.target.get(ctx, "/control/load", &load)
	next := loadState{running: load.Running, waiting: load.Waiting, kvUsed: load.KVUsed, healthy: err == nil}
	var state engineState
	if err == nil && s.target.get(ctx, "/control/orders", &state) == nil {
		next.models = []string{state.Model}
		next.adapters = state.Adapters
		next.role = state.Role
	}
	if len(next.models) == 0 {
		next.models = []string{s.opts.Model}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(next)
}

// note replaces the load and wakes the peers if something has changed that a
// router has to know at once. Changes of the load itself wait for the next
// regular report. The caller holds s.mu.
func (s *Server) note(next loadState) {
	old := s.load
	s.load = next
	same := old.healthy == next.healthy && old.role == next.role &&
		slices.Equal(old.models, next.models) && slices.Equal(old.adapters, next.adapters)
	if !same {
		s.wakePeers()
	}
}

// report returns the load report for a peer. The caller holds s.mu.
func (s *Server) report(now time.Time, p *peer) wire.LoadReport {
	out := wire.LoadReport{
		Target:   s.opts.Target,
		Active:   s.table.ActiveCount(),
		Running:  s.load.running,
		Waiting:  s.load.waiting,
		KVUsed:   s.load.kvUsed,
		Draining: s.table.Draining(),
		Healthy:  s.load.healthy,
		Models:   s.load.models,
		Adapters: s.load.adapters,
		Role:     s.load.role,
		Service:  s.opts.Service,
		Records:  s.recordsFor(now, p),
	}
	return out
}
