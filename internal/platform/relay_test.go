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

// failingTable is a table whose calls fail while err is set.
type failingTable struct {
	platform.Table
	err   atomic.Pointer[errkind.Error]
	calls atomic.Int64
}

func newFailingTable(table platform.Table, kind errkind.Kind) *failingTable {
	f := &failingTable{Table: table}
	f.failWith(kind)
	return f
}

// failWith makes calls fail with an error of the given kind. After an empty kind,
// they succeed again.
func (f *failingTable) failWith(kind errkind.Kind) {
	if kind == "" {
		f.err.Store(nil)
		return
	}
	f.err.Store(errkind.New(kind, "table fails"))
}

func (f *failingTable) recordCall() error {
	f.calls.Add(1)
	if err := f.err.Load(); err != nil {
		return err
	}
	return nil
}

func (f *failingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := f.recordCall(); err != nil {
		return platform.Row{}, err
	}
	return f.Table.Get(ctx, key)
}

func (f *failingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := f.recordCall(); err != nil {
		return nil, err
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

func (f *failingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := f.recordCall(); err != nil {
		return platform.TxnResult{}, err
	}
	return f.Table.Commit(ctx, txn)
}

// relayPeer encodes calls to a relay server as JSON, as a connection does. If
// loseAnswer is set, calls are served but their results are lost.
type relayPeer struct {
	server     *platform.RelayServer
	loseAnswer bool
	calls      int
}

func (p *relayPeer) Call(ctx context.Context, method string, params, result any) error {
	p.calls++
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := p.server.Handle(ctx, method, raw)
	if err != nil {
		return err
	}
	if p.loseAnswer {
		return errors.New("connection lost")
	}
	if raw, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func newRelayPeer(direct platform.Table) *relayPeer {
	return &relayPeer{server: platform.NewRelayServer(platform.NewDirectTable(direct, nil), nil)}
}

func newRelay(direct platform.Table, peers ...platform.Peer) *platform.Relay {
	return platform.NewRelay(platform.RelayOptions{Direct: direct, Peers: func() []platform.Peer { return peers }})
}

// Guards against a router that has no working direct path and fails although a
// peer can reach the table. The first peer can't reach it either.
func TestRelayThroughHealthyPeer(t *testing.T) {
	ctx := context.Background()
	table := platform.NewMemoryTable()
	cutOffPeer := newRelayPeer(newFailingTable(table, errkind.PlatformUnavailable))
	relay := newRelay(newFailingTable(table, errkind.PlatformUnavailable), cutOffPeer, newRelayPeer(table))

	result, err := relay.Commit(ctx, putTxn)
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

// Guards against submitting a commit again that may have been applied. The
// second submission would report a conflict with its own write.
func TestUncertainCommitIsNotRelayed(t *testing.T) {
	table := platform.NewMemoryTable()
	healthyPeer := newRelayPeer(table)
	relay := newRelay(newFailingTable(table, errkind.PlatformUncertain), healthyPeer)
	_, err := relay.Commit(context.Background(), putTxn)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain)
	assert.Equal(t, healthyPeer.calls, 0)
	_, err = relay.Get(context.Background(), "k")
	assert.Equal(t, errkind.Of(err), errkind.NotFound, "a read is relayed after an uncertain failure")
}

// Guards against reporting a commit as not applied, or sending it to another
// peer, although the first peer may have applied it.
func TestLostRelayAnswerIsUncertain(t *testing.T) {
	table := platform.NewMemoryTable()
	lossyPeer, secondPeer := newRelayPeer(table), newRelayPeer(table)
	lossyPeer.loseAnswer = true
	relay := newRelay(newFailingTable(table, errkind.PlatformUnavailable), lossyPeer, secondPeer)
	_, err := relay.Commit(context.Background(), putTxn)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUncertain)
	assert.Equal(t, secondPeer.calls, 0)
	row, err := relay.Get(context.Background(), "k")
	assert.NilError(t, err, "the read-back goes through the second peer")
	assert.Equal(t, string(row.Value), "v")
}

// Guards against reporting the failure of all paths as an uncertain commit or a
// missing row.
func TestNoPathIsUnavailable(t *testing.T) {
	down := func() *failingTable { return newFailingTable(platform.NewMemoryTable(), errkind.PlatformUnavailable) }
	relay := newRelay(down(), newRelayPeer(down()))
	_, err := relay.Commit(context.Background(), putTxn)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	_, err = relay.Get(context.Background(), "k")
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
}

// Guards against calls that circulate between routers without a working direct
// path. A peer must refuse a relayed call although it has a healthy peer itself.
func TestNoOnwardRelay(t *testing.T) {
	table := platform.NewMemoryTable()
	thirdPeer := newRelayPeer(table)
	cutOffTable := newFailingTable(table, errkind.PlatformUnavailable)
	cutOffDirect := platform.NewDirectTable(cutOffTable, nil)
	ownRelay := newRelay(cutOffDirect, thirdPeer)
	_, err := ownRelay.Commit(context.Background(), putTxn)
	assert.NilError(t, err, "the peer itself relays its own calls")
	callsBefore := thirdPeer.calls

	relay := newRelay(newFailingTable(table, errkind.PlatformUnavailable), &relayPeer{server: platform.NewRelayServer(cutOffDirect, nil)})
	_, err = relay.Get(context.Background(), "k")
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	assert.Equal(t, thirdPeer.calls, callsBefore)
}

// Guards against a direct path that counts as healthy because of an old success,
// and against one that stays unhealthy after it has recovered.
func TestHealthWindowAndProbe(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(100, 0)
	table := newFailingTable(platform.NewMemoryTable(), "")
	direct := platform.NewDirectTable(table, func() time.Time { return now })
	assert.Assert(t, !direct.Healthy())
	assert.Assert(t, direct.CheckHealth(ctx), "a missing row is a successful call")

	table.failWith(errkind.PlatformUnavailable)
	now = now.Add(platform.HealthyWindow)
	assert.Assert(t, direct.CheckHealth(ctx))
	assert.Equal(t, table.calls.Load(), int64(1), "no probe within the window")
	now = now.Add(time.Millisecond)
	assert.Assert(t, !direct.CheckHealth(ctx))
	table.failWith("")
	assert.Assert(t, direct.CheckHealth(ctx))
}

// Guards against a relay server that accepts methods other than table calls when
// a peer sends one by mistake.
func TestRelayServerRefusesOtherMethods(t *testing.T) {
	server := platform.NewRelayServer(platform.NewDirectTable(platform.NewMemoryTable(), nil), nil)
	_, err := server.Handle(context.Background(), wire.MethodRunStart, []byte(`{}`))
	assert.Equal(t, errkind.Of(err), errkind.InvalidRequest)
}
