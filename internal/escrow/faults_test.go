package escrow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/platform/platformtest"
)

// keptRecords returns the number of records that the sidecar still keeps.
func (c *cluster) keptRecords() int {
	c.sidecar.mu.Lock()
	defer c.sidecar.mu.Unlock()
	return len(c.sidecar.kept)
}

// Guards against undoing a flush, or repeating it with other content, after its
// answer was lost and the table then became unavailable.
func TestFlushAnswerLostBeforeOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	c.topUp(1000)
	n := c.nodes[0]
	n.table.LoseAnswerThenFail(ledger.Prefix)
	assert.NilError(t, c.run(n, 50, 20, time.Second))
	c.eventually("outage", n.table.IsDown)
	assert.NilError(t, c.run(n, 50, 30, time.Second), "the local share covers the request")
	time.Sleep(5 * testFlushInterval)
	assert.Equal(t, c.keptRecords(), 2, "records must be kept until they are known to be durable")
	n.table.SetDown(false)
	c.eventually("durable", func() bool { return c.keptRecords() == 0 })
	c.audit()
}

// Guards against dropping a draw that was applied, and against using its tokens
// before it is confirmed, when the answer to the draw is lost and the table then
// becomes unavailable.
func TestDrawAnswerLostBeforeOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	c.topUp(1000)
	n := c.nodes[0]
	n.table.LoseAnswerThenFail(accountPrefix)
	started := time.Now()
	_, err := c.reserve(n, 50, 5*time.Second)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	_, err = c.reserve(n, 50, 5*time.Second)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable, "the draw is not confirmed yet")
	assert.Assert(t, time.Since(started) < time.Second)
	n.table.SetDown(false)
	c.eventually("read back", func() bool { return c.run(n, 50, 50, time.Second) == nil })
	c.eventually("stored", func() bool { return c.account().Settled() == 50 })
	n.Release(t.Context(), teamName)
	assert.Equal(t, c.account().Held(), int64(0))
}

// Guards against requests that are refused, as if the table could not be reached, after it
// has answered again, until the next attempt to read back a draw whose answer was lost.
func TestRequestsAfterAnOutageWaitForALostDraw(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	c.topUp(1000)
	n := c.nodes[0]
	n.table.LoseAnswerThenFail(accountPrefix)
	_, err := c.reserve(n, 50, 5*time.Second)
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	time.Sleep(300 * time.Millisecond) // the attempts are rare by now
	n.table.SetDown(false)
	_, err = n.Account(t.Context(), teamName)
	assert.NilError(t, err)
	assert.NilError(t, c.run(n, 50, 50, 5*time.Second))
}

// Guards against a recovery that stores a record twice because the crashed
// router never learned that its flush was applied.
func TestRecoveryAfterUnconfirmedFlush(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.topUp(1000)
	dead := c.nodes[0]
	id := dead.Incarnation()
	dead.table.LoseAnswerThenFail(ledger.Prefix)
	assert.NilError(t, c.run(dead, 50, 20, time.Second))
	c.eventually("outage", dead.table.IsDown)
	assert.Equal(t, c.keptRecords(), 1)
	dead.kill()
	c.eventually("closed", func() bool { return c.holder(id).State == member.HolderClosed })
	c.eventually("durable", func() bool { return c.keptRecords() == 0 })
	c.audit()
}

// Guards against a recovery that stores a record again or reuses a segment number
// because the segments of the crashed router have been archived, and against one
// that closes the holder while the archive cannot be read.
func TestRecoveryAfterArchiving(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.topUp(1000)
	dead := c.nodes[0]
	id := dead.Incarnation()
	assert.NilError(t, c.run(dead, 50, 10, time.Second))
	c.eventually("durable", func() bool { return c.keptRecords() == 0 })
	dead.table.LoseAnswerThenFail(ledger.Prefix)
	assert.NilError(t, c.run(dead, 50, 20, time.Second))
	c.eventually("outage", dead.table.IsDown)
	assert.NilError(t, c.run(dead, 50, 30, time.Second), "never flushed")
	archiver := archive.New(archive.Options{
		Table: c.memory, Objects: c.objects, OwnHolder: func() (string, int64) { return id, 2 }, Age: time.Nanosecond,
	})
	assert.NilError(t, archiver.ArchiveDue(t.Context()))
	rows, err := platform.ScanAll(t.Context(), c.memory, ledger.HolderSegmentPrefix(id))
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
	c.objects.down.Store(true)
	dead.kill()
	c.eventually("fenced", func() bool { return c.holder(id).State == member.HolderFenced })
	time.Sleep(2 * testLeaseTimeout)
	assert.Equal(t, c.holder(id).State, member.HolderFenced)
	assert.Equal(t, c.keptRecords(), 2)
	c.objects.down.Store(false)
	c.eventually("closed", func() bool { return c.holder(id).State == member.HolderClosed })
	assert.Assert(t, c.holder(id).ClosedUS > 0)
	rows, err = platform.ScanAll(t.Context(), c.memory, ledger.HolderSegmentPrefix(id))
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, ledger.Segment{Holder: id, Seq: 3}.Key())
	c.audit()
}

// Guards against a draw by a router that has not noticed that its holder row was
// closed. No router would recover the new grant, because closed holders are not
// recovered.
func TestFencedHolderCannotDraw(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	c.topUp(1000)
	n := c.nodes[0]
	id := n.Incarnation()
	row := c.holder(id)
	row.State = member.HolderClosed
	_, err := c.memory.Commit(context.Background(), platform.Txn{
		Puts: []platform.Put{{Key: holderKey(id), Value: encode(row)}},
	})
	assert.NilError(t, err)
	// The router may have registered again before it reserves.
	r, err := c.reserve(n, 50, time.Second)
	if err != nil {
		assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
	} else {
		assert.Assert(t, r.Holder() != id)
	}
	_, held := c.account().Grants[id]
	assert.Assert(t, !held)
	c.eventually("registered again", func() bool { return n.Ready() && n.Incarnation() != id })
}

// Guards against applying a top-up twice when several routers receive it at the
// same time, and answers are lost and writes applied late.
func TestConcurrentTopUps(t *testing.T) {
	t.Parallel()
	const keys = 40
	c := newCluster(t, 3)
	for _, n := range c.nodes {
		n.table.SetFaults(platformtest.Faults{LostAnswerRate: 0.1, LateApplyRate: 0.1, MaxDelay: time.Millisecond})
	}
	for k := range keys {
		var wg sync.WaitGroup
		for _, n := range c.nodes {
			wg.Go(func() { _, _ = n.TopUp(t.Context(), teamName, fmt.Sprint("k", k), 10, "op") })
		}
		wg.Wait()
	}
	assert.Equal(t, c.account().ToppedUp, int64(10*keys))
}
