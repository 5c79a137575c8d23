package adminapi_test

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v5"
	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/adminapi"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/httpapi"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const operatorKey = "operator-secret"

// fakeBackend implements the dependencies of the admin API in memory.
type fakeBackend struct {
	topups      map[string]int64 // tokens by team/idempotency key
	entries     []admin.LedgerEntry
	ledgerQuery adminapi.LedgerQuery // of the latest call of Records
	drained     map[string]bool      // by target ID
	pushed      []int64              // versions of the documents passed to PushConfig
	pending     []string             // processes that Confirmations reports as pending
}

func (b *fakeBackend) Account(_ context.Context, team string) (admin.Budget, error) {
	var sum int64
	for key, n := range b.topups {
		if strings.HasPrefix(key, team+"/") {
			sum += n
		}
	}
	return admin.Budget{ToppedUp: sum, Left: sum}, nil
}

func (b *fakeBackend) Release(ctx context.Context, team string) (admin.Budget, error) {
	return b.Account(ctx, team)
}

func (b *fakeBackend) TopUp(ctx context.Context, team, key string, tokens int64, _ string) (admin.Budget, error) {
	if n, ok := b.topups[team+"/"+key]; ok && n != tokens {
		return admin.Budget{}, errkind.New(errkind.IdempotencyConflict, "key used with %d", n)
	}
	b.topups[team+"/"+key] = tokens
	return b.Account(ctx, team)
}

func (b *fakeBackend) Records(_ context.Context, q adminapi.LedgerQuery) ([]admin.LedgerEntry, error) {
	b.ledgerQuery = q
	return b.entries[:min(q.Limit, len(b.entries))], nil
}

func (b *fakeBackend) List(context.Context) ([]admin.Target, error) {
	return []admin.Target{{ID: "t1", Kind: "engine", Model: "m", Connected: true}}, nil
}

func (b *fakeBackend) Drain(_ context.Context, id string, draining bool, _ string) error {
	b.drained[id] = draining
	return nil
}

func (b *fakeBackend) Forget(_ context.Context, id, _ string) error {
	return errkind.New(errkind.NotFound, "no target %q", id)
}

func (b *fakeBackend) Order(context.Context, string, admin.Order, string) (int64, error) {
	return 7, nil
}

func (b *fakeBackend) Query(_ context.Context, q wire.TimelineQuery) ([]wire.TimelineResult, []string) {
	event := func(wall int64, process string) wire.TimelineResult {
		return wire.TimelineResult{Events: []wire.TimelineEvent{{
			Stamp: hlc.Stamp{Wall: wall}, Process: process, Name: "e", RequestID: q.RequestID,
		}}}
	}
	return []wire.TimelineResult{event(2, "b"), event(1, "a")}, []string{"c"}
}

type fixture struct {
	*fakeBackend
	store  *configstore.Store
	client *admin.Client
	url    string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	store := configstore.New(configstore.Options{Table: platform.NewMemoryTable(), Logger: logger,
		Operators: []policy.Operator{{Name: "op", KeySHA256: policy.HashKey(operatorKey)}}})
	assert.NilError(t, store.Refresh(t.Context()))
	b := &fakeBackend{topups: map[string]int64{}, drained: map[string]bool{}}
	e := echo.New()
	e.HTTPErrorHandler = httpapi.ErrorHandler
	adminapi.Register(e, adminapi.Deps{
		Config: store, Budgets: b, Ledger: b, Targets: b, Timeline: b, Logger: logger,
		Confirmations:  func(int64) ([]string, []string) { return []string{"router-1"}, b.pending },
		PushConfig:     func(d policy.Document) { b.pushed = append(b.pushed, d.Version) },
		ConfirmTimeout: 20 * time.Millisecond,
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return &fixture{fakeBackend: b, store: store, url: server.URL,
		client: admin.New(admin.Options{ServerURL: server.URL, OperatorKey: operatorKey})}
}

// send sends a request without the client and returns the status and, for an
// error response, the problem body.
func (f *fixture) send(t *testing.T, method, path, key, body string, headers ...string) (int, httpapi.Problem) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var p httpapi.Problem
	if resp.StatusCode >= 400 {
		assert.Equal(t, resp.Header.Get("Content-Type"), httpapi.ProblemMediaType)
		assert.NilError(t, json.Unmarshal(data, &p))
		assert.Equal(t, p.Status, resp.StatusCode)
		assert.Equal(t, p.RequestID, resp.Header.Get(httpapi.HeaderRequestID))
	}
	return resp.StatusCode, p
}

// Guards against requests without an operator's key being served, on known and
// on unknown paths.
func TestOnlyOperators(t *testing.T) {
	f := newFixture(t)
	_, err := f.client.CreateTeam(t.Context(), admin.CreateTeamRequest{Name: "a"})
	assert.NilError(t, err)
	key, err := f.client.AddKey(t.Context(), "a")
	assert.NilError(t, err)
	for _, path := range []string{"/teams", "/config", "/ledger?team=a", "/timeline", "/no/such/path"} {
		for bearer, want := range map[string]int{"": 401, "wrong": 401, key.Key: 403} {
			status, _ := f.send(t, http.MethodGet, admin.BasePath+path, bearer, "")
			assert.Equal(t, status, want, "%s with %q", path, bearer)
		}
	}
	status, problem := f.send(t, http.MethodGet, admin.BasePath+"/no/such/path", operatorKey, "")
	assert.Equal(t, status, 404)
	assert.Equal(t, problem.Kind, errkind.NotFound)
	status, _ = f.send(t, http.MethodPatch, admin.BasePath+"/teams", operatorKey, "")
	assert.Equal(t, status, 405)
}

// Guards against an operator overwriting a change of the configuration that they
// have not seen, with a write that names an outdated version, any version or none.
func TestConfigNeedsTheCurrentVersion(t *testing.T) {
	f := newFixture(t)
	doc, version, err := f.client.Config(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, version, int64(1))
	doc.Models["m"] = policy.Model{MaxOutputTokens: 10, ContextTokens: 100}
	diff, err := f.client.DiffConfig(t.Context(), doc)
	assert.NilError(t, err)
	assert.Equal(t, len(diff.Lines), 2)
	changed, err := f.client.PutConfig(t.Context(), doc, version)
	assert.NilError(t, err)
	assert.Equal(t, changed.Version, int64(2))
	_, err = f.client.SetActivePreset(t.Context(), policy.PresetPeak, version)
	assert.Assert(t, errkind.Is(err, errkind.VersionConflict), "%v", err)
	_, err = f.client.SetActivePreset(t.Context(), policy.PresetPeak, changed.Version)
	assert.NilError(t, err)
	assert.DeepEqual(t, f.pushed, []int64{2, 3})
	body := `{"preset": "peak"}`
	path := admin.BasePath + "/presets/active"
	status, _ := f.send(t, http.MethodPut, path, operatorKey, body)
	assert.Equal(t, status, 428)
	status, _ = f.send(t, http.MethodPut, path, operatorKey, body, "If-Match", "*")
	assert.Equal(t, status, 400)
	status, _ = f.send(t, http.MethodPut, path, operatorKey, `{"preset": "peak", "x": 1}`, "If-Match", `"3"`)
	assert.Equal(t, status, 400)
	status, _ = f.send(t, http.MethodPut, path, operatorKey, `{"preset": "absent"}`, "If-Match", `"3"`)
	assert.Equal(t, status, 400)
}

// Guards against a response that omits processes without the new version, or
// that waits for them indefinitely.
func TestAnswerListsPendingProcesses(t *testing.T) {
	f := newFixture(t)
	f.pending = []string{"sidecar-9"}
	changed, err := f.client.SetActivePreset(t.Context(), policy.PresetPeak, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, changed.Pending, f.pending)
	status, err := f.client.ConfigStatus(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, status, admin.ChangeResult{Version: 2, Confirmed: []string{"router-1"}, Pending: f.pending})
}

// Guards against keys that stay valid after rotation or revocation, and against
// later responses that contain keys or their digests.
func TestKeyLifecycle(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	_, err := f.client.CreateTeam(ctx, admin.CreateTeamRequest{Name: "a"})
	assert.NilError(t, err)
	_, err = f.client.CreateTeam(ctx, admin.CreateTeamRequest{Name: "a"})
	assert.Assert(t, errkind.Is(err, errkind.Conflict), "%v", err)
	first, err := f.client.AddKey(ctx, "a")
	assert.NilError(t, err)
	second, err := f.client.RotateKey(ctx, "a", first.ID)
	assert.NilError(t, err)
	known := func(key string) bool {
		_, ok := f.store.TeamByKeyDigest(ctx, policy.HashKey(key))
		return ok
	}
	assert.Assert(t, !known(first.Key) && known(second.Key))
	team, version, err := f.client.Team(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, len(team.Keys), 1)
	_, err = f.client.RevokeKey(ctx, "a", second.ID)
	assert.NilError(t, err)
	assert.Assert(t, !known(second.Key))
	_, err = f.client.SetPermissions(ctx, "a", admin.Permissions{Disabled: true}, version)
	assert.Assert(t, errkind.Is(err, errkind.VersionConflict), "%v", err)
	_, err = f.client.SetPermissions(ctx, "a", admin.Permissions{Workloads: []string{"batch"}}, version+1)
	assert.NilError(t, err)
	stored, _ := f.store.Team("a")
	assert.Assert(t, !stored.MayUseWorkload("interactive"))
}

// Guards against a repeated request adding the tokens of a top-up twice, and
// against a top-up without an idempotency key, which cannot be repeated safely.
func TestTopUpIsIdempotent(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	_, err := f.client.CreateTeam(ctx, admin.CreateTeamRequest{Name: "a"})
	assert.NilError(t, err)
	for range 2 {
		b, err := f.client.TopUp(ctx, "a", "k1", 500)
		assert.NilError(t, err)
		assert.DeepEqual(t, b, admin.Budget{ToppedUp: 500, Left: 500})
	}
	_, err = f.client.TopUp(ctx, "a", "k1", 501)
	assert.Assert(t, errkind.Is(err, errkind.IdempotencyConflict), "%v", err)
	_, err = f.client.TopUp(ctx, "absent", "k2", 1)
	assert.Assert(t, errkind.Is(err, errkind.NotFound), "%v", err)
	path := admin.BasePath + "/teams/a/topups"
	for body, headers := range map[string][]string{
		`{"tokens": 5}`:   nil,
		`{"tokens": -5}`:  {"Idempotency-Key", "k3"},
		`{"tokens": 1.5}`: {"Idempotency-Key", "k3"},
	} {
		status, _ := f.send(t, http.MethodPost, path, operatorKey, body, headers...)
		assert.Equal(t, status, 400, "%s", body)
	}
	b, err := f.client.Budget(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, b.ToppedUp, int64(500))
}

// Guards against totals that differ from the entries, a truncated list that
// looks complete, and callers' text being evaluated as a formula in a
// spreadsheet.
func TestLedgerFormats(t *testing.T) {
	f := newFixture(t)
	record := func(key string) ledger.Record {
		return ledger.Record{Identity: ledger.Identity{Team: "a", Key: key}, Charged: 5}
	}
	first := record("=1+1")
	first.RunID = "run1"
	f.entries = []admin.LedgerEntry{{Record: first, Billed: 5}, {Record: record("k2"), Lost: 5}}
	all, err := f.client.Ledger(t.Context(), admin.LedgerQuery{Team: "a"})
	assert.NilError(t, err)
	assert.Assert(t, all.Billed == 5 && all.Lost == 5 && !all.More)
	assert.Equal(t, all.Entries[0].Key, "=1+1")
	page, err := f.client.Ledger(t.Context(), admin.LedgerQuery{Team: "a", Limit: 1})
	assert.NilError(t, err)
	assert.Assert(t, page.More && len(page.Entries) == 1)
	from := time.Date(2026, 1, 31, 12, 0, 0, 1000, time.UTC)
	_, err = f.client.Ledger(t.Context(), admin.LedgerQuery{Team: "a", From: from, To: from.Add(time.Hour), Cursor: page.Next, Limit: 1})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.ledgerQuery, adminapi.LedgerQuery{
		Team: "a", FromUS: from.UnixMicro(), ToUS: from.Add(time.Hour).UnixMicro(), Limit: 2,
		After: &ledger.Cursor{RunID: "run1"},
	})
	for _, bad := range []string{"from=yesterday", "to=1", "cursor=x"} {
		status, _ := f.send(t, http.MethodGet, admin.BasePath+"/ledger?team=a&"+bad, operatorKey, "")
		assert.Equal(t, status, 400, bad)
	}
	data, err := f.client.LedgerExport(t.Context(), admin.LedgerQuery{Team: "a"}, "csv")
	assert.NilError(t, err)
	rows, err := csv.NewReader(strings.NewReader(string(data))).ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 3)
	assert.Equal(t, rows[1][1], "'=1+1")
	data, err = f.client.LedgerExport(t.Context(), admin.LedgerQuery{RequestID: "r"}, "jsonl")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(data), "\n"), 2)
	_, err = f.client.Ledger(t.Context(), admin.LedgerQuery{})
	assert.Assert(t, errkind.Is(err, errkind.InvalidRequest), "%v", err)
}

// Guards against orders without a required field, and against a timeline that
// is not in order.
func TestTargetsAndTimeline(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	assert.NilError(t, f.client.DrainTarget(ctx, "t1", true))
	assert.Assert(t, f.drained["t1"])
	err := f.client.ForgetTarget(ctx, "t9")
	assert.Assert(t, errkind.Is(err, errkind.NotFound), "%v", err)
	ordered, err := f.client.OrderTarget(ctx, "t1", admin.Order{Action: "load_model", Model: "m"})
	assert.NilError(t, err)
	assert.Equal(t, ordered.Fence, int64(7))
	for _, invalid := range []admin.Order{{Action: "load_model"}, {Action: "x"}, {Action: "set_role", Role: "x"}} {
		_, err = f.client.OrderTarget(ctx, "t1", invalid)
		assert.Assert(t, errkind.Is(err, errkind.InvalidRequest), "%v", err)
	}
	merged, err := f.client.Timeline(ctx, wire.TimelineQuery{RequestID: "r"})
	assert.NilError(t, err)
	assert.Equal(t, merged.Events[0].Process, "a")
	assert.DeepEqual(t, merged.Unreachable, []string{"c"})
}
