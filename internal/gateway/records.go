package gateway

import (
	"context"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// Timing of the records of streams.
const (
	minFlushInterval = 250 * time.Millisecond
	// flushIntervalPerGateway keeps the writes of all gateways to half of what a part of
	// the table accepts, 200 a second.
	flushIntervalPerGateway = 10 * time.Millisecond
	// recordWriteTime is how long a write of records takes at most while the table is well.
	recordWriteTime = 150 * time.Millisecond
	// recordReadInterval is the pause between two reads of the records by a request that
	// waits for one.
	recordReadInterval = 100 * time.Millisecond
)

// streamRecords are the records of streams and the rows of versions of all gateways as
// last read.
type streamRecords struct {
	mu       sync.Mutex // held while they are read
	readFrom time.Time  // when the read began
	streams  fleet.Recorded
	versions []fleet.Row
}

// read returns the records and the rows as of a time or later. Requests that wait for the
// same read share it.
func (s *streamRecords) read(ctx context.Context, table platform.Table, asOf time.Time) (fleet.Recorded, []fleet.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readFrom.Before(asOf) {
		return s.streams, s.versions, nil
	}
	began := time.Now()
	streamRows, err := scanFleet(ctx, table, fleet.StreamPrefix)
	if err != nil {
		return s.streams, nil, err
	}
	versions, err := scanFleet(ctx, table, fleet.VersionPrefix)
	if err != nil {
		return s.streams, nil, err
	}
	streams, err := fleet.DecodeStreams(streamRows)
	s.readFrom, s.streams, s.versions = began, streams, versions
	return streams, versions, err
}

// scanFleet reads all rows with a prefix.
func scanFleet(ctx context.Context, table platform.Table, prefix string) ([]fleet.Row, error) {
	stored, err := platform.ScanAll(ctx, table, prefix)
	if err != nil {
		return nil, err
	}
	rows := make([]fleet.Row, len(stored))
	for i, row := range stored {
		rows[i] = fleet.Row{Key: row.Key, Value: row.Value, Version: row.Version}
	}
	return rows, nil
}

// flushInterval returns the time between two writes of this gateway's records.
func (g *Gateway) flushInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(minFlushInterval, time.Duration(len(g.fleet.Routers(time.Now())))*flushIntervalPerGateway)
}

// RecordStreams writes the versions that began this gateway's streams until ctx ends, and
// removes records that are too old.
func (g *Gateway) RecordStreams(ctx context.Context) {
	var sweep recordSweep
	ticker := time.NewTicker(minStreamRetention)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.recordsDue:
			if timing.Sleep(ctx, g.flushInterval()) {
				g.flushStreams(ctx)
			}
		case <-ticker.C:
			if !g.mayRemoveRecords() {
				continue
			}
			if err := sweep.run(ctx, g.opt.FleetTable, time.Now(), g.streamRetention()); err != nil {
				g.opt.Logger.Debug("failed to remove old records of streams", "err", err)
			}
		}
	}
}

func (g *Gateway) flushStreams(ctx context.Context) {
	g.mu.Lock()
	row, ok, err := g.streams.Flush(time.Now())
	g.mu.Unlock()
	if err != nil {
		g.opt.Logger.Error("failed to encode the records of streams", "err", err)
	}
	for ok && ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, fleetWriteTimeout)
		_, err := g.opt.FleetTable.Commit(callCtx, platform.Txn{Puts: []platform.Put{{Key: row.Key, Value: row.Value}}})
		cancel()
		if err == nil {
			return
		}
		if errkind.Is(err, errkind.PlatformRefused) {
			g.giveUpRow(platform.Txn{Puts: []platform.Put{{Key: row.Key, Value: row.Value}}}, err)
			return
		}
		g.opt.Logger.Debug("failed to record streams", "err", err)
		timing.Sleep(ctx, fleetRetryDelay)
	}
}

// mayRemoveRecords reports whether this gateway is the one that removes old records.
func (g *Gateway) mayRemoveRecords() bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.knowsTargets(now) && g.isFirst(now)
}

// recordSweep removes records that have not changed between two of its reads.
type recordSweep struct {
	readAt time.Time
	rows   map[string]platform.Version
}

func (s *recordSweep) run(ctx context.Context, table platform.Table, now time.Time, retention time.Duration) error {
	if now.Sub(s.readAt) < retention {
		return nil
	}
	s.readAt = now
	ctx, cancel := context.WithTimeout(ctx, fleetWriteTimeout)
	defer cancel()
	rows, err := platform.ScanAll(ctx, table, fleet.StreamPrefix)
	if err != nil {
		return err
	}
	before := s.rows
	s.rows = map[string]platform.Version{}
	var txn platform.Txn
	for _, row := range rows {
		if version, ok := before[row.Key]; ok && version == row.Version && len(txn.Deletes) < maxFleetWrites {
			txn.Deletes = append(txn.Deletes, row.Key)
			continue
		}
		s.rows[row.Key] = row.Version
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, err = table.Commit(ctx, txn)
	return err
}
