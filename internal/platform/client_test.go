package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

const shortTimeout = 100 * time.Millisecond

var putOne = platform.Txn{Puts: []platform.Put{{Key: "k", Value: []byte("v")}}}

// clientOf returns a client of a server with the handler.
func clientOf(t *testing.T, handler http.HandlerFunc) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := platform.NewClient(platform.Options{BaseURL: server.URL, Timeout: shortTimeout, MaxResponseBytes: 1000})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

func answer(status int, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = r.Body.Read(make([]byte, 1000))
	<-r.Context().Done()
}

func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a write whose effect is unknown being reported as not applied,
// and against a known refusal that forces a read-back.
func TestErrorClassification(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		commit  errkind.Kind
	}{
		{"503 not applied", answer(503, platform.HeaderNotApplied, ""), errkind.PlatformUnavailable},
		{"429 not applied", answer(429, platform.HeaderNotApplied, ""), errkind.PlatformUnavailable},
		{"503 without the header", answer(503, "", ""), errkind.PlatformUncertain},
		{"500 with the header", answer(500, platform.HeaderNotApplied, ""), errkind.PlatformUncertain},
		{"redirect", answer(307, "", ""), errkind.PlatformUncertain},
		{"answer is not JSON", answer(200, "", "<html>"), errkind.PlatformUncertain},
		{"answer too large", answer(200, "", strings.Repeat(" ", 1001)), errkind.PlatformUncertain},
		{"timeout", hang, errkind.PlatformUncertain},
		{"connection closed", closeConnection, errkind.PlatformUncertain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := clientOf(t, c.handler)
			ctx := context.Background()
			_, err := client.Commit(ctx, putOne)
			assert.Equal(t, errkind.Of(err), c.commit, "%v", err)
			_, err = client.Get(ctx, "k")
			assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "%v", err)
			_, err = client.Scan(ctx, "k", "", 1)
			assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "%v", err)
		})
	}
}

// Guards against an object write whose effect is unknown being reported as not
// applied.
func TestObjectPutClassification(t *testing.T) {
	ctx := context.Background()
	refused := clientOf(t, answer(503, platform.HeaderNotApplied, ""))
	assert.Equal(t, errkind.Of(refused.PutObject(ctx, "k", nil)), errkind.PlatformUnavailable)
	closed := clientOf(t, closeConnection)
	assert.Equal(t, errkind.Of(closed.PutObject(ctx, "k", nil)), errkind.PlatformUncertain)
}

// Guards against a refused connection being treated as a write that may have
// been applied, also when the client has used connections to that address.
func TestRefusedConnectionIsNotApplied(t *testing.T) {
	server := httptest.NewServer(answer(200, "", `{"committed":true}`))
	client := platform.NewClient(platform.Options{BaseURL: server.URL})
	_, err := client.Commit(context.Background(), putOne)
	assert.NilError(t, err)
	server.Close()
	client.Close()
	_, err = client.Commit(context.Background(), putOne)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "%v", err)
}

// Guards against a call that ended before it had a connection being treated as
// sent.
func TestDialTimeoutIsNotApplied(t *testing.T) {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	client := platform.NewClient(platform.Options{
		BaseURL: "http://127.0.0.1:1", Timeout: shortTimeout, HTTPClient: &http.Client{Transport: transport},
	})
	_, err := client.Commit(context.Background(), putOne)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "%v", err)
}

// Guards against a missing endpoint being read as an empty table.
func TestWrongAddressIsNotAnEmptyTable(t *testing.T) {
	client := clientOf(t, http.NotFound)
	_, err := client.Get(context.Background(), "k")
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
}
