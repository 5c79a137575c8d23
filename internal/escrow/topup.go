package escrow

import (
	"context"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// maxTopUpAttempts bounds the attempts of one top-up.
const maxTopUpAttempts = 30

// topUpRow is the stored row of a top-up, which makes the top-up idempotent.
// Account is the answer for repeated requests.
type topUpRow struct {
	Team     string         `json:"team"`
	Key      string         `json:"key"`
	Tokens   int64          `json:"tokens"`
	Operator string         `json:"operator"`
	AtUS     int64          `json:"at_us"` // unix time in microseconds
	Account  budget.Account `json:"account"`
}

// topUpCount counts the top-ups of a team by this router.
type topUpCount struct{ begun, ended int64 }

// countTopUp adds to the count of a team's top-ups.
func (m *Manager) countTopUp(team string, change topUpCount) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := m.topUps[team]
	m.topUps[team] = topUpCount{begun: count.begun + change.begun, ended: count.ended + change.ended}
}

// endedTopUps returns the number of top-ups of a team that this router has ended.
func (m *Manager) endedTopUps(team string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topUps[team].ended
}

// TopUp adds prepaid tokens to the account of a team and returns the account
// afterwards. Repeating a key with the same amount returns the same answer;
// repeating it with another amount returns Conflict. After PlatformUnavailable
// with Ran unknown the top-up may have been applied; it is safe to repeat it
// with the same key.
func (m *Manager) TopUp(ctx context.Context, team, key string, tokens int64, operator string) (budget.Account, error) {
	row := topUpRow{Team: team, Key: key, Tokens: tokens, Operator: operator, AtUS: m.opt.Clock().UnixMicro()}
	if team == "" || key == "" {
		return budget.Account{}, errkind.New(errkind.InvalidRequest, "team and key are required")
	}
	m.countTopUp(team, topUpCount{begun: 1})
	defer m.countTopUp(team, topUpCount{ended: 1})
	uncertain := false
	var lastErr error
	for n := range maxTopUpAttempts {
		account, done, err := m.attemptTopUp(ctx, row)
		if done {
			return account, err
		}
		lastErr = err
		if errkind.Is(err, errkind.PlatformUncertain) {
			uncertain = true
		}
		if errkind.Is(err, errkind.PlatformUnavailable) && !uncertain {
			return budget.Account{}, err
		}
		if !platform.WaitBackoff(ctx, n) {
			break
		}
	}
	unconfirmed := errkind.Wrap(lastErr, errkind.PlatformUnavailable, "top-up was not confirmed; repeat it with the same key")
	if uncertain {
		unconfirmed.Ran = errkind.RanUnknown
	}
	return budget.Account{}, unconfirmed
}

// attemptTopUp makes one attempt at a top-up. It returns false if another
// attempt may succeed.
func (m *Manager) attemptTopUp(ctx context.Context, row topUpRow) (budget.Account, bool, error) {
	key := topUpPrefix + row.Team + "/" + row.Key
	existing, err := m.get(ctx, key)
	if err == nil {
		account, err := repeatedAnswer(existing, row.Tokens)
		return account, true, err
	}
	if !errkind.Is(err, errkind.NotFound) {
		return budget.Account{}, false, unavailableError(err)
	}
	current, err := m.readAccount(ctx, row.Team)
	if err != nil {
		return budget.Account{}, errkind.Is(err, errkind.Internal), err
	}
	row.Account, err = current.account.TopUp(row.Tokens)
	if err != nil {
		return budget.Account{}, true, err
	}
	res, err := m.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}, {Key: accountKey(row.Team), Version: current.version}},
		Puts: []platform.Put{
			{Key: key, Value: encode(row)},
			{Key: accountKey(row.Team), Value: encode(row.Account)},
		},
	})
	if err != nil {
		return budget.Account{}, false, err
	}
	return row.Account, res.Committed, nil
}

// repeatedAnswer returns the answer for a top-up whose key has been used
// before.
func repeatedAnswer(existing platform.Row, tokens int64) (budget.Account, error) {
	var first topUpRow
	if err := decode(existing, &first); err != nil {
		return budget.Account{}, err
	}
	if first.Tokens != tokens {
		return budget.Account{}, errkind.New(errkind.Conflict, "key %s was used for a top-up of %d tokens", first.Key, first.Tokens)
	}
	return first.Account, nil
}
