package router

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// quarantineKey identifies a request by its content.
func quarantineKey(req *request) quarantine.Key {
	return quarantine.Key{Team: req.Team, ContentHash: req.ContentHash}
}

// isQuarantined reports whether the request is refused because it crashes
// targets.
func (r *Router) isQuarantined(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashTracker.Quarantined(time.Now(), quarantineKey(req))
}

// isSuspect reports whether the request was in flight when a target crashed.
func (r *Router) isSuspect(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashTracker.Suspect(time.Now(), quarantineKey(req))
}

// clearSuspect removes the suspicion from a request that has run without a
// crash, here and at the peers. Peers that kept it would count later crashes
// caused by other requests against it.
func (r *Router) clearSuspect(req *request) {
	r.mu.Lock()
	cleared := r.crashTracker.Clear(quarantineKey(req))
	r.mu.Unlock()
	if cleared {
		r.notifyPeers(wire.MethodQuarantineReport, wire.QuarantineReport{
			Header: r.header(), Team: req.Team, ContentHash: req.ContentHash, Cleared: true,
		})
	}
}

// countRequestForRetries adds a request's share to the retry quota.
func (r *Router) countRequestForRetries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryQuota.RecordRequest(r.config.Current().CurrentPreset().RetryShare)
}

// mayRetry reports whether another attempt is allowed. Retries after the
// refusals listed here are free, because the target has done no work. Retries
// after a crash and retries of a suspect are bounded by the quarantine. All
// others are limited to a share of the requests.
func (r *Router) mayRetry(req *request, err error) bool {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.Fenced, errkind.Tombstoned, errkind.StaleConfig, errkind.TargetCrashed:
		return true
	}
	return r.isSuspect(req) || r.takeRetry()
}

// takeRetry reports whether the retry quota has a retry left, and deducts it.
func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryQuota.TakeRetry()
}
