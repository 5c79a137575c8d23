package escrow

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// maxScanGapIntervals is the longest time between two scans that counts as
// observed time, in scan intervals. A longer gap does not count, because an
// observer that was paused or cut off has seen nothing in between.
const maxScanGapIntervals = 3

// observedRow is the state of a holder row as the observer has seen it.
type observedRow struct {
	version      platform.Version
	unchangedFor time.Duration // observed time since this version was first seen
}

// observer watches the holder rows of other routers for leases that time out.
type observer struct {
	rows       map[string]observedRow
	lastScan   time.Time       // zero before the first scan and after a failed one
	fencedHere map[string]bool // holders that this router has fenced, or may have
	recovering map[string]bool // holders with a recovery in progress; guarded by Manager.mu
}

func (o *observer) init() {
	o.rows = map[string]observedRow{}
	o.fencedHere = map[string]bool{}
	o.recovering = map[string]bool{}
}

// recordScan records a scan and returns the observed time since the previous one.
func (o *observer) recordScan(now time.Time, interval time.Duration) time.Duration {
	gap := now.Sub(o.lastScan)
	if o.lastScan.IsZero() || gap > maxScanGapIntervals*interval {
		gap = 0
	}
	o.lastScan = now
	return gap
}

// observeRow adds observed time to a row and returns the observed time for
// which the row has not changed.
func (o *observer) observeRow(row platform.Row, gap time.Duration) time.Duration {
	observed := o.rows[row.Key]
	if observed.version != row.Version {
		observed = observedRow{version: row.Version}
	} else {
		observed.unchangedFor += gap
	}
	o.rows[row.Key] = observed
	return observed.unchangedFor
}

// observeLoop scans the holder rows periodically until the context ends.
func (m *Manager) observeLoop(ctx context.Context) {
	if m.opt.Fencer == nil {
		return
	}
	interval := m.opt.LeaseTimeout / scansPerLease
	for timing.Sleep(ctx, interval) {
		if err := m.scanHolders(ctx, interval); err != nil {
			m.observer.lastScan = time.Time{}
			m.opt.Logger.Warn("scanning holder rows failed", "err", err)
		}
	}
}

// scanHolders scans the holder rows once, fences holders whose lease has timed
// out and recovers fenced ones. The router that has fenced a holder recovers
// it. If the row stays fenced for another lease timeout, the other routers
// recover it too.
func (m *Manager) scanHolders(ctx context.Context, interval time.Duration) error {
	rows, err := platform.ScanAll(ctx, m.opt.Table, holderPrefix)
	if err != nil {
		return err
	}
	gap := m.observer.recordScan(m.opt.Clock(), interval)
	ownID := m.Incarnation()
	for _, row := range rows {
		var holder member.HolderRow
		if err := decode(row, &holder); err != nil {
			return err
		}
		if holder.Incarnation == ownID || holder.State == member.HolderClosed {
			delete(m.observer.rows, row.Key)
			delete(m.observer.fencedHere, holder.Incarnation)
			continue
		}
		timedOut := m.observer.observeRow(row, gap) >= m.opt.LeaseTimeout
		if isLive(holder) && timedOut {
			m.fence(ctx, row, holder)
			continue
		}
		if !isLive(holder) && (timedOut || m.observer.fencedHere[holder.Incarnation]) {
			m.startRecovery(ctx, holder, row.Version)
		}
	}
	return nil
}

// fence marks a holder as fenced and starts its recovery. A lost answer needs
// no read-back, because the next scan reads the row.
func (m *Manager) fence(ctx context.Context, row platform.Row, holder member.HolderRow) {
	holder.State = member.HolderFenced
	res, err := m.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: row.Key, Version: row.Version}},
		Puts:       []platform.Put{{Key: row.Key, Value: encode(holder)}, memberVersionPut()},
	})
	if errkind.Is(err, errkind.PlatformUncertain) {
		m.observer.fencedHere[holder.Incarnation] = true
	}
	if err != nil || !res.Committed {
		return
	}
	m.observer.fencedHere[holder.Incarnation] = true
	m.opt.Logger.Warn("holder fenced", "holder", holder.Incarnation, "host", holder.Host)
	m.startRecovery(ctx, holder, res.Versions[row.Key])
}

// isLive reports whether the holder of a row is neither fenced nor closed.
func isLive(row member.HolderRow) bool { return row.State == member.HolderLive }

// startRecovery recovers a holder in the background, unless this router is
// already recovering it. version is the version of the fenced holder row.
func (m *Manager) startRecovery(ctx context.Context, holder member.HolderRow, version platform.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := holder.Incarnation
	if m.observer.recovering[id] {
		return
	}
	m.observer.recovering[id] = m.spawn(func() {
		err := m.recoverHolder(ctx, holder, version)
		if err != nil {
			m.opt.Logger.Warn("recovery postponed", "holder", id, "err", err)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.observer.recovering, id)
	})
}
