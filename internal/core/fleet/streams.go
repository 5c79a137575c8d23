package fleet

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/rowkey"
)

// StreamPrefix is the key prefix of the rows in which routers record the versions that
// began their streams.
const StreamPrefix = "streams/"

// slotDuration is the time whose streams share a row.
const slotDuration = 2 * time.Second

// Bounds of the names in the keys of the rows.
const (
	maxHostBytes        = 100
	maxIncarnationBytes = 60
)

// idBytes is the size of the hash that stands for a request id in a row.
const idBytes = 8

// Streams are the streams that a router has begun or continued, with the versions that
// began them. It records them in rows while targets of several versions serve. It is not
// safe for concurrent use.
type Streams struct {
	host, incarnation string // of the router process

	slot      int64
	slotBegan time.Time
	recorded  map[ServiceVersion][]byte // hashes of the ids in the current slot
	pending   bool                      // recorded has changed since the last call of Flush
	rotatedAt time.Time
	recent    map[uint64]*stream // by the hash of the id of the request that began it
	older     map[uint64]*stream
}

// maxStreams bounds recent, and older, whatever the retention is.
const maxStreams = 1 << 16

type stream struct {
	begunAt  ServiceVersion
	ended    bool
	recorded bool
}

// StreamKey returns the key of a row in which a router process records its streams.
func StreamKey(host, incarnation string, slot int64) string {
	return StreamPrefix + rowkey.Name(host, maxHostBytes) + "/" + rowkey.Name(incarnation, maxIncarnationBytes) + "/" + strconv.FormatInt(slot, 10)
}

// NewStreams returns the streams of a router process, none so far.
func NewStreams(host, incarnation string) *Streams {
	return &Streams{
		host: host, incarnation: incarnation,
		recorded: map[ServiceVersion][]byte{}, recent: map[uint64]*stream{}, older: map[uint64]*stream{},
	}
}

// Begin remembers the version that began a stream, identified by the request that did,
// for at least retention. If record is set, the next Flush records it.
func (s *Streams) Begin(now time.Time, id string, at ServiceVersion, record bool, retention time.Duration) {
	if now.Sub(s.rotatedAt) > retention || len(s.recent) >= maxStreams {
		s.recent, s.older, s.rotatedAt = map[uint64]*stream{}, s.recent, now
	}
	began, hash := &stream{begunAt: at}, xxhash.Sum64String(id)
	s.recent[hash] = began
	if record {
		s.record(hash, began)
	}
}

// End notes that a stream has been sent whole, so that it need not be recorded.
func (s *Streams) End(id string) {
	if began := s.find(id); began != nil {
		began.ended = true
	}
}

// RecordAll records the streams of a service that have not ended.
func (s *Streams) RecordAll(service string) {
	for _, streams := range []map[uint64]*stream{s.recent, s.older} {
		for hash, began := range streams {
			if began.begunAt.Service == service && !began.ended && !began.recorded {
				s.record(hash, began)
			}
		}
	}
}

func (s *Streams) record(hash uint64, began *stream) {
	began.recorded = true
	s.recorded[began.begunAt] = binary.BigEndian.AppendUint64(s.recorded[began.begunAt], hash)
	s.pending = true
}

// Origin returns what began a stream of this router.
func (s *Streams) Origin(id string) (at ServiceVersion, ok bool) {
	if began := s.find(id); began != nil {
		return began.begunAt, true
	}
	return ServiceVersion{}, false
}

func (s *Streams) find(id string) *stream {
	hash := xxhash.Sum64String(id)
	if began := s.recent[hash]; began != nil {
		return began
	}
	return s.older[hash]
}

// Pending reports whether Flush has a row to write.
func (s *Streams) Pending() bool { return s.pending }

// Flush returns the row to write, if there is one.
func (s *Streams) Flush(now time.Time) (row Row, ok bool, err error) {
	if !s.pending {
		return Row{}, false, nil
	}
	if s.slotBegan.IsZero() {
		s.slotBegan = now
	}
	value, err := json.Marshal(s.recorded)
	if err != nil {
		return Row{}, false, err
	}
	row = Row{Key: StreamKey(s.host, s.incarnation, s.slot), Value: value}
	s.pending = false
	if now.Sub(s.slotBegan) >= slotDuration {
		s.slot++
		s.slotBegan, s.recorded = time.Time{}, map[ServiceVersion][]byte{}
	}
	return row, true, nil
}

// Recorded are the recorded versions of the streams of all routers.
type Recorded struct {
	origins map[uint64]ServiceVersion // by the hash of the id
}

// DecodeStreams decodes the rows with StreamPrefix. It fails for rows that cannot be
// decoded, after it has decoded the others.
func DecodeStreams(rows []Row) (Recorded, error) {
	all := Recorded{origins: map[uint64]ServiceVersion{}}
	var failed error
	for _, row := range rows {
		var recorded map[ServiceVersion][]byte
		if err := json.Unmarshal(row.Value, &recorded); err != nil {
			failed = errkind.Wrap(err, errkind.Internal, "row %s", row.Key)
			continue
		}
		for at, ids := range recorded {
			for ; len(ids) >= idBytes; ids = ids[idBytes:] {
				all.origins[binary.BigEndian.Uint64(ids)] = at
			}
		}
	}
	return all, failed
}

// Origin returns what began a stream.
func (r Recorded) Origin(id string) (at ServiceVersion, ok bool) {
	at, ok = r.origins[xxhash.Sum64String(id)]
	return at, ok
}
