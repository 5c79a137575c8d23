package prepaid

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// refusingTable refuses the transactions that write the total of one team.
type refusingTable struct {
	platform.Table
	key     string
	commits atomic.Int64
}

func (r *refusingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	r.commits.Add(1)
	for _, put := range txn.Puts {
		if strings.HasSuffix(put.Key, r.key) {
			return platform.TxnResult{}, errkind.New(errkind.PlatformRefused, "row not taken")
		}
	}
	return r.Table.Commit(ctx, txn)
}

// Guards against a change of shares that the table refuses and that is sent for good, so that
// the router gets no tokens for any other team.
func TestRefusedChangeIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &refusingTable{Table: platform.NewMemoryTable(), key: totalPrefix + "refused"}
		f := startOneRouter(table)
		defer f.stop()
		f.managers[0].SetPrepaid(map[string]int64{"refused": 10_000_000, "other": 10_000_000})
		time.Sleep(time.Second)
		_, err := f.managers[0].Reserve(context.Background(), "refused", 1_000_000)
		assert.Assert(t, err != nil)
		before := table.commits.Load()
		time.Sleep(10 * time.Second)
		assert.Assert(t, table.commits.Load()-before < 200, "%d transactions in 10 s", table.commits.Load()-before)
		r, err := f.managers[0].Reserve(context.Background(), "other", 1_000_000)
		assert.NilError(t, err)
		r.Settle(1000)
	})
}
