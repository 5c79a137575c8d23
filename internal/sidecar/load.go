package sidecar

import (
	"context"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	pollInterval       = 250 * time.Millisecond // between polls of the target
	loadReportInterval = 2 * time.Second        // for changed load figures
)

// targetState is the state that the target last reported.
type targetState struct {
	running  int
	waiting  int
	kvUsed   float64 // used share of the KV cache, from 0 to 1
	healthy  bool
	models   []string
	adapters []string
	role     string // of an engine: prefill, decode or mixed
}

// engineLoad is the response of GET /control/load.
type engineLoad struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	KVUsed  float64 `json:"kv_used"`
}

// engineState is the response of GET /control/orders.
type engineState struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// pollTarget polls the target's state until ctx is done.
func (s *Server) pollTarget(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) pollOnce(ctx context.Context) {
	if s.opts.Kind == Service {
		healthy := s.target.acceptsConnections(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.setTargetState(targetState{running: s.runTable.ActiveCount(), healthy: healthy})
		return
	}
	s.pollEngine(ctx)
}

// pollEngine asks the engine for its load and state. If it does not get the state,
// it assumes the configured model. The engine is healthy if it returns its load.
func (s *Server) pollEngine(ctx context.Context) {
	var load engineLoad
	err := s.target.getJSON(ctx, "/control/load", &load)
	next := targetState{running: load.Running, waiting: load.Waiting, kvUsed: load.KVUsed, healthy: err == nil}
	var state engineState
	if err == nil && s.target.getJSON(ctx, "/control/orders", &state) == nil {
		next.models = []string{state.Model}
		next.adapters = state.Adapters
		next.role = state.Role
	}
	if len(next.models) == 0 {
		next.models = []string{s.opts.Model}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setTargetState(next)
}

// setTargetState replaces the target state. It wakes the peers if the health,
// role, models or adapters have changed, because routers need these at once.
// Changed load figures wait for the next regular report. The caller holds s.mu.
func (s *Server) setTargetState(next targetState) {
	previous := s.targetState
	s.targetState = next
	unchanged := previous.healthy == next.healthy && previous.role == next.role &&
		slices.Equal(previous.models, next.models) && slices.Equal(previous.adapters, next.adapters)
	if !unchanged {
		s.wakePeers()
	}
}

// loadReport returns the load report for a peer. The caller holds s.mu.
func (s *Server) loadReport(now time.Time, p *peer) wire.LoadReport {
	report := wire.LoadReport{
		Target:   s.opts.Target,
		Active:   s.runTable.ActiveCount(),
		Running:  s.targetState.running,
		Waiting:  s.targetState.waiting,
		KVUsed:   s.targetState.kvUsed,
		Draining: s.runTable.Draining(),
		Healthy:  s.targetState.healthy,
		Models:   s.targetState.models,
		Adapters: s.targetState.adapters,
		Role:     s.targetState.role,
		Service:  s.opts.Service,
		Records:  s.recordsDue(now, p),
	}
	return report
}
