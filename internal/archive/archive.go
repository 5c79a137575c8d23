// Package archive moves old segments of the ledger from rows of the table into
// objects, and reads the records of both.
package archive

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
)

const (
	// DefaultAge is the age from which the segments of a live holder are
	// archived. It is also the interval between rounds, so that an object holds
	// the segments of about this time.
	DefaultAge = 10 * time.Minute

	// callTimeout bounds a transaction, whose relay through a peer may follow a
	// direct attempt that has timed out.
	callTimeout = 5 * time.Second
	// maxSegments and maxObjectLines bound the memory of a round and the size
	// of a transaction, which has a condition and a delete for each segment.
	maxSegments    = 500
	maxObjectLines = 4 << 20 // bytes
	// maxObjects bounds the work of a round. A backlog of a long outage takes
	// several rounds.
	maxObjects = 64
)

// Options configures an Archiver. Table, Objects and Own are required.
type Options struct {
	Table   platform.Table
	Objects Objects
	// OwnHolder returns this router's holder and the number of its last segment that
	// is known to be stored. A later segment may belong to a flush whose answer
	// was lost and which looks for its row.
	OwnHolder func() (holder string, lastSeq int64)
	Age       time.Duration    // default DefaultAge
	Clock     func() time.Time // default time.Now
	Logger    *slog.Logger     // default slog.Default()
}

// Archiver archives the segments of its own holder and of closed holders.
// Several archivers may work at once.
type Archiver struct {
	opt    Options
	most   int             // segments of an object
	done   map[string]bool // closed holders without a segment row
	budget int             // objects that the current round may still write
}

// New returns an Archiver. It does nothing until Run or Round.
func New(opt Options) *Archiver {
	if opt.Age <= 0 {
		opt.Age = DefaultAge
	}
	if opt.Clock == nil {
		opt.Clock = time.Now
	}
	if opt.Logger == nil {
		opt.Logger = slog.Default()
	}
	return &Archiver{opt: opt, most: maxSegments, done: map[string]bool{}}
}

// Run archives until the context ends.
func (a *Archiver) Run(ctx context.Context) {
	for {
		// Routers that started together spread their rounds.
		wait := time.Duration(float64(a.opt.Age) * (0.75 + rand.Float64()/2))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if err := a.ArchiveDue(ctx); err != nil && ctx.Err() == nil {
			a.opt.Logger.Warn("ledger not archived", "err", err)
		}
	}
}

// ArchiveDue archives what is due once and returns the first error. A damaged row of
// one holder does not keep the others from being archived. If the platform
// cannot be reached, the round ends, so that it does not wait for a timeout per
// holder.
func (a *Archiver) ArchiveDue(ctx context.Context) error {
	a.budget = maxObjects
	holder, last := a.opt.OwnHolder()
	rule := a.rule(holder, last, a.opt.Clock().Add(-a.opt.Age).UnixMicro())
	first := a.holder(ctx, rule)
	if unreachable(first) {
		return first
	}
	closed, err := a.closedHolders(ctx)
	if err != nil {
		return err
	}
	for _, row := range closed {
		err := a.closed(ctx, row)
		if unreachable(err) {
			return err
		}
		if first == nil {
			first = err
		}
	}
	return first
}

func (a *Archiver) rule(holder string, last, endedBefore int64) ledger.ArchiveCriteria {
	return ledger.ArchiveCriteria{
		Holder: holder, LastSeq: last, EndedBefore: endedBefore,
		MaxSegments: a.most, MaxBytes: maxObjectLines,
	}
}

// closedRow is the row of a closed holder.
type closedRow struct {
	member.HolderRow
	version int64
}

func (a *Archiver) closedHolders(ctx context.Context) ([]closedRow, error) {
	var out []closedRow
	for row, err := range scan(ctx, a.opt.Table, member.HolderPrefix) {
		if err != nil {
			return nil, err
		}
		c := closedRow{version: row.Version}
		if err := json.Unmarshal(row.Value, &c.HolderRow); err != nil {
			return nil, unreadable(err, row.Key)
		}
		if c.State == member.HolderClosed {
			out = append(out, c)
		}
	}
	// Two routers seldom work on the same holder if their order differs.
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out, nil
}

// closed archives all segments of a closed holder, which gets no new ones, and
// then deletes its row once it is old enough.
func (a *Archiver) closed(ctx context.Context, row closedRow) error {
	if !a.done[row.Incarnation] {
		if err := a.holder(ctx, a.rule(row.Incarnation, math.MaxInt64, math.MaxInt64)); err != nil {
			return err
		}
		left, err := a.opt.Table.Scan(ctx, ledger.HolderSegmentPrefix(row.Incarnation), "", 1)
		if err != nil {
			return err
		}
		if len(left) > 0 {
			return nil // the next round goes on
		}
		a.done[row.Incarnation] = true
	}
	if !row.Deletable(a.opt.Clock()) {
		return nil
	}
	key := member.HolderKey(row.Incarnation)
	res, err := a.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: row.version}},
		Deletes:    []string{key},
	})
	if err == nil && res.Committed {
		delete(a.done, row.Incarnation)
		a.opt.Logger.Info("holder row deleted", "holder", row.Incarnation)
	}
	return err
}

// holder archives the leading segments of a holder that the rule admits.
func (a *Archiver) holder(ctx context.Context, rule ledger.ArchiveCriteria) error {
	for a.budget > 0 {
		b, err := a.collect(ctx, rule)
		if err != nil {
			return err
		}
		if b.pack.Row().Segments == 0 {
			return nil
		}
		a.budget--
		if committed, err := a.store(ctx, b); err != nil || !committed {
			return err
		}
	}
	return nil
}

// batch is the content of one object and the rows that it replaces.
type batch struct {
	pack *ledger.ArchiveBuilder
	enc  *encoder
	txn  platform.Txn
}

func (a *Archiver) collect(ctx context.Context, rule ledger.ArchiveCriteria) (*batch, error) {
	b := &batch{pack: ledger.NewArchiveBuilder(rule), enc: newEncoder()}
	for row, err := range scan(ctx, a.opt.Table, ledger.HolderSegmentPrefix(rule.Holder)) {
		if err != nil {
			return nil, err
		}
		taken, err := b.take(row)
		if err != nil {
			return nil, err
		}
		if !taken {
			break
		}
	}
	return b, nil
}

func (b *batch) take(row platform.Row) (bool, error) {
	text, err := line(row)
	if err != nil {
		return false, err
	}
	s, err := segmentOf(text, row.Key)
	if err != nil {
		return false, err
	}
	if s.Key() != row.Key {
		return false, errkind.New(errkind.Internal, "row %s holds segment %s", row.Key, s.Key())
	}
	if !b.pack.TryAdd(s, len(text)) {
		return false, nil
	}
	b.txn.Conditions = append(b.txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
	b.txn.Deletes = append(b.txn.Deletes, row.Key)
	return true, b.enc.add(text)
}

// store writes the object, reads it back and then replaces the rows by the
// index row in one transaction. If it ends early, the rows stay and a later
// round begins again. A lost answer of the transaction needs no read-back,
// because the next round sees which rows are left.
func (a *Archiver) store(ctx context.Context, b *batch) (bool, error) {
	data, digest, err := b.enc.finish()
	if err != nil {
		return false, err
	}
	index := b.pack.Row()
	index.Digest = digest
	index.Object = index.ObjectName(digest)
	if err := a.opt.Objects.PutObject(ctx, index.Object, data); err != nil {
		return false, err
	}
	if _, err := fetch(ctx, a.opt.Objects, index); err != nil {
		return false, err
	}
	value, err := json.Marshal(index)
	if err != nil {
		return false, err
	}
	b.txn.Conditions = append(b.txn.Conditions, platform.Condition{Key: index.Key()})
	b.txn.Puts = []platform.Put{{Key: index.Key(), Value: value}}
	res, err := a.commit(ctx, b.txn)
	if err == nil && res.Committed {
		a.opt.Logger.Info("segments archived", "holder", index.Holder, "first", index.First, "last", index.Last, "records", index.Records)
	}
	return res.Committed, err
}

func (a *Archiver) commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.opt.Table.Commit(ctx, txn)
}

// unreachable reports whether an error says nothing about the content.
func unreachable(err error) bool {
	return errkind.Is(err, errkind.PlatformUnavailable) || errkind.Is(err, errkind.PlatformUncertain)
}
