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

// Guards against reporting zero cost for a metric that a router no longer exports:
// an absent metric would read as 0 in both samples of a window.
func TestMissingMetricIsAnError(t *testing.T) {
	values, err := parseMetrics(strings.NewReader(metricsText))
	assert.NilError(t, err)
	assert.Equal(t, values[metricRPCSent], 200.0)
	_, err = parseMetrics(strings.NewReader(strings.Replace(metricsText, metricRPCSent, "other", 1)))
	assert.ErrorContains(t, err, metricRPCSent)
}

// Guards against counting the calls of the measuring process as cost of the
// router, because the platform counts the calls of all callers together.
func TestOwnCallsAreTakenOff(t *testing.T) {
	start := time.Now()
	before := sample{takenAt: start, router: map[string]float64{}}
	after := sample{
		takenAt: start.Add(10 * time.Second), router: map[string]float64{metricCPU: 2},
		platform: platformStats{Reads: 100, Writes: 30}, ownCalls: platformStats{Reads: 60, Writes: 10},
	}
	repetition := newRepetition(before, after)
	assert.Equal(t, repetition.PlatformReads, 4.0)
	assert.Equal(t, repetition.PlatformWrites, 2.0)
	assert.Equal(t, repetition.CPUShare, 0.2)
}

// Guards against a process that never receives a change and, since it has no
// delay, is left out of the figures unnoticed or counts as a delay of 0.
func TestProcessesWithoutTheVersionAreMissing(t *testing.T) {
	versions := &versionTracker{latestByProcess: map[string]receivedVersion{}}
	start := time.Now()
	versions.record("a", 3)
	versions.record("b", 2)
	delays, missing := versions.delaysSince(3, start, 3)
	assert.Equal(t, len(delays), 1)
	assert.Equal(t, missing, 2)
	q := newQuantiles([]float64{4, 1, 2, 3}, missing)
	assert.DeepEqual(t, q, Quantiles{Count: 4, Missing: 2, P50: 2, P99: 4, Worst: 4})
}

// Guards against simulated sidecars that are not registered or do not answer, so
// that the measured fleet does not exist, and against registrations that remain
// and disturb the next measurement.
func TestFleetAnswersAndCleansUp(t *testing.T) {
	server := standin.New(standin.Options{WritesPerSecond: 1000, ReadsPerSecond: 1000, WeightsPerSecond: 1})
	defer server.Close()
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	ctx := context.Background()
	client := Config{Platform: httpServer.URL}.platformClient()
	defer client.Close()
	table := &countingTable{Table: client}
	row, err := json.Marshal(member.HolderRow{State: member.HolderLive, RPCAddr: "127.0.0.1:1"})
	assert.NilError(t, err)
	assert.NilError(t, commitWithRetry(ctx, table, platform.Txn{Puts: []platform.Put{{Key: member.HolderKey("r"), Value: row}}}))
	versions := &versionTracker{latestByProcess: map[string]receivedVersion{}}
	f, err := startFleet(ctx, Config{Sidecars: 3, Peers: 1}, table, versions.record)
	assert.NilError(t, err)
	rows, err := platform.ScanAll(ctx, table, member.SidecarPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 3)
	assertPush(t, f.sidecars[0])
	delays, _ := versions.delaysSince(5, time.Now(), 1)
	assert.Equal(t, len(delays), 1)
	assert.NilError(t, f.close())
	rows, err = platform.ScanAll(ctx, table, member.SidecarPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// assertPush pushes configuration version 5 to a simulated process and checks
// that the reply acknowledges it.
func assertPush(t *testing.T, p *simulatedProcess) {
	t.Helper()
	hello := func() wire.Hello { return wire.Hello{Role: roleRouter, Incarnation: "r"} }
	router := &simulatedProcess{conns: map[*rpc.Conn]bool{}}
	c, err := rpc.Dial(context.Background(), p.listener.Addr().String(), rpc.Options{Hello: hello}, router)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	var push wire.ConfigPush
	push.Document.Version = 5
	var reply wire.Reply
	assert.NilError(t, c.Call(context.Background(), wire.MethodConfigPush, push, &reply))
	assert.Equal(t, reply.ConfigVersion, int64(5))
}

// Guards against missing teams and budgets, without which every later request of
// the load would be refused.
func TestFillWritesTeamsAndBudgets(t *testing.T) {
	server := standin.New(standin.Options{WritesPerSecond: 1000, ReadsPerSecond: 1000, WeightsPerSecond: 1})
	defer server.Close()
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	assert.NilError(t, Fill(context.Background(), httpServer.URL, 450, 300))
	client := Config{Platform: httpServer.URL}.platformClient()
	defer client.Close()
	teams, err := platform.ScanAll(context.Background(), client, teamPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(teams), 450)
	accounts, err := platform.ScanAll(context.Background(), client, accountPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(accounts), 300)
}
