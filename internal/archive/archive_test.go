package archive

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/platform/platformtest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// store is an object store. before runs ahead of each call and may end it.
type store struct {
	data   map[string][]byte
	before func() error
}

func (s *store) PutObject(_ context.Context, key string, data []byte) error {
	if s.before != nil {
		if err := s.before(); errkind.Is(err, errkind.PlatformUncertain) {
			s.data[key] = slices.Clone(data)
			return err
		} else if err != nil {
			return err
		}
	}
	s.data[key] = slices.Clone(data)
	return nil
}

func (s *store) GetObject(_ context.Context, key string) ([]byte, error) {
	if s.before != nil {
		if err := s.before(); err != nil {
			return nil, err
		}
	}
	data, ok := s.data[key]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "object %s", key)
	}
	return data, nil
}

// hooked is a table that runs a function ahead of each call.
type hooked struct {
	platform.Table
	before func() error
}

func (h hooked) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := h.before(); err != nil {
		return nil, err
	}
	return h.Table.Scan(ctx, prefix, after, min(limit, rowPage))
}

func (h hooked) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := h.before(); err != nil {
		return platform.TxnResult{}, err
	}
	return h.Table.Commit(ctx, txn)
}

// fixture is a ledger with a live and a closed holder and two archivers that
// are interleaved at their calls.
type fixture struct {
	t       *rapid.T
	memory  *platform.MemoryTable
	objects map[string][]byte
	next    map[string]int64 // sequence number by holder
	runs    []string
	nodes   []*node
	depth   int
}

// node is a router with its own faulty paths.
type node struct {
	*Archiver
	table *platformtest.FaultyTable
}

func newFixture(t *rapid.T) *fixture {
	f := &fixture{t: t, memory: platform.NewMemoryTable(), objects: map[string][]byte{}, next: map[string]int64{}}
	f.holder("gone", member.HolderClosed, start)
	for i, name := range []string{"live0", "live1"} {
		f.holder(name, member.HolderLive, time.Time{})
		faulty := platformtest.New(f.memory, rapid.Uint64().Draw(t, "seed"))
		faulty.SetFaults(platformtest.Faults{RefuseRate: 0.05, LostAnswerRate: 0.2, LateApplyRate: 0.2})
		before := func() error { return f.between(i) }
		n := &node{table: faulty}
		n.Archiver = New(Options{
			Table: hooked{faulty, before}, Objects: &store{f.objects, before}, Logger: slog.New(slog.DiscardHandler),
			OwnHolder: func() (string, int64) { return name, f.next[name] },
			Clock:     func() time.Time { return start.Add(time.Hour) },
		})
		n.most = 2 + i // objects of different ranges
		f.nodes = append(f.nodes, n)
	}
	return f
}

func (f *fixture) holder(name string, state member.HolderState, closed time.Time) {
	row := member.HolderRow{Incarnation: name, State: state}
	if !closed.IsZero() {
		row.ClosedUS = closed.UnixMicro()
	}
	f.put(member.HolderKey(name), row)
}

func (f *fixture) put(key string, v any) {
	value, err := json.Marshal(v)
	assert.NilError(f.t, err)
	_, err = f.memory.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
	assert.NilError(f.t, err)
}

// write stores a segment as a flush does.
func (f *fixture) write(holder string) {
	f.next[holder]++
	s := ledger.Segment{Holder: holder, Seq: f.next[holder]}
	for i := range 2 {
		id := fmt.Sprint(holder, "-", s.Seq, "-", i)
		s.Records = append(s.Records, ledger.Record{
			Identity: ledger.Identity{Team: fmt.Sprint("team", i), Key: id}, RunID: id, RequestID: id, Holder: holder,
			Reserved: 9, Charged: s.Seq % 9, Outcome: ledger.Complete, EndedUS: start.UnixMicro() + s.Seq,
		})
		f.runs = append(f.runs, id)
	}
	f.put(s.Key(), s)
}

// between decides what happens ahead of a call of a router: nothing, an
// outage, a lost answer of the object store, or a whole round of the other one.
func (f *fixture) between(own int) error {
	switch rapid.IntRange(0, 9).Draw(f.t, "between") {
	case 0:
		return errkind.New(errkind.PlatformUnavailable, "outage")
	case 1:
		return errkind.New(errkind.PlatformUncertain, "answer lost")
	case 2, 3:
		if f.depth == 0 {
			f.depth++
			_ = f.nodes[1-own].ArchiveDue(context.Background()) // the reader judges the result
			f.depth--
		}
	}
	return nil
}

// read returns the run ids that a reader sees while the archivers go on.
func (f *fixture) read(interleave bool) []string {
	table := hooked{f.memory, func() error {
		if interleave && rapid.Bool().Draw(f.t, "archive while reading") {
			_ = f.nodes[0].ArchiveDue(context.Background()) // the reader judges the result
		}
		return nil
	}}
	r := Reader{Table: table, Objects: &store{data: f.objects}}
	var ids []string
	for rec, err := range r.Records(context.Background(), ledger.Query{}) {
		assert.NilError(f.t, err)
		ids = append(ids, rec.RunID)
	}
	slices.Sort(ids)
	return ids
}

func (f *fixture) check(interleave bool) {
	slices.Sort(f.runs)
	assert.DeepEqual(f.t, f.read(interleave), f.runs)
}

// Guards against a record that is lost, doubled or hidden from a reader by a
// crash, a lost answer, a late write, an outage of either store or a second
// archiver at any call.
func TestReaderSeesEachRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t)
		for range rapid.IntRange(0, 8).Draw(t, "closed segments") {
			f.write("gone")
		}
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			n := f.nodes[rapid.IntRange(0, 1).Draw(t, "router")]
			switch rapid.SampledFrom([]string{"write", "archive", "archive", "late", "read"}).Draw(t, "step") {
			case "write":
				holder, _ := n.opt.OwnHolder()
				f.write(holder)
			case "archive":
				_ = n.ArchiveDue(t.Context()) // the reader judges the result
			case "late":
				assert.NilError(t, n.table.ApplyLateWrites(t.Context()))
			case "read":
				f.check(true)
			}
			f.check(false)
		}
		f.finish()
	})
}

// finish lets the archivers work without faults: no segment row is left.
func (f *fixture) finish() {
	for _, n := range f.nodes {
		assert.NilError(f.t, n.table.ApplyLateWrites(context.Background()))
		n.opt.Table = f.memory
		n.opt.Objects = &store{data: f.objects}
		assert.NilError(f.t, n.ArchiveDue(context.Background()))
	}
	left, err := platform.ScanAll(context.Background(), f.memory, ledger.Prefix)
	assert.NilError(f.t, err)
	assert.Equal(f.t, len(left), 0)
	f.check(false)
}

// plain returns a router over a ledger of n closed and n live segments.
func plain(t *testing.T, n int, objects *store) (*platform.MemoryTable, *Archiver, *time.Time) {
	memory := platform.NewMemoryTable()
	now := start.Add(time.Hour)
	put := func(key string, v any) {
		value, err := json.Marshal(v)
		assert.NilError(t, err)
		_, err = memory.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
		assert.NilError(t, err)
	}
	put("holder/gone", member.HolderRow{Incarnation: "gone", State: member.HolderClosed, ClosedUS: start.UnixMicro()})
	put("holder/fenced", member.HolderRow{Incarnation: "fenced", State: member.HolderFenced})
	for seq := range int64(n) {
		for _, h := range []string{"gone", "live"} {
			r := ledger.Record{RunID: fmt.Sprint(h, seq), Holder: h, EndedUS: now.Add(time.Duration(int(seq)-n) * time.Minute).UnixMicro()}
			r.Team = fmt.Sprint("team", seq%2)
			s := ledger.Segment{Holder: h, Seq: seq + 1, Records: []ledger.Record{r}}
			put(s.Key(), s)
		}
	}
	return memory, New(Options{
		Table: memory, Objects: objects, Logger: slog.New(slog.DiscardHandler), Clock: func() time.Time { return now },
		OwnHolder: func() (string, int64) { return "live", int64(n) - 1 },
	}), &now
}

func countRows(t *testing.T, memory *platform.MemoryTable, prefix string) int {
	rows, err := platform.ScanAll(t.Context(), memory, prefix)
	assert.NilError(t, err)
	return len(rows)
}

// Guards against an outage of the object store that costs rows, and against
// archiving young segments, segments of unconfirmed flushes and holder rows
// that a message can still name.
func TestOutageAgeAndRetention(t *testing.T) {
	down := true
	objects := &store{data: map[string][]byte{}, before: func() error {
		if down {
			return errkind.New(errkind.PlatformUnavailable, "outage")
		}
		return nil
	}}
	memory, a, now := plain(t, 20, objects)
	assert.Assert(t, errkind.Is(a.ArchiveDue(t.Context()), errkind.PlatformUnavailable))
	assert.Equal(t, countRows(t, memory, ledger.Prefix), 40)
	down = false
	assert.NilError(t, a.ArchiveDue(t.Context()))
	assert.Equal(t, countRows(t, memory, "ledger/gone/"), 0)
	assert.Equal(t, countRows(t, memory, "ledger/live/"), 10)
	*now = now.Add(23 * time.Hour)
	assert.NilError(t, a.ArchiveDue(t.Context()))
	assert.Equal(t, countRows(t, memory, "ledger/live/"), 1, "the last flush is not confirmed")
	assert.Equal(t, countRows(t, memory, "holder/"), 2)
	*now = now.Add(2 * time.Hour)
	assert.NilError(t, a.ArchiveDue(t.Context()))
	assert.Equal(t, countRows(t, memory, "holder/"), 1)
	assert.Equal(t, countRows(t, memory, ledger.ArchivePrefix), 3)
}

// Guards against objects that are read although they cannot match, and against
// damage or an outage that looks like a shorter ledger.
func TestSkipAndDamage(t *testing.T) {
	reads := 0
	objects := &store{data: map[string][]byte{}}
	memory, a, now := plain(t, 20, objects)
	a.opt.OwnHolder = func() (string, int64) { return "live", math.MaxInt64 }
	*now = now.Add(time.Hour)
	assert.NilError(t, a.ArchiveDue(t.Context()))
	objects.before = func() error { reads++; return nil }
	reader := Reader{Table: memory, Objects: objects}
	count := func(q ledger.Query) (n int, err error) {
		for _, err := range reader.Records(t.Context(), q) {
			if err != nil {
				return n, err
			}
			n++
		}
		return n, nil
	}
	for _, c := range []struct {
		q           ledger.Query
		want, reads int
	}{
		{ledger.Query{Teams: []string{"none"}}, 0, 0},
		{ledger.Query{FromUS: now.UnixMicro()}, 0, 0},
		{ledger.Query{ToUS: start.UnixMicro()}, 0, 0},
		{ledger.Query{Holder: "live"}, 20, 1},
		{ledger.Query{Teams: []string{"team1"}}, 20, 2},
	} {
		reads = 0
		n, err := count(c.q)
		assert.NilError(t, err)
		assert.Assert(t, n == c.want && reads == c.reads, "%+v: %d records, %d reads", c.q, n, reads)
	}
	name := slices.Min(slices.Collect(maps.Keys(objects.data)))
	objects.data[name] = objects.data[slices.Max(slices.Collect(maps.Keys(objects.data)))]
	_, err := count(ledger.Query{})
	assert.ErrorContains(t, err, "digest")
	damaged := 0
	reader.OnUnreadable = func(string, error) { damaged++ }
	n, err := count(ledger.Query{})
	assert.NilError(t, err)
	assert.Assert(t, n == 20 && damaged == 1)
	objects.before = func() error { return errkind.New(errkind.PlatformUnavailable, "outage") }
	_, err = count(ledger.Query{})
	assert.Assert(t, errkind.Is(err, errkind.PlatformUnavailable), "%v", err)
}
