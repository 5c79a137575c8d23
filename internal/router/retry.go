package router

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/wire"
)

func crashKey(req *request) quarantine.Key {
	return quarantine.Key{Team: req.Team, ContentHash: req.ContentHash}
}

func (r *Router) quarantined(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.Quarantined(time.Now(), crashKey(req))
}

func (r *Router) suspected(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.Suspect(time.Now(), crashKey(req))
}

// clearSuspect forgets a suspect that has run well, here and at the peers: they
// would otherwise add up the crashes of other requests against it.
func (r *Router) clearSuspect(req *request) {
	r.mu.Lock()
	cleared := r.crashes.Clear(crashKey(req))
	r.mu.Unlock()
	if cleared {
		r.notifyPeers(wire.MethodQuarantineReport, wire.QuarantineReport{
			Header: r.header(), Team: req.Team, ContentHash: req.ContentHash, Cleared: true,
		})
	}
}

func (r *Router) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries.RecordRequest(r.config.Current().CurrentPreset().RetryShare)
}

// mayRetry reports whether another attempt is allowed. A target that refused
// the run has done no work, so that attempt costs nothing, and attempts after
// a crash are bounded by the quarantine; the rest is a share of the requests.
func (r *Router) mayRetry(req *request, err error) bool {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.Fenced, errkind.Tombstoned, errkind.StaleConfig, errkind.TargetCrashed:
		return true
	}
	return r.suspected(req) || r.takeRetry()
}

func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retries.TakeRetry()
}
