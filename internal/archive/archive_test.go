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

// memoryObjects is an object store in memory. beforeCall runs before each call.
// If beforeCall returns an error, the call fails with this error; PutObject still
// stores the object if the error is PlatformUncertain.
type memoryObjects struct {
	data       map[string][]byte
	beforeCall func() error
}

func (s *memoryObjects) PutObject(_ context.Context, key string, data []byte) error {
	if s.beforeCall != nil {
		if err := s.beforeCall(); errkind.Is(err, errkind.PlatformUncertain) {
			s.data[key] = slices.Clone(data)
			return err
		} else if err != nil {
			return err
		}
	}
	s.data[key] = slices.Clone(data)
	return nil
}

func (s *memoryObjects) GetObject(_ context.Context, key string) ([]byte, error) {
	if s.beforeCall != nil {
		if err := s.beforeCall(); err != nil {
			return nil, err
		}
	}
	data, ok := s.data[key]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "object %s", key)
	}
	return data, nil
}

// hookedTable is a table that runs beforeCall before each Scan and Commit. If
// beforeCall returns an error, the call fails with this error.
type hookedTable struct {
	platform.Table
	beforeCall func() error
}

func (h hookedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := h.beforeCall(); err != nil {
		return nil, err
	}
	return h.Table.Scan(ctx, prefix, after, min(limit, rowPageSize))
}

func (h hookedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := h.beforeCall(); err != nil {
		return platform.TxnResult{}, err
	}
	return h.Table.Commit(ctx, txn)
}

// fixture is a ledger with a closed holder and two live ones, each with an
// archiver. Rounds of one archiver can run between any two calls of the other
// one.
type fixture struct {
	t            *rapid.T
	memory       *platform.MemoryTable
	objects      map[string][]byte
	lastSeq      map[string]int64 // last sequence number by holder
	runIDs       []string
	nodes        []*node
	nestedRounds int
}

// node is a router with its own faulty paths to the table and the object store.
type node struct {
	*Archiver
	table *platformtest.FaultyTable
}

func newFixture(t *rapid.T) *fixture {
	f := &fixture{t: t, memory: platform.NewMemoryTable(), objects: map[string][]byte{}, lastSeq: map[string]int64{}}
	f.addHolder("gone", member.HolderClosed, start)
	for i, name := range []string{"live0", "live1"} {
		f.addHolder(name, member.HolderLive, time.Time{})
		faulty := platformtest.New(f.memory, rapid.Uint64().Draw(t, "seed"))
		faulty.SetFaults(platformtest.Faults{RefuseRate: 0.05, LostAnswerRate: 0.2, LateApplyRate: 0.2})
		before := func() error { return f.beforeCall(i) }
		n := &node{table: faulty}
		n.Archiver = New(Options{
			Table: hookedTable{faulty, before}, Objects: &memoryObjects{f.objects, before}, Logger: slog.New(slog.DiscardHandler),
			OwnHolder: func() (string, int64) { return name, f.lastSeq[name] },
			Clock:     func() time.Time { return start.Add(time.Hour) },
		})
		n.segmentLimit = 2 + i // the archivers choose different ranges of segments
		f.nodes = append(f.nodes, n)
	}
	return f
}

// addHolder stores the row of a holder.
func (f *fixture) addHolder(name string, state member.HolderState, closed time.Time) {
	row := member.HolderRow{Incarnation: name, State: state}
	if !closed.IsZero() {
		row.ClosedUS = closed.UnixMicro()
	}
	f.put(member.HolderKey(name), row)
}

// put stores a value as a row.
func (f *fixture) put(key string, v any) {
	value, err := json.Marshal(v)
	assert.NilError(f.t, err)
	_, err = f.memory.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
	assert.NilError(f.t, err)
}

// writeSegment stores the next segment of a holder as a flush does.
func (f *fixture) writeSegment(holder string) {
	f.lastSeq[holder]++
	segment := ledger.Segment{Holder: holder, Seq: f.lastSeq[holder]}
	for i := range 2 {
		id := fmt.Sprint(holder, "-", segment.Seq, "-", i)
		segment.Records = append(segment.Records, ledger.Record{
			Identity: ledger.Identity{Team: fmt.Sprint("team", i), Key: id}, RunID: id, RequestID: id, Holder: holder,
			Reserved: 9, Charged: segment.Seq % 9, Outcome: ledger.Complete, EndedUS: start.UnixMicro() + segment.Seq,
		})
		f.runIDs = append(f.runIDs, id)
	}
	f.put(segment.Key(), segment)
}

// beforeCall decides what happens before a call of a router: nothing, an
// outage, a lost answer, or a complete round of the other router.
func (f *fixture) beforeCall(own int) error {
	switch rapid.IntRange(0, 9).Draw(f.t, "between") {
	case 0:
		return errkind.New(errkind.PlatformUnavailable, "outage")
	case 1:
		return errkind.New(errkind.PlatformUncertain, "answer lost")
	case 2, 3:
		if f.nestedRounds == 0 {
			f.nestedRounds++
			_ = f.nodes[1-own].ArchiveDue(context.Background()) // check verifies the result
			f.nestedRounds--
		}
	}
	return nil
}

// read returns the run ids that a reader yields. With interleave, rounds of an
// archiver may run between the calls of the reader.
func (f *fixture) read(interleave bool) []string {
	table := hookedTable{f.memory, func() error {
		if interleave && rapid.Bool().Draw(f.t, "archive while reading") {
			_ = f.nodes[0].ArchiveDue(context.Background()) // check verifies the result
		}
		return nil
	}}
	r := Reader{Table: table, Objects: &memoryObjects{data: f.objects}}
	var ids []string
	for rec, err := range r.Records(context.Background(), ledger.Query{}) {
		assert.NilError(f.t, err)
		ids = append(ids, rec.RunID)
	}
	slices.Sort(ids)
	return ids
}

// check verifies that a reader yields every run exactly once.
func (f *fixture) check(interleave bool) {
	slices.Sort(f.runIDs)
	assert.DeepEqual(f.t, f.read(interleave), f.runIDs)
}

// Guards against losing a record, yielding it twice or hiding it from a reader
// because of a round that ends early, a lost answer, a late write, an outage of the
// table or the object store, or a second archiver at any call.
func TestReaderSeesEachRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t)
		for range rapid.IntRange(0, 8).Draw(t, "closed segments") {
			f.writeSegment("gone")
		}
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			n := f.nodes[rapid.IntRange(0, 1).Draw(t, "router")]
			switch rapid.SampledFrom([]string{"write", "archive", "archive", "late", "read"}).Draw(t, "step") {
			case "write":
				holder, _ := n.opt.OwnHolder()
				f.writeSegment(holder)
			case "archive":
				_ = n.ArchiveDue(t.Context()) // check verifies the result
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

// finish runs the archivers without faults and checks that no segment row is
// left.
func (f *fixture) finish() {
	for _, n := range f.nodes {
		assert.NilError(f.t, n.table.ApplyLateWrites(context.Background()))
		n.opt.Table = f.memory
		n.opt.Objects = &memoryObjects{data: f.objects}
		assert.NilError(f.t, n.ArchiveDue(context.Background()))
	}
	remaining, err := platform.ScanAll(context.Background(), f.memory, ledger.Prefix)
	assert.NilError(f.t, err)
	assert.Equal(f.t, len(remaining), 0)
	f.check(false)
}

// newArchiver returns a table with n segments of a closed and n segments of a
// live holder, the archiver of the live holder, and the time that the archiver's
// clock shows. The last segment of the live holder counts as unconfirmed. The
// table also has the row of a fenced holder without segments.
func newArchiver(t *testing.T, n int, objects *memoryObjects) (*platform.MemoryTable, *Archiver, *time.Time) {
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
		for _, holder := range []string{"gone", "live"} {
			record := ledger.Record{RunID: fmt.Sprint(holder, seq), Holder: holder, EndedUS: now.Add(time.Duration(int(seq)-n) * time.Minute).UnixMicro()}
			record.Team = fmt.Sprint("team", seq%2)
			segment := ledger.Segment{Holder: holder, Seq: seq + 1, Records: []ledger.Record{record}}
			put(segment.Key(), segment)
		}
	}
	return memory, New(Options{
		Table: memory, Objects: objects, Logger: slog.New(slog.DiscardHandler), Clock: func() time.Time { return now },
		OwnHolder: func() (string, int64) { return "live", int64(n) - 1 },
	}), &now
}

// countRows returns the number of rows with a key prefix.
func countRows(t *testing.T, memory *platform.MemoryTable, prefix string) int {
	rows, err := platform.ScanAll(t.Context(), memory, prefix)
	assert.NilError(t, err)
	return len(rows)
}

// Guards against deleting rows whose object could not be written in an outage of
// the object store, and against archiving segments that are too young or belong to
// unconfirmed flushes. Also guards against deleting the row of a closed holder so
// early that a message can still name the holder.
func TestOutageAgeAndRetention(t *testing.T) {
	down := true
	objects := &memoryObjects{data: map[string][]byte{}, beforeCall: func() error {
		if down {
			return errkind.New(errkind.PlatformUnavailable, "outage")
		}
		return nil
	}}
	memory, a, now := newArchiver(t, 20, objects)
	assert.Assert(t, errkind.Is(a.ArchiveDue(t.Context()), errkind.PlatformUnavailable))
	assert.Equal(t, countRows(t, memory, ledger.Prefix), 40)
	down = false
	assert.NilError(t, a.ArchiveDue(t.Context()))
	assert.Equal(t, countRows(t, memory, "ledger/gone/"), 0)
	assert.Equal(t, countRows(t, memory, "ledger/live/"), 10)
	*now = now.Add(23 * time.Hour)
	assert.NilError(t, a.ArchiveDue(t.Context()))
	assert.Equal(t, countRows(t, memory, "ledger/live/"), 1, "the segment of the unconfirmed flush must stay")
	assert.Equal(t, countRows(t, memory, "holder/"), 2)
	*now = now.Add(2 * time.Hour)
	assert.NilError(t, a.ArchiveDue(t.Context()))
	assert.Equal(t, countRows(t, memory, "holder/"), 1)
	assert.Equal(t, countRows(t, memory, ledger.ArchivePrefix), 3)
}

// Guards against reading objects that cannot contain a selected record, and
// against a ledger that looks shorter because an object is damaged or the object
// store is down.
func TestReaderSkipsObjectsAndReportsDamage(t *testing.T) {
	reads := 0
	objects := &memoryObjects{data: map[string][]byte{}}
	memory, a, now := newArchiver(t, 20, objects)
	a.opt.OwnHolder = func() (string, int64) { return "live", math.MaxInt64 }
	*now = now.Add(time.Hour)
	assert.NilError(t, a.ArchiveDue(t.Context()))
	objects.beforeCall = func() error { reads++; return nil }
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
	objects.beforeCall = func() error { return errkind.New(errkind.PlatformUnavailable, "outage") }
	_, err = count(ledger.Query{})
	assert.Assert(t, errkind.Is(err, errkind.PlatformUnavailable), "%v", err)
}
