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
	recordsAt   time.Time     // of the last records
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

// addPeer starts the reports to a router. The caller holds s.mu.
func (s *Server) addPeer(c *rpc.Conn) {
	p := &peer{
		conn:        c,
		incarnation: c.Peer().Incarnation,
		router:      c.Peer().Role == roleRouter,
		wake:        make(chan struct{}, 1),
	}
	s.peers[c] = p
	p.wakeUp()
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		s.reportTo(p)
	}()
}

// reportTo sends reports until the connection ends: at once if woken, else
// every reportEvery if there is something new. Routers learn the number of
// active runs from the answers to their own runs as well, so an idle router
// needs no more than that.
func (s *Server) reportTo(p *peer) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var sent wire.LoadReport
	for {
		woken := false
		select {
		case <-p.conn.Done():
			return
		case <-p.wake:
			woken = true
		case <-ticker.C:
		}
		s.mu.Lock()
		report := s.report(time.Now(), p)
		s.mu.Unlock()
		if !woken && len(report.Records) == 0 && sameLoad(sent, report) {
			continue
		}
		sent = report
		report.Header = s.header()
		if p.conn.Notify(context.Background(), wire.MethodLoadReport, report) != nil {
			return
		}
	}
}

func sameLoad(a, b wire.LoadReport) bool {
	return a.Active == b.Active && a.Running == b.Running && a.Waiting == b.Waiting && a.KVUsed == b.KVUsed
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
	out := s.table.UnackedRecords(recordsPerReport, func(holder string, endedAt time.Time) bool {
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
