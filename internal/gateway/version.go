package gateway

import (
	"context"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/explain"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// streamOrigin is what is known of the software version that began a stream.
type streamOrigin struct {
	source  string // one of the sources below; "" if nothing is known
	version string
}

// Sources of the version that began a stream. They are also the values of a metric
// label.
const (
	originUnknown     = "unknown"
	originAnswer      = "answer"       // an earlier part of the same answer
	originGateway     = "gateway"      // this gateway began or continued the stream
	originTable       = "table"        // the gateway that began it has recorded it
	originOnlyVersion = "only_version" // no other version has served lately
)

// Timing of the records of streams.
const (
	minFlushInterval = 250 * time.Millisecond
	// flushIntervalPerGateway keeps the writes of all gateways to half of what a part of
	// the table accepts, 200 a second.
	flushIntervalPerGateway = 10 * time.Millisecond
	// recordReadInterval is the pause between two reads of the records by a request that
	// waits for one.
	recordReadInterval = 100 * time.Millisecond
	recordReadTimeout  = 500 * time.Millisecond
	// maxFleetAge is the age from which what is known of other gateways may lack versions.
	maxFleetAge = 2 * longPollWait
	// minStreamRetention is the least time for which versions and streams are remembered.
	minStreamRetention = 10 * time.Second
	// retentionFactor covers callers who take up a stream in several attempts.
	retentionFactor = 2
)

// streamRetention returns how long a stream may be taken up after it began.
func (g *Gateway) streamRetention() time.Duration {
	longest := time.Duration(0)
	if config := g.config.Load(); config != nil {
		for _, route := range config.Routes {
			if route.Resumable {
				longest = max(longest, route.Timeout)
			}
		}
	}
	return max(retentionFactor*longest, minStreamRetention)
}

// versions returns the versions of a service that serve or served lately, as far as this
// gateway knows. g.mu is held.
func (g *Gateway) versions(service string) []string {
	versions := g.targetView.Versions(service)
	for _, v := range g.fleet.Versions(service) {
		if !g.targetView.HasVersion(fleet.ServiceVersion{Service: service, Version: v}) {
			versions = append(versions, v)
		}
	}
	return versions
}

// recordVersion remembers which version begins a stream, and logs a stream that continues
// at another target than before.
func (g *Gateway) recordVersion(req *request, t *targets.Target) {
	if req.sentFrom == t {
		return
	}
	if req.sentFrom != nil || req.meta.LastEventID >= 0 {
		source, version := req.origin.source, "other"
		switch {
		case source == "":
			source, version = originUnknown, "unknown"
		case req.origin.version == t.Version:
			version = "same"
		}
		g.opt.Metrics.continued.WithLabelValues(source, version).Inc()
		g.opt.Logger.Info(explain.MessageContinues, "request", req.meta.RequestID, "begun_by", req.meta.BegunBy, "event", req.lastEvent,
			"target", t.ID, "version", t.Version, "origin", source, "began_at", req.origin.version)
	}
	if req.origin.source == "" {
		req.origin = streamOrigin{originAnswer, t.Version}
	}
	if req.sentFrom == nil && req.route.Resumable {
		g.mu.Lock()
		g.streams.Begin(time.Now(), req.streamID(), t.Service, t.Version, len(g.versions(t.Service)) > 1, g.streamRetention())
		g.mu.Unlock()
	}
	req.sentFrom = t
}

// forgetStream notes that a stream was sent whole.
func (g *Gateway) forgetStream(req *request) {
	if req.route.Resumable {
		g.mu.Lock()
		g.streams.End(req.streamID())
		g.mu.Unlock()
	}
}

// streamID returns the id of the request that began the stream.
func (req *request) streamID() string {
	if req.meta.LastEventID >= 0 && req.meta.BegunBy != "" {
		return req.meta.BegunBy
	}
	return req.meta.RequestID
}

// recordStreams records the streams in progress of the services of which a second version
// has come into sight. g.mu is held.
func (g *Gateway) recordStreams() {
	config := g.config.Load()
	if config == nil {
		return
	}
	for service := range config.Services {
		several := len(g.versions(service)) > 1
		if several && !g.severalVersions[service] {
			g.streams.RecordAll(service)
		}
		g.severalVersions[service] = several
	}
}

// findOrigin returns the version at which a stream that a caller takes up must go on. It
// fails if that is not known: "unknown" must not become "any".
func (g *Gateway) findOrigin(ctx context.Context, req *request) (streamOrigin, error) {
	g.mu.Lock()
	version, ok := g.streams.Version(req.streamID())
	versions := g.versions(req.service.Name)
	g.mu.Unlock()
	switch {
	case ok:
		return streamOrigin{originGateway, version}, nil
	case req.meta.BegunBy != "":
		return g.findRecordedOrigin(ctx, req)
	case len(versions) == 1:
		return streamOrigin{originOnlyVersion, versions[0]}, nil
	}
	return streamOrigin{}, errkind.New(errkind.VersionUnknown, "several versions serve, and the caller does not name the request that began the stream")
}

// findRecordedOrigin reads the records of all gateways until one names the stream, or
// until the gateway that began it must have recorded it.
func (g *Gateway) findRecordedOrigin(ctx context.Context, req *request) (streamOrigin, error) {
	deadline := time.Now().Add(2 * g.flushInterval())
	for {
		recorded, err := g.records.read(ctx, g.opt.FleetTable, time.Now())
		if version, ok := recorded.Version(req.meta.BegunBy); ok {
			return streamOrigin{originTable, version}, nil
		}
		if err == nil {
			if version, ok := g.onlyVersion(req.service.Name); ok {
				return streamOrigin{originOnlyVersion, version}, nil
			}
		}
		if time.Now().Add(recordReadInterval).Before(deadline) && timing.Sleep(ctx, recordReadInterval) {
			continue
		}
		if err != nil {
			return streamOrigin{}, errkind.Wrap(err, errkind.PlatformUnavailable, "the version that began the stream cannot be read")
		}
		return streamOrigin{}, errkind.New(errkind.VersionUnknown, "several versions serve, and none is recorded for the stream")
	}
}

// onlyVersion returns the version of a service if it is certain that no other serves or
// served lately.
func (g *Gateway) onlyVersion(service string) (version string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	versions := g.versions(service)
	if len(versions) != 1 || time.Since(g.fleetReadAt) > maxFleetAge {
		return "", false
	}
	return versions[0], true
}

// streamRecords are the records of streams of all gateways as last read.
type streamRecords struct {
	mu       sync.Mutex // held while they are read
	readFrom time.Time  // when the read began
	latest   fleet.Recorded
}

// read returns the records as of a time or later. Requests that wait for the same read
// share it.
func (s *streamRecords) read(ctx context.Context, table platform.Table, asOf time.Time) (fleet.Recorded, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readFrom.Before(asOf) {
		return s.latest, nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordReadTimeout)
	defer cancel()
	began := time.Now()
	stored, err := platform.ScanAll(ctx, table, fleet.StreamPrefix)
	if err != nil {
		return s.latest, err
	}
	rows := make([]fleet.Row, len(stored))
	for i, row := range stored {
		rows[i] = fleet.Row{Key: row.Key, Value: row.Value}
	}
	recorded, err := fleet.DecodeStreams(rows)
	s.readFrom, s.latest = began, recorded
	return recorded, err
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
	for timing.Sleep(ctx, g.flushInterval()) {
		g.flushStreams(ctx)
		if g.mayRemoveRecords() {
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
		g.opt.Logger.Debug("failed to record streams", "err", err)
		timing.Sleep(ctx, fleetRetryDelay)
	}
}

// mayRemoveRecords reports whether this gateway is the one that removes old records.
func (g *Gateway) mayRemoveRecords() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Routers(time.Now())[0] == g.opt.Host
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
