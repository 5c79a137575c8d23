// Package archive moves old segments of the ledger from rows of the table into
// objects of the object store, and reads the records in rows and objects. Each
// object has an index row in the table, which names it and sums up its content.
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
	// DefaultAge is the age at which the segments of a live holder are
	// archived. It is also the mean interval between rounds, so an object
	// contains the segments of about this period.
	DefaultAge = 10 * time.Minute

	// callTimeout bounds a transaction. It leaves time to relay the transaction
	// through a peer after a direct attempt has timed out.
	callTimeout = 5 * time.Second
	// maxSegmentsPerObject and maxBytesPerObject bound the memory that a round
	// uses. maxSegmentsPerObject also bounds the size of a transaction, which
	// has a condition and a delete for each segment.
	maxSegmentsPerObject = 500
	maxBytesPerObject    = 4 << 20 // before compression
	// maxObjectsPerRound bounds the work of a round. The backlog of a long
	// outage takes several rounds.
	maxObjectsPerRound = 64
)

// Options configures an Archiver. Table, Objects and OwnHolder are required.
type Options struct {
	Table   platform.Table
	Objects Objects
	// OwnHolder returns this router's holder and the sequence number of its
	// last segment that is known to be stored. A later segment may belong to a
	// flush whose answer was lost and that still has to read back the segment's
	// row.
	OwnHolder func() (holder string, lastSeq int64)
	Age       time.Duration    // default: DefaultAge
	Clock     func() time.Time // default: time.Now
	Logger    *slog.Logger     // default: slog.Default()
}

// Archiver archives the segments of its router's holder and of closed holders.
// Several archivers may work on one table at once.
type Archiver struct {
	opt           Options
	segmentLimit  int             // largest number of segments in an object
	fullyArchived map[string]bool // closed holders that have no segment rows left
	objectsLeft   int             // objects that the current round may still write
}

// New returns an Archiver, which does nothing until Run or ArchiveDue is
// called.
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
	return &Archiver{opt: opt, segmentLimit: maxSegmentsPerObject, fullyArchived: map[string]bool{}}
}

// Run archives old segments periodically until the context ends.
func (a *Archiver) Run(ctx context.Context) {
	for {
		// A random wait spreads the rounds of routers that started together.
		wait := time.Duration(float64(a.opt.Age) * (0.75 + rand.Float64()/2))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if err := a.ArchiveDue(ctx); err != nil && ctx.Err() == nil {
			a.opt.Logger.Warn("archiving ledger failed", "err", err)
		}
	}
}

// ArchiveDue runs one round: it archives the segments that are due and returns
// the first error. A damaged row of one holder does not prevent the others from
// being archived. If the platform cannot be reached, the round ends, because it
// would otherwise wait for a timeout per holder.
func (a *Archiver) ArchiveDue(ctx context.Context) error {
	a.objectsLeft = maxObjectsPerRound
	holder, lastSeq := a.opt.OwnHolder()
	criteria := a.criteria(holder, lastSeq, a.opt.Clock().Add(-a.opt.Age).UnixMicro())
	firstErr := a.archiveHolder(ctx, criteria)
	if isUnreachable(firstErr) {
		return firstErr
	}
	closed, err := a.closedHolders(ctx)
	if err != nil {
		return err
	}
	for _, row := range closed {
		err := a.archiveClosed(ctx, row)
		if isUnreachable(err) {
			return err
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// criteria returns the criteria that select the segments of a holder for an
// object. endedBefore is a unix time in microseconds.
func (a *Archiver) criteria(holder string, lastSeq, endedBefore int64) ledger.ArchiveCriteria {
	return ledger.ArchiveCriteria{
		Holder: holder, LastSeq: lastSeq, EndedBefore: endedBefore,
		MaxSegments: a.segmentLimit, MaxBytes: maxBytesPerObject,
	}
}

// closedHolder is the row of a closed holder together with its version.
type closedHolder struct {
	member.HolderRow
	version platform.Version
}

// closedHolders returns the rows of all closed holders in random order.
func (a *Archiver) closedHolders(ctx context.Context) ([]closedHolder, error) {
	var holders []closedHolder
	for row, err := range scanRows(ctx, a.opt.Table, member.HolderPrefix) {
		if err != nil {
			return nil, err
		}
		holder := closedHolder{version: row.Version}
		if err := json.Unmarshal(row.Value, &holder.HolderRow); err != nil {
			return nil, unreadableError(err, row.Key)
		}
		if holder.State == member.HolderClosed {
			holders = append(holders, holder)
		}
	}
	// If their orders differ, two routers rarely work on the same holder.
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return holders, nil
}

// archiveClosed archives all segments of a closed holder, which gets no new
// ones. Afterwards it deletes the holder row once the row is old enough.
func (a *Archiver) archiveClosed(ctx context.Context, row closedHolder) error {
	if !a.fullyArchived[row.Incarnation] {
		if err := a.archiveHolder(ctx, a.criteria(row.Incarnation, math.MaxInt64, math.MaxInt64)); err != nil {
			return err
		}
		remaining, err := a.opt.Table.Scan(ctx, ledger.HolderSegmentPrefix(row.Incarnation), "", 1)
		if err != nil {
			return err
		}
		if len(remaining) > 0 {
			return nil // the next round continues
		}
		a.fullyArchived[row.Incarnation] = true
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
		delete(a.fullyArchived, row.Incarnation)
		a.opt.Logger.Info("holder row deleted", "holder", row.Incarnation)
	}
	return err
}

// archiveHolder archives the leading segments of a holder that meet the criteria,
// in as many objects as needed. It stops early if the round may write no more
// objects, or if a row changed meanwhile so that a transaction was not applied.
func (a *Archiver) archiveHolder(ctx context.Context, criteria ledger.ArchiveCriteria) error {
	for a.objectsLeft > 0 {
		b, err := a.collectBatch(ctx, criteria)
		if err != nil {
			return err
		}
		if b.builder.Row().Segments == 0 {
			return nil
		}
		a.objectsLeft--
		if committed, err := a.storeBatch(ctx, b); err != nil || !committed {
			return err
		}
	}
	return nil
}

// batch is the content of one object and the rows that it replaces.
type batch struct {
	builder *ledger.ArchiveBuilder
	encoder *encoder
	txn     platform.Txn
}

// collectBatch collects the next segments of a holder for one object.
func (a *Archiver) collectBatch(ctx context.Context, criteria ledger.ArchiveCriteria) (*batch, error) {
	b := &batch{builder: ledger.NewArchiveBuilder(criteria), encoder: newEncoder()}
	for row, err := range scanRows(ctx, a.opt.Table, ledger.HolderSegmentPrefix(criteria.Holder)) {
		if err != nil {
			return nil, err
		}
		added, err := b.add(row)
		if err != nil {
			return nil, err
		}
		if !added {
			break
		}
	}
	return b, nil
}

// add adds the segment of a row to the batch. It returns false if the segment
// does not belong in this object.
func (b *batch) add(row platform.Row) (bool, error) {
	line, err := compactLine(row)
	if err != nil {
		return false, err
	}
	segment, err := decodeSegment(line, row.Key)
	if err != nil {
		return false, err
	}
	if segment.Key() != row.Key {
		return false, errkind.New(errkind.Internal, "row %s holds segment %s", row.Key, segment.Key())
	}
	if !b.builder.TryAdd(segment, len(line)) {
		return false, nil
	}
	b.txn.Conditions = append(b.txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
	b.txn.Deletes = append(b.txn.Deletes, row.Key)
	return true, b.encoder.add(line)
}

// storeBatch writes the object, reads it back, and then replaces the segment
// rows by the index row in one transaction. It reports whether the transaction
// was applied. If a step before the transaction fails, the segment rows stay and a
// later round starts again.
// A lost answer to the transaction needs no read-back, because the next round
// reads which rows are left.
func (a *Archiver) storeBatch(ctx context.Context, b *batch) (bool, error) {
	data, digest, err := b.encoder.finish()
	if err != nil {
		return false, err
	}
	index := b.builder.Row()
	index.Digest = digest
	index.Object = index.ObjectName(digest)
	if err := a.opt.Objects.PutObject(ctx, index.Object, data); err != nil {
		return false, err
	}
	if _, err := fetchObject(ctx, a.opt.Objects, index); err != nil {
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

// commit applies a transaction with the call timeout.
func (a *Archiver) commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.opt.Table.Commit(ctx, txn)
}

// isUnreachable reports whether an error means that the platform could not be
// reached. Such an error says nothing about the content of a row or an object.
func isUnreachable(err error) bool {
	return errkind.Is(err, errkind.PlatformUnavailable) || errkind.Is(err, errkind.PlatformUncertain)
}
