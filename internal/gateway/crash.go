package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// CrashPrefix is the key prefix of the rows that hold crash reports. There is one
// row for each request, identified by its content.
const CrashPrefix = "crash/"

// Timing and limits of the handling of crashes.
const (
	// brokenRunWindow is the period in which all broken runs at a target are
	// attributed to the same crash.
	brokenRunWindow = 500 * time.Millisecond
	// crashCheckDelay gives the other runs at the target time to break as well.
	crashCheckDelay = 40 * time.Millisecond
	// crashStoreTimeout, times maxStoreAttempts, bounds the check of a target together
	// with the writes of its crash reports.
	crashStoreTimeout = time.Second
	// maxStoreAttempts bounds the attempts to store a report, which fail if another
	// router changes the row at the same time.
	maxStoreAttempts = 4
)

// brokenRun is a run (an attempt that may have reached its target) without a whole
// answer, for another reason than a timeout. The target may have crashed.
type brokenRun struct {
	key     quarantine.Key
	request string // ID of the request
	parts   []quarantine.Part
	partIDs []string // as the caller names them
	state   runState
	events  int64 // events that came, also those of earlier runs
	at      time.Time
}

// crashRow is the stored form of the crash reports about one request.
type crashRow struct {
	Crashes []string `json:"crashes"` // sorted crash IDs
}

// recordBrokenRun records a broken run and, for the first one at a target,
// schedules a check whether the target has crashed. A target that only lost an
// answer still accepts connections. g.mu is held.
func (g *Gateway) recordBrokenRun(req *request, t *targets.Target) {
	now := time.Now()
	var recent []brokenRun
	for _, b := range g.brokenRuns[t.ID] {
		if now.Sub(b.at) < brokenRunWindow {
			recent = append(recent, b)
		}
	}
	run := brokenRun{key: req.crashKey, request: req.meta.RequestID, parts: req.parts, state: req.run, events: req.eventsSent, at: now}
	for i := range req.parts {
		run.partIDs = append(run.partIDs, req.meta.SharedPromptParts[i].ID)
	}
	g.brokenRuns[t.ID] = append(recent, run)
	if len(recent) == 0 {
		registration := t.Registration
		time.AfterFunc(crashCheckDelay, func() { g.checkCrash(registration) })
	}
}

// checkCrash reports the broken runs at a target if the target no longer
// accepts connections.
func (g *Gateway) checkCrash(registration targets.Registration) {
	ctx, cancel := context.WithTimeout(context.Background(), maxStoreAttempts*crashStoreTimeout)
	defer cancel()
	err := g.pool.Probe(ctx, registration.Address)
	g.mu.Lock()
	runs := g.brokenRuns[registration.ID]
	delete(g.brokenRuns, registration.ID)
	g.mu.Unlock()
	if err == nil {
		return
	}
	g.opt.Logger.Warn("target has crashed", "target", registration.ID, "runs", len(runs), "cause", err)
	g.opt.Metrics.crashes.Inc()
	// The ID identifies this start of the target, so that reports of several routers
	// about a crash count once.
	crashID := registration.ID + "/" + time.UnixMilli(registration.StartedMS).UTC().Format(time.RFC3339Nano)
	for _, run := range runs {
		// The runs of other routers at the target are not known here, so Alone (no other
		// request explains the crash) stays false.
		crash := quarantine.Crash{Key: run.key, ID: crashID}
		g.recordCrash(crash, reportedHere)
		g.reportParts(run, crashID)
		g.logCrashSuspect(run, crashID)
		if err := g.storeCrashReport(ctx, crash); err != nil {
			g.opt.Logger.Warn("failed to store a crash report", "team", crash.Team, "hash", crash.ContentHash, "err", err)
		}
	}
}

// Where crash reports come from, as metrics tell it.
const (
	reportedHere  = "here"
	reportedOther = "other" // by another gateway, or by an earlier process
)

// logCrashSuspect logs a request that was in flight at a crash, and how many crashes
// all gateways have counted against its content.
func (g *Gateway) logCrashSuspect(run brokenRun, crashID string) {
	g.mu.Lock()
	crashes := g.quarantine.Crashes(run.key)
	g.mu.Unlock()
	g.opt.Logger.Info("in flight at a crash", "request", run.request, "team", run.key.Team, "hash", run.key.ContentHash,
		"parts", strings.Join(run.partIDs, ","), "begun", run.state.begun, "events", run.events, "crash", crashID, "crashes", crashes)
}

// recordCrash counts a crash against its request, which may be quarantined for it.
func (g *Gateway) recordCrash(crash quarantine.Crash, source string) {
	g.opt.Metrics.crashReports.WithLabelValues(source).Inc()
	g.mu.Lock()
	newlyQuarantined := g.quarantine.Report(time.Now(), crash)
	g.mu.Unlock()
	if newlyQuarantined {
		g.opt.Logger.Warn("request quarantined", "team", crash.Team, "hash", crash.ContentHash, "crash", crash.ID)
	}
}

// storeCrashReport adds a crash to the request's row in the table.
func (g *Gateway) storeCrashReport(ctx context.Context, crash quarantine.Crash) error {
	key := CrashPrefix + crash.Team + "/" + crash.ContentHash
	for range maxStoreAttempts {
		row, err := g.opt.Table.Get(ctx, key)
		if err != nil && !errkind.Is(err, errkind.NotFound) {
			return err
		}
		var stored crashRow
		if err == nil {
			if err := json.Unmarshal(row.Value, &stored); err != nil {
				return err
			}
		}
		i, known := slices.BinarySearch(stored.Crashes, crash.ID)
		if known {
			return nil
		}
		stored.Crashes = slices.Insert(stored.Crashes, i, crash.ID)
		value, err := json.Marshal(stored)
		if err != nil {
			return err
		}
		res, err := g.opt.Table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key, Version: row.Version}},
			Puts:       []platform.Put{{Key: key, Value: value}},
		})
		if err != nil || res.Committed {
			return err
		}
	}
	return errkind.New(errkind.Conflict, "the row changed during each of %d attempts", maxStoreAttempts)
}

// WatchCrashes applies the crash reports of other routers until ctx ends.
func (g *Gateway) WatchCrashes(ctx context.Context, feed Feed) {
	g.watch(ctx, "crashes", func(ctx context.Context, after platform.Version) (platform.Version, error) {
		rows, next, err := feed.Crashes(ctx, after, longPollWait)
		for _, row := range platform.RemoveMarks(rows) {
			g.applyCrashRow(row)
		}
		return next, err
	})
}

// applyCrashRow records all crashes that a row reports.
func (g *Gateway) applyCrashRow(row platform.Row) {
	team, hash, ok := strings.Cut(strings.TrimPrefix(row.Key, CrashPrefix), "/")
	var stored crashRow
	if err := json.Unmarshal(row.Value, &stored); err != nil || !ok {
		g.opt.Logger.Error("failed to decode a crash report", "key", row.Key, "err", err)
		return
	}
	for _, id := range stored.Crashes {
		g.recordCrash(quarantine.Crash{Key: quarantine.Key{Team: team, ContentHash: hash}, ID: id}, reportedOther)
	}
}
