package router

import (
	"fmt"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

// quarantineKey identifies a request by its content.
func quarantineKey(req *request) quarantine.Key {
	return quarantine.Key{Team: req.Team, ContentHash: req.ContentHash}
}

// quarantineError returns the error of a request that is refused because it, or a part
// of its prompt, crashes targets, or nil. ran says whether the request has run.
func (r *Router) quarantineError(req *request, ran errkind.Ran) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	detail := ""
	switch part := r.parts.Find(req.parts); {
	case r.crashTracker.Quarantined(time.Now(), quarantineKey(req)):
		detail = "the request crashed the targets that ran it"
	case part >= 0:
		detail = fmt.Sprintf("targets crash that read message %d of the prompt", part+1)
	default:
		return nil
	}
	return &errkind.Error{Kind: errkind.RequestQuarantined, Detail: detail, Ran: ran}
}

// isSuspect reports whether the request was in flight when a target crashed.
func (r *Router) isSuspect(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashTracker.Suspect(time.Now(), quarantineKey(req))
}

// clearSuspect removes the suspicion from a request that has run without a
// crash, and from the parts of its prompt, here and at the peers. Peers that kept it would count later crashes
// caused by other requests against it.
func (r *Router) clearSuspect(req *request) {
	r.mu.Lock()
	cleared := r.crashTracker.Clear(quarantineKey(req))
	r.mu.Unlock()
	if parts := r.clearParts(req.parts); cleared || len(parts) > 0 {
		r.reportCleared(req, parts)
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
