package platform_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
	standin "tarragonridge.example/tarragonridge/internal/standin/platform"
)

const (
	callTimeout = 200 * time.Millisecond
	pollEvery   = 5 * time.Millisecond
)

type fixture struct {
	server *standin.Server
	url    string
	t      *testing.T
}

func start(t *testing.T, o standin.Options) fixture {
	t.Helper()
	o.Log = slog.New(slog.DiscardHandler)
	server := standin.New(o)
	listener := httptest.NewServer(server)
	t.Cleanup(func() {
		listener.Close()
		server.Close()
	})
	return fixture{server: server, url: listener.URL, t: t}
}

func (f fixture) client(host string) *platform.Client {
	client := platform.NewClient(platform.Options{BaseURL: f.url, Host: host, Timeout: callTimeout})
	f.t.Cleanup(client.Close)
	return client
}

// post sends a control request and returns the status.
func (f fixture) post(path, body string) int {
	f.t.Helper()
	resp, err := http.Post(f.url+path, "application/json", strings.NewReader(body))
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(f.t, err)
	return resp.StatusCode
}

func (f fixture) fault(body string) {
	f.t.Helper()
	assert.Equal(f.t, f.post("/control/fault", body), http.StatusNoContent)
}

func insert(key string) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: []byte("v")}},
	}
}

// Guards against the client and the stand-in disagreeing on the protocol.
func TestRoundTrip(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{Weights: []platform.Weights{{Model: "org/m", Version: "3", Bytes: 9}}})
	client := f.client("h1")
	result, err := client.Commit(ctx, insert("a/1"))
	assert.NilError(t, err)
	assert.Assert(t, result.Committed)
	result, err = client.Commit(ctx, insert("a/1"))
	assert.NilError(t, err)
	assert.Assert(t, !result.Committed)
	assert.Equal(t, len(result.Current), 1)
	rows, err := platform.ScanAll(ctx, client, "a/")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, result.Current)
	_, err = client.Get(ctx, "a/2")
	assert.Equal(t, errkind.Of(err), errkind.NotFound)

	assert.NilError(t, client.PutObject(ctx, "dir/x y%2F", []byte{0, 1}))
	data, err := client.GetObject(ctx, "dir/x y%2F")
	assert.NilError(t, err)
	assert.DeepEqual(t, data, []byte{0, 1})
	_, err = client.GetObject(ctx, "dir")
	assert.Equal(t, errkind.Of(err), errkind.NotFound)
	weights, err := client.Weights(ctx, "org/m")
	assert.NilError(t, err)
	assert.Equal(t, weights.Bytes, int64(9))
}

// Guards against a lost answer that hides an applied write: the read-back must
// find it.
func TestLostAnswerThenReadBack(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{})
	client := f.client("")
	f.fault(`{"mode":"lose_answers","count":1}`)
	_, err := client.Commit(ctx, insert("k"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain, "%v", err)
	row, err := client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")
	result, err := client.Commit(ctx, insert("k"))
	assert.NilError(t, err, "the count has run out")
	assert.Assert(t, !result.Committed)
	assert.DeepEqual(t, f.server.Stats(), standin.Stats{Reads: 1, Writes: 2, Failures: 1})
}

// Guards against a late write that is dropped when its caller gives up, and
// against one that is applied before the caller has given up.
func TestLateWriteIsAppliedAfterTheTimeout(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{})
	client := f.client("")
	f.fault(`{"mode":"late","delay_ms":700}`)
	_, err := client.Commit(ctx, insert("k"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain, "%v", err)
	_, err = client.Get(ctx, "k")
	assert.Equal(t, errkind.Of(err), errkind.NotFound, "not yet applied")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Get(ctx, "k"); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(pollEvery))
}

// Guards against a slow call that is applied although its caller has gone.
func TestSlowCallEndsWithItsCaller(t *testing.T) {
	f := start(t, standin.Options{})
	f.fault(`{"mode":"slow","delay_ms":60000}`)
	_, err := f.client("").Commit(context.Background(), insert("k"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain, "%v", err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.server.Stats().Failures == 0 {
			return poll.Continue("the call is still in progress")
		}
		return poll.Success()
	}, poll.WithDelay(pollEvery))
	assert.Equal(t, f.server.Stats().Writes, int64(0))
}

// Guards against a fault for some hosts that affects others, or that heals
// together with theirs.
func TestFaultOfSingleHosts(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{})
	cut, other := f.client("h1"), f.client("h2")
	f.fault(`{"mode":"down","hosts":["h1"]}`)
	_, err := cut.Commit(ctx, insert("k"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	_, err = other.Commit(ctx, insert("k"))
	assert.NilError(t, err)
	f.fault(`{"mode":"up","hosts":["h2"]}`)
	_, err = cut.Get(ctx, "k")
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	f.fault(`{"mode":"up"}`)
	_, err = cut.Get(ctx, "k")
	assert.NilError(t, err)
}

// Guards against an outage that comes once instead of again and again.
func TestFlappingAlternates(t *testing.T) {
	f := start(t, standin.Options{})
	client := f.client("")
	f.fault(`{"mode":"flapping","delay_ms":40}`)
	for _, want := range []errkind.Kind{errkind.PlatformUnavailable, "", errkind.PlatformUnavailable, ""} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, err := client.Hosts(context.Background()); errkind.Of(err) != want {
				return poll.Continue("got %v, want kind %q", err, want)
			}
			return poll.Success()
		}, poll.WithDelay(pollEvery))
	}
}

// Guards against a seeded fault whose sequence differs between runs.
func TestProbabilityIsSeeded(t *testing.T) {
	f := start(t, standin.Options{})
	client := f.client("")
	sequence := func() string {
		f.fault(`{"mode":"down","probability":0.5,"seed":7}`)
		var out strings.Builder
		for range 40 {
			_, err := client.Hosts(context.Background())
			out.WriteString(string(errkind.Of(err)) + ",")
		}
		return out.String()
	}
	first := sequence()
	assert.Equal(t, sequence(), first)
	failures := strings.Count(first, string(errkind.PlatformUnavailable))
	assert.Assert(t, failures > 0 && failures < 40, "%d failures", failures)
}

// Guards against rate limits that are not enforced or that have an effect on
// the table, and against a lost retry hint.
func TestRateLimits(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{WritesPerSecond: 0.001, WeightsPerSecond: 0.001})
	client := f.client("")
	_, err := client.Commit(ctx, insert("a"))
	assert.NilError(t, err)
	_, err = client.Commit(ctx, insert("b"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	assert.Assert(t, platform.RateLimited(err))
	_, err = client.Get(ctx, "b")
	assert.Equal(t, errkind.Of(err), errkind.NotFound)
	_, err = client.Weights(ctx, "m")
	assert.Equal(t, errkind.Of(err), errkind.NotFound)
	_, err = client.Weights(ctx, "m")
	assert.Assert(t, platform.RateLimited(err))
	assert.Equal(t, errkind.From(err).RetryAfter, time.Second)
	assert.Equal(t, f.server.Stats().RateLimited, int64(2))
}

// Guards against a host list without the lag that the system must cope with.
func TestHostListLags(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{Hosts: []platform.Host{{Host: "h1", Domain: "d1", State: platform.HostLive}}})
	client := f.client("")
	edit := `{"lag_ms":400,"set":[{"host":"h1","domain":"d1","state":"leaving"}]}`
	assert.Equal(t, f.post("/control/hosts", edit), http.StatusNoContent)
	hosts, err := client.Hosts(ctx)
	assert.NilError(t, err)
	assert.Equal(t, hosts[0].State, platform.HostLive)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		hosts, err := client.Hosts(ctx)
		if err != nil || hosts[0].State != platform.HostLeaving {
			return poll.Continue("hosts %v, error %v", hosts, err)
		}
		return poll.Success()
	}, poll.WithDelay(pollEvery))
}

// Guards against a mistyped fault that a scenario takes for a working one.
func TestControlRejectsInvalidBodies(t *testing.T) {
	f := start(t, standin.Options{})
	for _, body := range []string{
		`{"mode":"donw"}`, `{"mode":"slow"}`, `{"mode":"down","probability":2}`, `{"mode":"down","host":["h1"]}`,
	} {
		assert.Equal(t, f.post("/control/fault", body), http.StatusBadRequest, body)
	}
	assert.Equal(t, f.post("/control/hosts", `{"set":[{"host":"h","state":"gone"}]}`), http.StatusBadRequest)
}
