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

const waitLimit = 5 * time.Second

// outage is a table whose calls fail while it is down.
type outage struct {
	platform.Table
	down *atomic.Bool
}

func (o outage) check() error {
	if o.down.Load() {
		return errkind.New(errkind.PlatformUnavailable, "the table is down")
	}
	return nil
}

// Get implements platform.Table.
func (o outage) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := o.check(); err != nil {
		return platform.Row{}, err
	}
	return o.Table.Get(ctx, key)
}

// Scan implements platform.Table.
func (o outage) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return o.Table.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (o outage) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := o.check(); err != nil {
		return platform.TxnResult{}, err
	}
	return o.Table.Commit(ctx, txn)
}

// process is a running router.
type process struct {
	callers, peers, metrics string // addresses
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return ln
}

// run starts a router and ends it with the test.
func run(t *testing.T, host string, table platform.Table, withMetrics bool, peers ...string) process {
	t.Helper()
	cfg := settings.DefaultRouter()
	cfg.Host = host
	cfg.FailureDomain = "fd-a"
	cfg.Peers = peers
	ln := router.Listeners{Callers: listen(t), Peers: listen(t)}
	p := process{callers: ln.Callers.Addr().String(), peers: ln.Peers.Addr().String()}
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
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx) // a router that has no registration reports that it cannot close it
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return p
}

// get returns status and body; status 0 means no answer.
func get(addr, path, key string) (int, string) {
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

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// configured returns a table that holds a model and a team with a key.
func configured(t *testing.T, key string) platform.Table {
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

// Guards against a router that starts during an outage of the table and does
// not know its callers although a peer does.
func TestStartWhileTableIsDown(t *testing.T) {
	t.Parallel()
	var down atomic.Bool
	table := outage{configured(t, "key-1"), &down}
	first := run(t, "entry-1", table, false)
	waitFor(t, "readiness of the first router", func() bool {
		status, _ := get(first.callers, "/readyz", "")
		return status == http.StatusOK
	})
	down.Store(true)
	second := run(t, "entry-2", table, false, first.peers)
	// A graceful stop waits for the table, so a failed test would not end.
	t.Cleanup(func() { down.Store(false) })
	waitFor(t, "a model list from the second router", func() bool {
		status, body := get(second.callers, "/v1/models", "key-1")
		return status == http.StatusOK && strings.Contains(body, `"m1"`)
	})
	status, _ := get(second.callers, "/v1/models", "key-2")
	assert.Equal(t, status, http.StatusUnauthorized)
	// It holds no registration and thus no budget, so callers are not sent to it.
	status, body := get(second.callers, "/readyz", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "not registered\n")
	down.Store(false)
	waitFor(t, "readiness of the second router", func() bool {
		status, _ := get(second.callers, "/readyz", "")
		return status == http.StatusOK
	})
}

// Guards against a router that is ready although neither table nor peer has
// told it the configuration.
func TestNotReadyWithoutAnyConfiguration(t *testing.T) {
	t.Parallel()
	var down atomic.Bool
	down.Store(true)
	table := outage{platform.NewMemoryTable(), &down}
	first := run(t, "entry-1", table, false)
	second := run(t, "entry-2", table, false, first.peers)
	// A graceful stop waits for the table, so a failed test would not end.
	t.Cleanup(func() { down.Store(false) })
	time.Sleep(1200 * time.Millisecond) // two rounds of questions
	status, body := get(second.callers, "/readyz", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "no configuration\n")
}

// Guards against metrics that callers can read although they have an address
// of their own, and against none at all where they have not.
func TestMetricsAddress(t *testing.T) {
	t.Parallel()
	table := configured(t, "key-1")
	apart := run(t, "entry-1", table, true)
	shared := run(t, "entry-2", table, false)
	for _, p := range []process{apart, shared} {
		waitFor(t, "readiness", func() bool {
			status, _ := get(p.callers, "/readyz", "")
			return status == http.StatusOK
		})
	}
	for addr, want := range map[string]int{apart.callers: http.StatusNotFound, apart.metrics: http.StatusOK, shared.callers: http.StatusOK} {
		status, body := get(addr, "/metrics", "")
		assert.Equal(t, status, want)
		assert.Equal(t, strings.Contains(body, "tarragonridge_config_version"), want == http.StatusOK)
	}
	for _, path := range []string{"/healthz", "/readyz"} {
		for _, addr := range []string{apart.callers, apart.metrics} {
			status, _ := get(addr, path, "")
			assert.Equal(t, status, http.StatusOK)
		}
	}
	status, _ := get(apart.metrics, "/v1/models", "key-1")
	assert.Equal(t, status, http.StatusNotFound)
}
