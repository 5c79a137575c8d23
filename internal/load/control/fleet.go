package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// renewEvery is how often a router rewrites its registration.
const renewEvery = 2500 * time.Millisecond

// fleet is the set of light processes.
type fleet struct {
	table    *countingTable
	sidecars []*lightProcess
	peers    []*lightProcess
	work     sync.WaitGroup
	stop     context.CancelFunc
}

// startFleet starts the light processes and registers them.
func startFleet(ctx context.Context, c Config, table *countingTable, adopted func(string, int64)) (*fleet, error) {
	routers, err := routerAddrs(ctx, table)
	if err != nil {
		return nil, err
	}
	routers = append(routers, c.Dial...)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &fleet{table: table, stop: stop}
	for i := range c.Sidecars {
		p, err := newLightProcess(roleSidecar, fmt.Sprintf("control-%05d", i), c.model(i), adopted)
		if err != nil {
			return f, err
		}
		p.draining = c.Draining
		f.sidecars = append(f.sidecars, p)
		f.run(func() { p.serve(runCtx) })
		if c.ReportEvery > 0 {
			f.run(func() { p.reportAll(runCtx, c.ReportEvery) })
		}
	}
	for i := range c.Peers {
		p, err := newLightProcess(roleRouter, fmt.Sprintf("control-peer-%03d", i), "", adopted)
		if err != nil {
			return f, err
		}
		f.peers = append(f.peers, p)
		f.run(func() { p.serve(runCtx) })
		f.run(func() { p.poll(runCtx, table) })
		for _, addr := range routers {
			f.run(func() { rpc.NewLink(addr, p.options(), p).Run(runCtx) })
		}
	}
	if err := f.register(ctx); err != nil {
		return f, err
	}
	f.run(func() { f.renew(runCtx) })
	return f, nil
}

func (f *fleet) run(work func()) { f.work.Go(work) }

// routerAddrs returns the rpc addresses of the live routers.
func routerAddrs(ctx context.Context, table platform.Table) ([]string, error) {
	rows, err := platform.ScanAll(ctx, table, member.HolderPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "routers")
	}
	var out []string
	for _, row := range rows {
		var reg member.HolderRow
		if err := json.Unmarshal(row.Value, &reg); err != nil {
			return nil, eris.Wrap(err, row.Key)
		}
		if reg.State == member.HolderLive {
			out = append(out, reg.RPCAddr)
		}
	}
	return out, nil
}

func (f *fleet) register(ctx context.Context) error {
	err := fillRows(ctx, f.table, len(f.sidecars), func(i int) (string, any) {
		return member.SidecarKey(f.sidecars[i].name), f.sidecars[i].sidecarRow()
	}, memberVersion)
	if err != nil {
		return err
	}
	return f.writePeers(ctx, member.HolderLive, memberVersion)
}

// memberVersion tells the routers that the registrations have changed.
var memberVersion = platform.Put{Key: member.VersionKey, Value: member.VersionValue}

func (f *fleet) writePeers(ctx context.Context, state member.HolderState, more ...platform.Put) error {
	return fillRows(ctx, f.table, len(f.peers), func(i int) (string, any) {
		return member.HolderKey(f.peers[i].incarnation), f.peers[i].holderRow(state)
	}, more...)
}

// renew keeps the leases of the light routers, in one transaction, so that the
// table's write rate does not limit their number.
func (f *fleet) renew(ctx context.Context) {
	for timing.Sleep(ctx, renewEvery) {
		_ = f.writePeers(ctx, member.HolderLive) // the next round repeats it
	}
}

// close takes the registrations back and ends all processes.
func (f *fleet) close() error {
	f.stop()
	f.work.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 2*platformTimeout)
	defer cancel()
	err := f.writePeers(ctx, member.HolderClosed, memberVersion)
	for first := 0; first < len(f.sidecars); first += rowsPerFill {
		txn := platform.Txn{Puts: []platform.Put{memberVersion}}
		for _, p := range f.sidecars[first:min(first+rowsPerFill, len(f.sidecars))] {
			txn.Deletes = append(txn.Deletes, member.SidecarKey(p.name))
		}
		if e := commit(ctx, f.table, txn); e != nil {
			err = e
		}
	}
	return err
}

// connected counts the light processes that a router has reached.
func (f *fleet) connected() int {
	n := 0
	for _, p := range append(append([]*lightProcess{}, f.sidecars...), f.peers...) {
		p.mu.Lock()
		if len(p.conns) > 0 {
			n++
		}
		p.mu.Unlock()
	}
	return n
}
