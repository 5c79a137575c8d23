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

// Records implements adminapi.Ledger. It holds at most the records of two pages
// in memory: a first pass selects the records of the page, a second pass reads
// the records that decide which runs of the page are billed.
func (l ledgerAdmin) Records(ctx context.Context, q adminapi.LedgerQuery) ([]admin.LedgerEntry, error) {
	page := ledger.NewPage(q.Limit, q.After)
	for rec, err := range l.reader.Latest(ctx, recordQuery(q), page.MinEndUS) {
		if err != nil {
			return nil, err
		}
		page.Add(rec)
	}
	repeats := ledger.NewRepeatDetector(page.Records())
	if related, ok := repeats.Query(); ok {
		for rec, err := range l.reader.Records(ctx, related) {
			if err != nil {
				return nil, err
			}
			repeats.Add(rec)
		}
	}
	return entriesOf(page.Records(), repeats), nil
}

// recordQuery returns the query for the records that may be on the page.
func recordQuery(q adminapi.LedgerQuery) ledger.Query {
	query := ledger.Query{RequestID: q.RequestID, FromUS: max(q.FromUS, earliestEnd(q.RequestID)), ToUS: q.ToUS}
	if q.Team != "" {
		query.Teams = []string{q.Team}
	}
	if q.After != nil && (query.ToUS == 0 || q.After.EndedUS < query.ToUS) {
		query.ToUS = q.After.EndedUS + 1
	}
	return query
}

// maxClockSkew is the assumed maximum difference between the clocks of two
// hosts.
const maxClockSkew = 60 * time.Second

// earliestEnd returns a lower bound, in Unix microseconds, of the time at which
// a run of the request can have ended. The id of a request, if a router
// generated it, contains the time at which the request arrived. For other ids
// the bound is 0.
func earliestEnd(requestID string) int64 {
	id, err := ulid.ParseStrict(requestID)
	if err != nil {
		return 0
	}
	return max(0, ulid.Time(id.Time()).Add(-maxClockSkew).UnixMicro())
}

// entriesOf returns the records with their charges split into billed and lost
// tokens.
func entriesOf(records []ledger.Record, repeats *ledger.RepeatDetector) []admin.LedgerEntry {
	var entries []admin.LedgerEntry
	for _, r := range records {
		entry := admin.LedgerEntry{Record: r, Lost: r.Charged}
		if repeats.IsBilled(r) {
			entry.Billed, entry.Lost = r.Charged, 0
		}
		entries = append(entries, entry)
	}
	return entries
}
