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

// memoryBudget is one budget, kept in memory, for all teams.
type memoryBudget struct{ total int64 }

func (m *memoryBudget) Account(context.Context, string) (admin.Budget, error) {
	return admin.Budget{ToppedUp: m.total, Left: m.total}, nil
}

func (m *memoryBudget) Release(ctx context.Context, team string) (admin.Budget, error) {
	return m.Account(ctx, team)
}

func (m *memoryBudget) TopUp(ctx context.Context, team, _ string, tokens int64, _ string) (admin.Budget, error) {
	m.total += tokens
	return m.Account(ctx, team)
}

// startAdminAPI serves a router's admin API and sets the environment so that the
// commands use it.
func startAdminAPI(t *testing.T) *configstore.Store {
	t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	store := configstore.New(configstore.Options{Table: platform.NewMemoryTable(), Logger: quiet,
		Operators: []policy.Operator{{Name: "op", KeySHA256: policy.HashKey("secret")}}})
	assert.NilError(t, store.Refresh(t.Context()))
	e := echo.New()
	adminapi.Register(e, adminapi.Deps{
		Config: store, Budgets: &memoryBudget{}, Logger: quiet,
		Confirmations: func(int64) ([]string, []string) { return []string{"router-1"}, nil },
		PushConfig:    func(policy.Document) {},
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Setenv("TARRAGONRIDGE_SERVER", server.URL)
	t.Setenv("TARRAGONRIDGE_OPERATOR_KEY", "secret")
	return store
}

func runCommand(args ...string) (code int, out, errOut string) {
	var outBuffer, errBuffer bytes.Buffer
	code = cli.Main(args, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

// mustRun runs a command that must succeed and returns its output.
func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := runCommand(args...)
	assert.Equal(t, code, cli.ExitOK, "%v: %s", args, errOut)
	return out
}

// Guards against exit code 0 for an invalid file, and against a check that stops
// after the first invalid file.
func TestConfigCheck(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.jsonc")
	assert.NilError(t, os.WriteFile(invalid, []byte(`{"role": "router", "x": 1}`), 0o600))
	code, out, _ := runCommand("config", "check", invalid, "../../examples/assay-router.jsonc", invalid)
	assert.Equal(t, code, cli.ExitUsage)
	assert.Assert(t, strings.Contains(out, "assay-router.jsonc: ok\n"))
	assert.Equal(t, strings.Count(out, invalid+":1:20: x: unknown key; expected one of"), 2, out)
	assert.Equal(t, mustRun(t, "config", "check", "../../examples/leaf-router.jsonc"), "../../examples/leaf-router.jsonc: ok\n")
}

// Guards against an error after the help text: Main does not let kong exit the
// process, so parsing goes on after the help text and can fail.
func TestHelp(t *testing.T) {
	code, out, errOut := runCommand("admin", "--help")
	assert.Equal(t, code, cli.ExitOK)
	assert.Assert(t, strings.Contains(out, "admin team list") && errOut == "", errOut)
}

// Guards against commands that do not reach the API, and against omitted options
// that reset a permission.
func TestAdminTeam(t *testing.T) {
	store := startAdminAPI(t)
	mustRun(t, "admin", "team", "create", "mint", "--workloads=batch,interactive", "--rate=2.5")
	mustRun(t, "admin", "team", "permissions", "mint", "--max-concurrent=4")
	team, _ := store.Team("mint")
	assert.DeepEqual(t, team.Workloads, []string{"batch", "interactive"})
	assert.Assert(t, team.RatePerSecond == 2.5 && team.MaxConcurrent == 4)
	mustRun(t, "admin", "team", "permissions", "mint", "--workloads=", "--disabled")
	team, _ = store.Team("mint")
	assert.Assert(t, len(team.Workloads) == 0 && team.Disabled)
	var key admin.CreatedKey
	assert.NilError(t, json.Unmarshal([]byte(mustRun(t, "admin", "--json", "team", "key", "add", "mint")), &key))
	_, known := store.TeamByKeyDigest(t.Context(), policy.HashKey(key.Key))
	assert.Assert(t, known)
	show := mustRun(t, "admin", "team", "show", "mint")
	assert.Assert(t, strings.Contains(show, key.ID) && !strings.Contains(show, key.Key), show)
	mustRun(t, "admin", "team", "key", "revoke", "mint", key.ID)
	assert.Assert(t, strings.Contains(mustRun(t, "admin", "budget", "topup", "mint", "700"), "left       700"))
}

// Guards against an outdated file overwriting a newer document.
func TestAdminConfig(t *testing.T) {
	store := startAdminAPI(t)
	file := filepath.Join(t.TempDir(), "doc.jsonc")
	doc := mustRun(t, "admin", "config", "get")
	doc = strings.Replace(doc, `"active_preset": "ordinary"`, `"active_preset": "peak" /* busy */`, 1)
	assert.NilError(t, os.WriteFile(file, []byte(doc), 0o600))
	assert.Equal(t, mustRun(t, "admin", "config", "diff", file), "~ active_preset: \"ordinary\" -> \"peak\"\n")
	mustRun(t, "admin", "config", "put", file)
	assert.Equal(t, store.Current().ActivePreset, policy.PresetPeak)
	code, _, errOut := runCommand("admin", "config", "put", file)
	assert.Equal(t, code, cli.ExitError)
	assert.Assert(t, strings.Contains(errOut, "version_conflict"), errOut)
	mustRun(t, "admin", "preset", "use", "maintenance")
	assert.Assert(t, strings.Contains(mustRun(t, "admin", "preset", "list"), "maintenance  true"))
	assert.Assert(t, strings.Contains(mustRun(t, "admin", "config", "status"), "confirmed  router-1"))
}

// Guards against a top-up whose answer is lost and whose error does not say how
// to repeat it safely, and against sending a missing operator key as an empty
// one.
func TestAdminErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	t.Setenv("TARRAGONRIDGE_SERVER", server.URL)
	t.Setenv("TARRAGONRIDGE_OPERATOR_KEY", "secret")
	code, _, errOut := runCommand("admin", "budget", "topup", "mint", "5", "--key", "pay-1")
	assert.Equal(t, code, cli.ExitError)
	assert.Assert(t, strings.Contains(errOut, "repeat with --key pay-1"), errOut)
	t.Setenv("TARRAGONRIDGE_OPERATOR_KEY", "")
	code, _, errOut = runCommand("admin", "team", "list")
	assert.Equal(t, code, cli.ExitUsage)
	assert.Assert(t, strings.Contains(errOut, "TARRAGONRIDGE_OPERATOR_KEY"), errOut)
}
