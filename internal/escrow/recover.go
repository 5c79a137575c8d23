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

// recover settles the runs of a fenced holder and frees the rest of its
// grants. Without the promise of every sidecar, or while a run is active, the
// grants stay held. Several routers may recover the same holder at once: each
// transaction closes a grant together with its records, conditional on the
// account, so only one of them applies.
func (m *Manager) recover(ctx context.Context, holder member.HolderRow, version int64) error {
	promise, err := m.opt.Fencer.FenceEverywhere(ctx, holder)
	if err != nil {
		return err
	}
	if !promise.Complete || promise.ActiveRuns > 0 {
		return errkind.New(errkind.Unreachable, "promises complete: %t, active runs: %d", promise.Complete, promise.ActiveRuns)
	}
	records := promise.Records
	c := &closing{m: m, holder: holder, version: version, records: records, unaccounted: promise.Unaccounted}
	if err := c.run(ctx); err != nil {
		return err
	}
	m.opt.Logger.Info("holder recovered", "holder", holder.Incarnation, "records", len(records))
	m.opt.OnDurable(records)
	return nil
}

// closing closes all grants of a holder that spends no more, and then its row.
type closing struct {
	m       *Manager
	holder  member.HolderRow
	version int64           // of the holder row, a condition of every transaction
	records []ledger.Record // may include stored ones
	lastSeq int64           // of the holder's segments
	// unaccounted charges what is left of each grant, because runs whose
	// records are lost may have consumed it.
	unaccounted bool
}

// grantOf is an account that holds a grant of the holder.
type grantOf struct {
	team string
	stored
}

func (c *closing) run(ctx context.Context) error {
	grants, err := c.grants(ctx)
	if err != nil {
		return err
	}
	// Segments are read after the accounts: if another router closes a grant in
	// between, its records are seen here, and the condition on the account
	// keeps this router from closing it again.
	missing, err := c.missing(ctx)
	if err != nil {
		return err
	}
	for part := range slices.Chunk(grants, maxAccountsPerTxn) {
		if err := c.closePart(ctx, part, missing); err != nil {
			return err
		}
	}
	if len(missing) > 0 {
		teams := slices.Sorted(maps.Keys(missing))
		return errkind.New(errkind.Internal, "records without a grant, teams %v", teams)
	}
	return c.closeRow(ctx)
}

// grants returns the accounts that hold a grant of the holder.
func (c *closing) grants(ctx context.Context) ([]grantOf, error) {
	rows, err := platform.ScanAll(ctx, c.m.opt.Table, accountPrefix)
	if err != nil {
		return nil, err
	}
	var out []grantOf
	for _, row := range rows {
		s, err := decodeAccount(row)
		if err != nil {
			return nil, err
		}
		if _, ok := s.account.Grants[c.holder.Incarnation]; ok {
			out = append(out, grantOf{team: row.Key[len(accountPrefix):], stored: s})
		}
	}
	return out, nil
}

// missing returns the records that are in none of the holder's segments, by
// team.
func (c *closing) missing(ctx context.Context) (map[string][]ledger.Record, error) {
	open := map[string]ledger.Record{} // by run id
	for _, r := range c.records {
		if r.Holder == c.holder.Incarnation {
			open[r.RunID] = r
		}
	}
	if err := c.dropStored(ctx, open); err != nil {
		return nil, err
	}
	if err := c.dropArchived(ctx, open); err != nil {
		return nil, err
	}
	missing := map[string][]ledger.Record{}
	for _, id := range slices.Sorted(maps.Keys(open)) {
		r := open[id]
		missing[r.Team] = append(missing[r.Team], r)
	}
	return missing, nil
}

// dropStored removes the records that are in a row.
func (c *closing) dropStored(ctx context.Context, open map[string]ledger.Record) error {
	rows, err := platform.ScanAll(ctx, c.m.opt.Table, ledger.HolderSegmentPrefix(c.holder.Incarnation))
	if err != nil {
		return err
	}
	for _, row := range rows {
		var s ledger.Segment
		if err := decode(row, &s); err != nil {
			return err
		}
		c.lastSeq = max(c.lastSeq, s.Seq)
		for _, r := range s.Records {
			delete(open, r.RunID)
		}
	}
	return nil
}

// dropArchived removes the records that are in an object. The index is read
// after the rows, because a paused router that resumes may still archive its
// segments. Objects are selected by team and not by time, so that no difference
// between clocks can book a run twice. Without the object store the recovery
// waits, unless no record is left to look for.
func (c *closing) dropArchived(ctx context.Context, open map[string]ledger.Record) error {
	reader := archive.Reader{Table: c.m.opt.Table, Objects: c.m.opt.Objects}
	var newest []ledger.ArchiveRow
	for index, err := range reader.HolderIndex(ctx, c.holder.Incarnation) {
		if err != nil {
			return err
		}
		c.lastSeq = max(c.lastSeq, index.Last)
		newest = append(newest, index)
	}
	slices.Reverse(newest)
	for _, index := range newest {
		if !mayHold(index, open) {
			continue
		}
		for id, err := range reader.RunIDs(ctx, index) {
			if err != nil {
				return err
			}
			delete(open, id)
		}
	}
	return nil
}

// mayHold reports whether the object can hold one of the records.
func mayHold(index ledger.ArchiveRow, open map[string]ledger.Record) bool {
	for _, r := range open {
		if index.Teams[r.Team].Records > 0 {
			return true
		}
	}
	return false
}

// closePart closes the grants of one transaction and removes their records
// from missing.
func (c *closing) closePart(ctx context.Context, part []grantOf, missing map[string][]ledger.Record) error {
	txn := platform.Txn{Conditions: []platform.Condition{{Key: holderKey(c.holder.Incarnation), Version: c.version}}}
	segment := ledger.Segment{Holder: c.holder.Incarnation, Seq: c.lastSeq + 1, Recovered: true}
	for _, g := range part {
		var extra int64
		for _, r := range missing[g.team] {
			extra += r.Charged
		}
		if rec, ok := c.unaccountedRecord(g, extra); ok {
			extra += rec.Charged
			segment.Records = append(segment.Records, rec)
		}
		account, err := g.account.CloseGrant(c.holder.Incarnation, extra)
		if err != nil {
			return err
		}
		segment.Records = append(segment.Records, missing[g.team]...)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: accountKey(g.team), Version: g.version})
		txn.Puts = append(txn.Puts, platform.Put{Key: accountKey(g.team), Value: encode(account)})
	}
	if len(segment.Records) > 0 {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: segment.Key()})
		txn.Puts = append(txn.Puts, platform.Put{Key: segment.Key(), Value: encode(segment)})
		c.lastSeq = segment.Seq
	}
	if err := c.commit(ctx, txn); err != nil {
		return err
	}
	for _, g := range part {
		delete(missing, g.team)
	}
	return nil
}

// unaccountedRecord is the record that charges the rest of a grant as lost.
func (c *closing) unaccountedRecord(g grantOf, extra int64) (ledger.Record, bool) {
	grant := g.account.Grants[c.holder.Incarnation]
	rest := grant.Granted - grant.Settled - extra
	if !c.unaccounted || rest <= 0 {
		return ledger.Record{}, false
	}
	now := c.m.opt.Clock().UnixMicro()
	id := ledger.UnaccountedPrefix + c.holder.Incarnation
	return ledger.Record{
		Identity: ledger.Identity{Team: g.team, Key: id}, RunID: id + "-" + g.team, RequestID: id,
		Holder: c.holder.Incarnation, Reserved: rest, Charged: rest, Outcome: ledger.Lost,
		StartedUS: now, EndedUS: now,
	}, true
}

// closeRow marks the holder as closed. The row stays, so that a sidecar that
// starts later still refuses the holder.
func (c *closing) closeRow(ctx context.Context) error {
	key := holderKey(c.holder.Incarnation)
	c.holder.State = member.HolderClosed
	c.holder.ClosedUS = c.m.opt.Clock().UnixMicro()
	return c.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: c.version}},
		Puts:       []platform.Put{{Key: key, Value: encode(c.holder)}, memberVersion()},
	})
}

// commit needs no read-back: after a lost answer the caller starts again from
// the stored state.
func (c *closing) commit(ctx context.Context, txn platform.Txn) error {
	res, err := c.m.commit(ctx, txn)
	if err != nil {
		return err
	}
	if !res.Committed {
		return errkind.New(errkind.Conflict, "another router changed the account or the holder")
	}
	return nil
}
