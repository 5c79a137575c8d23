package router

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/adminapi"
	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
)

// ledgerAdmin implements adminapi.Ledger.
type ledgerAdmin struct{ reader archive.Reader }

// Records implements adminapi.Ledger. It keeps no more than the records of two
// pages in memory: a first pass selects the page, a second one reads the
// records that decide which runs of the page are billed.
func (l ledgerAdmin) Records(ctx context.Context, q adminapi.LedgerQuery) ([]admin.LedgerEntry, error) {
	page := ledger.NewPage(q.Limit, q.After)
	for r, err := range l.reader.Latest(ctx, recordQuery(q), page.MinEndUS) {
		if err != nil {
			return nil, err
		}
		page.Add(r)
	}
	bills := ledger.NewRepeatDetector(page.Records())
	if related, ok := bills.Query(); ok {
		for r, err := range l.reader.Records(ctx, related) {
			if err != nil {
				return nil, err
			}
			bills.Add(r)
		}
	}
	return entriesOf(page.Records(), bills), nil
}

func recordQuery(q adminapi.LedgerQuery) ledger.Query {
	out := ledger.Query{RequestID: q.RequestID, FromUS: max(q.FromUS, arrivalOf(q.RequestID)), ToUS: q.ToUS}
	if q.Team != "" {
		out.Teams = []string{q.Team}
	}
	if q.After != nil && (out.ToUS == 0 || q.After.EndedUS < out.ToUS) {
		out.ToUS = q.After.EndedUS + 1
	}
	return out
}

// clockDifference is the largest difference between the clocks of two hosts.
const clockDifference = 60 * time.Second

// arrivalOf returns a time before the end of every run of a request, in
// microseconds. A request id that a router generated contains the time at which
// the request arrived.
func arrivalOf(requestID string) int64 {
	id, err := ulid.ParseStrict(requestID)
	if err != nil {
		return 0
	}
	return max(0, ulid.Time(id.Time()).Add(-clockDifference).UnixMicro())
}

// entriesOf splits the charge of each record into what is billed and what is
// lost.
func entriesOf(records []ledger.Record, bills *ledger.RepeatDetector) []admin.LedgerEntry {
	var entries []admin.LedgerEntry
	for _, r := range records {
		entry := admin.LedgerEntry{Record: r, Lost: r.Charged}
		if bills.IsBilled(r) {
			entry.Billed, entry.Lost = r.Charged, 0
		}
		entries = append(entries, entry)
	}
	return entries
}
