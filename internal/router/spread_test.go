package router_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// idleSidecar is a sidecar without load. It shows the configuration version
// that was last pushed to it.
type idleSidecar struct{ version atomic.Int64 }

func (s *idleSidecar) hello() wire.Hello {
	return wire.Hello{Header: wire.Header{ConfigVersion: s.version.Load()}, Role: "sidecar", Target: "t1", Incarnation: "s1"}
}

func (s *idleSidecar) Call(_ context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	var push wire.ConfigPush
	if method != wire.MethodConfigPush || json.Unmarshal(params, &push) != nil {
		return nil, errkind.New(errkind.MethodNotAllowed, "method %s", method)
	}
	s.version.Store(push.Document.Version)
	return wire.Reply{Header: s.hello().Header}, nil
}

func (s *idleSidecar) Notify(*rpc.Conn, string, json.RawMessage) {}
func (s *idleSidecar) Opened(*rpc.Conn)                          {}
func (s *idleSidecar) Closed(*rpc.Conn, error)                   {}

// Guards against an idle sidecar that missed the push of the router that
// accepted a change, and learns of the change only at the next ping of its
// connections. Together with the poll of the table, that can take more than 5
// s.
func TestIdleSidecarsLearnAChangeWhosePushWasLost(t *testing.T) {
	t.Parallel()
	table := platform.NewMemoryTable()
	s := &idleSidecar{}
	ln := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = rpc.Serve(ctx, ln, rpc.Options{Hello: s.hello}, s) }()
	row, err := json.Marshal(member.SidecarRow{Target: "t1", Incarnation: "s1", Addr: ln.Addr().String(), Model: "m", State: member.SidecarLive})
	assert.NilError(t, err)
	_, err = table.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: member.SidecarKey("t1"), Value: row}}})
	assert.NilError(t, err)
	startRouter(t, "entry-1", table, false)
	awaitVersion(t, s, 1, waitTimeout)
	other := configstore.New(configstore.Options{Table: table})
	version, err := other.Change(ctx, configstore.AnyVersion, "op", func(c *configstore.Change) error {
		c.Document.ActivePreset = policy.PresetPeak
		c.Document.Operators = []policy.Operator{{Name: "op", KeySHA256: strings.Repeat("a", 64)}}
		return nil
	})
	assert.NilError(t, err)
	awaitVersion(t, s, version, 3*time.Second)
}

func awaitVersion(t *testing.T, s *idleSidecar, version int64, limit time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.version.Load() >= version {
			return poll.Success()
		}
		return poll.Continue("the sidecar has version %d", s.version.Load())
	}, poll.WithTimeout(limit), poll.WithDelay(10*time.Millisecond))
}
