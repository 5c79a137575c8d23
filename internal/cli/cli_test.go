package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/labstack/echo/v5"
	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/adminapi"
	"tarragonridge.example/tarragonridge/internal/cli"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// budgets is an account in memory.
type budgets struct{ total int64 }

func (b *budgets) Account(context.Context, string) (admin.Budget, error) {
	return admin.Budget{ToppedUp: b.total, Left: b.total}, nil
}

func (b *budgets) Release(ctx context.Context, team string) (admin.Budget, error) {
	return b.Account(ctx, team)
}

func (b *budgets) TopUp(ctx context.Context, team, _ string, tokens int64, _ string) (admin.Budget, error) {
	b.total += tokens
	return b.Account(ctx, team)
}

// serve starts a router's admin API and points the command line at it.
func serve(t *testing.T) *configstore.Store {
	t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	store := configstore.New(configstore.Options{Table: platform.NewMemoryTable(), Logger: quiet,
		Operators: []policy.Operator{{Name: "op", KeySHA256: policy.HashKey("secret")}}})
	assert.NilError(t, store.Refresh(t.Context()))
	e := echo.New()
	adminapi.Register(e, adminapi.Deps{
		Config: store, Budgets: &budgets{}, Logger: quiet,
		Confirmations: func(int64) ([]string, []string) { return []string{"router-1"}, nil },
		PushConfig:    func(policy.Document) {},
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Setenv("TARRAGONRIDGE_SERVER", server.URL)
	t.Setenv("TARRAGONRIDGE_OPERATOR_KEY", "secret")
	return store
}

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cli.Main(args, &o, &e)
	return code, o.String(), e.String()
}

func ok(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := run(args...)
	assert.Equal(t, code, cli.ExitOK, "%v: %s", args, errOut)
	return out
}

// Guards against a faulty file passing with exit code 0, and against faults of
// one file hiding those of the next.
func TestConfigCheck(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"role": "router", "x": 1}`), 0o600))
	code, out, _ := run("config", "check", bad, "../../examples/assay-router.jsonc", bad)
	assert.Equal(t, code, cli.ExitUsage)
	assert.Assert(t, strings.Contains(out, "assay-router.jsonc: ok\n"))
	assert.Equal(t, strings.Count(out, bad+":1:20: x: unknown key; expected one of"), 2, out)
	assert.Equal(t, ok(t, "config", "check", "../../examples/leaf-router.jsonc"), "../../examples/leaf-router.jsonc: ok\n")
}

// Guards against help being followed by an error.
func TestHelp(t *testing.T) {
	code, out, errOut := run("admin", "--help")
	assert.Equal(t, code, cli.ExitOK)
	assert.Assert(t, strings.Contains(out, "admin team list") && errOut == "", errOut)
}

// Guards against commands that do not reach the API, and options left out that
// reset a permission.
func TestAdminTeam(t *testing.T) {
	store := serve(t)
	ok(t, "admin", "team", "create", "mint", "--workloads=batch,interactive", "--rate=2.5")
	ok(t, "admin", "team", "permissions", "mint", "--max-concurrent=4")
	team, _ := store.Team("mint")
	assert.DeepEqual(t, team.Workloads, []string{"batch", "interactive"})
	assert.Assert(t, team.RatePerSecond == 2.5 && team.MaxConcurrent == 4)
	ok(t, "admin", "team", "permissions", "mint", "--workloads=", "--disabled")
	team, _ = store.Team("mint")
	assert.Assert(t, len(team.Workloads) == 0 && team.Disabled)
	var key admin.CreatedKey
	assert.NilError(t, json.Unmarshal([]byte(ok(t, "admin", "--json", "team", "key", "add", "mint")), &key))
	_, known := store.TeamByKeyDigest(t.Context(), policy.HashKey(key.Key))
	assert.Assert(t, known)
	show := ok(t, "admin", "team", "show", "mint")
	assert.Assert(t, strings.Contains(show, key.ID) && !strings.Contains(show, key.Key), show)
	ok(t, "admin", "team", "key", "revoke", "mint", key.ID)
	assert.Assert(t, strings.Contains(ok(t, "admin", "budget", "topup", "mint", "700"), "left       700"))
}

// Guards against a stale file overwriting a newer document.
func TestAdminConfig(t *testing.T) {
	store := serve(t)
	file := filepath.Join(t.TempDir(), "doc.jsonc")
	doc := ok(t, "admin", "config", "get")
	doc = strings.Replace(doc, `"active_preset": "ordinary"`, `"active_preset": "peak" /* busy */`, 1)
	assert.NilError(t, os.WriteFile(file, []byte(doc), 0o600))
	assert.Equal(t, ok(t, "admin", "config", "diff", file), "~ active_preset: \"ordinary\" -> \"peak\"\n")
	ok(t, "admin", "config", "put", file)
	assert.Equal(t, store.Current().ActivePreset, policy.PresetPeak)
	code, _, errOut := run("admin", "config", "put", file)
	assert.Equal(t, code, cli.ExitError)
	assert.Assert(t, strings.Contains(errOut, "version_conflict"), errOut)
	ok(t, "admin", "preset", "use", "maintenance")
	assert.Assert(t, strings.Contains(ok(t, "admin", "preset", "list"), "maintenance  true"))
	assert.Assert(t, strings.Contains(ok(t, "admin", "config", "status"), "confirmed  router-1"))
}

// Guards against a lost answer to a top-up that gives no way to repeat it
// safely, and against a missing key being sent as an empty one.
func TestAdminErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	t.Setenv("TARRAGONRIDGE_SERVER", server.URL)
	t.Setenv("TARRAGONRIDGE_OPERATOR_KEY", "secret")
	code, _, errOut := run("admin", "budget", "topup", "mint", "5", "--key", "pay-1")
	assert.Equal(t, code, cli.ExitError)
	assert.Assert(t, strings.Contains(errOut, "repeat with --key pay-1"), errOut)
	t.Setenv("TARRAGONRIDGE_OPERATOR_KEY", "")
	code, _, errOut = run("admin", "team", "list")
	assert.Equal(t, code, cli.ExitUsage)
	assert.Assert(t, strings.Contains(errOut, "TARRAGONRIDGE_OPERATOR_KEY"), errOut)
}
