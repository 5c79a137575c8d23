package router

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// peerLinkTTL is how long a link is kept after the last scan that found the
// peer's registration, so that a short gap in the table's answers does not
// close working links.
const peerLinkTTL = 30 * time.Second

// peerSet holds the links and connections to the other routers.
type peerSet struct {
	r         *Router
	ctx       context.Context
	mu        sync.Mutex
	links     map[string]*peerLink // by address
	openConns map[*rpc.Conn]bool   // dialed and accepted
}

// peerLink is a link that this router opened to a peer.
type peerLink struct {
	*rpc.Link
	stop         context.CancelFunc
	lastSeen     time.Time // last scan that found the peer's registration
	fromSettings bool      // listed in the settings; never closed
}

func newPeerSet(ctx context.Context, r *Router) *peerSet {
	return &peerSet{r: r, ctx: ctx, links: map[string]*peerLink{}, openConns: map[*rpc.Conn]bool{}}
}

// connect opens a link to addr unless there is one already.
func (p *peerSet) connect(addr string, fromSettings bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[addr]; l != nil {
		l.lastSeen = time.Now()
		return
	}
	ctx, stop := context.WithCancel(p.ctx)
	l := &peerLink{
		Link:         rpc.NewLink(addr, p.r.rpcOptions(), peerHandler{p.r}),
		stop:         stop,
		lastSeen:     time.Now(),
		fromSettings: fromSettings,
	}
	p.links[addr] = l
	go l.Run(ctx)
}

// updateLinks opens links to the live routers, whose addresses are the keys of
// live, and closes links whose router was not live for peerLinkTTL.
func (p *peerSet) updateLinks(live map[string]string) {
	for addr := range live {
		p.connect(addr, false)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		if !l.fromSettings && time.Since(l.lastSeen) > peerLinkTTL {
			l.stop()
			delete(p.links, addr)
		}
	}
}

// linkCount returns the number of links, connected or not.
func (p *peerSet) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// dialedConns returns the open connections of the links.
func (p *peerSet) dialedConns() []*rpc.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*rpc.Conn
	for _, l := range p.links {
		if c := l.Conn(); c != nil {
			out = append(out, c)
		}
	}
	return out
}

// allConns returns the open connections to peers, both dialed and accepted.
func (p *peerSet) allConns() []*rpc.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.openConns))
}

// relayPeers returns the connections over which table calls can be relayed.
func (p *peerSet) relayPeers() []platform.Peer {
	var out []platform.Peer
	for _, c := range p.dialedConns() {
		out = append(out, c)
	}
	return out
}

// notifyPeers sends a notification to all connected peers without waiting for
// it to be sent.
func (r *Router) notifyPeers(method string, params any) {
	for _, c := range r.peers.dialedConns() {
		go func() { _ = c.Notify(context.Background(), method, params) }()
	}
}

// ReleaseAll asks the named holders to return their idle share of a team's
// budget. It implements escrow.Peers.
func (p *peerSet) ReleaseAll(ctx context.Context, team string, holders []string) {
	wanted := map[string]bool{}
	for _, h := range holders {
		wanted[h] = true
	}
	var wg sync.WaitGroup
	for _, c := range p.dialedConns() {
		if !wanted[c.Peer().Incarnation] {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var reply wire.Reply
			_ = c.Call(ctx, wire.MethodBudgetRelease, wire.ReleaseBudget{Header: p.r.header(), Team: team}, &reply)
		}()
	}
	wg.Wait()
}

// peerHandler handles connections to other routers, both dialed and accepted.
type peerHandler struct{ r *Router }

// Opened implements rpc.Handler.
func (h peerHandler) Opened(c *rpc.Conn) {
	h.r.peers.mu.Lock()
	h.r.peers.openConns[c] = true
	h.r.peers.mu.Unlock()
	hello := c.Peer()
	h.r.observeHeader(hello.Header)
	h.r.recordConfigVersion(hello, hello.ConfigVersion)
	if hello.ConfigVersion < h.r.config.Version() {
		go h.r.pushConfig(c)
	}
}

// Closed implements rpc.Handler.
func (h peerHandler) Closed(c *rpc.Conn, _ error) {
	h.r.peers.mu.Lock()
	defer h.r.peers.mu.Unlock()
	delete(h.r.peers.openConns, c)
}

// Notify implements rpc.Handler.
func (h peerHandler) Notify(c *rpc.Conn, method string, params json.RawMessage) {
	h.r.handleNotification(c, method, params)
}

// Call implements rpc.Handler.
func (h peerHandler) Call(ctx context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodTableGet, wire.MethodTableScan, wire.MethodTableCommit:
		return h.r.relayServer.Handle(ctx, method, params)
	case wire.MethodBudgetRelease:
		return h.handleRelease(ctx, params)
	case wire.MethodConfigPush:
		return h.handleConfigPush(params)
	case wire.MethodConfigTeams:
		return h.handleConfigQuery(params)
	case wire.MethodTimelineQuery:
		return h.handleTimelineQuery(params)
	}
	return nil, errkind.New(errkind.MethodNotAllowed, "method %s", method)
}

func (h peerHandler) handleRelease(ctx context.Context, params json.RawMessage) (any, error) {
	var msg wire.ReleaseBudget
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "release")
	}
	h.r.observeHeader(msg.Header)
	h.r.escrow.Release(ctx, msg.Team)
	return wire.Reply{Header: h.r.header()}, nil
}

func (h peerHandler) handleConfigPush(params json.RawMessage) (any, error) {
	var msg wire.ConfigPush
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration")
	}
	h.r.config.Adopt(msg.Document)
	return wire.Reply{Header: h.r.header()}, nil
}

func (h peerHandler) handleTimelineQuery(params json.RawMessage) (any, error) {
	var q wire.TimelineQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "timeline query")
	}
	return h.r.localTimeline(q), nil
}

// storeQuarantine stores that a request is quarantined, for routers that start
// later.
func (r *Router) storeQuarantine(k quarantine.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	key := quarantinePrefix + k.Team + "/" + k.ContentHash
	value, err := json.Marshal(quarantineRow{Team: k.Team, ContentHash: k.ContentHash, SinceUS: time.Now().UnixMicro()})
	if err != nil {
		return
	}
	txn := platform.Txn{Conditions: []platform.Condition{{Key: key}}, Puts: []platform.Put{{Key: key, Value: value}}}
	if _, err := r.table.Commit(ctx, txn); err != nil {
		r.opts.Logger.Warn("cannot store quarantined request", "team", k.Team, "err", err)
	}
}

// loadQuarantine reads the stored quarantined requests.
func (r *Router) loadQuarantine(ctx context.Context) error {
	rows, err := platform.ScanAll(ctx, r.table, quarantinePrefix)
	if err != nil {
		return err
	}
	if err := r.loadParts(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		var v quarantineRow
		if json.Unmarshal(row.Value, &v) == nil {
			r.crashTracker.Quarantine(time.UnixMicro(v.SinceUS), quarantine.Key{Team: v.Team, ContentHash: v.ContentHash})
		}
	}
	return nil
}

const quarantinePrefix = "quarantine/"

// quarantineRow is the value of a row quarantine/<team>/<hash>.
type quarantineRow struct {
	Team        string `json:"team"`
	ContentHash string `json:"content_hash"`
	SinceUS     int64  `json:"since_us"` // unix time in microseconds
}
