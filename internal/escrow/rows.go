package escrow

import (
	"context"
	"encoding/json"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
)

const (
	accountPrefix = "account/"
	holderPrefix  = "holder/"
	topUpPrefix   = "topup/"
)

func accountKey(team string) string { return accountPrefix + team }
func holderKey(id string) string    { return holderPrefix + id }

// encode returns a row value as JSON. It panics on an error, because the row
// types can always be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func decode(row platform.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return errkind.Wrap(err, errkind.Internal, "row %s is not readable", row.Key)
	}
	return nil
}

func decodeAccount(row platform.Row) (storedAccount, error) {
	s := storedAccount{version: row.Version}
	return s, decode(row, &s.account)
}

// get reads a row with the call timeout.
func (m *Manager) get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := m.opt.Table.Get(ctx, key)
	if err == nil || errkind.Is(err, errkind.NotFound) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lastReadAt = m.opt.Clock()
	}
	return row, err
}

// commit applies a transaction with the call timeout. PlatformUnavailable means
// that it has not been applied. After any other error it may have been applied,
// so that error is returned as PlatformUncertain.
func (m *Manager) commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := m.opt.Table.Commit(ctx, txn)
	if err == nil || errkind.Is(err, errkind.PlatformUnavailable) {
		return res, err
	}
	return res, errkind.Wrap(err, errkind.PlatformUncertain, "transaction may have been applied")
}

// readAccount reads the account of a team. It returns an empty account if the
// row does not exist.
func (m *Manager) readAccount(ctx context.Context, team string) (storedAccount, error) {
	row, err := m.get(ctx, accountKey(team))
	if errkind.Is(err, errkind.NotFound) {
		return storedAccount{}, nil
	}
	if err != nil {
		return storedAccount{}, unavailableError(err)
	}
	return decodeAccount(row)
}

func unavailableError(err error) error {
	return errkind.Wrap(err, errkind.PlatformUnavailable, "table cannot be reached")
}

// Account returns the stored account of a team, empty if there is none.
func (m *Manager) Account(ctx context.Context, team string) (budget.Account, error) {
	s, err := m.readAccount(ctx, team)
	return s.account, err
}

// holderRow returns the row of a live incarnation of this router, renewed now.
func (m *Manager) holderRow(inc *incarnation) member.HolderRow {
	reg := m.opt.Registration
	return member.HolderRow{
		State: member.HolderLive, Incarnation: inc.id,
		Host: reg.Host, Domain: reg.Domain, RPCAddr: reg.RPCAddr, HTTPAddr: reg.HTTPAddr,
		RenewedUS: m.opt.Clock().UnixMicro(),
	}
}

// renewalPut returns the write that renews the lease of an incarnation.
func (m *Manager) renewalPut(inc *incarnation) platform.Put {
	return platform.Put{Key: holderKey(inc.id), Value: encode(m.holderRow(inc))}
}

// memberVersionPut returns the write of the row whose version tells routers that
// a registration has changed. It is part of every transaction that changes the
// state of a holder. A renewal does not include it.
func memberVersionPut() platform.Put {
	return platform.Put{Key: member.VersionKey, Value: member.VersionValue}
}

// register writes the holder row of an incarnation that is not yet registered.
// After a lost answer it reads the row back.
func (m *Manager) register(ctx context.Context, inc *incarnation) error {
	if !m.holderVersion(inc).IsZero() {
		return nil
	}
	put := m.renewalPut(inc)
	res, err := m.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: put.Key}},
		Puts:       []platform.Put{put, memberVersionPut()},
	})
	if err == nil && res.Committed {
		m.adoptVersion(inc, res.Versions[put.Key])
		return nil
	}
	if errkind.Is(err, errkind.PlatformUnavailable) {
		return err
	}
	row, err := m.get(ctx, put.Key)
	if err != nil {
		return unavailableError(err)
	}
	return m.applyHolderRow(inc, row)
}

// renew renews the lease unless a flush or a renewal has done so recently.
func (m *Manager) renew(ctx context.Context, inc *incarnation) error {
	m.mu.Lock()
	due := !inc.ended && m.opt.Clock().Sub(inc.renewedAt) >= m.opt.LeaseTimeout/renewalsPerLease
	version := inc.rowVersion
	m.mu.Unlock()
	if !due {
		return nil
	}
	put := m.renewalPut(inc)
	res, err := m.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: put.Key, Version: version}},
		Puts:       []platform.Put{put},
	})
	if err == nil && res.Committed {
		m.adoptVersion(inc, res.Versions[put.Key])
		return nil
	}
	if errkind.Is(err, errkind.PlatformUnavailable) {
		return err
	}
	return m.checkHolder(ctx, inc)
}

func (m *Manager) holderVersion(inc *incarnation) platform.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return inc.rowVersion
}

// adoptVersion records a newer version of this router's live holder row, and
// the time of the renewal.
func (m *Manager) adoptVersion(inc *incarnation, version platform.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if inc.ended || !version.After(inc.rowVersion) {
		return
	}
	inc.rowVersion = version
	inc.renewedAt = m.opt.Clock()
}

// checkHolder reads this router's holder row after a condition on it may have
// failed. It gives up the incarnation unless the row is live.
func (m *Manager) checkHolder(ctx context.Context, inc *incarnation) error {
	row, err := m.get(ctx, holderKey(inc.id))
	if errkind.Is(err, errkind.NotFound) {
		return m.giveUpFenced(inc, "gone")
	}
	if err != nil {
		return unavailableError(err)
	}
	return m.applyHolderRow(inc, row)
}

// applyHolderRow adopts the version of this router's holder row if the row is
// live, and gives up the incarnation otherwise.
func (m *Manager) applyHolderRow(inc *incarnation, row platform.Row) error {
	var holder member.HolderRow
	if err := decode(row, &holder); err != nil {
		return err
	}
	if holder.State == member.HolderLive {
		m.adoptVersion(inc, row.Version)
		return nil
	}
	return m.giveUpFenced(inc, holder.State)
}

// giveUpFenced gives up an incarnation whose holder row is not live, and
// returns Fenced. The version of such a row is never adopted: account writes are
// conditional on the adopted version, so they would succeed although another
// router may recover the grant.
func (m *Manager) giveUpFenced(inc *incarnation, state member.HolderState) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.giveUpIncarnation(inc)
	return errkind.New(errkind.Fenced, "holder row is %s", state)
}

// checkConflict looks for this router's holder row among the rows that failed
// the conditions, and applies it. A deleted row is not among them, so the
// holder row is read if no other row failed.
func (m *Manager) checkConflict(ctx context.Context, inc *incarnation, res platform.TxnResult) error {
	for _, row := range res.Current {
		if row.Key == holderKey(inc.id) {
			return m.applyHolderRow(inc, row)
		}
	}
	if len(res.Current) == 0 {
		return m.checkHolder(ctx, inc)
	}
	return nil
}
