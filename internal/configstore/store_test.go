package configstore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// flaky is a table whose commits can fail before or after they take effect.
type flaky struct {
	*platform.MemoryTable
	mu      sync.Mutex
	down    bool
	lose    int // commits that apply and lose the response
	swallow int // commits that do not apply and lose the response
	calls   int
}

func (f *flaky) Get(ctx context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	down := f.down
	f.calls++
	f.mu.Unlock()
	if down {
		return platform.Row{}, errkind.New(errkind.PlatformUnavailable, "down")
	}
	return f.MemoryTable.Get(ctx, key)
}

func (f *flaky) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return platform.TxnResult{}, errkind.New(errkind.PlatformUnavailable, "down")
	case f.swallow > 0:
		f.swallow--
		return platform.TxnResult{}, errkind.New(errkind.PlatformUncertain, "lost")
	case f.lose > 0:
		f.lose--
		if _, err := f.MemoryTable.Commit(ctx, txn); err != nil {
			return platform.TxnResult{}, err
		}
		return platform.TxnResult{}, errkind.New(errkind.PlatformUncertain, "lost")
	}
	return f.MemoryTable.Commit(ctx, txn)
}

var operators = []policy.Operator{{Name: "op", KeySHA256: policy.HashKey("operator")}}

func started(t *testing.T, table platform.Table) *Store {
	t.Helper()
	s := New(Options{Table: table, Operators: operators})
	assert.NilError(t, s.Refresh(t.Context()))
	return s
}

func activate(preset string) func(*Change) error {
	return func(c *Change) error {
		c.Document.ActivePreset = preset
		return nil
	}
}

func addTeam(name, key string) func(*Change) error {
	return func(c *Change) error {
		c.SetTeam(policy.Team{Name: name, Keys: []policy.TeamKey{{ID: "k", SHA256: policy.HashKey(key)}}})
		return nil
	}
}

// Guards against two first versions when routers start at once.
func TestBootstrapRace(t *testing.T) {
	table := platform.NewMemoryTable()
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Go(func() {
			s := New(Options{Table: table, Operators: []policy.Operator{{Name: fmt.Sprint("op", i)}}})
			assert.Check(t, s.Refresh(t.Context()))
			assert.Check(t, s.Ready() && s.Version() == 1)
		})
	}
	wg.Wait()
	rows, err := platform.ScanAll(t.Context(), table, prefixChange)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
}

// Guards against two operators' changes both being accepted on one version.
func TestConcurrentChangesOneWins(t *testing.T) {
	table := platform.NewMemoryTable()
	stores := []*Store{started(t, table), started(t, table), started(t, table)}
	errs := make([]error, len(stores))
	var wg sync.WaitGroup
	for i, s := range stores {
		wg.Go(func() { _, errs[i] = s.Change(t.Context(), 1, "op", activate(policy.PresetPeak)) })
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		assert.Assert(t, errkind.Is(err, errkind.VersionConflict), "%v", err)
	}
	assert.Equal(t, won, 1)
}

// Guards against additive changes being refused because of unrelated ones.
func TestAnyVersionRebases(t *testing.T) {
	table := platform.NewMemoryTable()
	stores := []*Store{started(t, table), started(t, table), started(t, table)}
	var wg sync.WaitGroup
	for i, s := range stores {
		wg.Go(func() {
			_, err := s.Change(t.Context(), AnyVersion, "op", addTeam(fmt.Sprint("t", i), fmt.Sprint("k", i)))
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.NilError(t, stores[0].Refresh(t.Context()))
	assert.Equal(t, len(stores[0].Teams()), 3)
	assert.Equal(t, stores[0].Version(), int64(4))
}

// Guards against an accepted change being reported as lost, or made twice,
// when the response to the commit does not arrive.
func TestUncertainCommit(t *testing.T) {
	for name, table := range map[string]*flaky{
		"applied":     {MemoryTable: platform.NewMemoryTable()},
		"not applied": {MemoryTable: platform.NewMemoryTable()},
	} {
		t.Run(name, func(t *testing.T) {
			s := started(t, table)
			if name == "applied" {
				table.lose = 1
			} else {
				table.swallow = 2
			}
			version, err := s.Change(t.Context(), 1, "op", addTeam("a", "key-a"))
			assert.NilError(t, err)
			assert.Equal(t, version, int64(2))
			assert.Equal(t, s.Version(), int64(2))
			assert.NilError(t, s.Refresh(t.Context()))
			_, ok := s.TeamByKeyDigest(t.Context(), policy.HashKey("key-a"))
			assert.Assert(t, ok)
		})
	}
}

// Guards against claiming an outcome when the operator's call ends while the
// commit is uncertain.
func TestUncertainUntilDeadline(t *testing.T) {
	table := &flaky{MemoryTable: platform.NewMemoryTable()}
	s := started(t, table)
	table.swallow = 1 << 30
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.Change(ctx, 1, "op", activate(policy.PresetPeak))
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
}

// Guards against a node going back to an older configuration, and against
// callbacks out of order.
func TestNeverGoesBack(t *testing.T) {
	s := started(t, platform.NewMemoryTable())
	var seen []int64
	s.OnChange(func(d *policy.Document) { seen = append(seen, d.Version) })
	newer := s.Current().Clone()
	newer.Version = 7
	assert.Assert(t, s.Adopt(newer))
	newer.Version = 6
	assert.Assert(t, !s.Adopt(newer))
	assert.NilError(t, s.Refresh(t.Context())) // the table still has version 1
	assert.Equal(t, s.Version(), int64(7))
	assert.DeepEqual(t, seen, []int64{7})
}

// Guards against a router missing teams after a gap in the change rows.
func TestGapLeadsToRescan(t *testing.T) {
	table := platform.NewMemoryTable()
	writer, reader := started(t, table), started(t, table)
	for i := range 3 {
		_, err := writer.Change(t.Context(), AnyVersion, "op", addTeam(fmt.Sprint("t", i), fmt.Sprint("k", i)))
		assert.NilError(t, err)
	}
	_, err := table.Commit(t.Context(), platform.Txn{Deletes: []string{changeKey(3)}})
	assert.NilError(t, err)
	assert.NilError(t, reader.Refresh(t.Context()))
	assert.Equal(t, len(reader.Teams()), 3)
	assert.Equal(t, reader.TeamsSnapshot().Version, int64(4))
}

// Guards against a router that cannot start while the table is down although
// a peer is up.
func TestStartFromPeerWhileTableIsDown(t *testing.T) {
	table := &flaky{MemoryTable: platform.NewMemoryTable()}
	peer := started(t, table)
	_, err := peer.Change(t.Context(), 1, "op", addTeam("a", "key-a"))
	assert.NilError(t, err)
	assert.NilError(t, peer.Refresh(t.Context()))
	table.down = true
	s := New(Options{Table: table})
	assert.Assert(t, !s.Ready())
	assert.Assert(t, s.Adopt(*peer.Current()))
	assert.Assert(t, !s.Ready(), "ready without teams")
	assert.Assert(t, s.AdoptTeams(peer.TeamsSnapshot()))
	assert.Assert(t, s.Ready())
	_, ok := s.TeamByKeyDigest(t.Context(), policy.HashKey("key-a"))
	assert.Assert(t, ok)
}

// Guards against a new key being refused until the next poll, and against
// unknown keys causing unlimited reads of the table.
func TestUnknownKeyPollsOncePerInterval(t *testing.T) {
	table := &flaky{MemoryTable: platform.NewMemoryTable()}
	writer, reader := started(t, table), started(t, table)
	_, err := writer.Change(t.Context(), 1, "op", addTeam("a", "key-a"))
	assert.NilError(t, err)
	_, ok := reader.TeamByKeyDigest(t.Context(), policy.HashKey("key-a"))
	assert.Assert(t, ok)
	before := table.calls
	for range 10 {
		_, ok = reader.TeamByKeyDigest(t.Context(), policy.HashKey("no such key"))
		assert.Assert(t, !ok)
	}
	assert.Equal(t, table.calls, before)
}

// Guards against a document that strands a team's permissions, and against a
// faulty document being committed.
func TestFaultyChangeIsRefused(t *testing.T) {
	s := started(t, platform.NewMemoryTable())
	_, err := s.Change(t.Context(), 1, "op", func(c *Change) error {
		c.SetTeam(policy.Team{Name: "a", Workloads: []string{"batch"}})
		return nil
	})
	assert.NilError(t, err)
	_, err = s.Change(t.Context(), 2, "op", func(c *Change) error {
		delete(c.Document.Workloads, "batch")
		return nil
	})
	assert.Assert(t, errkind.Is(err, errkind.InvalidRequest), "%v", err)
	assert.ErrorContains(t, err, "teams.a.workloads[0]")
	_, err = s.Change(t.Context(), 2, "op", activate("absent"))
	assert.Assert(t, errkind.Is(err, errkind.InvalidRequest), "%v", err)
}

// Guards against Run missing another router's change, or not ending.
func TestRunFollowsTheTable(t *testing.T) {
	table := platform.NewMemoryTable()
	writer := started(t, table)
	s := New(Options{Table: table, PollInterval: 5 * time.Millisecond})
	changed := make(chan int64, 10)
	s.OnChange(func(d *policy.Document) { changed <- d.Version })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	assert.Equal(t, <-changed, int64(1))
	_, err := writer.Change(t.Context(), 1, "op", activate(policy.PresetMaintenance))
	assert.NilError(t, err)
	assert.Equal(t, <-changed, int64(2))
	assert.Equal(t, s.Current().ActivePreset, policy.PresetMaintenance)
	cancel()
	assert.NilError(t, <-done)
}

// Guards against teams that get lost with a change that concerns none.
func TestTeamsOutliveAChangeOfPreset(t *testing.T) {
	s := started(t, platform.NewMemoryTable())
	_, err := s.Change(t.Context(), 1, "op", addTeam("a", "key-a"))
	assert.NilError(t, err)
	_, err = s.Change(t.Context(), 2, "op", activate(policy.PresetPeak))
	assert.NilError(t, err)
	assert.Equal(t, s.TeamsVersion(), int64(3))
	team, ok := s.TeamByKeyDigest(t.Context(), policy.HashKey("key-a"))
	assert.Assert(t, ok && team.Name == "a")
}
