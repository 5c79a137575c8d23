package router

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// promptParts identifies the messages before the last one, which other requests may share.
func (c *completionBody) promptParts() []quarantine.Part {
	if c.Messages.count < 2 {
		return nil
	}
	shared := c.Messages.first[:min(len(c.Messages.first)-1, quarantine.MaxParts)]
	parts := make([]quarantine.Part, len(shared))
	for i, m := range shared {
		parts[i] = quarantine.NewPart(c.Model, m.text)
	}
	return parts
}

// partLevels returns the known levels of prompt parts.
func (r *Router) partLevels(parts []quarantine.Part) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	levels := make([]int, len(parts))
	for i, part := range parts {
		levels[i] = r.parts.Level(part)
	}
	return levels
}

// partReports returns reports about the prompt parts of a run that was in flight at a
// crash. There are none if the run had made progress.
func (r *Router) partReports(run *run, crashID string, alone bool) (reports []quarantine.PartReport) {
	if run.madeProgress(time.Now()) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for depth, part := range run.parts {
		reports = append(reports, quarantine.PartReport{
			Part: part, Crash: xxhash.Sum64String(crashID), Level: r.parts.NextLevel(part, run.partLevels[depth]), Depth: depth, Strong: alone,
		})
	}
	return reports
}

// applyPartReports records reports about prompt parts. The quarantined parts are stored for
// routers that start later.
func (r *Router) applyPartReports(reports []quarantine.PartReport) {
	now := time.Now()
	r.mu.Lock()
	before := slices.Clone(r.parts.Quarantined())
	for _, report := range reports {
		r.parts.Report(now, report)
	}
	var txn platform.Txn
	for _, part := range r.parts.Quarantined() {
		if slices.Contains(before, part) {
			continue
		}
		r.opts.Logger.Warn("prompt part quarantined", "part", part.String(), "crashes", r.parts.Level(part))
		value, err := json.Marshal(r.parts.Reports(part))
		if err != nil {
			r.opts.Logger.Error("cannot encode reports about a prompt part", "part", part.String(), "err", err)
			continue
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: quarantinedPartKey(part), Value: value})
	}
	r.mu.Unlock()
	r.storeParts(txn)
}

// clearParts forgets the reports about prompt parts and returns them.
func (r *Router) clearParts(parts []quarantine.Part) (forgotten []quarantine.PartReport) {
	r.mu.Lock()
	var txn platform.Txn
	for _, part := range parts {
		if r.parts.Find([]quarantine.Part{part}) == 0 {
			txn.Deletes = append(txn.Deletes, quarantinedPartKey(part))
			r.opts.Logger.Info("prompt part no longer quarantined", "part", part.String())
		}
		forgotten = append(forgotten, r.parts.Clear(part)...)
	}
	r.mu.Unlock()
	r.storeParts(txn)
	return forgotten
}

// withdrawParts forgets reports, as a peer has done.
func (r *Router) withdrawParts(reports []quarantine.PartReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		r.parts.Withdraw(report.Part, report.Crash, report.Level)
	}
}

// expireParts forgets parts whose last report is too old.
func (r *Router) expireParts(now time.Time) {
	r.mu.Lock()
	expired := r.parts.Expired(now)
	r.mu.Unlock()
	r.clearParts(expired)
}

func quarantinedPartKey(part quarantine.Part) string { return quarantinedPartPrefix + part.String() }

// quarantinedPartPrefix is followed by the part. The value of the row holds its reports.
const quarantinedPartPrefix = "quarantined-part/"

// storeParts writes or removes rows of quarantined parts in the background.
func (r *Router) storeParts(txn platform.Txn) {
	if len(txn.Puts)+len(txn.Deletes) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
		defer cancel()
		if _, err := r.table.Commit(ctx, txn); err != nil {
			r.opts.Logger.Warn("cannot store quarantined prompt parts", "err", err)
		}
	}()
}

// loadParts reads the stored quarantined parts.
func (r *Router) loadParts(ctx context.Context) error {
	rows, err := platform.ScanAll(ctx, r.table, quarantinedPartPrefix)
	if err != nil {
		return err
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		var reports []quarantine.PartReport
		if err := json.Unmarshal(row.Value, &reports); err != nil {
			r.opts.Logger.Error("cannot decode a quarantined prompt part", "key", row.Key, "err", err)
			continue
		}
		for _, report := range reports {
			r.parts.Report(now, report)
		}
	}
	return nil
}

// reportCleared tells the peers that a request, and the parts of its prompt, have run
// without a crash.
func (r *Router) reportCleared(req *request, parts []quarantine.PartReport) {
	r.notifyPeers(wire.MethodQuarantineReport, wire.QuarantineReport{
		Header: r.header(), Team: req.Team, ContentHash: req.ContentHash, Cleared: true, Parts: parts,
	})
}
