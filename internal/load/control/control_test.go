package control

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	standin "tarragonridge.example/tarragonridge/internal/standin/platform"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const metricsText = `# HELP process_cpu_seconds_total CPU
process_cpu_seconds_total 1.5
process_resident_memory_bytes 3.1e+07
tarragonridge_rpc_received_bytes_total 100
tarragonridge_rpc_sent_bytes_total 200
tarragonridge_config_version 7
tarragonridge_requests_total{kind="a",result="b"} 1
`

// A metric that a router no longer exports would otherwise count as zero cost.
func TestMissingMetricIsAnError(t *testing.T) {
	values, err := parseMetrics(strings.NewReader(metricsText))
	assert.NilError(t, err)
	assert.Equal(t, values[metricSent], 200.0)
	_, err = parseMetrics(strings.NewReader(strings.Replace(metricsText, metricSent, "other", 1)))
	assert.ErrorContains(t, err, metricSent)
}

// The calls of the tool itself must not count as cost of the router.
func TestOwnCallsAreTakenOff(t *testing.T) {
	start := time.Now()
	a := sample{at: start, router: map[string]float64{}}
	b := sample{
		at: start.Add(10 * time.Second), router: map[string]float64{metricCPU: 2},
		platform: platformStats{Reads: 100, Writes: 30}, own: platformStats{Reads: 60, Writes: 10},
	}
	rep := between(a, b)
	assert.Equal(t, rep.PlatformReads, 4.0)
	assert.Equal(t, rep.PlatformWrites, 2.0)
	assert.Equal(t, rep.CPUShare, 0.2)
}

// A process that never gets a change must be visible and not improve the
// quantiles.
func TestProcessesWithoutTheVersionAreMissing(t *testing.T) {
	s := &spread{seen: map[string]arrival{}}
	start := time.Now()
	s.note("a", 3)
	s.note("b", 2)
	delays, missing := s.since(3, start, 3)
	assert.Equal(t, len(delays), 1)
	assert.Equal(t, missing, 2)
	q := quantiles([]float64{4, 1, 2, 3}, missing)
	assert.DeepEqual(t, q, Quantiles{Count: 4, Missing: 2, P50: 2, P99: 4, Worst: 4})
}

// Light sidecars that a router cannot use would measure a fleet that is not
// there; registrations that stay would disturb the next measurement.
func TestFleetAnswersAndCleansUp(t *testing.T) {
	server := standin.New(standin.Options{WritesPerSecond: 1000, ReadsPerSecond: 1000, WeightsPerSecond: 1})
	defer server.Close()
	web := httptest.NewServer(server)
	defer web.Close()
	ctx := context.Background()
	client := Config{Platform: web.URL}.client()
	defer client.Close()
	table := &countingTable{Table: client}
	row, err := json.Marshal(member.HolderRow{State: member.HolderLive, RPCAddr: "127.0.0.1:1"})
	assert.NilError(t, err)
	assert.NilError(t, commit(ctx, table, platform.Txn{Puts: []platform.Put{{Key: member.HolderKey("r"), Value: row}}}))
	arrivals := &spread{seen: map[string]arrival{}}
	f, err := startFleet(ctx, Config{Sidecars: 3, Peers: 1}, table, arrivals.note)
	assert.NilError(t, err)
	rows, err := platform.ScanAll(ctx, table, member.SidecarPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 3)
	assertPush(t, f.sidecars[0])
	delays, _ := arrivals.since(5, time.Now(), 1)
	assert.Equal(t, len(delays), 1)
	assert.NilError(t, f.close())
	rows, err = platform.ScanAll(ctx, table, member.SidecarPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// assertPush sends a configuration of version 5 to a light process.
func assertPush(t *testing.T, p *lightProcess) {
	t.Helper()
	hello := func() wire.Hello { return wire.Hello{Role: roleRouter, Incarnation: "r"} }
	other := &lightProcess{conns: map[*rpc.Conn]bool{}}
	c, err := rpc.Dial(context.Background(), p.listener.Addr().String(), rpc.Options{Hello: hello}, other)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	var push wire.ConfigPush
	push.Document.Version = 5
	var reply wire.Reply
	assert.NilError(t, c.Call(context.Background(), wire.MethodConfigPush, push, &reply))
	assert.Equal(t, reply.ConfigVersion, int64(5))
}

// A budget that load cannot use, or a team without its key, would make every
// later request a refusal.
func TestFillWritesTeamsAndBudgets(t *testing.T) {
	server := standin.New(standin.Options{WritesPerSecond: 1000, ReadsPerSecond: 1000, WeightsPerSecond: 1})
	defer server.Close()
	web := httptest.NewServer(server)
	defer web.Close()
	assert.NilError(t, Fill(context.Background(), web.URL, 450, 300))
	client := Config{Platform: web.URL}.client()
	defer client.Close()
	teams, err := platform.ScanAll(context.Background(), client, teamPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(teams), 450)
	accounts, err := platform.ScanAll(context.Background(), client, accountPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(accounts), 300)
}
