package router

import (
	"context"
	"encoding/json"
	"sync"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// fencer implements escrow.Fencer over the links to the sidecars.
type fencer struct{ r *Router }

// FenceEverywhere asks every registered sidecar to promise that it accepts no
// more work of the holder. It reads the registrations itself, so that a
// sidecar that this router has not met yet makes the result incomplete.
func (f fencer) FenceEverywhere(ctx context.Context, holder string) ([]ledger.Record, int, bool, error) {
	rows, err := platform.ScanAll(ctx, f.r.table, member.SidecarPrefix)
	if err != nil {
		return nil, 0, false, err
	}
	answers := make([]*wire.FenceResult, len(rows))
	var wg sync.WaitGroup
	for i, row := range rows {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.askRow(ctx, row, holder)
		}()
	}
	wg.Wait()
	records, active, complete := collect(answers)
	return records, active, complete, nil
}

// askRow returns the promise of the registered incarnation, or nil.
func (f fencer) askRow(ctx context.Context, row platform.Row, holder string) *wire.FenceResult {
	var reg member.SidecarRow
	if err := json.Unmarshal(row.Value, &reg); err != nil {
		return nil
	}
	t := f.r.sched.target(reg.Target)
	if t == nil {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := f.r.fenceAt(callCtx, t, holder)
	if err != nil || res.Sidecar != reg.Incarnation {
		return nil
	}
	return &res
}

func collect(answers []*wire.FenceResult) (records []ledger.Record, active int, complete bool) {
	complete = true
	for _, a := range answers {
		if a == nil {
			complete = false
			continue
		}
		records = append(records, a.Records...)
		active += len(a.Active)
	}
	return records, active, complete
}
