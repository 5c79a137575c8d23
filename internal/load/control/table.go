package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// countingTable counts the table calls of this process, so that they can be
// subtracted from the platform's counts.
type countingTable struct {
	platform.Table
	reads, writes atomic.Int64
}

// Get implements platform.Table.
func (t *countingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	t.reads.Add(1)
	return t.Table.Get(ctx, key)
}

// Scan implements platform.Table.
func (t *countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.reads.Add(1)
	return t.Table.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table. It counts only transactions that were
// committed.
func (t *countingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	res, err := t.Table.Commit(ctx, txn)
	if res.Committed {
		t.writes.Add(1)
	}
	return res, err
}

const (
	rowsPerTxn        = 200
	maxCommitAttempts = 20
	tokensPerBudget   = 10_000_000 // prepaid tokens of each budget that Fill creates
	commitRetryDelay  = 100 * time.Millisecond
	teamPrefix        = "config/team/"
	accountPrefix     = "account/"
)

// TeamName returns the name of the team with index i, from 0, that Fill creates.
// The load tool uses the same names. The caller key of a team is "key-" followed
// by its name.
func TeamName(i int) string { return fmt.Sprintf("team-%02d", i+1) }

// Fill writes teams and budgets directly into the table of a platform. It must
// run before the first router starts, which then reads all teams.
func Fill(ctx context.Context, platformURL string, teams, budgets int) error {
	client := Config{Platform: platformURL}.platformClient()
	defer client.Close()
	err := fillRows(ctx, client, teams, func(i int) (string, any) {
		name := TeamName(i)
		digest := sha256.Sum256([]byte("key-" + name))
		key := policy.TeamKey{ID: "k1", SHA256: hex.EncodeToString(digest[:])}
		return teamPrefix + name, policy.Team{Name: name, Keys: []policy.TeamKey{key}, Workloads: []string{}, Models: []string{}}
	})
	if err != nil {
		return err
	}
	return fillRows(ctx, client, budgets, func(i int) (string, any) {
		return accountPrefix + TeamName(i), budget.Account{ToppedUp: tokensPerBudget}
	})
}

// fillRows writes count rows in transactions of up to rowsPerTxn rows. Each
// transaction also contains the extra puts.
func fillRows(ctx context.Context, table platform.Table, count int, row func(i int) (string, any), extra ...platform.Put) error {
	for batchStart := 0; batchStart < count; batchStart += rowsPerTxn {
		var txn platform.Txn
		for i := batchStart; i < min(batchStart+rowsPerTxn, count); i++ {
			key, value := row(i)
			data, err := json.Marshal(value)
			if err != nil {
				return eris.Wrap(err, key)
			}
			txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: data})
		}
		txn.Puts = append(txn.Puts, extra...)
		if err := commitWithRetry(ctx, table, txn); err != nil {
			return err
		}
	}
	return nil
}

// commitWithRetry retries a transaction that fails, for instance because of the
// platform's rate limit.
func commitWithRetry(ctx context.Context, table platform.Table, txn platform.Txn) error {
	var lastErr error
	for range maxCommitAttempts {
		res, err := table.Commit(ctx, txn)
		if err == nil && !res.Committed {
			return eris.New("transaction not committed: a row has changed")
		}
		if err == nil {
			return nil
		}
		lastErr = err
		if !timing.Sleep(ctx, commitRetryDelay) {
			break
		}
	}
	return eris.Wrap(lastErr, "table")
}
