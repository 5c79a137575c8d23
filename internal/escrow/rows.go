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
func holderKey(inc string) string   { return holderPrefix + inc }

// encode returns the JSON of a row. The row types cannot fail to encode.
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

func decodeAccount(row platform.Row) (stored, error) {
	s := stored{version: row.Version}
	return s, decode(row, &s.account)
}

func (m *Manager) get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.opt.Table.Get(ctx, key)
}

// commit applies a transaction. Any error other than PlatformUnavailable means
// that it may have been applied and is returned as PlatformUncertain.
func (m *Manager) commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := m.opt.Table.Commit(ctx, txn)
	if err == nil || errkind.Is(err, errkind.PlatformUnavailable) {
		return res, err
	}
	return res, errkind.Wrap(err, errkind.PlatformUncertain, "transaction may have been applied")
}

// readAccount returns an empty account if the row does not exist.
func (m *Manager) readAccount(ctx context.Context, team string) (stored, error) {
	row, err := m.get(ctx, accountKey(team))
	if errkind.Is(err, errkind.NotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, unavailable(err)
	}
	return decodeAccount(row)
}

func unavailable(err error) error {
	return errkind.Wrap(err, errkind.PlatformUnavailable, "table cannot be reached")
}

// Account returns the stored account of a team, empty if there is none.
func (m *Manager) Account(ctx context.Context, team string) (budget.Account, error) {
	s, err := m.readAccount(ctx, team)
	return s.account, err
}

// holderRow returns the live row of an incarnation of this router.
func (m *Manager) holderRow(inc *incarnation) member.HolderRow {
	reg := m.opt.Registration
	return member.HolderRow{
		State: member.HolderLive, Incarnation: inc.id,
		Host: reg.Host, Domain: reg.Domain, RPCAddr: reg.RPCAddr, HTTPAddr: reg.HTTPAddr,
		RenewedUS: m.opt.Clock().UnixMicro(),
	}
}

// renewal returns the write that renews the lease.
func (m *Manager) renewal(inc *incarnation) platform.Put {
	return platform.Put{Key: holderKey(inc.id), Value: encode(m.holderRow(inc))}
}

// memberVersion is part of each transaction that changes the state of a holder.
// A renewal does not change it.
func memberVersion() platform.Put {
	return platform.Put{Key: member.VersionKey, Value: member.VersionValue}
}

// register writes the holder row of a new incarnation.
func (m *Manager) register(ctx context.Context, inc *incarnation) error {
	if m.holderVersion(inc) > 0 {
		return nil
	}
	put := m.renewal(inc)
	res, err := m.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: put.Key}},
		Puts:       []platform.Put{put, memberVersion()},
	})
	if err == nil && res.Committed {
		m.adopt(inc, res.Versions[put.Key])
		return nil
	}
	if errkind.Is(err, errkind.PlatformUnavailable) {
		return err
	}
	row, err := m.get(ctx, put.Key)
	if err != nil {
		return unavailable(err)
	}
	return m.takeHolderRow(inc, row)
}

// renew rewrites the holder row if no flush has done so recently.
func (m *Manager) renew(ctx context.Context, inc *incarnation) error {
	m.mu.Lock()
	due := !inc.dead && m.opt.Clock().Sub(inc.renewed) >= m.opt.LeaseTimeout/renewalsPerLease
	version := inc.version
	m.mu.Unlock()
	if !due {
		return nil
	}
	put := m.renewal(inc)
	res, err := m.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: put.Key, Version: version}},
		Puts:       []platform.Put{put},
	})
	if err == nil && res.Committed {
		m.adopt(inc, res.Versions[put.Key])
		return nil
	}
	if errkind.Is(err, errkind.PlatformUnavailable) {
		return err
	}
	return m.checkHolder(ctx, inc)
}

func (m *Manager) holderVersion(inc *incarnation) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return inc.version
}

// adopt takes over a newer version of the own live row.
func (m *Manager) adopt(inc *incarnation, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if inc.dead || version <= inc.version {
		return
	}
	inc.version = version
	inc.renewed = m.opt.Clock()
}

// checkHolder reads the own row, after a condition on it may have failed. The
// incarnation is given up unless the row is live.
func (m *Manager) checkHolder(ctx context.Context, inc *incarnation) error {
	row, err := m.get(ctx, holderKey(inc.id))
	if errkind.Is(err, errkind.NotFound) {
		return m.fenced(inc, "gone")
	}
	if err != nil {
		return unavailable(err)
	}
	return m.takeHolderRow(inc, row)
}

func (m *Manager) takeHolderRow(inc *incarnation, row platform.Row) error {
	var holder member.HolderRow
	if err := decode(row, &holder); err != nil {
		return err
	}
	if holder.State == member.HolderLive {
		m.adopt(inc, row.Version)
		return nil
	}
	return m.fenced(inc, holder.State)
}

// fenced gives up an incarnation whose row is not live. The version of such a
// row is never adopted, because account writes are conditional on it.
func (m *Manager) fenced(inc *incarnation, state member.HolderState) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.giveUp(inc)
	return errkind.New(errkind.Fenced, "holder row is %s", state)
}

// checkConflict looks for the own row among the rows of failed conditions. A
// row that is gone is not among them, so it is read if nothing else failed.
func (m *Manager) checkConflict(ctx context.Context, inc *incarnation, res platform.TxnResult) error {
	for _, row := range res.Current {
		if row.Key == holderKey(inc.id) {
			return m.takeHolderRow(inc, row)
		}
	}
	if len(res.Current) == 0 {
		return m.checkHolder(ctx, inc)
	}
	return nil
}
