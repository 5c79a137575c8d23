package sidecar

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	pollEvery     = 250 * time.Millisecond
	reportAtLeast = 1 * time.Second
	maxPrefixes   = 100_000 // hashes known at once; the engine's cache is of this order
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
	prefixes map[uint64]bool
	after    int64 // sequence number of the last cache event
}

func newLoadState() loadState {
	return loadState{prefixes: map[uint64]bool{}}
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

// cacheEvents is the answer of GET /control/cache_events.
type cacheEvents struct {
	Events []cacheEvent `json:"events"`
}

type cacheEvent struct {
	Seq  int64  `json:"seq"`
	Kind string `json:"kind"` // stored, removed, cleared
	Hash uint64 `json:"hash"`
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
	var events cacheEvents
	if err == nil {
		// Cache events are a hint for the choice of a target; lost ones leave
		// entries that only cost a cache miss.
		_ = s.target.get(ctx, s.eventsPath(), &events)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(next)
	s.noteCache(events.Events)
}

func (s *Server) eventsPath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("/control/cache_events?after=%d", s.load.after)
}

// note replaces the load and wakes the peers if it differs. The caller holds
// s.mu.
func (s *Server) note(next loadState) {
	old := s.load
	next.prefixes = old.prefixes
	next.after = old.after
	s.load = next
	same := old.running == next.running && old.waiting == next.waiting && old.kvUsed == next.kvUsed &&
		old.healthy == next.healthy && old.role == next.role &&
		slices.Equal(old.models, next.models) && slices.Equal(old.adapters, next.adapters)
	if !same {
		s.wakePeers()
	}
	if old.healthy && !next.healthy {
		s.clearCache()
	}
}

// noteCache applies cache events. The caller holds s.mu.
func (s *Server) noteCache(events []cacheEvent) {
	for _, ev := range events {
		s.load.after = max(s.load.after, ev.Seq)
		switch ev.Kind {
		case "stored":
			s.addPrefix(ev.Hash)
		case "removed":
			s.removePrefix(ev.Hash)
		case "cleared":
			s.clearCache()
		}
	}
}

func (s *Server) addPrefix(hash uint64) {
	if len(s.load.prefixes) >= maxPrefixes || s.load.prefixes[hash] {
		return
	}
	s.load.prefixes[hash] = true
	for _, p := range s.peers {
		p.adds[hash] = true
		delete(p.dels, hash)
		p.wakeUp()
	}
}

func (s *Server) removePrefix(hash uint64) {
	if !s.load.prefixes[hash] {
		return
	}
	delete(s.load.prefixes, hash)
	for _, p := range s.peers {
		p.dels[hash] = true
		delete(p.adds, hash)
		p.wakeUp()
	}
}

func (s *Server) clearCache() {
	for hash := range s.load.prefixes {
		s.removePrefix(hash)
	}
}

// report returns the load report for a peer. The caller holds s.mu.
func (s *Server) report(now time.Time, p *peer) wire.LoadReport {
	out := wire.LoadReport{
		Target:     s.opts.Target,
		Running:    s.load.running,
		Waiting:    s.load.waiting,
		KVUsed:     s.load.kvUsed,
		Draining:   s.table.Draining(),
		Healthy:    s.load.healthy,
		Models:     s.load.models,
		Adapters:   s.load.adapters,
		Role:       s.load.role,
		Service:    s.opts.Service,
		PrefixAdds: takeHashes(p.adds),
		PrefixDels: takeHashes(p.dels),
		Records:    s.recordsFor(now, p),
	}
	return out
}

// maxHashesPerReport keeps a report below 64 KiB.
const maxHashesPerReport = 2000

// takeHashes removes and returns a bounded number of hashes.
func takeHashes(set map[uint64]bool) []uint64 {
	var out []uint64
	for hash := range set {
		if len(out) == maxHashesPerReport {
			break
		}
		out = append(out, hash)
		delete(set, hash)
	}
	return out
}
