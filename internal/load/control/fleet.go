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

// leaseRenewInterval is how often a router rewrites its registration to renew
// its lease.
const leaseRenewInterval = 2500 * time.Millisecond

// fleet is the set of simulated sidecars and routers.
type fleet struct {
	table    *countingTable
	sidecars []*simulatedProcess
	peers    []*simulatedProcess
	tasks    sync.WaitGroup
	stop     context.CancelFunc
}

// startFleet starts the simulated processes and registers them. It calls
// onVersion when one of them receives a new configuration version. If it fails,
// the returned fleet, unless nil, still has to be closed.
func startFleet(ctx context.Context, c Config, table *countingTable, onVersion func(string, int64)) (*fleet, error) {
	linkAddrs, err := routerAddrs(ctx, table)
	if err != nil {
		return nil, err
	}
	linkAddrs = append(linkAddrs, c.Dial...)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &fleet{table: table, stop: stop}
	for i := range c.Sidecars {
		p, err := newSimulatedProcess(roleSidecar, fmt.Sprintf("control-%05d", i), c.model(i), onVersion)
		if err != nil {
			return f, err
		}
		p.draining = c.Draining
		f.sidecars = append(f.sidecars, p)
		f.startTask(func() { p.serve(runCtx) })
		if c.ReportEvery > 0 {
			f.startTask(func() { p.sendLoadReports(runCtx, c.ReportEvery) })
		}
	}
	for i := range c.Peers {
		p, err := newSimulatedProcess(roleRouter, fmt.Sprintf("control-peer-%03d", i), "", onVersion)
		if err != nil {
			return f, err
		}
		f.peers = append(f.peers, p)
		f.startTask(func() { p.serve(runCtx) })
		f.startTask(func() { p.pollConfigVersion(runCtx, table) })
		for _, addr := range linkAddrs {
			f.startTask(func() { rpc.NewLink(addr, p.options(), p).Run(runCtx) })
		}
	}
	if err := f.register(ctx); err != nil {
		return f, err
	}
	f.startTask(func() { f.renewLeases(runCtx) })
	return f, nil
}

func (f *fleet) startTask(task func()) { f.tasks.Go(task) }

// routerAddrs returns the RPC addresses of the live routers.
func routerAddrs(ctx context.Context, table platform.Table) ([]string, error) {
	rows, err := platform.ScanAll(ctx, table, member.HolderPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "routers")
	}
	var addrs []string
	for _, row := range rows {
		var holder member.HolderRow
		if err := json.Unmarshal(row.Value, &holder); err != nil {
			return nil, eris.Wrap(err, row.Key)
		}
		if holder.State == member.HolderLive {
			addrs = append(addrs, holder.RPCAddr)
		}
	}
	return addrs, nil
}

// register writes the rows of the simulated sidecars and routers into the table.
func (f *fleet) register(ctx context.Context) error {
	err := fillRows(ctx, f.table, len(f.sidecars), func(i int) (string, any) {
		return member.SidecarKey(f.sidecars[i].name), f.sidecars[i].sidecarRow()
	}, memberVersionPut)
	if err != nil {
		return err
	}
	return f.writeRouterRows(ctx, member.HolderLive, memberVersionPut)
}

// memberVersionPut updates the row that tells the routers that registrations
// have changed.
var memberVersionPut = platform.Put{Key: member.VersionKey, Value: member.VersionValue}

func (f *fleet) writeRouterRows(ctx context.Context, state member.HolderState, extra ...platform.Put) error {
	return fillRows(ctx, f.table, len(f.peers), func(i int) (string, any) {
		return member.HolderKey(f.peers[i].incarnation), f.peers[i].holderRow(state)
	}, extra...)
}

// renewLeases renews the leases of the simulated routers. It writes many of them
// in one transaction, so that the table's write rate does not limit their
// number.
func (f *fleet) renewLeases(ctx context.Context) {
	for timing.Sleep(ctx, leaseRenewInterval) {
		_ = f.writeRouterRows(ctx, member.HolderLive) // an error is ignored because the next iteration retries
	}
}

// close stops all processes and withdraws their registrations.
func (f *fleet) close() error {
	f.stop()
	f.tasks.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 2*platformTimeout)
	defer cancel()
	err := f.writeRouterRows(ctx, member.HolderClosed, memberVersionPut)
	for batchStart := 0; batchStart < len(f.sidecars); batchStart += rowsPerTxn {
		txn := platform.Txn{Puts: []platform.Put{memberVersionPut}}
		for _, p := range f.sidecars[batchStart:min(batchStart+rowsPerTxn, len(f.sidecars))] {
			txn.Deletes = append(txn.Deletes, member.SidecarKey(p.name))
		}
		if commitErr := commitWithRetry(ctx, f.table, txn); commitErr != nil {
			err = commitErr
		}
	}
	return err
}

// countConnected returns the number of simulated processes with a connection to a
// router.
func (f *fleet) countConnected() int {
	n := 0
	for _, p := range append(append([]*simulatedProcess{}, f.sidecars...), f.peers...) {
		p.mu.Lock()
		if len(p.conns) > 0 {
			n++
		}
		p.mu.Unlock()
	}
	return n
}
