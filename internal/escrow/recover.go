package escrow

import (
	"context"
	"maps"
	"slices"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// recoverHolder settles the runs of a fenced holder and frees the rest of its
// grants, or charges the rest if records may be missing. As long as a sidecar has
// not promised to refuse the holder, or a run is active, the grants stay held.
// Several routers may recover the same holder at once: each transaction stores
// records together with the closing of their grant and is conditional on the
// account, so only one of them is applied.
func (m *Manager) recoverHolder(ctx context.Context, holder member.HolderRow, version platform.Version) error {
	result, err := m.opt.Fencer.FenceEverywhere(ctx, holder)
	if err != nil {
		return err
	}
	if !result.FencedEverywhere || result.ActiveRuns > 0 {
		return errkind.New(errkind.Unreachable, "holder cannot be recovered yet: fenced at all sidecars: %t, active runs: %d", result.FencedEverywhere, result.ActiveRuns)
	}
	records := result.Records
	closer := &holderCloser{m: m, holder: holder, rowVersion: version, records: records, chargeRest: result.RecordsMayBeMissing}
	if err := closer.closeHolder(ctx); err != nil {
		return err
	}
	m.opt.Logger.Info("holder recovered", "holder", holder.Incarnation, "records", len(records))
	m.opt.OnDurable(records)
	return nil
}

// holderCloser closes all grants of a holder that spends no more tokens, and
// then its holder row.
type holderCloser struct {
	m          *Manager
	holder     member.HolderRow
	rowVersion platform.Version // version of the holder row; a condition of every transaction
	records    []ledger.Record  // records to store; those already stored are skipped
	lastSeq    int64            // sequence number of the holder's last known segment
	// chargeRest causes the rest of each grant to be charged, because runs
	// whose records are missing may have consumed it.
	chargeRest bool
}

// grantAccount is the account of a team in which the holder has a grant.
type grantAccount struct {
	team string
	storedAccount
}

// closeHolder stores the records that are not stored yet, closes the grants and
// marks the holder row as closed.
func (c *holderCloser) closeHolder(ctx context.Context) error {
	grants, err := c.grantAccounts(ctx)
	if err != nil {
		return err
	}
	// Segments are read after the accounts: if another router closes a grant in
	// between, its records are found in a segment, and the condition on the
	// account prevents this router from closing the grant again.
	unstored, err := c.unstoredRecords(ctx)
	if err != nil {
		return err
	}
	for batch := range slices.Chunk(grants, maxAccountsPerTxn) {
		if err := c.closeGrants(ctx, batch, unstored); err != nil {
			return err
		}
	}
	if len(unstored) > 0 {
		teams := slices.Sorted(maps.Keys(unstored))
		return errkind.New(errkind.Internal, "holder has records but no grant in the accounts of teams %v", teams)
	}
	return c.closeRow(ctx)
}

// grantAccounts returns the accounts in which the holder has a grant.
func (c *holderCloser) grantAccounts(ctx context.Context) ([]grantAccount, error) {
	rows, err := platform.ScanAll(ctx, c.m.opt.Table, accountPrefix)
	if err != nil {
		return nil, err
	}
	var out []grantAccount
	for _, row := range rows {
		account, err := decodeAccount(row)
		if err != nil {
			return nil, err
		}
		if _, ok := account.account.Grants[c.holder.Incarnation]; ok {
			out = append(out, grantAccount{team: row.Key[len(accountPrefix):], storedAccount: account})
		}
	}
	return out, nil
}

// unstoredRecords returns, by team, the records of the holder that are in none
// of its segments, neither in rows nor in archived objects.
func (c *holderCloser) unstoredRecords(ctx context.Context) (map[string][]ledger.Record, error) {
	remaining := map[string]ledger.Record{} // by run id
	for _, r := range c.records {
		if r.Holder == c.holder.Incarnation {
			remaining[r.RunID] = r
		}
	}
	if err := c.dropStoredRecords(ctx, remaining); err != nil {
		return nil, err
	}
	if err := c.dropArchivedRecords(ctx, remaining); err != nil {
		return nil, err
	}
	byTeam := map[string][]ledger.Record{}
	for _, id := range slices.Sorted(maps.Keys(remaining)) {
		r := remaining[id]
		byTeam[r.Team] = append(byTeam[r.Team], r)
	}
	return byTeam, nil
}

// dropStoredRecords removes the records that are stored in segment rows from
// remaining.
func (c *holderCloser) dropStoredRecords(ctx context.Context, remaining map[string]ledger.Record) error {
	rows, err := platform.ScanAll(ctx, c.m.opt.Table, ledger.HolderSegmentPrefix(c.holder.Incarnation))
	if err != nil {
		return err
	}
	for _, row := range rows {
		var segment ledger.Segment
		if err := decode(row, &segment); err != nil {
			return err
		}
		c.lastSeq = max(c.lastSeq, segment.Seq)
		for _, r := range segment.Records {
			delete(remaining, r.RunID)
		}
	}
	return nil
}

// dropArchivedRecords removes the records that are stored in archived objects from
// remaining. The index rows are read after the segment rows, because the holder's
// router may only be paused and archive its own segments in between. Objects are
// selected by team and not by time, so that clock differences cannot cause a run
// to be recorded twice. The newest objects are read first. If the object store
// cannot be read, the recovery is postponed, unless no record is left to look for.
func (c *holderCloser) dropArchivedRecords(ctx context.Context, remaining map[string]ledger.Record) error {
	reader := archive.Reader{Table: c.m.opt.Table, Objects: c.m.opt.Objects}
	var indexes []ledger.ArchiveRow
	for index, err := range reader.HolderIndex(ctx, c.holder.Incarnation) {
		if err != nil {
			return err
		}
		c.lastSeq = max(c.lastSeq, index.Last)
		indexes = append(indexes, index)
	}
	slices.Reverse(indexes)
	for _, index := range indexes {
		if !mayContain(index, remaining) {
			continue
		}
		for id, err := range reader.RunIDs(ctx, index) {
			if err != nil {
				return err
			}
			delete(remaining, id)
		}
	}
	return nil
}

// mayContain reports whether the object of an index row may contain one of the
// records.
func mayContain(index ledger.ArchiveRow, remaining map[string]ledger.Record) bool {
	for _, r := range remaining {
		if index.Teams[r.Team].Records > 0 {
			return true
		}
	}
	return false
}

// closeGrants closes a batch of grants in one transaction, which also stores
// their unstored records and, with chargeRest, a record that charges the rest of
// each grant. It removes the records of the batch from unstored.
func (c *holderCloser) closeGrants(ctx context.Context, batch []grantAccount, unstored map[string][]ledger.Record) error {
	txn := platform.Txn{Conditions: []platform.Condition{{Key: holderKey(c.holder.Incarnation), Version: c.rowVersion}}}
	segment := ledger.Segment{Holder: c.holder.Incarnation, Seq: c.lastSeq + 1, Recovered: true}
	for _, current := range batch {
		var charges int64
		for _, r := range unstored[current.team] {
			charges += r.Charged
		}
		if unaccounted, ok := c.unaccountedRecord(current, charges); ok {
			charges += unaccounted.Charged
			segment.Records = append(segment.Records, unaccounted)
		}
		account, err := current.account.CloseGrant(c.holder.Incarnation, charges)
		if err != nil {
			return err
		}
		segment.Records = append(segment.Records, unstored[current.team]...)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: accountKey(current.team), Version: current.version})
		txn.Puts = append(txn.Puts, platform.Put{Key: accountKey(current.team), Value: encode(account)})
	}
	if len(segment.Records) > 0 {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: segment.Key()})
		txn.Puts = append(txn.Puts, platform.Put{Key: segment.Key(), Value: encode(segment)})
		c.lastSeq = segment.Seq
	}
	if err := c.commit(ctx, txn); err != nil {
		return err
	}
	for _, current := range batch {
		delete(unstored, current.team)
	}
	return nil
}

// unaccountedRecord returns a record that charges the rest of a grant as lost.
// It returns false if there is nothing to charge. charges is the sum of the
// records that are settled in the same transaction.
func (c *holderCloser) unaccountedRecord(current grantAccount, charges int64) (ledger.Record, bool) {
	grant := current.account.Grants[c.holder.Incarnation]
	rest := grant.Granted - grant.Settled - charges
	if !c.chargeRest || rest <= 0 {
		return ledger.Record{}, false
	}
	now := c.m.opt.Clock().UnixMicro()
	id := ledger.UnaccountedPrefix + c.holder.Incarnation
	return ledger.Record{
		Identity: ledger.Identity{Team: current.team, Key: id}, RunID: id + "-" + current.team, RequestID: id,
		Holder: c.holder.Incarnation, Reserved: rest, Charged: rest, Outcome: ledger.Lost,
		StartedUS: now, EndedUS: now,
	}, true
}

// closeRow marks the holder as closed. The row is kept, so that a sidecar that
// starts later still refuses the holder.
func (c *holderCloser) closeRow(ctx context.Context) error {
	key := holderKey(c.holder.Incarnation)
	c.holder.State = member.HolderClosed
	c.holder.ClosedUS = c.m.opt.Clock().UnixMicro()
	return c.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: c.rowVersion}},
		Puts:       []platform.Put{{Key: key, Value: encode(c.holder)}, memberVersionPut()},
	})
}

// commit applies a transaction. A lost answer needs no read-back, because the
// caller starts again from the stored state.
func (c *holderCloser) commit(ctx context.Context, txn platform.Txn) error {
	res, err := c.m.commit(ctx, txn)
	if err != nil {
		return err
	}
	if !res.Committed {
		return errkind.New(errkind.Conflict, "another router changed the account or the holder")
	}
	return nil
}
