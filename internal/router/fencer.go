package router

import (
	"context"
	"encoding/json"
	"sync"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/escrow"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// fencer implements escrow.Fencer over the links to the sidecars.
type fencer struct{ r *Router }

// FenceEverywhere asks every registered sidecar to promise that it accepts no
// more work of the holder. It reads the registrations from the table, so that a
// sidecar that this router does not know yet counts as not fenced.
func (f fencer) FenceEverywhere(ctx context.Context, holder member.HolderRow) (escrow.FenceResult, error) {
	result := escrow.FenceResult{FencedEverywhere: true}
	rows, err := platform.ScanAll(ctx, f.r.table, member.SidecarPrefix)
	if err != nil {
		return escrow.FenceResult{}, err
	}
	var live []member.SidecarRow
	for _, row := range rows {
		var reg member.SidecarRow
		if err := json.Unmarshal(row.Value, &reg); err != nil {
			return escrow.FenceResult{}, errkind.Wrap(err, errkind.Internal, "registration %s", row.Key)
		}
		if reg.MayHaveUnsettledRuns(holder.RenewedUS) {
			result.RecordsMayBeMissing = true
		}
		if reg.State == member.SidecarLive {
			live = append(live, reg)
		}
	}
	for _, answer := range f.fenceAll(ctx, live, holder.Incarnation) {
		if answer == nil {
			result.FencedEverywhere = false
			continue
		}
		result.Records = append(result.Records, answer.Records...)
		result.ActiveRuns += len(answer.Active)
	}
	return result, nil
}

// fenceAll fences the holder at all sidecars in parallel. The result of a
// sidecar that did not promise is nil.
func (f fencer) fenceAll(ctx context.Context, live []member.SidecarRow, holder string) []*wire.FenceHolderResult {
	answers := make([]*wire.FenceHolderResult, len(live))
	var wg sync.WaitGroup
	for i, reg := range live {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.fenceOne(ctx, reg, holder)
		}()
	}
	wg.Wait()
	return answers
}

// fenceOne fences the holder at one sidecar. It returns nil unless the
// registered incarnation has promised.
func (f fencer) fenceOne(ctx context.Context, reg member.SidecarRow, holder string) *wire.FenceHolderResult {
	t := f.r.sched.target(reg.Target)
	if t == nil {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	res, err := f.r.fenceSidecar(callCtx, t, holder)
	if err != nil || res.Sidecar != reg.Incarnation {
		return nil
	}
	return &res
}
