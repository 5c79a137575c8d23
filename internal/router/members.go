package router

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	memberPollInterval = 1 * time.Second
	memberReadTimeout  = 3 * time.Second
	// memberScanInterval bounds how long a registration that was written without
	// a new membership version goes unnoticed. It is shorter than peerLinkTTL,
	// because a link to a peer is closed if no scan finds the peer for that long.
	memberScanInterval = 15 * time.Second
	// memberScanJitterPerRouter times the number of routers is the maximum of
	// the random delay before a scan that follows a change, so that a large
	// fleet does not exceed the table's read rate.
	memberScanJitterPerRouter = 5 * time.Millisecond
)

// watchMembers follows the registrations of targets and routers and the
// platform's host list.
func (r *Router) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(memberPollInterval)
	defer ticker.Stop()
	var lastScan memberScan
	announced := ""
	for {
		announced = r.reconnectOnNewIncarnation(announced)
		r.refreshMembers(ctx, &lastScan)
		r.expireParts(time.Now())
		select {
		case <-ticker.C:
		case <-r.memberScanTrigger:
			lastScan = memberScan{}
		case <-ctx.Done():
			return
		}
	}
}

// reconnectOnNewIncarnation closes all connections once the router has
// registered under another incarnation than the announced one. They are then
// opened again with a new hello message. Other processes address this router by
// the incarnation in the hello: peers when they ask for idle share and for its
// configuration version, and sidecars when they hand over records. It returns
// the incarnation that is now announced.
func (r *Router) reconnectOnNewIncarnation(announced string) string {
	current := r.escrow.Incarnation()
	switch {
	case announced == "":
		return current
	case current == announced || !r.escrow.Ready():
		return announced
	}
	for _, c := range r.peers.allConns() {
		_ = c.Close()
	}
	for _, t := range r.sched.targetsWhere(func(*target) bool { return true }) {
		if c := t.link.Conn(); c != nil {
			_ = c.Close()
		}
	}
	return current
}

// memberScan describes the last complete scan of the registrations.
type memberScan struct {
	version platform.Version // of the row member.VersionKey, read before the scan
	at      time.Time
}

// due reports whether the registrations must be scanned, given the current
// membership version. The zero version means that the processes registered so far
// do not write the row of the version, so that every poll has to scan.
func (s memberScan) due(now time.Time, version platform.Version) bool {
	return version.IsZero() || version != s.version || now.Sub(s.at) >= memberScanInterval
}

// refreshMembers scans the registrations if they may have changed, and reads
// the host list.
func (r *Router) refreshMembers(ctx context.Context, lastScan *memberScan) {
	callCtx, cancel := context.WithTimeout(ctx, memberReadTimeout)
	defer cancel()
	version, err := r.memberVersion(callCtx)
	if err == nil && lastScan.due(time.Now(), version) {
		r.scanMembers(ctx, lastScan, version)
	}
	r.applyHosts(callCtx)
}

// memberVersion returns the membership version, zero if there is none.
func (r *Router) memberVersion(ctx context.Context) (platform.Version, error) {
	row, err := r.table.Get(ctx, member.VersionKey)
	if errkind.Is(err, errkind.NotFound) {
		return platform.Version{}, nil
	}
	return row.Version, err
}

// scanMembers reads all registrations and applies them. The first scan and a scan
// that was triggered start at once, others after a random delay. A scan that
// fails is repeated at the next poll.
func (r *Router) scanMembers(ctx context.Context, lastScan *memberScan, version platform.Version) {
	if !lastScan.at.IsZero() {
		maxDelay := time.Duration(r.peers.linkCount()+1) * memberScanJitterPerRouter
		select {
		case <-time.After(rand.N(maxDelay)):
		case <-ctx.Done():
			return
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, memberReadTimeout)
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
		*lastScan = memberScan{version: version, at: time.Now()}
		r.membersKnown.Store(true)
	}
}

// applySidecars opens links to the sidecars of new and moved targets and removes
// targets that are no longer registered as live. A target whose registration cannot
// be decoded stays as it is.
func (r *Router) applySidecars(ctx context.Context, rows []platform.Row) {
	liveTargets := map[string]bool{}
	for _, row := range rows {
		var reg member.SidecarRow
		if err := json.Unmarshal(row.Value, &reg); err != nil {
			r.opts.Logger.Warn("cannot decode sidecar registration", "row", row.Key, "err", err)
			liveTargets[strings.TrimPrefix(row.Key, member.SidecarPrefix)] = true
			continue
		}
		if reg.State != member.SidecarLive {
			r.forgetProcess(sidecarName(reg.Target))
			continue
		}
		liveTargets[reg.Target] = true
		r.recordRegistered(sidecarName(reg.Target))
		r.applySidecar(ctx, reg)
	}
	for _, t := range r.sched.targetsWhere(func(t *target) bool { return !liveTargets[t.id] }) {
		r.removeTarget(t)
	}
}

// applySidecar adds, moves or replaces the target of a live registration.
func (r *Router) applySidecar(ctx context.Context, reg member.SidecarRow) {
	if t := r.sched.target(reg.Target); t != nil {
		if t.addr == reg.Addr && t.pool == poolOf(reg) {
			return
		}
		if t.pool != poolOf(reg) {
			r.removeTarget(t)
			r.addTarget(ctx, reg)
			return
		}
		// A sidecar at another address is a new incarnation. Runs of the old
		// one end when the new one connects.
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

// poolOf returns the scheduler pool of a target: its model or its service.
func poolOf(reg member.SidecarRow) string {
	if reg.Service != "" {
		return servicePool(reg.Service)
	}
	return modelPool(reg.Model)
}

// connectTarget opens a link to the target's sidecar, which reconnects until
// the target is stopped.
func (r *Router) connectTarget(ctx context.Context, t *target) {
	linkCtx, stop := context.WithCancel(ctx)
	t.stop = stop
	opts := r.rpcOptions()
	opts.Busy = func() bool { return t.openRuns.Load() > 0 }
	t.link = rpc.NewLink(t.addr, opts, sidecarHandler{r: r, target: t})
	go t.link.Run(linkCtx)
}

// moveTarget replaces the link to a target whose sidecar has another address
// now.
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

// removeTarget removes a target and ends its runs as lost.
func (r *Router) removeTarget(t *target) {
	r.opts.Logger.Info("target removed", "target", t.id)
	r.sched.remove(t)
	t.stop()
	for _, run := range r.runsOnTarget(t) {
		r.settleLostRun(run)
	}
}

// applyHolders opens links to live routers and records which holders are closed.
// Links to routers that are no longer live are closed after peerLinkTTL.
func (r *Router) applyHolders(rows []platform.Row) {
	live := map[string]string{} // incarnations by RPC address
	for _, reg := range r.trackRouters(rows, r.listeners.Peers.Addr().String()) {
		live[reg.RPCAddr] = reg.Incarnation
	}
	r.mu.Lock()
	r.closedHolders = closedHolders(rows)
	r.mu.Unlock()
	r.peers.updateLinks(live)
}

// trackRouters records which other routers have to confirm a configuration, and
// returns the live registrations. A registration at ownAddr belongs to this
// router or to an earlier process at its address.
func (r *Router) trackRouters(rows []platform.Row, ownAddr string) []member.HolderRow {
	var live []member.HolderRow
	for _, row := range rows {
		var reg member.HolderRow
		if err := json.Unmarshal(row.Value, &reg); err != nil || reg.RPCAddr == ownAddr {
			continue
		}
		if reg.State != member.HolderLive {
			r.forgetProcess(routerName(reg.Incarnation))
			continue
		}
		r.recordRegistered(routerName(reg.Incarnation))
		live = append(live, reg)
	}
	return live
}

// closedHolders returns the incarnations whose holder row is closed.
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

// applyHosts marks the targets on hosts that the platform lists as leaving and
// unmarks all others. If the list cannot be read, the marks stay as they are.
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
	for _, t := range r.sched.targetsWhere(func(*target) bool { return true }) {
		r.sched.update(t, func(t *target) { t.leaving = leaving[t.host] })
	}
}

// fenceSidecar asks one sidecar to refuse further work of a holder.
func (r *Router) fenceSidecar(ctx context.Context, t *target, holder string) (wire.FenceHolderResult, error) {
	var res wire.FenceHolderResult
	err := t.link.Call(ctx, wire.MethodHolderFence, wire.FenceHolder{Header: r.header(), Holder: holder}, &res)
	return res, err
}

// markTargetGone marks a target's registration as gone. The routers that have
// runs there settle them as lost.
func (r *Router) markTargetGone(ctx context.Context, row platform.Row) error {
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
	r.triggerMemberScan()
	return nil
}

// triggerMemberScan requests a scan at once, unless one is already pending.
func (r *Router) triggerMemberScan() {
	select {
	case r.memberScanTrigger <- struct{}{}:
	default:
	}
}
