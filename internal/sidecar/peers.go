package sidecar

import (
	"context"
	"maps"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	recordsPerReport = 64
	recordsEvery     = 2 * time.Second // a record is offered again after this time without an acknowledgement
	handoverTurn     = 5 * time.Second // after this time the next router receives the records of absent ones
)

// Roles in a hello.
const (
	roleRouter  = "router"
	roleSidecar = "sidecar"
)

// peer is a connected router. Its fields are guarded by Server.mu.
type peer struct {
	conn        *rpc.Conn
	incarnation string
	router      bool          // only routers make records durable
	wake        chan struct{} // holds a token if a report is due
	adds        map[uint64]bool
	dels        map[uint64]bool
	recordsAt   time.Time // of the last records
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default: // a report is due already
	}
}

// wakePeers makes a report due at every router. The caller holds s.mu.
func (s *Server) wakePeers() {
	for _, p := range s.peers {
		p.wakeUp()
	}
}

// addPeer starts the reports to a router. The first one carries the whole
// cache state. The caller holds s.mu.
func (s *Server) addPeer(c *rpc.Conn) {
	p := &peer{
		conn:        c,
		incarnation: c.Peer().Incarnation,
		router:      c.Peer().Role == roleRouter,
		wake:        make(chan struct{}, 1),
		adds:        maps.Clone(s.load.prefixes),
		dels:        map[uint64]bool{},
	}
	s.peers[c] = p
	p.wakeUp()
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		s.reportTo(p)
	}()
}

// reportTo sends reports until the connection ends, at most one per
// pollEvery unless the target begins to drain.
func (s *Server) reportTo(p *peer) {
	timer := time.NewTimer(reportAtLeast)
	defer timer.Stop()
	for {
		select {
		case <-p.conn.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		timer.Reset(reportAtLeast)
		s.mu.Lock()
		report := s.report(time.Now(), p)
		more := len(p.adds) > 0 || len(p.dels) > 0
		s.mu.Unlock()
		report.Header = s.header()
		if p.conn.Notify(context.Background(), wire.MethodLoadReport, report) != nil {
			return
		}
		if more {
			p.wakeUp()
		}
	}
}

// recordsFor returns records that a router is to make durable: its own if
// they were not acknowledged in time, and, if it is its turn, those of routers
// that are not connected. The caller holds s.mu.
func (s *Server) recordsFor(now time.Time, p *peer) []ledger.Record {
	if !p.router || now.Sub(p.recordsAt) < recordsEvery {
		return nil
	}
	connected := map[string]bool{p.incarnation: true}
	for _, other := range s.peers {
		if other.router {
			connected[other.incarnation] = true
		}
	}
	turn := s.hasTurn(now, p, connected)
	out := s.table.Unacked(recordsPerReport, func(holder string, endedAt time.Time) bool {
		if holder == p.incarnation {
			return now.Sub(endedAt) >= recordsEvery
		}
		return turn && !connected[holder]
	})
	if len(out) > 0 {
		p.recordsAt = now
	}
	return out
}

func (s *Server) hasTurn(now time.Time, p *peer, connected map[string]bool) bool {
	order := slices.Sorted(maps.Keys(connected))
	slot := now.Unix() / int64(handoverTurn/time.Second)
	return order[slot%int64(len(order))] == p.incarnation
}
