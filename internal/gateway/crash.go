package gateway

import (
	"context"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/targets"
)

// Timing of the handling of crashes.
const (
	// crashCheckDelay gives the other runs at the target time to break as well.
	crashCheckDelay = 40 * time.Millisecond
	// crashCheckTimeout bounds the check.
	crashCheckTimeout = time.Second
	// maxVerdictWait bounds how long a request waits for the check of a target that broke
	// its run, before it is sent to another one.
	maxVerdictWait = 150 * time.Millisecond
)

// brokenRun is a run (an attempt that may have reached its target) without a whole
// answer, for another reason than a timeout. The target may have crashed.
type brokenRun struct {
	content quarantine.Part // identifies the request by its content
	team    string
	request string // ID of the request
	parts   []quarantine.Part
	partIDs []string // as the caller names them
	state   runState
	brokeAt time.Time
	events  int64 // events that came, also those of earlier runs
}

// brokenRuns are the broken runs at a target that is to be checked. All are attributed to
// the same crash.
type brokenRuns struct {
	runs    []brokenRun
	checked chan struct{} // closed when it is known whether the target has crashed
}

// recordBrokenRun records a broken run and, for the first one at a target,
// schedules a check whether the target has crashed. A target that only lost an
// answer still accepts connections. g.mu is held.
func (g *Gateway) recordBrokenRun(req *request, t *targets.Target) {
	run := brokenRun{content: req.content, team: req.team.Name, request: req.meta.RequestID, parts: req.parts, state: req.run, brokeAt: time.Now(), events: req.eventsSent}
	for i := range req.parts {
		run.partIDs = append(run.partIDs, req.meta.SharedPromptParts[i].ID)
	}
	at := g.brokenRuns[t.ID]
	if at == nil {
		at = &brokenRuns{checked: make(chan struct{})}
		g.brokenRuns[t.ID] = at
		startedMS, engine := req.targetStart, req.service.Slots > 0
		time.AfterFunc(crashCheckDelay, func() { g.checkCrash(t, startedMS, engine) })
	}
	at.runs = append(at.runs, run)
	req.brokenRuns++
	req.verdict = at.checked
}

// checkCrash reports the broken runs at a start of a target if that is no longer there.
func (g *Gateway) checkCrash(t *targets.Target, startedMS int64, engine bool) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	probe, err := g.probeStart(ctx, t, startedMS, engine)
	g.mu.Lock()
	crashed := probe != targets.ProbeUnidentified && g.targetView.JudgeEnd(t, startedMS, probe, false) == targets.EndCutOff
	broken := g.brokenRuns[t.ID]
	delete(g.brokenRuns, t.ID)
	g.mu.Unlock()
	defer close(broken.checked)
	if !crashed {
		return
	}
	g.opt.Logger.Warn("target has crashed", "target", t.ID, "runs", len(broken.runs), "probe", probe, "cause", err)
	g.opt.Metrics.crashes.Inc()
	// The ID identifies this start of the target, so that reports of several routers
	// about a crash count once.
	crashID := t.ID + "/" + time.UnixMilli(startedMS).UTC().Format(time.RFC3339Nano)
	for _, run := range broken.runs {
		g.reportRun(run, crashID)
		g.logCrashSuspect(run, crashID)
	}
}

// awaitVerdict waits until it is known whether the target that broke the last run of a
// request has crashed, if the request was in flight at a crash before.
func (g *Gateway) awaitVerdict(ctx context.Context, req *request) {
	g.mu.Lock()
	suspect := req.brokenRuns > 1 || g.requests.Level(req.content) > 0
	g.mu.Unlock()
	if !suspect || req.verdict == nil {
		return
	}
	timer := time.NewTimer(maxVerdictWait)
	defer timer.Stop()
	select {
	case <-req.verdict:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Where crash reports come from, as metrics tell it.
const (
	reportedHere  = "here"
	reportedOther = "other" // by another gateway, or by an earlier process
)

// logCrashSuspect logs a request that was in flight at a crash, and how many successive
// crashes all gateways have counted against its content.
func (g *Gateway) logCrashSuspect(run brokenRun, crashID string) {
	g.mu.Lock()
	crashes := g.requests.Level(run.content)
	g.mu.Unlock()
	g.opt.Logger.Info("in flight at a crash", "request", run.request, "team", run.team, "id", run.content,
		"parts", strings.Join(run.partIDs, ","), "begun", run.state.begun, "events", run.events, "progress_ms", run.state.progress.Milliseconds(),
		"crash", crashID, "crashes", crashes)
}
