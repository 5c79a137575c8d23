package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/adminapi"
	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/escrow"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// registerAdmin registers the routes of the admin API.
func (r *Router) registerAdmin(e *echo.Echo) {
	adminapi.Register(e, adminapi.Deps{
		Config:        r.config,
		Budgets:       budgetAdmin{r.escrow, r.peers},
		Ledger:        ledgerAdmin{archive.Reader{Table: r.table, Objects: r.opts.Objects}},
		Targets:       targetAdmin{r},
		Timeline:      timelineAdmin{r},
		Confirmations: r.confirmations,
		PushConfig:    func(policy.Document) { r.pushConfigToAll() },
		Logger:        r.opts.Logger,
	})
}

// budgetAdmin implements adminapi.Budgets.
type budgetAdmin struct {
	escrow *escrow.Manager
	peers  *peerSet
}

// Account implements adminapi.Budgets.
func (b budgetAdmin) Account(ctx context.Context, team string) (admin.Budget, error) {
	a, err := b.escrow.Account(ctx, team)
	return budgetView(a), err
}

// Release implements adminapi.Budgets. This router and the connected routers
// that hold grants of the team return their idle share of the team's budget.
func (b budgetAdmin) Release(ctx context.Context, team string) (admin.Budget, error) {
	a, err := b.escrow.Account(ctx, team)
	if err != nil {
		return admin.Budget{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	b.peers.ReleaseAll(callCtx, team, slices.Collect(maps.Keys(a.Grants)))
	b.escrow.Release(callCtx, team)
	return b.Account(ctx, team)
}

// TopUp implements adminapi.Budgets.
func (b budgetAdmin) TopUp(ctx context.Context, team, key string, tokens int64, operator string) (admin.Budget, error) {
	a, err := b.escrow.TopUp(ctx, team, key, tokens, operator)
	if errkind.Is(err, errkind.Conflict) {
		err = errkind.Wrap(err, errkind.IdempotencyConflict, "the key was used with another amount")
	}
	return budgetView(a), err
}

// budgetView returns an account in the form of the admin API.
func budgetView(a budget.Account) admin.Budget {
	return admin.Budget{ToppedUp: a.ToppedUp, Settled: a.Settled(), Held: a.Held(), Left: a.Left()}
}

// targetAdmin implements adminapi.Targets.
type targetAdmin struct{ r *Router }

// List implements adminapi.Targets. Registrations that cannot be decoded are
// left out.
func (a targetAdmin) List(ctx context.Context) ([]admin.Target, error) {
	rows, err := platform.ScanAll(ctx, a.r.table, member.SidecarPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]admin.Target, 0, len(rows))
	for _, row := range rows {
		var reg member.SidecarRow
		if err := json.Unmarshal(row.Value, &reg); err != nil {
			continue
		}
		out = append(out, a.view(reg))
	}
	return out, nil
}

// view returns a registration, together with what this router knows about the
// target, in the form of the admin API.
func (a targetAdmin) view(reg member.SidecarRow) admin.Target {
	v := admin.Target{
		ID: reg.Target, Kind: reg.Kind, Model: reg.Model, Service: reg.Service,
		Host: reg.Host, FailureDomain: reg.Domain, Address: reg.Addr, Sidecar: reg.Incarnation, Fence: reg.FencingNumber,
	}
	t := a.r.sched.target(reg.Target)
	if t == nil {
		return v
	}
	a.r.sched.update(t, func(t *target) {
		v.Connected = t.conn != nil
		v.Healthy = t.loadReport.Healthy
		v.Leaving = t.leavingSource()
		v.Running = t.loadReport.Running
		v.Waiting = t.loadReport.Waiting
		v.KVUsed = t.loadReport.KVUsed
		v.Adapters = t.loadReport.Adapters
		v.Role = t.loadReport.Role
	})
	return v
}

// leavingSource returns who announced that the target is leaving: its sidecar,
// the host list, or nobody ("").
func (t *target) leavingSource() string {
	switch {
	case t.draining:
		return "sidecar"
	case t.leaving:
		return "host_list"
	}
	return ""
}

// Drain implements adminapi.Targets.
func (a targetAdmin) Drain(ctx context.Context, id string, draining bool, operator string) error {
	t := a.r.sched.target(id)
	if t == nil {
		return errkind.New(errkind.NotFound, "no target %q", id)
	}
	a.r.recordEvent("target_drain", "", "", "", slog.String("target", id), slog.Bool("draining", draining), slog.String("operator", operator))
	return a.call(ctx, t, wire.MethodTargetDrain, wire.SetDraining{Header: a.r.header(), Draining: draining})
}

// call sends an operator's request to a target's sidecar.
func (a targetAdmin) call(ctx context.Context, t *target, method string, msg any) error {
	callCtx, cancel := context.WithTimeout(ctx, targetCallTimeout)
	defer cancel()
	var reply wire.Reply
	if err := t.link.Call(callCtx, method, msg, &reply); err != nil {
		return operatorError(err, t.id)
	}
	if reply.Refusal != nil {
		return operatorError(errkind.New(reply.Refusal.Kind, "%s", reply.Refusal.Detail), t.id)
	}
	return nil
}

// targetCallTimeout is long enough for a target to load a model.
const targetCallTimeout = 2 * time.Minute

// operatorError replaces error kinds that only processes of the system use by
// kinds for operators.
func operatorError(err error, target string) error {
	switch errkind.Of(err) {
	case errkind.Unreachable:
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the sidecar of target %s could not be reached", target)
	case errkind.Fenced:
		return errkind.Wrap(err, errkind.Conflict, "a later order has reached target %s", target)
	}
	return err
}

// Forget implements adminapi.Targets.
func (a targetAdmin) Forget(ctx context.Context, id, operator string) error {
	row, err := a.r.table.Get(ctx, member.SidecarKey(id))
	if errkind.Is(err, errkind.NotFound) {
		return errkind.New(errkind.NotFound, "no target %q", id)
	}
	if err != nil {
		return err
	}
	if t := a.r.sched.target(id); t != nil && t.link.Conn() != nil {
		return errkind.New(errkind.Conflict, "the sidecar of target %s is connected; drain it instead", id)
	}
	a.r.recordEvent("target_forget", "", "", "", slog.String("target", id), slog.String("operator", operator))
	return a.r.markTargetGone(ctx, row)
}

// Order implements adminapi.Targets. It takes the fencing number from the
// target's registration by compare-and-set, so that two operators never use the
// same number.
func (a targetAdmin) Order(ctx context.Context, id string, order admin.Order, operator string) (int64, error) {
	t := a.r.sched.target(id)
	if t == nil {
		return 0, errkind.New(errkind.NotFound, "no target %q", id)
	}
	fence, err := a.nextFencingNumber(ctx, id)
	if err != nil {
		return 0, err
	}
	a.r.recordEvent("target_order", "", "", "", slog.String("target", id), slog.String("action", order.Action), slog.Int64("fence", fence), slog.String("operator", operator))
	msg := wire.Order{
		Header: a.r.header(), Fence: fence, Action: order.Action,
		Model: order.Model, Adapter: order.Adapter, Version: order.Version, Role: order.Role,
	}
	return fence, a.call(ctx, t, wire.MethodOrderApply, msg)
}

// maxFenceAttempts bounds the attempts to take a fencing number.
const maxFenceAttempts = 10

// nextFencingNumber increments the fencing number in a target's registration
// and returns the new one.
func (a targetAdmin) nextFencingNumber(ctx context.Context, id string) (int64, error) {
	key := member.SidecarKey(id)
	for n := range maxFenceAttempts {
		row, err := a.r.table.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		var reg member.SidecarRow
		if err := json.Unmarshal(row.Value, &reg); err != nil {
			return 0, errkind.Wrap(err, errkind.Internal, "registration of target %s", id)
		}
		reg.FencingNumber++
		value, err := json.Marshal(reg)
		if err != nil {
			return 0, err
		}
		res, err := a.r.table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key, Version: row.Version}},
			Puts:       []platform.Put{{Key: key, Value: value}},
		})
		if err == nil && res.Committed {
			return reg.FencingNumber, nil
		}
		// After an uncertain commit the number may or may not be stored. Either
		// way, the next attempt takes a number above the stored one.
		if err != nil && !errkind.Is(err, errkind.PlatformUncertain) {
			return 0, err
		}
		if !platform.WaitBackoff(ctx, n) {
			break
		}
	}
	return 0, errkind.New(errkind.PlatformUnavailable, "no fencing number could be taken for target %s", id)
}

// timelineAdmin implements adminapi.Timeline.
type timelineAdmin struct{ r *Router }

// Query implements adminapi.Timeline. It returns the results of all processes
// that answered and the names of those that did not.
func (a timelineAdmin) Query(ctx context.Context, q wire.TimelineQuery) ([]wire.TimelineResult, []string) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	q.Header = a.r.header()
	results := []wire.TimelineResult{a.r.localTimeline(q)}
	var unreachable []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	ask := func(name string, c *rpc.Conn) {
		defer wg.Done()
		var res wire.TimelineResult
		err := errkind.New(errkind.Unreachable, "not connected")
		if c != nil && c.Call(ctx, wire.MethodTimelineQuery, q, &res) == nil {
			err = nil
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			unreachable = append(unreachable, name)
			return
		}
		results = append(results, res)
	}
	for _, c := range a.r.peers.dialedConns() {
		wg.Add(1)
		go ask("router/"+c.Peer().Incarnation, c)
	}
	for _, t := range a.r.sched.targetsWhere(func(*target) bool { return true }) {
		wg.Add(1)
		go ask("sidecar/"+t.id, t.link.Conn())
	}
	wg.Wait()
	slices.SortFunc(unreachable, strings.Compare)
	return results, unreachable
}

// localTimeline queries the events of this process.
func (r *Router) localTimeline(q wire.TimelineQuery) wire.TimelineResult {
	res := r.opts.Timeline.Query(q)
	res.Header = r.header()
	return res
}

// recordEvent adds an event to the timeline, which also logs it. Empty ids are
// omitted.
func (r *Router) recordEvent(name, requestID, runID, team string, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, 3+len(attrs))
	for _, a := range []slog.Attr{slog.String("request_id", requestID), slog.String("run_id", runID), slog.String("team", team)} {
		if a.Value.String() != "" {
			all = append(all, a)
		}
	}
	r.opts.Timeline.Record(name, append(all, attrs...)...)
}
