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
	maxRecordsPerReport = 64
	recordRetryInterval = 2 * time.Second // delay before an unacknowledged record is sent again
	handoverTurnLength  = 5 * time.Second // how long one router receives the records of disconnected routers
)

// Roles in wire.Hello.
const (
	roleRouter  = "router"
	roleSidecar = "sidecar"
)

// peer is a process that is connected to the sidecar. Its fields are guarded by
// Server.mu.
type peer struct {
	conn          *rpc.Conn
	incarnation   string
	isRouter      bool          // only routers receive records, because only they make them durable
	wake          chan struct{} // holds a value if a report is due
	recordsSentAt time.Time     // when records were last sent to the peer
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default: // a report is already due
	}
}

// wakePeers makes a report due for every peer. The caller holds s.mu.
func (s *Server) wakePeers() {
	for _, p := range s.peers {
		p.wakeUp()
	}
}

// addPeer registers a connection and starts sending it reports. The caller
// holds s.mu.
func (s *Server) addPeer(c *rpc.Conn) {
	p := &peer{
		conn:        c,
		incarnation: c.Peer().Incarnation,
		isRouter:    c.Peer().Role == roleRouter,
		wake:        make(chan struct{}, 1),
	}
	s.peers[c] = p
	p.wakeUp()
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		s.sendReports(p)
	}()
}

// sendReports sends load reports until the connection ends: at once when the
// peer is woken, otherwise every loadReportInterval if the load has changed or
// records are due. Routers also learn the number of active runs from the
// results of their own runs, so more frequent reports are not needed.
func (s *Server) sendReports(p *peer) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	var lastSent wire.LoadReport
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
		report := s.loadReport(time.Now(), p)
		s.mu.Unlock()
		if !woken && len(report.Records) == 0 && sameLoad(lastSent, report) {
			continue
		}
		lastSent = report
		report.Header = s.header()
		if p.conn.Notify(context.Background(), wire.MethodLoadReport, report) != nil {
			return
		}
	}
}

func sameLoad(a, b wire.LoadReport) bool {
	return a.Active == b.Active && a.Running == b.Running && a.Waiting == b.Waiting && a.KVUsed == b.KVUsed
}

// recordsDue returns the records that a router is asked to make durable: its
// own if they were not acknowledged in time and, during the router's turn,
// those of routers that are not connected. It returns none within
// recordRetryInterval of the last records sent to the peer. The caller holds s.mu.
func (s *Server) recordsDue(now time.Time, p *peer) []ledger.Record {
	if !p.isRouter || now.Sub(p.recordsSentAt) < recordRetryInterval {
		return nil
	}
	connected := map[string]bool{p.incarnation: true}
	for _, other := range s.peers {
		if other.isRouter {
			connected[other.incarnation] = true
		}
	}
	hasTurn := s.hasHandoverTurn(now, p, connected)
	records := s.runTable.UnackedRecords(maxRecordsPerReport, func(holder string, endedAt time.Time) bool {
		if holder == p.incarnation {
			return now.Sub(endedAt) >= recordRetryInterval
		}
		return hasTurn && !connected[holder]
	})
	if len(records) > 0 {
		p.recordsSentAt = now
	}
	return records
}

// hasHandoverTurn reports whether it is the router's turn to receive the
// records of disconnected routers. The connected routers take turns in the
// order of their incarnations.
func (s *Server) hasHandoverTurn(now time.Time, p *peer, connected map[string]bool) bool {
	routers := slices.Sorted(maps.Keys(connected))
	turn := now.Unix() / int64(handoverTurnLength/time.Second)
	return routers[turn%int64(len(routers))] == p.incarnation
}
