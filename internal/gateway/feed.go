package gateway

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// Feed is the source of the configuration and of the registered targets.
type Feed interface {
	// Config returns the newest document that was written after a version of
	// the source, nil if there is none, and the version up to which it looked.
	// It waits up to wait for one. From 0 it returns what stands.
	Config(ctx context.Context, after int64, wait time.Duration) (*httproute.Config, int64, error)
	// Targets returns the changes of registrations in the same way.
	Targets(ctx context.Context, after int64, wait time.Duration) (TargetChanges, int64, error)
	// Crashes returns the rows with CrashPrefix in the same way.
	Crashes(ctx context.Context, after int64, wait time.Duration) ([]platform.Row, int64, error)
}

// TargetChanges are changes of registrations.
type TargetChanges struct {
	Complete   bool // Present is all that stands
	Present    []targets.Registration
	Missing    []string
	Unreadable []UnreadableEntry
}

// UnreadableEntry is a registration that names no target.
type UnreadableEntry struct {
	ID    string
	Cause error
}

// Times of the watch.
const (
	// feedWait is how long the source holds a call without a change. A silent
	// connection is noticed feedMargin later.
	feedWait   = time.Second
	feedMargin = 600 * time.Millisecond
	// feedPause follows a failure.
	feedPause = 150 * time.Millisecond
	// returnGrace is how long a registration may be missing after the source
	// has come back: those that lapsed meanwhile return within two seconds.
	returnGrace = 2 * time.Second
	// outageMemory is how long after a failure of the source a missing
	// registration may be due to it.
	outageMemory = 4 * time.Second
)

// WatchConfig keeps the configuration up to date until ctx ends.
func (g *Gateway) WatchConfig(ctx context.Context, f Feed) {
	g.watch(ctx, "configuration", func(ctx context.Context, after int64) (int64, error) {
		d, next, err := f.Config(ctx, after, feedWait)
		if err == nil && d != nil {
			g.SetConfig(d)
		}
		return next, err
	})
}

// WatchTargets keeps the registered targets up to date until ctx ends.
func (g *Gateway) WatchTargets(ctx context.Context, f Feed) {
	var lastFailure time.Time
	g.watch(ctx, "targets", func(ctx context.Context, after int64) (int64, error) {
		changes, next, err := f.Targets(ctx, after, feedWait)
		now := time.Now()
		if err != nil {
			lastFailure = now
			return next, err
		}
		g.applyTargets(changes)
		if now.Sub(lastFailure) < outageMemory {
			g.RemoveMissingTargets(now.Add(-returnGrace))
		} else {
			g.RemoveMissingTargets(now)
		}
		return next, nil
	})
}

func (g *Gateway) applyTargets(c TargetChanges) {
	present := map[string]bool{}
	for _, e := range c.Present {
		present[e.ID] = true
		g.PutTarget(e)
		g.opt.Logger.Debug("target registered", "target", e.ID, "service", e.Service, "address", e.Address, "draining", e.Draining)
	}
	for _, u := range c.Unreadable {
		g.opt.Logger.Warn("registration not readable", "target", u.ID, "err", u.Cause)
		g.MarkTargetMissing(u.ID)
	}
	for _, id := range c.Missing {
		g.opt.Logger.Info("registration gone", "target", id)
		g.MarkTargetMissing(id)
	}
	if c.Complete {
		for _, id := range g.TargetIDs() {
			if !present[id] {
				g.MarkTargetMissing(id)
			}
		}
	}
	if g.opt.Paths != nil && len(c.Present) > 0 {
		g.opt.Paths.setTargets(g.engineAddresses())
	}
}

// watch calls step until ctx ends and logs the loss and return of the source.
func (g *Gateway) watch(ctx context.Context, what string, step func(ctx context.Context, after int64) (int64, error)) {
	var after int64
	lost := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, feedWait+feedMargin)
		next, err := step(call, after)
		cancel()
		if err != nil {
			if !lost && ctx.Err() == nil {
				g.opt.Logger.Warn("source lost", "of", what, "err", err)
			}
			lost = true
			timing.Sleep(ctx, feedPause)
			continue
		}
		if lost {
			g.opt.Logger.Info("source back", "of", what)
		}
		lost = false
		after = next
	}
}
