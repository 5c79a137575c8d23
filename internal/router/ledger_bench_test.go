package router

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/adminapi"
	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/platform"
	standin "tarragonridge.example/tarragonridge/internal/standin/platform"
)

const (
	benchHolders = 3
	benchRecords = 4 // per segment
	benchTeams   = 10
	benchFlush   = 500 * time.Millisecond
	benchLimit   = 1001
)

var benchEnd = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func benchHolder(i int) string { return fmt.Sprintf("01KDVDNA00000000000000000%d", i) }

// fillLedger stores n segments. They look like those of three routers that
// flushed one every benchFlush up to benchEnd.
func fillLedger(b *testing.B, memory *platform.MemoryTable, n int) {
	for i := range n {
		holder, seq := benchHolder(i%benchHolders), int64(i/benchHolders+1)
		at := benchEnd.Add(-benchFlush * time.Duration((n-i)/benchHolders)).UnixMicro()
		s := ledger.Segment{Holder: holder, Seq: seq}
		for j := range benchRecords {
			id := fmt.Sprintf("01KDVDNA%09d%09d", i, j)
			team := fmt.Sprint("team", (i+j)%benchTeams)
			s.Records = append(s.Records, ledger.Record{
				Identity: ledger.Identity{Team: team, Key: id}, RunID: id, RequestID: id, Holder: holder,
				Target: "engine1", Sidecar: id, Model: "m1", Workload: "interactive", PromptTokens: 800, OutputTokens: 200,
				Reserved: 2000, Charged: 1000, Outcome: ledger.Complete, StartedUS: at - 3_000_000, EndedUS: at,
			})
		}
		value, err := json.Marshal(s)
		assert.NilError(b, err)
		_, err = memory.Commit(b.Context(), platform.Txn{Puts: []platform.Put{{Key: s.Key(), Value: value}}})
		assert.NilError(b, err)
	}
}

func newBenchClient(b *testing.B, memory *platform.MemoryTable) *platform.Client {
	const unlimited = 1e9
	server := standin.New(standin.Options{
		Table: memory, Log: slog.New(slog.DiscardHandler), ReadsPerSecond: unlimited, WritesPerSecond: unlimited,
	})
	listener := httptest.NewServer(server)
	client := platform.NewClient(platform.Options{BaseURL: listener.URL, Timeout: 10 * time.Second})
	b.Cleanup(func() { client.Close(); listener.Close(); server.Close() })
	return client
}

// archiveAll runs each holder's archiver until no segment is due for archiving.
func archiveAll(b *testing.B, client *platform.Client, n int) {
	const objectsPerRound, segmentsPerObject = 64, 500
	for i := range benchHolders {
		a := archive.New(archive.Options{
			Table: client, Objects: client, Logger: slog.New(slog.DiscardHandler),
			Clock:     func() time.Time { return benchEnd },
			OwnHolder: func() (string, int64) { return benchHolder(i), int64(n) },
		})
		for range 1 + n/benchHolders/(objectsPerRound*segmentsPerObject) {
			assert.NilError(b, a.ArchiveDue(b.Context()))
		}
	}
}

func rowCount(b *testing.B, memory *platform.MemoryTable) float64 {
	rows, err := platform.ScanAll(b.Context(), memory, "")
	assert.NilError(b, err)
	return float64(len(rows))
}

// BenchmarkLedgerQuery measures a query for the records of one team, first with
// all segments as rows of the table, then with all but those of the last ten
// minutes archived.
func BenchmarkLedgerQuery(b *testing.B) {
	for _, n := range []int{20_000, 100_000} {
		memory := platform.NewMemoryTable()
		fillLedger(b, memory, n)
		client := newBenchClient(b, memory)
		admin := ledgerAdmin{archive.Reader{Table: client, Objects: client}}
		for _, state := range []string{"rows", "archived"} {
			if state == "archived" {
				archiveAll(b, client, n)
			}
			for name, from := range map[string]int64{"all": 0, "hour": benchEnd.Add(-time.Hour).UnixMicro()} {
				b.Run(fmt.Sprintf("%d/%s/%s", n, state, name), func(b *testing.B) {
					for b.Loop() {
						entries, err := admin.Records(context.Background(), adminapi.LedgerQuery{Team: "team1", FromUS: from, Limit: benchLimit})
						assert.NilError(b, err)
						assert.Equal(b, len(entries), benchLimit)
					}
					b.ReportMetric(rowCount(b, memory), "rows")
				})
			}
		}
	}
}
