package router_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/router"
	"tarragonridge.example/tarragonridge/internal/settings"
	"tarragonridge.example/tarragonridge/internal/timeline"
)

const waitTimeout = 5 * time.Second

// failingTable is a table whose calls fail while down is set.
type failingTable struct {
	platform.Table
	down *atomic.Bool
}

func (f failingTable) check() error {
	if f.down.Load() {
		return errkind.New(errkind.PlatformUnavailable, "the table is down")
	}
	return nil
}

// Get implements platform.Table.
func (f failingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := f.check(); err != nil {
		return platform.Row{}, err
	}
	return f.Table.Get(ctx, key)
}

// Scan implements platform.Table.
func (f failingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := f.check(); err != nil {
		return nil, err
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (f failingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := f.check(); err != nil {
		return platform.TxnResult{}, err
	}
	return f.Table.Commit(ctx, txn)
}

// routerProcess is a running router.
type routerProcess struct {
	callers, peers, metrics string // addresses
	stop                    context.CancelFunc
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return ln
}

// startRouter starts a router that is stopped at the end of the test.
func startRouter(t *testing.T, host string, table platform.Table, withMetrics bool, peers ...string) routerProcess {
	t.Helper()
	cfg := settings.DefaultRouter()
	cfg.Host = host
	cfg.FailureDomain = "fd-a"
	cfg.Peers = peers
	ln := router.Listeners{Callers: listen(t), Peers: listen(t)}
	p := routerProcess{callers: ln.Callers.Addr().String(), peers: ln.Peers.Addr().String()}
	if withMetrics {
		ln.Metrics = listen(t)
		p.metrics = ln.Metrics.Addr().String()
	}
	clock := &hlc.Clock{}
	r := router.New(router.Options{
		Settings: cfg,
		Table:    table,
		Logger:   slog.New(slog.DiscardHandler),
		Clock:    clock,
		Timeline: timeline.New(timeline.Options{Process: "router/" + host, Clock: clock}),
	}, ln)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx) // fails if the router has no registration to close
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return p
}

// httpGet returns the status and body of the answer. Status 0 means that there
// was no answer.
func httpGet(addr, path, key string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// newConfiguredTable returns a table with a model and a team that has the key.
func newConfiguredTable(t *testing.T, key string) platform.Table {
	t.Helper()
	table := platform.NewMemoryTable()
	store := configstore.New(configstore.Options{
		Table:     table,
		Logger:    slog.New(slog.DiscardHandler),
		Operators: []policy.Operator{{Name: "op", KeySHA256: policy.HashKey("op")}},
	})
	assert.NilError(t, store.Refresh(t.Context()))
	_, err := store.Change(t.Context(), store.Version(), "op", func(c *configstore.Change) error {
		c.Document.Models["m1"] = policy.Model{MaxOutputTokens: 64, ContextTokens: 1024}
		c.SetTeam(policy.Team{Name: "team-1", Keys: []policy.TeamKey{{ID: "k1", SHA256: policy.HashKey(key), CreatedUS: 1}}})
		return nil
	})
	assert.NilError(t, err)
	return table
}

// Guards against a router that starts while the table is unavailable and
// rejects its callers although a peer knows them.
func TestStartWhileTableIsDown(t *testing.T) {
	t.Parallel()
	var down atomic.Bool
	table := failingTable{newConfiguredTable(t, "key-1"), &down}
	first := startRouter(t, "entry-1", table, false)
	waitUntil(t, "readiness of the first router", func() bool {
		status, _ := httpGet(first.callers, "/readyz", "")
		return status == http.StatusOK
	})
	down.Store(true)
	second := startRouter(t, "entry-2", table, false, first.peers)
	// A graceful stop waits for the table; without this, a failed test would not end.
	t.Cleanup(func() { down.Store(false) })
	waitUntil(t, "a model list from the second router", func() bool {
		status, body := httpGet(second.callers, "/v1/models", "key-1")
		return status == http.StatusOK && strings.Contains(body, `"m1"`)
	})
	status, _ := httpGet(second.callers, "/v1/models", "key-2")
	assert.Equal(t, status, http.StatusUnauthorized)
	// Without a registration the second router has no budget, so callers must not
	// be sent to it.
	status, body := httpGet(second.callers, "/readyz", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "not registered\n")
	down.Store(false)
	waitUntil(t, "readiness of the second router", func() bool {
		status, _ := httpGet(second.callers, "/readyz", "")
		return status == http.StatusOK
	})
}

// Guards against a router that becomes ready without a configuration: the table
// is unavailable, and the only peer has no configuration either.
func TestNotReadyWithoutAnyConfiguration(t *testing.T) {
	t.Parallel()
	var down atomic.Bool
	down.Store(true)
	table := failingTable{platform.NewMemoryTable(), &down}
	first := startRouter(t, "entry-1", table, false)
	second := startRouter(t, "entry-2", table, false, first.peers)
	// A graceful stop waits for the table; without this, a failed test would not end.
	t.Cleanup(func() { down.Store(false) })
	time.Sleep(1200 * time.Millisecond) // the router asks its peers at least twice
	status, body := httpGet(second.callers, "/readyz", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "no configuration\n")
}

// Guards against metrics that callers can read although the metrics have an
// address of their own, and against metrics that are not served at all if the
// callers' address is the only one.
func TestMetricsAddress(t *testing.T) {
	t.Parallel()
	table := newConfiguredTable(t, "key-1")
	separate := startRouter(t, "entry-1", table, true)
	shared := startRouter(t, "entry-2", table, false)
	for _, p := range []routerProcess{separate, shared} {
		waitUntil(t, "readiness", func() bool {
			status, _ := httpGet(p.callers, "/readyz", "")
			return status == http.StatusOK
		})
	}
	for addr, want := range map[string]int{separate.callers: http.StatusNotFound, separate.metrics: http.StatusOK, shared.callers: http.StatusOK} {
		status, body := httpGet(addr, "/metrics", "")
		assert.Equal(t, status, want)
		assert.Equal(t, strings.Contains(body, "tarragonridge_config_version"), want == http.StatusOK)
	}
	for _, path := range []string{"/healthz", "/readyz"} {
		for _, addr := range []string{separate.callers, separate.metrics} {
			status, _ := httpGet(addr, path, "")
			assert.Equal(t, status, http.StatusOK)
		}
	}
	status, _ := httpGet(separate.metrics, "/v1/models", "key-1")
	assert.Equal(t, status, http.StatusNotFound)
}
