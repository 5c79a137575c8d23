package router

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	memberPoll    = 1 * time.Second
	memberTimeout = 3 * time.Second
	// memberScanEvery bounds how long a registration stays unnoticed that was
	// written without a new membership version, and keeps the links to peers,
	// which need a sign every peerKeep.
	memberScanEvery = 15 * time.Second
	// memberScanSpread per router spreads the scans that follow a change, so
	// that a large fleet does not exceed the table's read rate.
	memberScanSpread = 5 * time.Millisecond
)

// watchMembers follows the registrations of targets and routers and the host
// list.
func (r *Router) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(memberPoll)
	defer ticker.Stop()
	var seen memberScan
	introduced := ""
	for {
		introduced = r.introduce(introduced)
		r.refreshMembers(ctx, &seen)
		select {
		case <-ticker.C:
		case <-r.membersPoke:
			seen = memberScan{}
		case <-ctx.Done():
			return
		}
	}
}

// introduce closes all connections once the router has registered under another
// incarnation than the one it introduced itself with; they are opened again with
// a new hello. Peers ask an incarnation for idle share and for its configuration
// version, and sidecars hand records over to it, by the name in the hello.
func (r *Router) introduce(introduced string) string {
	now := r.escrow.Incarnation()
	switch {
	case introduced == "":
		return now
	case now == introduced || !r.escrow.Ready():
		return introduced
	}
	for _, c := range r.peers.all() {
		_ = c.Close()
	}
	for _, t := range r.sched.list(func(*target) bool { return true }) {
		if c := t.link.Conn(); c != nil {
			_ = c.Close()
		}
	}
	return now
}

// memberScan is the last complete scan of the registrations.
type memberScan struct {
	version int64 // of the row member.VersionKey, read before the scan
	at      time.Time
}

// due reports whether the registrations have to be scanned when the membership
// version is version. Without a version every poll scans: the processes that
// registered so far do not write it.
func (s memberScan) due(now time.Time, version int64) bool {
	return version == 0 || version != s.version || now.Sub(s.at) >= memberScanEvery
}

func (r *Router) refreshMembers(ctx context.Context, seen *memberScan) {
	callCtx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	version, err := r.memberVersion(callCtx)
	if err == nil && seen.due(time.Now(), version) {
		r.scanMembers(ctx, seen, version)
	}
	r.applyHosts(callCtx)
}

func (r *Router) memberVersion(ctx context.Context) (int64, error) {
	row, err := r.table.Get(ctx, member.VersionKey)
	if errkind.Is(err, errkind.NotFound) {
		return 0, nil
	}
	return row.Version, err
}

// scanMembers reads all registrations. A scan that fails is repeated with the
// next poll.
func (r *Router) scanMembers(ctx context.Context, seen *memberScan, version int64) {
	if !seen.at.IsZero() {
		spread := time.Duration(r.peers.size()+1) * memberScanSpread
		select {
		case <-time.After(rand.N(spread)):
		case <-ctx.Done():
			return
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	sidecars, err := platform.ScanAll(callCtx, r.table, member.SidecarPrefix)
	if err == nil {
		r.applySidecars(ctx, sidecars)
	}
	holders, holdersErr := platform.ScanAll(callCtx, r.table, member.HolderPrefix)
	if holdersErr == nil {
		r.applyHolders(holders)
	}
	if err == nil && holdersErr == nil {
		*seen = memberScan{version: version, at: time.Now()}
	}
}

// applySidecars opens links to new targets and closes those of targets whose
// registration is gone.
func (r *Router) applySidecars(ctx context.Context, rows []platform.Row) {
	seen := map[string]bool{}
	for _, row := range rows {
		var reg member.SidecarRow
		if err := json.Unmarshal(row.Value, &reg); err != nil {
			r.opts.Logger.Warn("registration is not readable", "row", row.Key, "err", err)
			continue
		}
		if reg.State != member.SidecarLive {
			r.expectNoMore(sidecarName(reg.Target))
			continue
		}
		seen[reg.Target] = true
		r.expect(sidecarName(reg.Target))
		r.applySidecar(ctx, reg)
	}
	for _, t := range r.sched.list(func(t *target) bool { return !seen[t.id] }) {
		r.forgetTarget(t)
	}
}

func (r *Router) applySidecar(ctx context.Context, reg member.SidecarRow) {
	if t := r.sched.target(reg.Target); t != nil {
		if t.addr == reg.Addr && t.pool == poolOf(reg) {
			return
		}
		if t.pool != poolOf(reg) {
			r.forgetTarget(t)
			r.addTarget(ctx, reg)
			return
		}
		// A sidecar at another address is a new incarnation. Runs of the old
		// one end when the new one says hello.
		r.moveTarget(ctx, t, reg)
		return
	}
	r.addTarget(ctx, reg)
}

func (r *Router) addTarget(ctx context.Context, reg member.SidecarRow) {
	t := &target{id: reg.Target, addr: reg.Addr, domain: reg.Domain, host: reg.Host, pool: poolOf(reg)}
	r.connectTarget(ctx, t)
	r.sched.add(t)
}

func poolOf(reg member.SidecarRow) string {
	if reg.Service != "" {
		return servicePool(reg.Service)
	}
	return modelPool(reg.Model)
}

func (r *Router) connectTarget(ctx context.Context, t *target) {
	linkCtx, stop := context.WithCancel(ctx)
	t.stop = stop
	opts := r.rpcOptions()
	opts.Busy = func() bool { return t.open.Load() > 0 }
	t.link = rpc.NewLink(t.addr, opts, sidecarHandler{r: r, t: t})
	go t.link.Run(linkCtx)
}

func (r *Router) moveTarget(ctx context.Context, t *target, reg member.SidecarRow) {
	r.opts.Logger.Info("target moved", "target", t.id, "addr", reg.Addr)
	t.stop()
	r.sched.update(t, func(t *target) {
		t.addr = reg.Addr
		t.domain = reg.Domain
		t.host = reg.Host
		t.conn = nil
		r.connectTarget(ctx, t)
	})
}

func (r *Router) forgetTarget(t *target) {
	r.opts.Logger.Info("target removed", "target", t.id)
	r.sched.remove(t)
	t.stop()
	for _, run := range r.runsAt(t) {
		r.runGone(run)
	}
}

// applyHolders opens links to routers that are live. Links to routers that are
// not are closed after a while by the peer set.
func (r *Router) applyHolders(rows []platform.Row) {
	live := map[string]string{}
	for _, reg := range r.expectRouters(rows, r.listeners.Peers.Addr().String()) {
		live[reg.RPCAddr] = reg.Incarnation
	}
	r.mu.Lock()
	r.closedHolders = closedHolders(rows)
	r.mu.Unlock()
	r.peers.keep(live)
}

// expectRouters notes which other routers have to confirm a configuration, and
// returns their registrations. A registration at this router's own address is
// its own or that of a predecessor.
func (r *Router) expectRouters(rows []platform.Row, own string) []member.HolderRow {
	var live []member.HolderRow
	for _, row := range rows {
		var reg member.HolderRow
		if err := json.Unmarshal(row.Value, &reg); err != nil || reg.RPCAddr == own {
			continue
		}
		if reg.State != member.HolderLive {
			r.expectNoMore(routerName(reg.Incarnation))
			continue
		}
		r.expect(routerName(reg.Incarnation))
		live = append(live, reg)
	}
	return live
}

func closedHolders(rows []platform.Row) map[string]bool {
	closed := map[string]bool{}
	for _, row := range rows {
		var reg member.HolderRow
		if json.Unmarshal(row.Value, &reg) == nil && reg.State == member.HolderClosed {
			closed[reg.Incarnation] = true
		}
	}
	return closed
}

// applyHosts marks targets on hosts that the platform lists as leaving.
func (r *Router) applyHosts(ctx context.Context) {
	if r.opts.Hosts == nil {
		return
	}
	hosts, err := r.opts.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		leaving[h.Host] = h.State == platform.HostLeaving
	}
	for _, t := range r.sched.list(func(*target) bool { return true }) {
		r.sched.update(t, func(t *target) { t.leaving = leaving[t.host] })
	}
}

// fenceAt asks one sidecar to refuse a holder's work.
func (r *Router) fenceAt(ctx context.Context, t *target, holder string) (wire.FenceHolderResult, error) {
	var res wire.FenceHolderResult
	err := t.link.Call(ctx, wire.MethodHolderFence, wire.FenceHolder{Header: r.header(), Holder: holder}, &res)
	return res, err
}

// declareGone marks a target's registration as gone. Its runs are settled by
// the routers that have them as lost.
func (r *Router) declareGone(ctx context.Context, row platform.Row) error {
	var reg member.SidecarRow
	if err := json.Unmarshal(row.Value, &reg); err != nil {
		return errkind.Wrap(err, errkind.Internal, "registration %s", row.Key)
	}
	reg = reg.EndIncarnation(time.Now().UnixMicro())
	reg.State = member.SidecarGone
	value, err := json.Marshal(reg)
	if err != nil {
		return err
	}
	res, err := r.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: row.Key, Version: row.Version}},
		Puts:       []platform.Put{{Key: row.Key, Value: value}, {Key: member.VersionKey, Value: member.VersionValue}},
	})
	if err != nil {
		return err
	}
	if !res.Committed {
		return errkind.New(errkind.Conflict, "target %s has registered again", reg.Target)
	}
	r.pokeMembers()
	return nil
}

func (r *Router) pokeMembers() {
	select {
	case r.membersPoke <- struct{}{}:
	default:
	}
}
