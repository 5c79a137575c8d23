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

// CrashPrefix is the prefix of the rows that hold reports of crashes, one row
// for each request by its content.
const CrashPrefix = "crash/"

// Times of a crash.
const (
	// breakWindow is the span in which the runs that break at a target are put
	// down to one crash.
	breakWindow = 500 * time.Millisecond
	// verifyDelay leaves the other runs at the target time to break as well.
	verifyDelay = 40 * time.Millisecond
	// reportTimeout bounds a call that stores a report.
	reportTimeout = time.Second
	// reportTries bounds the attempts to store a report against other routers'.
	reportTries = 4
)

// brokenRun is a run whose target closed the connection.
type brokenRun struct {
	key quarantine.Key
	at  time.Time
}

// crashRow is the stored form of the reports about one request.
type crashRow struct {
	Crashes []string `json:"crashes"` // ids, sorted
}

// quarantined reports whether the request has crashed too many targets.
func (g *Gateway) quarantined(x *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Quarantined(time.Now(), x.crashKey)
}

// noteBreak remembers a broken run, and finds out whether its target has
// crashed: a target that only lost an answer still takes connections. g.mu is
// held.
func (g *Gateway) noteBreak(x *request, t *targets.Target) {
	now := time.Now()
	var recent []brokenRun
	for _, b := range g.breaks[t.ID] {
		if now.Sub(b.at) < breakWindow {
			recent = append(recent, b)
		}
	}
	g.breaks[t.ID] = append(recent, brokenRun{x.crashKey, now})
	if len(recent) == 0 {
		entry := t.Registration
		time.AfterFunc(verifyDelay, func() { g.verifyCrash(entry) })
	}
}

// verifyCrash reports the runs that broke at a target if it takes no
// connections.
func (g *Gateway) verifyCrash(e targets.Registration) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTries*reportTimeout)
	defer cancel()
	err := g.pool.Probe(ctx, e.Address)
	g.mu.Lock()
	runs := g.breaks[e.ID]
	delete(g.breaks, e.ID)
	g.mu.Unlock()
	if err == nil {
		return
	}
	g.opt.Logger.Warn("target has crashed", "target", e.ID, "runs", len(runs), "cause", err)
	// The id of the target's start makes reports of several routers one.
	crash := e.ID + "/" + time.UnixMilli(e.StartedMS).UTC().Format(time.RFC3339Nano)
	for _, run := range runs {
		// Other routers' runs are not known here, so no run counts as the only one.
		c := quarantine.Crash{Key: run.key, ID: crash}
		g.reportCrash(c)
		if err := g.storeCrash(ctx, c); err != nil {
			g.opt.Logger.Warn("crash not shared", "team", c.Team, "hash", c.ContentHash, "err", err)
		}
	}
}

func (g *Gateway) reportCrash(c quarantine.Crash) {
	g.mu.Lock()
	verdict := g.quarantine.Report(time.Now(), c)
	g.mu.Unlock()
	if verdict {
		g.opt.Logger.Warn("request quarantined", "team", c.Team, "hash", c.ContentHash, "crash", c.ID)
	}
}

// storeCrash adds a report to the request's row.
func (g *Gateway) storeCrash(ctx context.Context, c quarantine.Crash) error {
	key := CrashPrefix + c.Team + "/" + c.ContentHash
	for range reportTries {
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
		at, known := slices.BinarySearch(stored.Crashes, c.ID)
		if known {
			return nil
		}
		stored.Crashes = slices.Insert(stored.Crashes, at, c.ID)
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
	return errkind.New(errkind.Conflict, "the row changed %d times", reportTries)
}

// WatchCrashes takes over the reports of other routers until ctx ends.
func (g *Gateway) WatchCrashes(ctx context.Context, f Feed) {
	g.watch(ctx, "crashes", func(ctx context.Context, after int64) (int64, error) {
		rows, next, err := f.Crashes(ctx, after, feedWait)
		for _, row := range rows {
			g.takeCrashes(row)
		}
		return next, err
	})
}

func (g *Gateway) takeCrashes(row platform.Row) {
	team, hash, ok := strings.Cut(strings.TrimPrefix(row.Key, CrashPrefix), "/")
	var stored crashRow
	if err := json.Unmarshal(row.Value, &stored); err != nil || !ok {
		g.opt.Logger.Error("crash report not readable", "key", row.Key, "err", err)
		return
	}
	for _, id := range stored.Crashes {
		g.reportCrash(quarantine.Crash{Key: quarantine.Key{Team: team, ContentHash: hash}, ID: id})
	}
}
