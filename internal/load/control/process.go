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

// simulatedProcess is the control-plane part of a sidecar or router. It answers
// RPC calls but runs no requests.
type simulatedProcess struct {
	role          string
	name          string // target id of a sidecar, host name of a router
	model         string // of a sidecar
	draining      bool
	incarnation   string
	listener      net.Listener
	clock         hlc.Clock
	configVersion atomic.Int64 // highest version received by push or poll
	onVersion     func(name string, version int64)

	mu    sync.Mutex
	conns map[*rpc.Conn]bool
}

func newSimulatedProcess(role, name, model string, onVersion func(string, int64)) (*simulatedProcess, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	return &simulatedProcess{
		role: role, name: name, model: model, incarnation: ulid.Make().String(),
		listener: listener, onVersion: onVersion, conns: map[*rpc.Conn]bool{},
	}, nil
}

func (p *simulatedProcess) header() wire.Header {
	return wire.Header{ConfigVersion: p.configVersion.Load(), Stamp: p.clock.Now(time.Now())}
}

func (p *simulatedProcess) hello() wire.Hello {
	h := wire.Hello{Header: p.header(), Role: p.role, Incarnation: p.incarnation, Host: p.name, Domain: "control"}
	if p.role == roleSidecar {
		h.Target = p.name
		h.Draining = p.draining
	}
	return h
}

// Roles in the hello message of a connection.
const (
	roleRouter  = "router"
	roleSidecar = "sidecar"
)

func (p *simulatedProcess) options() rpc.Options { return rpc.Options{Hello: p.hello} }

// serve accepts and serves connections until ctx ends.
func (p *simulatedProcess) serve(ctx context.Context) { _ = rpc.Serve(ctx, p.listener, p.options(), p) }

// Opened implements rpc.Handler.
func (p *simulatedProcess) Opened(c *rpc.Conn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	if p.role == roleSidecar {
		go p.sendLoadReport(c, 0)
	}
}

// Closed implements rpc.Handler.
func (p *simulatedProcess) Closed(c *rpc.Conn, _ error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Notify implements rpc.Handler.
func (p *simulatedProcess) Notify(*rpc.Conn, string, json.RawMessage) {}

// Call implements rpc.Handler.
func (p *simulatedProcess) Call(_ context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodConfigPush:
		return p.handleConfigPush(params)
	case wire.MethodRunAttach:
		return wire.AttachRunResult{Header: p.header(), Sidecar: p.incarnation}, nil
	case wire.MethodHolderFence:
		return wire.FenceHolderResult{Header: p.header(), Sidecar: p.incarnation}, nil
	case wire.MethodBudgetRelease:
		return wire.Reply{Header: p.header()}, nil
	}
	return nil, errkind.New(errkind.MethodNotAllowed, "method %s", method)
}

func (p *simulatedProcess) handleConfigPush(params json.RawMessage) (any, error) {
	var msg wire.ConfigPush
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration")
	}
	p.adoptVersion(msg.Document.Version)
	return wire.Reply{Header: p.header()}, nil
}

// adoptVersion records a configuration version and reports it to onVersion,
// unless it has received that version or a later one before.
func (p *simulatedProcess) adoptVersion(version int64) {
	for {
		current := p.configVersion.Load()
		if version <= current {
			return
		}
		if p.configVersion.CompareAndSwap(current, version) {
			p.onVersion(p.name, version)
			return
		}
	}
}

// pollConfigVersion polls the configuration version as a router does. A random
// initial delay spreads the polls of the processes over the interval.
func (p *simulatedProcess) pollConfigVersion(ctx context.Context, table platform.Table) {
	if !timing.Sleep(ctx, rand.N(configPollInterval)) {
		return
	}
	for timing.Sleep(ctx, configPollInterval) {
		row, err := table.Get(ctx, configHeadKey)
		var head struct{ Version int64 }
		if err == nil && json.Unmarshal(row.Value, &head) == nil {
			p.adoptVersion(head.Version)
		}
	}
}

const (
	configPollInterval = time.Second
	configHeadKey      = "config/head"
)

// sendLoadReport sends the load report of a sidecar with the given number of
// running requests.
func (p *simulatedProcess) sendLoadReport(c *rpc.Conn, running int) {
	_ = c.Notify(context.Background(), wire.MethodLoadReport, wire.LoadReport{
		Header: p.header(), Target: p.name, Running: running, Healthy: true, Draining: p.draining,
		Models: []string{p.model}, Role: "mixed",
	})
}

// sendLoadReports sends a changed load to every connected router in each
// interval.
func (p *simulatedProcess) sendLoadReports(ctx context.Context, interval time.Duration) {
	for running := 1; timing.Sleep(ctx, interval); running++ {
		p.mu.Lock()
		for c := range p.conns {
			go p.sendLoadReport(c, running%2)
		}
		p.mu.Unlock()
	}
}

func (p *simulatedProcess) sidecarRow() member.SidecarRow {
	return member.SidecarRow{
		Target: p.name, Incarnation: p.incarnation, Addr: p.listener.Addr().String(), Host: p.name,
		Domain: "control", Kind: "engine", Model: p.model, State: member.SidecarLive,
	}
}

func (p *simulatedProcess) holderRow(state member.HolderState) member.HolderRow {
	return member.HolderRow{
		State: state, Incarnation: p.incarnation, Host: p.name, Domain: "control",
		RPCAddr: p.listener.Addr().String(), HTTPAddr: p.listener.Addr().String(), RenewedUS: time.Now().UnixMicro(),
	}
}
