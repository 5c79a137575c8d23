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

// post sends a control request and returns the response status.
func (f fixture) post(path, body string) int {
	f.t.Helper()
	resp, err := http.Post(f.url+path, "application/json", strings.NewReader(body))
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(f.t, err)
	return resp.StatusCode
}

func (f fixture) setFault(body string) {
	f.t.Helper()
	assert.Equal(f.t, f.post("/control/fault", body), http.StatusNoContent)
}

func insert(key string) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: []byte("v")}},
	}
}

// Guards against a client and a stand-in that disagree on the protocol: on a failed
// condition, an absent row or object, or a key or model name with a slash or an
// escape.
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

// Guards against a write that is not applied when its response is lost: a later read
// must find it.
func TestLostAnswerThenReadBack(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{})
	client := f.client("")
	f.setFault(`{"mode":"lose_answers","count":1}`)
	_, err := client.Commit(ctx, insert("k"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain, "%v", err)
	row, err := client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")
	result, err := client.Commit(ctx, insert("k"))
	assert.NilError(t, err, "the fault must end after one call")
	assert.Assert(t, !result.Committed)
	assert.DeepEqual(t, f.server.Stats(), standin.Stats{Reads: 1, Writes: 2, Failures: 1})
}

// Guards against a late write that is dropped when its caller times out, or that is
// applied before the caller times out.
func TestLateWriteIsAppliedAfterTheTimeout(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{})
	client := f.client("")
	f.setFault(`{"mode":"late","delay_ms":700}`)
	_, err := client.Commit(ctx, insert("k"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain, "%v", err)
	_, err = client.Get(ctx, "k")
	assert.Equal(t, errkind.Of(err), errkind.NotFound, "the write must not be applied yet")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Get(ctx, "k"); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(pollEvery))
}

// Guards against a slow write that is applied although its caller has disconnected.
func TestSlowCallEndsWithItsCaller(t *testing.T) {
	f := start(t, standin.Options{})
	f.setFault(`{"mode":"slow","delay_ms":60000}`)
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

// Guards against a fault for single hosts that affects other hosts, or that ends when
// the fault of another host is cleared.
func TestFaultOfSingleHosts(t *testing.T) {
	ctx := context.Background()
	f := start(t, standin.Options{})
	faulty, other := f.client("h1"), f.client("h2")
	f.setFault(`{"mode":"down","hosts":["h1"]}`)
	_, err := faulty.Commit(ctx, insert("k"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	_, err = other.Commit(ctx, insert("k"))
	assert.NilError(t, err)
	f.setFault(`{"mode":"up","hosts":["h2"]}`)
	_, err = faulty.Get(ctx, "k")
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	f.setFault(`{"mode":"up"}`)
	_, err = faulty.Get(ctx, "k")
	assert.NilError(t, err)
}

// Guards against a flapping fault that takes the platform down only once and then
// leaves it up.
func TestFlappingAlternates(t *testing.T) {
	f := start(t, standin.Options{})
	client := f.client("")
	f.setFault(`{"mode":"flapping","delay_ms":40}`)
	for _, want := range []errkind.Kind{errkind.PlatformUnavailable, "", errkind.PlatformUnavailable, ""} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, err := client.Hosts(context.Background()); errkind.Of(err) != want {
				return poll.Continue("got %v, want kind %q", err, want)
			}
			return poll.Success()
		}, poll.WithDelay(pollEvery))
	}
}

// Guards against a seeded fault that affects different calls each time it is set, so
// that a failed test could not be reproduced.
func TestProbabilityIsSeeded(t *testing.T) {
	f := start(t, standin.Options{})
	client := f.client("")
	sequence := func() string {
		f.setFault(`{"mode":"down","probability":0.5,"seed":7}`)
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

// Guards against rate limits that are not enforced, rejected writes that change the
// table, and a rejection without Retry-After.
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

// Guards against an edit of the host list that readers see at once: the system has
// to work with a list that lags.
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

// Guards against a mistyped control request that is accepted without effect, so that
// a scenario runs without the fault that it set.
func TestControlRejectsInvalidBodies(t *testing.T) {
	f := start(t, standin.Options{})
	for _, body := range []string{
		`{"mode":"donw"}`, `{"mode":"slow"}`, `{"mode":"down","probability":2}`, `{"mode":"down","host":["h1"]}`,
	} {
		assert.Equal(t, f.post("/control/fault", body), http.StatusBadRequest, body)
	}
	assert.Equal(t, f.post("/control/hosts", `{"set":[{"host":"h","state":"gone"}]}`), http.StatusBadRequest)
}
