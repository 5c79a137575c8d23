package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/rowkey"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// Timing of the writes of fleet rows.
const (
	fleetWriteTimeout = time.Second
	fleetRetryDelay   = 300 * time.Millisecond
)

// maxFleetWrites is the number of rows in a transaction; the table allows 100.
const maxFleetWrites = 50

// publications are the fleet rows that are to be written. Only the newest value of a row
// is kept.
type publications struct {
	mu     sync.Mutex
	values map[string][]byte // by key; nil to remove the row
	// refused are the rows that the table did not take, and when.
	refused map[string]time.Time
	wake    chan struct{}
}

func newPublications() publications {
	return publications{values: map[string][]byte{}, refused: map[string]time.Time{}, wake: make(chan struct{}, 1)}
}

// Bounds of what is remembered of refused rows.
const (
	// refusalRetention is how long a row is not written again after the table refused it.
	refusalRetention = time.Minute
	maxRefusedRows   = 1000
)

// refuse records that the table does not take a row.
func (p *publications) refuse(key string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.refused, func(_ string, at time.Time) bool { return now.Sub(at) > refusalRetention })
	if len(p.refused) < maxRefusedRows {
		p.refused[key] = now
	}
	delete(p.values, key) // added again meanwhile
}

// add adds a row to be written, or to be removed if value is nil.
func (p *publications) add(key string, value []byte) {
	p.mu.Lock()
	if at, refused := p.refused[key]; refused && time.Since(at) <= refusalRetention {
		p.mu.Unlock()
		return
	}
	p.values[key] = value
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// take removes some rows and returns them as a transaction.
func (p *publications) take() (txn platform.Txn, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, value := range p.values {
		if n++; n > maxFleetWrites {
			return txn, n - 1
		}
		if value == nil {
			txn.Deletes = append(txn.Deletes, key)
		} else {
			txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
		}
		delete(p.values, key)
	}
	return txn, n
}

// putBack returns the rows of a transaction that failed, unless newer values were added.
func (p *publications) putBack(txn platform.Txn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, put := range txn.Puts {
		if _, newer := p.values[put.Key]; !newer {
			p.values[put.Key] = put.Value
		}
	}
	for _, key := range txn.Deletes {
		if _, newer := p.values[key]; !newer {
			p.values[key] = nil
		}
	}
}

// PublishFleet writes this gateway's own row and what it has to tell other gateways
// until ctx ends. While the fleet is active it renews its row.
func (g *Gateway) PublishFleet(ctx context.Context) {
	ticker := time.NewTicker(fleet.RenewInterval)
	defer ticker.Stop()
	var renewal int64
	for renew := true; ; {
		if renew {
			renewal++
			g.publishRenewal(renewal)
			ticker.Reset(fleet.RenewInterval)
		}
		for !g.writeFleetRows(ctx) {
			if !timing.Sleep(ctx, fleetRetryDelay) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-g.publications.wake:
			renew = false
		case <-g.activated:
			renew = true
		case <-ticker.C:
			renew = g.inspectFleet()
			g.removeExpiredVersions(ctx)
		}
	}
}

func (g *Gateway) publishRenewal(renewal int64) {
	value, err := json.Marshal(fleet.RouterRow{Incarnation: g.opt.Incarnation, Renewal: renewal, FailureDomain: g.opt.FailureDomain})
	if err != nil {
		g.opt.Logger.Error("failed to encode the row of this gateway", "err", err)
		return
	}
	g.publications.add(fleet.RouterKey(g.opt.Host), value)
}

// inspectFleet divides limits anew if gateways are gone, and reports whether this
// gateway is to renew its row. The first of the live gateways removes rows of gateways and
// targets that are gone.
func (g *Gateway) inspectFleet() (renew bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.divideLimits(now)
	g.publishVersions()
	g.removeExpiredReports(now)
	if g.isFirst(now) {
		g.settleVersions(now)
		for _, host := range g.fleet.Gone(now) {
			g.publications.add(fleet.RouterKey(host), nil)
		}
		g.removeUnusedRows(now)
		for _, target := range g.fleet.ExpiredCold(now) {
			g.publications.add(fleet.ColdKey(target), nil)
		}
		for _, host := range g.fleet.ExpiredRooms() {
			g.publications.add(fleet.RoomKey(host), nil)
		}
	}
	return g.fleet.Active()
}

// removeUnusedRows removes the rows of limits and of targets about to stop whose targets are
// gone. g.mu is held.
func (g *Gateway) removeUnusedRows(now time.Time) {
	limits := g.fleet.ExpiredLimits(now, g.hasLimitedTarget, g.streamRetention())
	draining := g.fleet.ExpiredDraining(now, g.hasDrainingTarget, g.streamRetention())
	if !g.knowsTargets(now) {
		return
	}
	for _, target := range limits {
		g.publications.add(fleet.LimitKey(target), nil)
	}
	for _, target := range draining {
		g.publications.add(fleet.DrainingKey(target), nil)
	}
}

// hasLimitedTarget reports whether the start of a target that has named a limit is known
// here. g.mu is held.
func (g *Gateway) hasLimitedTarget(name string) bool {
	t := g.targetNamed(name)
	if t == nil {
		return false
	}
	_, ok := g.fleetLimit(t)
	return ok
}

// hasDrainingTarget reports whether the start of a target that has said that it is about
// to stop is known here. g.mu is held.
func (g *Gateway) hasDrainingTarget(name string) bool {
	t := g.targetNamed(name)
	return t != nil && g.fleetDraining(t)
}

// targetNamed returns the target with a name in keys (fleet.TargetName), nil if there is none.
// g.mu is held.
func (g *Gateway) targetNamed(name string) *targets.Target {
	if t := g.targetView.Target(name); t != nil || !rowkey.Hashed(name) {
		return t
	}
	for _, id := range g.targetView.IDs() {
		if fleet.TargetName(id) == name {
			return g.targetView.Target(id)
		}
	}
	return nil
}

// writeFleetRows writes all rows that are to be written and reports whether that
// succeeded.
func (g *Gateway) writeFleetRows(ctx context.Context) bool {
	for {
		txn, n := g.publications.take()
		if n == 0 {
			return true
		}
		if err := g.commitFleetRows(ctx, txn); err != nil {
			g.opt.Logger.Debug("failed to write fleet rows", "rows", n, "err", err)
			return false
		}
	}
}

// commitFleetRows writes the rows of a transaction, and puts them back if that fails. If the
// table refuses the transaction for what it is, each half is written by itself, so that a row
// which the table does not take costs only itself.
func (g *Gateway) commitFleetRows(ctx context.Context, txn platform.Txn) error {
	callCtx, cancel := context.WithTimeout(ctx, fleetWriteTimeout)
	defer cancel()
	result, err := g.opt.FleetTable.Commit(callCtx, txn)
	switch rows := len(txn.Puts) + len(txn.Deletes); {
	case err == nil:
		g.recordWritten(txn.Puts, result.Versions)
		return nil
	case !errkind.Is(err, errkind.PlatformRefused):
		g.publications.putBack(txn)
		return err
	case rows == 1:
		g.giveUpRow(txn, err)
		return nil
	default:
		puts, deletes := len(txn.Puts)/2, len(txn.Deletes)/2
		if puts+deletes == 0 { // one of each
			puts = 1
		}
		return errors.Join(
			g.commitFleetRows(ctx, platform.Txn{Puts: txn.Puts[:puts], Deletes: txn.Deletes[:deletes]}),
			g.commitFleetRows(ctx, platform.Txn{Puts: txn.Puts[puts:], Deletes: txn.Deletes[deletes:]}),
		)
	}
}

// giveUpRow records that the table refuses the only row of a transaction.
func (g *Gateway) giveUpRow(txn platform.Txn, err error) {
	key := strings.Join(txn.Deletes, "")
	for _, put := range txn.Puts {
		key = put.Key
	}
	g.publications.refuse(key, time.Now())
	g.opt.Metrics.refusedRows.Inc()
	g.opt.Logger.Error("the table refuses a row", "key", key, "err", err)
}

// LeaveFleet removes this gateway's row, so that the others use its shares of limits. It
// leaves the row that says that the gateway is out of rotation to its next process.
func (g *Gateway) LeaveFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fleetWriteTimeout)
	defer cancel()
	if _, err := g.opt.FleetTable.Commit(ctx, platform.Txn{Deletes: []string{fleet.RouterKey(g.opt.Host)}}); err != nil {
		g.opt.Logger.Info("failed to remove the row of this gateway", "err", err)
	}
}

// WatchFleet applies what other gateways publish until ctx ends.
func (g *Gateway) WatchFleet(ctx context.Context, source Feed) {
	watch(ctx, g, "fleet", source.Fleet, func(changes fleet.Changes) {
		g.applyFleet(changes)
		if changes.Complete {
			g.resumeRoom(time.Now())
		}
	})
}

func (g *Gateway) applyFleet(changes fleet.Changes) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	wasActive := g.fleet.Active()
	applied, err := g.fleet.Apply(now, changes)
	if err != nil {
		g.opt.Logger.Error("failed to decode a fleet row", "err", err)
	}
	if g.fleet.Active() && !wasActive {
		select {
		case g.activated <- struct{}{}:
		default:
		}
	}
	g.applyReports(now, applied.Rows)
	g.signalVersions()
	g.publishVersions()
	g.divideLimits(now)
	g.recordStreams()
	for _, target := range applied.Targets {
		t := g.targetNamed(target)
		if t == nil {
			continue
		}
		if g.fleetDraining(t) {
			g.setDraining(t, toldToOther)
		}
		limit, ok := g.fleetLimit(t)
		if !ok {
			limit = targets.NoRequestLimit
		}
		g.setLimit(t, limit, toldToOther)
		g.adoptFleetCold(now, t)
	}
}

// divideLimits applies this gateway's shares of limits. g.mu is held.
func (g *Gateway) divideLimits(now time.Time) {
	if shares, changed := g.fleet.Shares(now); changed {
		g.targetView.SetShares(shares, len(g.fleet.Routers(now)))
	}
}

// fleetDraining reports whether this start of a target has told any gateway that it is
// about to stop. g.mu is held.
func (g *Gateway) fleetDraining(t *targets.Target) bool {
	draining, ok := g.fleet.Draining(t.ID)
	return ok && draining.StartedMS == t.StartedMS
}

// fleetLimit returns the limit that this start of a target has named to any gateway.
// g.mu is held.
func (g *Gateway) fleetLimit(t *targets.Target) (perSecond float64, ok bool) {
	limit, ok := g.fleet.Limit(t.ID)
	return limit.PerSecond, ok && limit.StartedMS == t.StartedMS
}
