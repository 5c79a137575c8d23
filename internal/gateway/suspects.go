package gateway

import (
	"errors"
	"net/http"
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
	sentAt       time.Time
	begun        bool      // the head of an answer came
	firstEventAt time.Time // zero if no event came
	sound        bool      // the run has made progress
	levels       []int     // of the prompt parts when the run was sent; nil if all were 0
	requestLevel int       // of the request when the run was sent
	progress     time.Duration
	clearedUpTo  time.Duration // progress at which reports about the request were last cleared
}

// suspects are the reports about a subject, and what was last logged of them.
type suspects struct {
	*quarantine.PartTracker
	subject fleet.Subject
	name    string // of the subject in log lines
	logged  []quarantine.Part
	sound   soundRuns
}

// maxSoundRuns bounds each generation of soundRuns.
const maxSoundRuns = 5_000

// soundRuns remembers when a sound run with a part was last seen, for log lines.
type soundRuns struct{ recent, older map[quarantine.Part]time.Time }

func (s *soundRuns) record(now time.Time, parts []quarantine.Part) {
	if s.recent == nil || len(s.recent) >= maxSoundRuns {
		s.recent, s.older = map[quarantine.Part]time.Time{}, s.recent
	}
	for _, part := range parts {
		s.recent[part] = now
	}
}

// last returns when a sound run with a part was last seen, "unknown" if none is remembered.
func (s *soundRuns) last(part quarantine.Part) string {
	at, ok := s.recent[part]
	if !ok {
		at, ok = s.older[part]
	}
	if !ok {
		return "unknown"
	}
	return at.UTC().Format(time.RFC3339Nano)
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
	if g.requests.Find([]quarantine.Part{req.content}) >= 0 {
		return errkind.New(errkind.RequestQuarantined, "it has crashed the targets that ran it: %d successive crashes", g.requests.Level(req.content))
	}
	if i := g.parts.Find(req.parts); i >= 0 {
		return errkind.New(errkind.RequestQuarantined, "targets crash that read part %.64q of its prompt: %d successive crashes, %d requests",
			req.meta.SharedPromptParts[i].ID, g.parts.Level(req.parts[i]), g.parts.Requests(req.parts[i]))
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

// beginRun records what is known of the request and its prompt parts as a run is sent. The
// run comes after the request's own broken runs, whose crashes may not be known yet. g.mu is
// held.
func (g *Gateway) beginRun(req *request) {
	req.run = runState{sentAt: time.Now(), requestLevel: g.requests.Level(req.content) + req.brokenRuns}
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
	req.run.progress = now.Sub(req.run.firstEventAt)
	if req.run.progress >= quarantine.ProgressTime {
		g.recordSoundRun(req)
	}
	if req.run.progress >= req.run.clearedUpTo+quarantine.ProgressTime {
		req.run.clearedUpTo = req.run.progress
		g.mu.Lock()
		defer g.mu.Unlock()
		g.withdraw(g.requests, g.requests.ClearPassed(req.content, req.run.progress))
	}
}

// recordWholeAnswer records that the answer of the run is whole. Failures, and streams
// without an event, do not tell that the target has read the prompt; an answer that is no
// failure of the target tells that the request does not crash it.
func (g *Gateway) recordWholeAnswer(req *request) {
	if req.route.Kind == httproute.Streaming && req.run.firstEventAt.IsZero() || req.status >= http.StatusInternalServerError {
		return
	}
	if req.status < http.StatusMultipleChoices {
		g.recordSoundRun(req)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.withdraw(g.requests, g.requests.Clear(req.content))
}

// recordSoundRun clears the parts of the request's prompt.
func (g *Gateway) recordSoundRun(req *request) {
	if req.run.sound {
		return
	}
	req.run.sound = true
	if len(req.parts) == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.background.Sound(now)
	g.parts.sound.record(now, req.parts)
	if !g.parts.Reported() {
		return
	}
	var cleared []quarantine.PartReport
	for _, part := range req.parts {
		cleared = append(cleared, g.parts.Clear(part)...)
	}
	g.withdraw(g.parts, cleared)
}

// withdraw removes reports that were forgotten here at all gateways. g.mu is held.
func (g *Gateway) withdraw(s *suspects, reports []quarantine.PartReport) {
	if len(reports) == 0 {
		return
	}
	for _, r := range reports {
		g.publications.add(fleet.ReportKey(s.subject, r), nil)
	}
	g.logQuarantined(s)
}

// reportRun reports a run that was in flight at a crash.
func (g *Gateway) reportRun(run brokenRun, crashID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	crash := xxhash.Sum64String(crashID)
	g.report(g.requests, quarantine.PartReport{
		Part: run.content, Crash: crash, Level: g.requests.NextLevelBeside(run.content, crash, run.state.requestLevel), Strong: !run.state.sound, Progress: run.state.progress,
		SentMS: g.tableMS(run.state.sentAt), BrokeMS: g.tableMS(run.brokeAt),
	})
	g.opt.Metrics.crashReports.WithLabelValues(reportedHere).Inc()
	if run.state.sound || len(run.parts) == 0 {
		return // its parts are sound
	}
	now := time.Now()
	g.background.Broken(now, crash)
	for depth, part := range run.parts {
		levelWhenSent := 0
		if run.state.levels != nil {
			levelWhenSent = run.state.levels[depth]
		}
		g.report(g.parts, quarantine.PartReport{
			Part: part, Crash: crash, Level: g.parts.NextLevel(part, levelWhenSent), Depth: depth, Strong: run.state.begun,
			Request: run.content, Chance: g.background.Share(now, g.parts.CrashesOf(part, crash)),
		})
	}
}

// tableMS returns a local time on the table's clock, 0 if that was not read.
func (g *Gateway) tableMS(at time.Time) int64 {
	if g.opt.TableClock == nil {
		return 0
	}
	ms, _, received := g.opt.TableClock.LastReading()
	if ms == 0 {
		return 0
	}
	return ms + at.Sub(received).Milliseconds()
}

// report records a report here and tells it to all gateways. g.mu is held.
func (g *Gateway) report(s *suspects, r quarantine.PartReport) {
	row, err := fleet.EncodeReport(s.subject, r)
	if err != nil {
		g.opt.Logger.Error("failed to encode a report about a crash", "err", err)
		return
	}
	if s.Report(time.Now(), r) {
		g.publications.add(row.Key, row.Value)
	}
	g.logQuarantined(s)
}

// applyReports applies the reports among changes of rows. g.mu is held.
func (g *Gateway) applyReports(now time.Time, rows []fleet.Row) {
	for _, s := range []*suspects{g.parts, g.requests} {
		for _, row := range rows {
			g.applyReport(now, s, row)
		}
		g.logQuarantined(s)
	}
}

// applyReport applies a row if it is a report about a subject. g.mu is held.
func (g *Gateway) applyReport(now time.Time, s *suspects, row fleet.Row) {
	r, ok, err := fleet.DecodeReport(s.subject, row)
	switch {
	case !ok:
	case row.Removed:
		s.Withdraw(r.Part, r.Crash, r.Level)
	case err != nil:
		g.opt.Logger.Error("failed to decode a report about a crash", "key", row.Key, "err", err)
		s.Withdraw(r.Part, r.Crash, r.Level)
	case s.Put(now, r) && s == g.requests:
		g.opt.Metrics.crashReports.WithLabelValues(reportedOther).Inc()
	}
}

// removeExpiredReports forgets reports that are too old. g.mu is held.
func (g *Gateway) removeExpiredReports(now time.Time) {
	for _, s := range []*suspects{g.parts, g.requests} {
		for _, part := range s.Expired(now) {
			g.withdraw(s, s.Clear(part))
		}
	}
}

// logQuarantined logs what is quarantined since the last call, or no longer. g.mu is held.
func (g *Gateway) logQuarantined(s *suspects) {
	quarantined := s.Quarantined()
	for _, part := range quarantined {
		if !slices.Contains(s.logged, part) {
			g.opt.Logger.Warn(s.name+" quarantined", "id", part.String(), "crashes", s.Level(part), "requests", s.Requests(part), "last_sound", s.sound.last(part))
		}
	}
	for _, part := range s.logged {
		if !slices.Contains(quarantined, part) {
			g.opt.Logger.Info(s.name+" no longer quarantined", "id", part.String())
		}
	}
	s.logged = slices.Clone(quarantined)
}
