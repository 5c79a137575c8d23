package escrow

import (
	"context"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// maxTopUpRounds bounds the rounds of one top-up.
const maxTopUpRounds = 30

// topUpRow makes a top-up idempotent. Account is the answer to repeat.
type topUpRow struct {
	Team     string         `json:"team"`
	Key      string         `json:"key"`
	Tokens   int64          `json:"tokens"`
	Operator string         `json:"operator"`
	AtUS     int64          `json:"at_us"` // unix time in microseconds
	Account  budget.Account `json:"account"`
}

// TopUp adds prepaid tokens to a team and returns the account after it. The
// same key with the same amount returns the same answer again, with another
// amount Conflict. After PlatformUnavailable with Ran unknown the top-up may
// have been applied; repeating it with the same key is safe.
func (m *Manager) TopUp(ctx context.Context, team, key string, tokens int64, operator string) (budget.Account, error) {
	row := topUpRow{Team: team, Key: key, Tokens: tokens, Operator: operator, AtUS: m.opt.Clock().UnixMicro()}
	if team == "" || key == "" {
		return budget.Account{}, errkind.New(errkind.InvalidRequest, "team and key are required")
	}
	uncertain := false
	var last error
	for n := range maxTopUpRounds {
		account, done, err := m.topUpOnce(ctx, row)
		if done {
			return account, err
		}
		last = err
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
	failed := errkind.Wrap(last, errkind.PlatformUnavailable, "top-up was not confirmed; repeat it with the same key")
	if uncertain {
		failed.Ran = errkind.RanUnknown
	}
	return budget.Account{}, failed
}

// topUpOnce makes one attempt. done is false if another one may succeed.
func (m *Manager) topUpOnce(ctx context.Context, row topUpRow) (budget.Account, bool, error) {
	key := topUpPrefix + row.Team + "/" + row.Key
	old, err := m.get(ctx, key)
	if err == nil {
		account, err := repeatTopUp(old, row.Tokens)
		return account, true, err
	}
	if !errkind.Is(err, errkind.NotFound) {
		return budget.Account{}, false, unavailable(err)
	}
	s, err := m.readAccount(ctx, row.Team)
	if err != nil {
		return budget.Account{}, errkind.Is(err, errkind.Internal), err
	}
	row.Account, err = s.account.TopUp(row.Tokens)
	if err != nil {
		return budget.Account{}, true, err
	}
	res, err := m.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}, {Key: accountKey(row.Team), Version: s.version}},
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

func repeatTopUp(old platform.Row, tokens int64) (budget.Account, error) {
	var first topUpRow
	if err := decode(old, &first); err != nil {
		return budget.Account{}, err
	}
	if first.Tokens != tokens {
		return budget.Account{}, errkind.New(errkind.Conflict, "key %s was used for a top-up of %d tokens", first.Key, first.Tokens)
	}
	return first.Account, nil
}
