package gateway

import (
	"context"
	"encoding/json"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/era"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// maxTargetsAge is the age from which what is known of the registrations may lack versions.
const maxTargetsAge = 2 * longPollWait

// knowsTargets reports whether the configuration was read and the known registrations are
// up to date. Otherwise a row that seems unused may be in use, and for how long rows are kept
// is not known. g.mu is held.
func (g *Gateway) knowsTargets(now time.Time) bool {
	return g.config.Load() != nil && now.Sub(g.targetsReadAt) <= maxTargetsAge
}

// isFirst reports whether this gateway is the first of the live ones, which removes rows
// that nobody needs. No gateway is before it has read which others there are. g.mu is held.
func (g *Gateway) isFirst(now time.Time) bool {
	return g.fleet.Synced() && g.fleet.Routers(now)[0] == g.opt.Host
}

// publishVersions tells the other gateways of versions that they have not told. g.mu is
// held.
func (g *Gateway) publishVersions() {
	for v := range g.targetView.Versions() {
		if !g.fleet.KnowsVersion(v) {
			g.publishVersion(v, 0)
		}
	}
}

// publishVersion writes the row of a version with what it says of restores. g.mu is held.
func (g *Gateway) publishVersion(v fleet.ServiceVersion, settledEra int64) {
	value, err := json.Marshal(v.Row(settledEra))
	if err != nil {
		g.opt.Logger.Error("failed to encode the row of a version", "err", err)
		return
	}
	g.publications.add(v.Key(), value)
}

// settleVersions notes in the rows of versions that a restore of the table does not matter
// any more. g.mu is held.
func (g *Gateway) settleVersions(now time.Time) {
	if !g.knowsTargets(now) {
		return
	}
	versions, settledEra := g.fleet.UnsettledVersions(now, g.targetView.HasVersion, g.streamRetention())
	for _, v := range versions {
		g.publishVersion(v, settledEra)
	}
}

// recordWritten records the rows that a transaction has written.
func (g *Gateway) recordWritten(puts []platform.Put, versions map[string]era.Version) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, put := range puts {
		if err := g.fleet.RecordWritten(fleet.Row{Key: put.Key, Value: put.Value, Version: versions[put.Key]}); err != nil {
			g.opt.Logger.Error("failed to decode a row of this gateway", "key", put.Key, "err", err)
		}
	}
	g.signalVersions()
}

// signalVersions wakes the requests that wait for rows of versions. g.mu is held.
func (g *Gateway) signalVersions() {
	close(g.versionsWritten)
	g.versionsWritten = make(chan struct{})
}

// awaitWrittenVersion waits until a stream may begin at a target whose version has no row
// yet. Without the row a stream that is taken up after the end of this gateway might go on
// at another version. It reports false if there is no such target or that takes too long.
func (g *Gateway) awaitWrittenVersion(ctx context.Context, req *request) bool {
	began := time.Now()
	defer func() { req.targetWait += time.Since(began) }()
	ctx, cancel := context.WithTimeout(ctx, req.route.LatencyObjective/targetWaitDivisor-req.targetWait)
	defer cancel()
	q := g.targetQuery(req)
	for waited := false; ; waited = true {
		g.mu.Lock()
		unwritten := g.targetView.Reasons(time.Now(), q)[targets.ReasonUnwritten] > 0
		written := g.versionsWritten
		g.mu.Unlock()
		if !unwritten {
			return waited
		}
		select {
		case <-written:
		case <-ctx.Done():
			return false
		}
	}
}

// recordTargetsRead notes that the registrations were read.
func (g *Gateway) recordTargetsRead(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targetsReadAt = now
}

// removeExpiredVersions removes the rows of versions that have not served for the
// retention, if this gateway is the first of the live ones.
func (g *Gateway) removeExpiredVersions(ctx context.Context) {
	for v, row := range g.expiredVersions(time.Now()) {
		// A gateway that sees the version again writes the row again. The condition keeps a
		// call that takes effect late from removing that.
		txn := platform.Txn{Conditions: []platform.Condition{{Key: v.Key(), Version: row}}, Deletes: []string{v.Key()}}
		callCtx, cancel := context.WithTimeout(ctx, fleetWriteTimeout)
		_, err := g.opt.FleetTable.Commit(callCtx, txn)
		cancel()
		if err != nil {
			g.opt.Logger.Debug("failed to remove the row of a version", "version", v, "err", err)
		}
	}
}

// expiredVersions returns the versions whose rows this gateway is to remove, with the
// versions of the rows.
func (g *Gateway) expiredVersions(now time.Time) map[fleet.ServiceVersion]era.Version {
	g.mu.Lock()
	defer g.mu.Unlock()
	unused := g.fleet.ExpiredVersions(now, g.targetView.HasVersion, g.streamRetention())
	if !g.knowsTargets(now) || !g.isFirst(now) {
		return nil
	}
	expired := map[fleet.ServiceVersion]era.Version{}
	for _, v := range unused {
		expired[v] = g.fleet.RowOfVersion(v)
	}
	return expired
}
