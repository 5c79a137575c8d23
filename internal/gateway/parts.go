package gateway

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
)

// runState is the state of the run in progress of a request.
type runState struct {
	begun        bool      // the head of an answer came
	firstEventAt time.Time // zero if no event came
	sound        bool      // the run has made progress
	levels       []int     // of the prompt parts when the run was sent; nil if all were 0
}

// promptParts identifies the parts of a prompt that other requests may share.
func promptParts(meta RequestMeta) []quarantine.Part {
	shared := meta.SharedPromptParts
	if len(shared) == 0 {
		return nil
	}
	parts := make([]quarantine.Part, min(len(shared), quarantine.MaxParts))
	for i := range parts {
		parts[i] = quarantine.NewPart(meta.Model, shared[i].ID)
	}
	return parts
}

// checkQuarantine returns an error if the request, or a part of its prompt, has crashed
// too many targets.
func (g *Gateway) checkQuarantine(req *request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.quarantine.Quarantined(time.Now(), req.crashKey) {
		return errkind.New(errkind.RequestQuarantined, "it has crashed the targets that ran it")
	}
	if i := g.parts.Find(req.parts); i >= 0 {
		return errkind.New(errkind.RequestQuarantined, "targets crash that read part %.64q of its prompt", req.meta.SharedPromptParts[i].ID)
	}
	return nil
}

// errQuarantined reports that a request was quarantined since its target was chosen.
var errQuarantined = errors.New("the request was quarantined meanwhile")

// checkQuarantineBeforeSend returns errQuarantined if the request is quarantined. It may
// have waited for a connection.
func (g *Gateway) checkQuarantineBeforeSend(req *request) error {
	if g.checkQuarantine(req) != nil {
		return errQuarantined
	}
	return nil
}

// beginRun records what is known of the request's prompt parts as a run is sent. g.mu is
// held.
func (g *Gateway) beginRun(req *request) {
	req.run = runState{}
	if !g.parts.Reported() {
		return
	}
	for _, part := range req.parts {
		req.run.levels = append(req.run.levels, g.parts.Level(part))
	}
}

// recordEvents records that events of the run came.
func (g *Gateway) recordEvents(req *request) {
	now := time.Now()
	if req.run.firstEventAt.IsZero() {
		req.run.firstEventAt = now
	}
	if now.Sub(req.run.firstEventAt) >= quarantine.ProgressTime {
		g.recordSoundRun(req)
	}
}

// recordWholeAnswer records that the answer of the run is whole. Failures, and streams
// without an event, do not tell that the target has read the prompt.
func (g *Gateway) recordWholeAnswer(req *request) {
	if req.status < 300 && (req.route.Kind != httproute.Streaming || !req.run.firstEventAt.IsZero()) {
		g.recordSoundRun(req)
	}
}

// recordSoundRun clears the parts of the request's prompt.
func (g *Gateway) recordSoundRun(req *request) {
	if req.run.sound {
		return
	}
	req.run.sound = true
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.parts.Reported() {
		return
	}
	for _, part := range req.parts {
		g.clearPart(part)
	}
	g.logQuarantinedParts()
}

// clearPart forgets the reports about a part here and at all gateways. g.mu is held.
func (g *Gateway) clearPart(part quarantine.Part) {
	for _, r := range g.parts.Clear(part) {
		g.publications.add(fleet.PartReportKey(r), nil)
	}
}

// reportParts reports the prompt parts of a run that was in flight at a crash, unless it
// had made progress.
func (g *Gateway) reportParts(run brokenRun, crashID string) {
	if run.state.sound {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for depth, part := range run.parts {
		levelWhenSent := 0
		if run.state.levels != nil {
			levelWhenSent = run.state.levels[depth]
		}
		report := quarantine.PartReport{
			Part: part, Crash: xxhash.Sum64String(crashID), Level: g.parts.NextLevel(part, levelWhenSent), Depth: depth, Strong: run.state.begun,
		}
		row, err := fleet.EncodePartReport(report)
		if err != nil {
			g.opt.Logger.Error("failed to encode a report about a prompt part", "err", err)
			continue
		}
		if g.parts.Report(time.Now(), report) {
			g.publications.add(row.Key, row.Value)
		}
	}
	g.logQuarantinedParts()
}

// applyPartReports applies the reports of other gateways. g.mu is held.
func (g *Gateway) applyPartReports(now time.Time, changes fleet.Changes) {
	reports, removed, err := changes.PartReports()
	if err != nil {
		g.opt.Logger.Error("failed to decode a report about a prompt part", "err", err)
	}
	if changes.Complete {
		g.parts.Reset(now, reports)
	} else {
		for _, r := range reports {
			g.parts.Report(now, r)
		}
	}
	for _, r := range removed {
		g.parts.Withdraw(r.Part, r.Crash, r.Level)
	}
	g.logQuarantinedParts()
}

// removeExpiredParts forgets parts whose last report is too old. g.mu is held.
func (g *Gateway) removeExpiredParts(now time.Time) {
	for _, part := range g.parts.Expired(now) {
		g.clearPart(part)
	}
	g.logQuarantinedParts()
}

// logQuarantinedParts logs parts that are quarantined since the last call, or no longer.
// g.mu is held.
func (g *Gateway) logQuarantinedParts() {
	quarantined := g.parts.Quarantined()
	for _, part := range quarantined {
		if !slices.Contains(g.loggedParts, part) {
			g.opt.Logger.Warn("prompt part quarantined", "part", part.String(), "crashes", g.parts.Level(part))
		}
	}
	for _, part := range g.loggedParts {
		if !slices.Contains(quarantined, part) {
			g.opt.Logger.Info("prompt part no longer quarantined", "part", part.String())
		}
	}
	g.loggedParts = slices.Clone(quarantined)
}
