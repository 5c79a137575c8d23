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

// peerKeep is how long a link outlives the peer's registration, so that a
// short gap in the table's answers does not close working links.
const peerKeep = 30 * time.Second

// peerSet holds the links to the other routers.
type peerSet struct {
	r     *Router
	ctx   context.Context
	mu    sync.Mutex
	links map[string]*peerLink // by address
	open  map[*rpc.Conn]bool   // in both directions
}

type peerLink struct {
	*rpc.Link
	stop     context.CancelFunc
	lastSeen time.Time
	seed     bool // from the settings; never dropped
}

func newPeerSet(ctx context.Context, r *Router) *peerSet {
	return &peerSet{r: r, ctx: ctx, links: map[string]*peerLink{}, open: map[*rpc.Conn]bool{}}
}

// connect opens a link to addr unless there is one.
func (p *peerSet) connect(addr string, seed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[addr]; l != nil {
		l.lastSeen = time.Now()
		return
	}
	ctx, stop := context.WithCancel(p.ctx)
	l := &peerLink{
		Link:     rpc.NewLink(addr, p.r.rpcOptions(), peerHandler{p.r}),
		stop:     stop,
		lastSeen: time.Now(),
		seed:     seed,
	}
	p.links[addr] = l
	go l.Run(ctx)
}

// keep opens links to the live routers and drops those that have been gone for
// peerKeep.
func (p *peerSet) keep(live map[string]string) {
	for addr := range live {
		p.connect(addr, false)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		if !l.seed && time.Since(l.lastSeen) > peerKeep {
			l.stop()
			delete(p.links, addr)
		}
	}
}

// size returns the number of links.
func (p *peerSet) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// conns returns the open connections.
func (p *peerSet) conns() []*rpc.Conn {
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

// all returns the open connections in both directions.
func (p *peerSet) all() []*rpc.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.open))
}

// relayPeers returns the connections for the table relay.
func (p *peerSet) relayPeers() []platform.Peer {
	var out []platform.Peer
	for _, c := range p.conns() {
		out = append(out, c)
	}
	return out
}

func (r *Router) notifyPeers(method string, params any) {
	for _, c := range r.peers.conns() {
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
	for _, c := range p.conns() {
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

// peerHandler serves connections of and to other routers.
type peerHandler struct{ r *Router }

// Opened implements rpc.Handler.
func (h peerHandler) Opened(c *rpc.Conn) {
	h.r.peers.mu.Lock()
	h.r.peers.open[c] = true
	h.r.peers.mu.Unlock()
	hello := c.Peer()
	h.r.observe(hello.Header)
	h.r.confirm(hello, hello.ConfigVersion)
	if hello.ConfigVersion < h.r.config.Version() {
		go h.r.pushConfig(c)
	}
}

// Closed implements rpc.Handler.
func (h peerHandler) Closed(c *rpc.Conn, _ error) {
	h.r.peers.mu.Lock()
	defer h.r.peers.mu.Unlock()
	delete(h.r.peers.open, c)
}

// Notify implements rpc.Handler.
func (h peerHandler) Notify(c *rpc.Conn, method string, params json.RawMessage) {
	h.r.notified(c, method, params)
}

// Call implements rpc.Handler.
func (h peerHandler) Call(ctx context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodTableGet, wire.MethodTableScan, wire.MethodTableCommit:
		return h.r.relay.Handle(ctx, method, params)
	case wire.MethodBudgetRelease:
		return h.release(ctx, params)
	case wire.MethodConfigPush:
		return h.config(params)
	case wire.MethodConfigTeams:
		return h.configAndTeams(params)
	case wire.MethodTimelineQuery:
		return h.timeline(params)
	}
	return nil, errkind.New(errkind.MethodNotAllowed, "method %s", method)
}

func (h peerHandler) release(ctx context.Context, params json.RawMessage) (any, error) {
	var msg wire.ReleaseBudget
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "release")
	}
	h.r.observe(msg.Header)
	h.r.escrow.Release(ctx, msg.Team)
	return wire.Reply{Header: h.r.header()}, nil
}

func (h peerHandler) config(params json.RawMessage) (any, error) {
	var msg wire.ConfigPush
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration")
	}
	h.r.config.Adopt(msg.Document)
	return wire.Reply{Header: h.r.header()}, nil
}

func (h peerHandler) timeline(params json.RawMessage) (any, error) {
	var q wire.TimelineQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "timeline query")
	}
	return h.r.localTimeline(q), nil
}

// storeVerdict makes a quarantine verdict known to routers that start later.
func (r *Router) storeVerdict(k quarantine.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	key := verdictPrefix + k.Team + "/" + k.ContentHash
	value, err := json.Marshal(verdictRow{Team: k.Team, ContentHash: k.ContentHash, SinceUS: time.Now().UnixMicro()})
	if err != nil {
		return
	}
	txn := platform.Txn{Conditions: []platform.Condition{{Key: key}}, Puts: []platform.Put{{Key: key, Value: value}}}
	if _, err := r.table.Commit(ctx, txn); err != nil {
		r.opts.Logger.Warn("quarantine verdict not stored", "team", k.Team, "err", err)
	}
}

// loadVerdicts reads the stored verdicts once at start.
func (r *Router) loadVerdicts(ctx context.Context) error {
	rows, err := platform.ScanAll(ctx, r.table, verdictPrefix)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		var v verdictRow
		if json.Unmarshal(row.Value, &v) == nil {
			r.crashes.Quarantine(time.UnixMicro(v.SinceUS), quarantine.Key{Team: v.Team, ContentHash: v.ContentHash})
		}
	}
	return nil
}

const verdictPrefix = "quarantine/"

// verdictRow is stored under quarantine/<team>/<hash>.
type verdictRow struct {
	Team        string `json:"team"`
	ContentHash string `json:"content_hash"`
	SinceUS     int64  `json:"since_us"` // unix time in microseconds
}
