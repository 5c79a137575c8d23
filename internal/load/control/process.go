package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/timing"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// lightProcess is the control side of a sidecar or a router. It answers rpc
// and runs no requests.
type lightProcess struct {
	role        string
	name        string // target or host
	model       string // of a sidecar
	draining    bool
	incarnation string
	listener    net.Listener
	clock       hlc.Clock
	version     atomic.Int64 // highest configuration version received as a document
	adopted     func(name string, version int64)

	mu    sync.Mutex
	conns map[*rpc.Conn]bool
}

func newLightProcess(role, name, model string, adopted func(string, int64)) (*lightProcess, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	return &lightProcess{
		role: role, name: name, model: model, incarnation: ulid.Make().String(),
		listener: ln, adopted: adopted, conns: map[*rpc.Conn]bool{},
	}, nil
}

func (p *lightProcess) header() wire.Header {
	return wire.Header{ConfigVersion: p.version.Load(), Stamp: p.clock.Now(time.Now())}
}

func (p *lightProcess) hello() wire.Hello {
	h := wire.Hello{Header: p.header(), Role: p.role, Incarnation: p.incarnation, Host: p.name, Domain: "control"}
	if p.role == roleSidecar {
		h.Target = p.name
		h.Draining = p.draining
	}
	return h
}

// Roles in a hello.
const (
	roleRouter  = "router"
	roleSidecar = "sidecar"
)

func (p *lightProcess) options() rpc.Options { return rpc.Options{Hello: p.hello} }

// serve answers connections until ctx ends.
func (p *lightProcess) serve(ctx context.Context) { _ = rpc.Serve(ctx, p.listener, p.options(), p) }

// Opened implements rpc.Handler.
func (p *lightProcess) Opened(c *rpc.Conn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	if p.role == roleSidecar {
		go p.report(c, 0)
	}
}

// Closed implements rpc.Handler.
func (p *lightProcess) Closed(c *rpc.Conn, _ error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Notify implements rpc.Handler.
func (p *lightProcess) Notify(*rpc.Conn, string, json.RawMessage) {}

// Call implements rpc.Handler.
func (p *lightProcess) Call(_ context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodConfigPush:
		return p.push(params)
	case wire.MethodRunAttach:
		return wire.AttachRunResult{Header: p.header(), Sidecar: p.incarnation}, nil
	case wire.MethodHolderFence:
		return wire.FenceHolderResult{Header: p.header(), Sidecar: p.incarnation}, nil
	case wire.MethodBudgetRelease:
		return wire.Reply{Header: p.header()}, nil
	}
	return nil, errkind.New(errkind.MethodNotAllowed, "method %s", method)
}

func (p *lightProcess) push(params json.RawMessage) (any, error) {
	var msg wire.ConfigPush
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration")
	}
	p.see(msg.Document.Version)
	return wire.Reply{Header: p.header()}, nil
}

// see takes in a version of the configuration.
func (p *lightProcess) see(version int64) {
	for {
		old := p.version.Load()
		if version <= old {
			return
		}
		if p.version.CompareAndSwap(old, version) {
			p.adopted(p.name, version)
			return
		}
	}
}

// poll reads the version of the configuration as a router does, at a phase of
// its own.
func (p *lightProcess) poll(ctx context.Context, table platform.Table) {
	if !timing.Sleep(ctx, rand.N(pollEvery)) {
		return
	}
	for timing.Sleep(ctx, pollEvery) {
		row, err := table.Get(ctx, headKey)
		var head struct{ Version int64 }
		if err == nil && json.Unmarshal(row.Value, &head) == nil {
			p.see(head.Version)
		}
	}
}

const (
	pollEvery = time.Second
	headKey   = "config/head"
)

// report sends a load report as a sidecar does.
func (p *lightProcess) report(c *rpc.Conn, running int) {
	_ = c.Notify(context.Background(), wire.MethodLoadReport, wire.LoadReport{
		Header: p.header(), Target: p.name, Running: running, Healthy: true, Draining: p.draining,
		Models: []string{p.model}, Role: "mixed",
	})
}

// reportAll sends a changed load to every router in each period.
func (p *lightProcess) reportAll(ctx context.Context, every time.Duration) {
	for running := 1; timing.Sleep(ctx, every); running++ {
		p.mu.Lock()
		for c := range p.conns {
			go p.report(c, running%2)
		}
		p.mu.Unlock()
	}
}

func (p *lightProcess) sidecarRow() member.SidecarRow {
	return member.SidecarRow{
		Target: p.name, Incarnation: p.incarnation, Addr: p.listener.Addr().String(), Host: p.name,
		Domain: "control", Kind: "engine", Model: p.model, State: member.SidecarLive,
	}
}

func (p *lightProcess) holderRow(state member.HolderState) member.HolderRow {
	return member.HolderRow{
		State: state, Incarnation: p.incarnation, Host: p.name, Domain: "control",
		RPCAddr: p.listener.Addr().String(), HTTPAddr: p.listener.Addr().String(), RenewedUS: time.Now().UnixMicro(),
	}
}
