package platform_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/standin/forwarder"
	standin "tarragonridge.example/tarragonridge/internal/standin/platform"
)

// Guards against pooled connections that have stopped delivering data without
// an error. Each of them would cost a call its full timeout.
func TestOneTimeoutForAllSilentConnections(t *testing.T) {
	ctx := context.Background()
	log := slog.New(slog.DiscardHandler)
	server := standin.New(standin.Options{Log: log})
	defer server.Close()
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	relay, err := forwarder.Start("127.0.0.1:0", strings.TrimPrefix(httpServer.URL, "http://"), log)
	assert.NilError(t, err)
	defer relay.Close()
	client := platform.NewClient(platform.Options{BaseURL: "http://" + relay.Addr()})
	defer client.Close()

	assert.NilError(t, server.SetFault(standin.Fault{Mode: standin.Slow, DelayMS: 100}))
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _ = client.Hosts(ctx) })
	}
	calls.Wait()
	assert.Assert(t, relay.Stats().Open > 1, "the pool holds several connections")
	assert.NilError(t, server.SetFault(standin.Fault{Mode: standin.Up}))
	assert.NilError(t, relay.Apply(forwarder.Setting{Mode: forwarder.Discard, Scope: forwarder.Existing}))

	_, err = client.Commit(ctx, putTxn)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain, "%v", err)
	result, err := client.Commit(ctx, putTxn)
	assert.NilError(t, err)
	assert.Assert(t, result.Committed)
}
