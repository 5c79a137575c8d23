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

var putTxn = platform.Txn{Puts: []platform.Put{{Key: "k", Value: []byte("v")}}}

// newClient starts a server with the handler and returns a client for it.
func newClient(t *testing.T, handler http.HandlerFunc) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := platform.NewClient(platform.Options{BaseURL: server.URL, Timeout: shortTimeout, MaxResponseBytes: 1000})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

// respondWith answers each request with the status and the body. If headerName is not
// empty, the answer has this header with the value 1.
func respondWith(status int, headerName, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if headerName != "" {
			w.Header().Set(headerName, "1")
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

// Guards against reporting a write as not applied although its effect is
// unknown, and against reporting a refused write as uncertain, which would force
// the caller to read back.
func TestErrorClassification(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		commit  errkind.Kind
	}{
		{"503 not applied", respondWith(503, platform.HeaderNotApplied, ""), errkind.PlatformUnavailable},
		{"429 not applied", respondWith(429, platform.HeaderNotApplied, ""), errkind.PlatformUnavailable},
		{"503 without the header", respondWith(503, "", ""), errkind.PlatformUncertain},
		{"500 with the header", respondWith(500, platform.HeaderNotApplied, ""), errkind.PlatformUncertain},
		{"redirect", respondWith(307, "", ""), errkind.PlatformUncertain},
		{"answer is not JSON", respondWith(200, "", "<html>"), errkind.PlatformUncertain},
		{"answer too large", respondWith(200, "", strings.Repeat(" ", 1001)), errkind.PlatformUncertain},
		{"timeout", hang, errkind.PlatformUncertain},
		{"connection closed", closeConnection, errkind.PlatformUncertain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newClient(t, c.handler)
			ctx := context.Background()
			_, err := client.Commit(ctx, putTxn)
			assert.Equal(t, errkind.Of(err), c.commit, "%v", err)
			_, err = client.Get(ctx, "k")
			assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "%v", err)
			_, err = client.Scan(ctx, "k", "", 1)
			assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "%v", err)
		})
	}
}

// Guards against reporting an object write as not applied although its effect
// is unknown, because the connection ended without a response.
func TestObjectPutClassification(t *testing.T) {
	ctx := context.Background()
	refused := newClient(t, respondWith(503, platform.HeaderNotApplied, ""))
	assert.Equal(t, errkind.Of(refused.PutObject(ctx, "k", nil)), errkind.PlatformUnavailable)
	closed := newClient(t, closeConnection)
	assert.Equal(t, errkind.Of(closed.PutObject(ctx, "k", nil)), errkind.PlatformUncertain)
}

// Guards against treating a write on a refused connection as possibly applied,
// also if the client has used connections to that address before.
func TestRefusedConnectionIsNotApplied(t *testing.T) {
	server := httptest.NewServer(respondWith(200, "", `{"committed":true}`))
	client := platform.NewClient(platform.Options{BaseURL: server.URL})
	_, err := client.Commit(context.Background(), putTxn)
	assert.NilError(t, err)
	server.Close()
	client.Close()
	_, err = client.Commit(context.Background(), putTxn)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "%v", err)
}

// Guards against treating a call as sent that timed out before it had a
// connection.
func TestDialTimeoutIsNotApplied(t *testing.T) {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	client := platform.NewClient(platform.Options{
		BaseURL: "http://127.0.0.1:1", Timeout: shortTimeout, HTTPClient: &http.Client{Transport: transport},
	})
	_, err := client.Commit(context.Background(), putTxn)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "%v", err)
}

// Guards against treating a missing endpoint as an empty table. A wrong address
// responds with 404, as if each row were missing.
func TestWrongAddressIsNotAnEmptyTable(t *testing.T) {
	client := newClient(t, http.NotFound)
	_, err := client.Get(context.Background(), "k")
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
}
