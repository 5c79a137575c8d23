package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/feed"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// Feed is the source of the configuration, the registered targets and the rows of other
// routers.
type Feed interface {
	// Operator returns what the operator has changed since the given version of the source,
	// in the order of the changes. It waits up to wait for a change. If after is zero, or the
	// source was restored from an older copy since then, it returns all that is in force at
	// once. Keys are ConfigKey and those of EvacuationKey; orders that cannot be decoded have
	// any other key.
	Operator(ctx context.Context, after platform.Version, wait time.Duration) (OperatorChanges, error)
	// Targets returns the changed registrations in the same way, each with the id of its
	// target as its key.
	Targets(ctx context.Context, after platform.Version, wait time.Duration) (TargetChanges, error)
	// Fleet returns the changed rows with fleet.Prefix in the same way.
	Fleet(ctx context.Context, after platform.Version, wait time.Duration) (fleet.Changes, error)
}

// OperatorChanges are changes by the operator. Only the row with ConfigKey has a value.
type OperatorChanges = feed.Changes[*httproute.Config]

// TargetChanges are changes of registrations.
type TargetChanges = feed.Changes[Registered]

// Registered is a registration as it was decoded.
type Registered struct {
	targets.Registration
	Invalid int // values that make no sense and were ignored
}

// ConfigKey is the key of the configuration among the changes by the operator.
const ConfigKey = "configuration"

const evacuationPrefix = "evacuation/"

// EvacuationKey returns the key of the order to evacuate a failure domain.
func EvacuationKey(domain string) string { return evacuationPrefix + domain }

// Timing of the watches.
const (
	// longPollWait is how long the source holds a call while nothing changes. A
	// connection that stays silent for longPollMargin more is given up.
	longPollWait   = time.Second
	longPollMargin = 600 * time.Millisecond
	// heartbeatPause is the pause after a read of registrations that differ from the known
	// ones in nothing but their heartbeats. With many targets a heartbeat comes every few
	// milliseconds, and each gateway would read each by a call of its own.
	heartbeatPause = 200 * time.Millisecond
	// resyncInterval is the longest time between two reads of all rows of a table. It bounds
	// how long a view may differ from its table, whatever the cause.
	resyncInterval = 10 * time.Minute
	// resyncRetry is the pause after a read of all rows that failed. The feed goes on
	// meanwhile.
	resyncRetry = 30 * time.Second
	// feedRetryDelay is the pause after a failed call.
	feedRetryDelay = 150 * time.Millisecond
	// reregisterGrace is how long a registration may be missing after an outage of
	// the source: those that expired during the outage return within two seconds.
	reregisterGrace = 2 * time.Second
	// outageAftermath is how long after a failed call a missing registration may
	// still be a consequence of the outage.
	outageAftermath = 4 * time.Second
)

// WatchConfig keeps the configuration and the evacuated failure domains up to date until ctx ends.
func (g *Gateway) WatchConfig(ctx context.Context, source Feed) {
	watch(ctx, g, "configuration", source.Operator, g.applyOrders)
}

// applyOrders applies changes by the operator.
func (g *Gateway) applyOrders(changes OperatorChanges) {
	for _, change := range g.orders.Next(changes) {
		domain, isEvacuation := strings.CutPrefix(change.Key, evacuationPrefix)
		switch {
		case change.Err != nil && change.Key == ConfigKey:
			g.opt.Metrics.invalidOrders.Inc()
			g.opt.Logger.Error("failed to decode the configuration", "err", change.Err)
		case change.Err != nil:
			g.opt.Metrics.invalidOrders.Inc()
			g.opt.Logger.Warn("order of the operator names no failure domain", "key", change.Key, "err", change.Err)
		case isEvacuation:
			g.setEvacuated(domain, !change.Removed)
		case change.Key == ConfigKey && !change.Removed:
			g.SetConfig(change.Value)
		}
	}
}

// WatchTargets keeps the registered targets up to date until ctx ends.
func (g *Gateway) WatchTargets(ctx context.Context, source Feed) {
	var lastFailure time.Time
	read := func(ctx context.Context, after platform.Version, wait time.Duration) (TargetChanges, error) {
		changes, err := source.Targets(ctx, after, wait)
		if err != nil {
			lastFailure = time.Now()
		}
		return changes, err
	}
	watch(ctx, g, "targets", read, func(changes TargetChanges) {
		now := time.Now()
		if g.registrations.Restored(changes) {
			// Registrations that were written since the copy are missing until the targets
			// write them again.
			lastFailure = now
		}
		news := g.applyTargets(changes)
		g.recordTargetsRead(now)
		if now.Sub(lastFailure) < outageAftermath {
			g.RemoveMissingTargets(now.Add(-reregisterGrace))
		} else {
			g.RemoveMissingTargets(now)
		}
		if !news && len(changes.Rows) > 0 {
			timing.Sleep(ctx, heartbeatPause)
		}
	})
}

// applyTargets applies changes of registrations and derives the addresses of
// the relays, which run on the hosts of engines, from those of the targets. news reports
// whether there was more than heartbeats.
func (g *Gateway) applyTargets(changes TargetChanges) (news bool) {
	rows := g.registrations.Next(changes)
	for _, change := range rows {
		news = g.applyTarget(change) || news
	}
	if g.opt.Paths != nil && len(rows) > 0 {
		g.opt.Paths.setTargets(g.engineAddresses())
	}
	return news || changes.Complete
}

// applyTarget applies one change of a registration and reports whether it was more than a
// heartbeat.
func (g *Gateway) applyTarget(change feed.Change[Registered]) (news bool) {
	registration := change.Value.Registration
	g.opt.Metrics.invalidHeaders.Add(float64(change.Value.Invalid))
	switch {
	case change.Removed:
		g.opt.Logger.Info("registration gone", "target", change.Key)
		g.MarkTargetMissing(change.Key)
	case change.Err != nil:
		g.opt.Logger.Warn("failed to decode a registration", "target", change.Key, "err", change.Err)
		g.MarkTargetMissing(change.Key)
	case g.hasTarget(registration):
		return g.countDown(registration)
	default:
		g.PutTarget(registration)
		g.opt.Logger.Debug("target registered", "target", registration.ID, "service", registration.Service,
			"address", registration.Address, "draining", registration.Draining)
	}
	return true
}

// hasTarget reports whether a target is known exactly as registered, but for how long it is
// cold.
func (g *Gateway) hasTarget(registration targets.Registration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targetView.Has(registration)
}

// watch reads the changes of a table and applies them until ctx ends, and logs when the source
// fails and when it is back.
func watch[V any](ctx context.Context, g *Gateway, name string,
	read func(ctx context.Context, after platform.Version, wait time.Duration) (feed.Changes[V], error), apply func(feed.Changes[V]),
) {
	var after platform.Version
	var resyncAt time.Time
	lost := false
	for ctx.Err() == nil {
		from := after
		if now := time.Now(); now.After(resyncAt) {
			from, resyncAt = platform.Version{}, now.Add(resyncRetry)
		}
		callCtx, cancel := context.WithTimeout(ctx, longPollWait+longPollMargin)
		changes, err := read(callCtx, from, longPollWait)
		cancel()
		if err != nil {
			if !lost && ctx.Err() == nil {
				g.opt.Logger.Warn("source lost", "of", name, "err", err)
			}
			lost = true
			timing.Sleep(ctx, feedRetryDelay)
			continue
		}
		if lost {
			g.opt.Logger.Info("source back", "of", name)
		}
		lost = false
		if changes.Complete {
			// Not all routers read all rows at the same moment.
			resyncAt = time.Now().Add(resyncInterval/2 + rand.N(resyncInterval/2))
		}
		apply(changes)
		after = changes.Version
	}
}
