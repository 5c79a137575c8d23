package gateway

import (
	"context"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/explain"
	"tarragonridge.example/tarragonridge/internal/timing"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

// streamOrigin is what is known of the targets that began a stream.
type streamOrigin struct {
	source string // one of the sources below; "" if nothing is known
	fleet.ServiceVersion
}

// Sources of the origin of a stream. They are also the values of a metric
// label.
const (
	originUnknown     = "unknown"
	originAnswer      = "answer"       // an earlier part of the same answer
	originGateway     = "gateway"      // this gateway began or continued the stream
	originTable       = "table"        // the gateway that began it has recorded it
	originOnlyVersion = "only_version" // no other version has served lately
)

// Times for which versions are remembered.
const (
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
// gateway knows, in order. g.mu is held.
func (g *Gateway) versions(service string) []string {
	versions := g.fleet.Versions(service)
	for v := range g.targetView.Versions() {
		if v.Service == service {
			versions = append(versions, v.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
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
		case req.origin.Version == t.Version:
			version = "same"
		}
		g.opt.Metrics.continued.WithLabelValues(source, version).Inc()
		g.opt.Logger.Info(explain.MessageContinues, "request", req.meta.RequestID, "begun_by", req.meta.BegunBy, "event", req.lastEvent,
			"target", t.ID, "version", t.Version, "origin", source, "began_at", req.origin.Version)
	}
	if req.origin.source == "" {
		req.origin = streamOrigin{originAnswer, t.ServiceVersion()}
	}
	if req.sentFrom == nil && req.route.Resumable {
		g.mu.Lock()
		g.streams.Begin(time.Now(), req.streamID(), t.ServiceVersion(), g.severalVersions[t.Service], g.streamRetention())
		g.signalRecords()
		g.mu.Unlock()
	}
	req.sentFrom = t
}

// targetIdentity returns the check that a target has not started again with other software
// since it registered, which a stream needs that may be continued at another target.
func (g *Gateway) targetIdentity(req *request, t *targets.Target) *upstream.Identity {
	if !req.route.Resumable || req.service.Slots == 0 || req.targetStart == 0 {
		return nil
	}
	return g.startIdentity(t, req.targetStart)
}

// startIdentity returns the check that a connection to an engine leads to one of its starts.
func (g *Gateway) startIdentity(t *targets.Target, startedMS int64) *upstream.Identity {
	return &upstream.Identity{Start: startedMS, Head: g.opt.Codec.StartRequest(t.Address), Parse: g.opt.Codec.ParseStart}
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
	g.signalRecords()
}

// signalRecords wakes RecordStreams if there is something to write. g.mu is held.
func (g *Gateway) signalRecords() {
	if !g.streams.Pending() {
		return
	}
	select {
	case g.recordsDue <- struct{}{}:
	default:
	}
}

// continueStream finds the origin of a stream that a caller takes up, and binds the request
// to its service and version. It fails if the origin is not known or the route no longer
// leads there, since the stream must not go on at another version or service.
func (g *Gateway) continueStream(ctx context.Context, req *request) error {
	origin, err := g.findOrigin(ctx, req)
	if err != nil {
		return err
	}
	if !req.route.LeadsTo(origin.Service) {
		return errkind.New(errkind.VersionUnknown, "the route no longer leads to the service %s, which began the stream", origin.Service)
	}
	req.origin = origin
	req.service = g.config.Load().Services[origin.Service]
	return nil
}

func (g *Gateway) findOrigin(ctx context.Context, req *request) (streamOrigin, error) {
	g.mu.Lock()
	at, ok := g.streams.Origin(req.streamID())
	g.mu.Unlock()
	if ok {
		return streamOrigin{originGateway, at}, nil
	}
	return g.findRecordedOrigin(ctx, req)
}

// findRecordedOrigin reads the records of all gateways until one names the stream, or
// until the gateway that began it must have recorded it. A stream that the caller does not
// name has no record that could come later.
func (g *Gateway) findRecordedOrigin(ctx context.Context, req *request) (streamOrigin, error) {
	ctx, cancel := context.WithTimeout(ctx, g.flushInterval()+recordWriteTime)
	defer cancel()
	for {
		recorded, versions, err := g.records.read(ctx, g.opt.FleetTable, time.Now())
		if at, ok := recorded.Origin(req.meta.BegunBy); ok {
			return streamOrigin{originTable, at}, nil
		}
		if err == nil {
			if at, ok := g.onlyVersion(req.service.Name, versions); ok {
				return streamOrigin{originOnlyVersion, at}, nil
			}
		}
		if (err != nil || req.meta.BegunBy != "") && timing.Sleep(ctx, recordReadInterval) {
			continue
		}
		if err != nil {
			return streamOrigin{}, errkind.Wrap(err, errkind.PlatformUnavailable, "the version that began the stream cannot be read")
		}
		return streamOrigin{}, errkind.New(errkind.VersionUnknown, "another version may have begun the stream, and none is recorded for it")
	}
}

// onlyVersion returns the version of a service if it is certain that no other serves or
// served lately. Rows are those of versions, read after the request arrived: what the feeds
// have delivered may lack the version that began the stream.
func (g *Gateway) onlyVersion(service string, rows []fleet.Row) (at fleet.ServiceVersion, ok bool) {
	at, ok = fleet.OnlyVersion(service, rows)
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.versions(service)
	return at, ok && !slices.ContainsFunc(known, func(version string) bool { return version != at.Version })
}
