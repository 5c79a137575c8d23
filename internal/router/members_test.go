package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// scanCounter counts the scans of registrations.
type scanCounter struct {
	platform.Table
	scans int
}

func (s *scanCounter) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if strings.HasPrefix(prefix, member.SidecarPrefix) {
		s.scans++
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

func (s *scanCounter) register(t *testing.T, target string, raise bool) {
	t.Helper()
	value, err := json.Marshal(member.SidecarRow{Target: target, Addr: "127.0.0.1:1", Model: "m", State: member.SidecarLive})
	assert.NilError(t, err)
	txn := platform.Txn{Puts: []platform.Put{{Key: member.SidecarKey(target), Value: value}}}
	if raise {
		txn.Puts = append(txn.Puts, platform.Put{Key: member.VersionKey, Value: member.VersionValue})
	}
	_, err = s.Commit(context.Background(), txn)
	assert.NilError(t, err)
}

// A poll that scans all registrations makes 350 routers exceed the table's
// read rate; one that misses a registration leaves a target without work.
func TestRegistrationsAreScannedOnlyAfterAChange(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	table := &scanCounter{Table: platform.NewMemoryTable()}
	r := New(Options{Table: table, Logger: slog.New(slog.DiscardHandler), Clock: &hlc.Clock{}}, Listeners{Peers: ln})
	defer r.stopBreaker()
	r.peers = newPeerSet(ctx, r)
	var seen memberScan
	table.register(t, "old", false)
	r.refreshMembers(ctx, &seen)
	r.refreshMembers(ctx, &seen)
	assert.Equal(t, table.scans, 2, "registrations without a version are found by scans")
	table.register(t, "a", true)
	r.refreshMembers(ctx, &seen)
	r.refreshMembers(ctx, &seen)
	assert.Equal(t, table.scans, 3)
	assert.Assert(t, r.sched.target("a") != nil)
	table.register(t, "b", true)
	r.refreshMembers(ctx, &seen)
	assert.Equal(t, table.scans, 4)
	assert.Assert(t, r.sched.target("b") != nil)
	assert.Assert(t, seen.due(time.Now().Add(memberScanEvery), seen.version), "a full scan is due in any case")
}
