package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// path is a direct path whose calls fail with err if that is set.
type path struct {
	platform.Table
	err   atomic.Pointer[errkind.Error]
	calls atomic.Int64
}

func newPath(table platform.Table, kind errkind.Kind) *path {
	p := &path{Table: table}
	p.fail(kind)
	return p
}

func (p *path) fail(kind errkind.Kind) {
	if kind == "" {
		p.err.Store(nil)
		return
	}
	p.err.Store(errkind.New(kind, "path fails"))
}

func (p *path) check() error {
	p.calls.Add(1)
	if err := p.err.Load(); err != nil {
		return err
	}
	return nil
}

func (p *path) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := p.check(); err != nil {
		return platform.Row{}, err
	}
	return p.Table.Get(ctx, key)
}

func (p *path) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	return p.Table.Scan(ctx, prefix, after, limit)
}

func (p *path) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := p.check(); err != nil {
		return platform.TxnResult{}, err
	}
	return p.Table.Commit(ctx, txn)
}

// peer passes calls to a relay server through JSON, as a connection does. If
// lost is set, the call is served and its answer lost.
type peer struct {
	server *platform.RelayServer
	lost   bool
	calls  int
}

func (p *peer) Call(ctx context.Context, method string, params, result any) error {
	p.calls++
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := p.server.Handle(ctx, method, raw)
	if err != nil {
		return err
	}
	if p.lost {
		return errors.New("connection lost")
	}
	if raw, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func peerOver(direct platform.Table) *peer {
	return &peer{server: platform.NewRelayServer(platform.NewDirectTable(direct, nil), nil)}
}

func relayOver(direct platform.Table, peers ...platform.Peer) *platform.Relay {
	return platform.NewRelay(platform.RelayOptions{Direct: direct, Peers: func() []platform.Peer { return peers }})
}

// Guards against a router without a direct path losing the table although a
// peer can reach it. The first peer is cut off as well.
func TestRelayThroughHealthyPeer(t *testing.T) {
	ctx := context.Background()
	table := platform.NewMemoryTable()
	cut := peerOver(newPath(table, errkind.PlatformUnavailable))
	relay := relayOver(newPath(table, errkind.PlatformUnavailable), cut, peerOver(table))

	result, err := relay.Commit(ctx, putOne)
	assert.NilError(t, err)
	assert.Assert(t, result.Committed)
	row, err := relay.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")
	rows, err := relay.Scan(ctx, "", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	_, err = relay.Get(ctx, "absent")
	assert.Equal(t, errkind.Of(err), errkind.NotFound)
	result, err = relay.Commit(ctx, platform.Txn{Conditions: []platform.Condition{{Key: "k"}}})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Current), 1)
}

// Guards against a second submission of a commit that may have been applied:
// it would report a conflict with its own write.
func TestUncertainCommitIsNotRelayed(t *testing.T) {
	table := platform.NewMemoryTable()
	healthy := peerOver(table)
	relay := relayOver(newPath(table, errkind.PlatformUncertain), healthy)
	_, err := relay.Commit(context.Background(), putOne)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain)
	assert.Equal(t, healthy.calls, 0)
	_, err = relay.Get(context.Background(), "k")
	assert.Equal(t, errkind.Of(err), errkind.NotFound, "a read is relayed after an uncertain failure")
}

// Guards against a commit that a peer may have applied being reported as
// unavailable or passed to another peer.
func TestLostRelayAnswerIsUncertain(t *testing.T) {
	table := platform.NewMemoryTable()
	lossy, second := peerOver(table), peerOver(table)
	lossy.lost = true
	relay := relayOver(newPath(table, errkind.PlatformUnavailable), lossy, second)
	_, err := relay.Commit(context.Background(), putOne)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain)
	assert.Equal(t, second.calls, 0)
	row, err := relay.Get(context.Background(), "k")
	assert.NilError(t, err, "the read-back goes through the second peer")
	assert.Equal(t, string(row.Value), "v")
}

// Guards against the failure of every path being reported as uncertain or as a
// missing row.
func TestNoPathIsUnavailable(t *testing.T) {
	down := func() *path { return newPath(platform.NewMemoryTable(), errkind.PlatformUnavailable) }
	relay := relayOver(down(), peerOver(down()))
	_, err := relay.Commit(context.Background(), putOne)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	_, err = relay.Get(context.Background(), "k")
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
}

// Guards against calls that travel in circles between routers without a direct
// path: a peer refuses although it has a healthy peer of its own.
func TestNoOnwardRelay(t *testing.T) {
	table := platform.NewMemoryTable()
	third := peerOver(table)
	cutPath := newPath(table, errkind.PlatformUnavailable)
	cut := platform.NewDirectTable(cutPath, nil)
	own := relayOver(cut, third)
	_, err := own.Commit(context.Background(), putOne)
	assert.NilError(t, err, "the peer itself relays its own calls")
	before := third.calls

	relay := relayOver(newPath(table, errkind.PlatformUnavailable), &peer{server: platform.NewRelayServer(cut, nil)})
	_, err = relay.Get(context.Background(), "k")
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	assert.Equal(t, third.calls, before)
}

// Guards against a peer that serves on the strength of an old success, and
// against one that stays refused after its path has recovered.
func TestHealthWindowAndProbe(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(100, 0)
	direct := newPath(platform.NewMemoryTable(), "")
	health := platform.NewDirectTable(direct, func() time.Time { return now })
	assert.Assert(t, !health.Healthy())
	assert.Assert(t, health.CheckHealth(ctx), "an absent row is a success of the path")

	direct.fail(errkind.PlatformUnavailable)
	now = now.Add(platform.HealthyWindow)
	assert.Assert(t, health.CheckHealth(ctx))
	assert.Equal(t, direct.calls.Load(), int64(1), "no probe within the window")
	now = now.Add(time.Millisecond)
	assert.Assert(t, !health.CheckHealth(ctx))
	direct.fail("")
	assert.Assert(t, health.CheckHealth(ctx))
}

// Guards against a relay server that accepts what is not a table call.
func TestRelayServerRefusesOtherMethods(t *testing.T) {
	server := platform.NewRelayServer(platform.NewDirectTable(platform.NewMemoryTable(), nil), nil)
	_, err := server.Handle(context.Background(), wire.MethodRunStart, []byte(`{}`))
	assert.Equal(t, errkind.Of(err), errkind.InvalidRequest)
}
