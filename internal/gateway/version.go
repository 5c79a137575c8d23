package gateway

import (
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/explain"
)

// streamOrigin is what is known of the software version that began a stream.
type streamOrigin struct {
	source  string // one of the origins; "" if nothing is known
	version string
}

// Sources of the version that began a stream. They are also the values of a metric
// label.
const (
	originUnknown = "unknown"
	originAnswer  = "answer" // an earlier part of the same answer
)

// recordVersion records which version begins a stream, and logs a stream that continues
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
	req.sentFrom = t
}
