package archive

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"iter"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/readlimit"
)

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object or replaces it.
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns an object, or errkind.NotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

var _ Objects = (*platform.Client)(nil)

// maxReadBytes bounds the uncompressed bytes that are read from one object. No
// object that is written exceeds it, because a row has at most 16 MiB.
const maxReadBytes = 32 << 20

// encoder compresses the segments of an object, one line of JSON per segment.
// The compressor is created with the first line, because it takes much memory
// and most rounds find nothing to archive.
type encoder struct {
	buf        bytes.Buffer
	compressor *gzip.Writer
	digest     hash.Hash
}

func newEncoder() *encoder {
	return &encoder{digest: sha256.New()}
}

// add writes a line, which is given without its line break.
func (e *encoder) add(line []byte) error {
	if e.compressor == nil {
		e.compressor = gzip.NewWriter(&e.buf)
	}
	out := io.MultiWriter(e.compressor, e.digest)
	if _, err := out.Write(line); err != nil {
		return err
	}
	_, err := out.Write([]byte{'\n'})
	return err
}

// finish returns the compressed object and the digest of its lines. At least
// one line must have been added.
func (e *encoder) finish() (data []byte, digest string, err error) {
	if err := e.compressor.Close(); err != nil {
		return nil, "", err
	}
	return e.buf.Bytes(), hexDigest(e.digest), nil
}

func hexDigest(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)) }

// compactLine returns the value of a segment row as one line of JSON.
func compactLine(row platform.Row) ([]byte, error) {
	var out bytes.Buffer
	if err := json.Compact(&out, row.Value); err != nil {
		return nil, unreadableError(err, row.Key)
	}
	return out.Bytes(), nil
}

// decodeSegment decodes a segment. name is the row or object that errors name.
func decodeSegment(value []byte, name string) (ledger.Segment, error) {
	var s ledger.Segment
	if err := json.Unmarshal(value, &s); err != nil {
		return s, unreadableError(err, name)
	}
	return s, nil
}

func unreadableError(err error, name string) error {
	return errkind.Wrap(err, errkind.Internal, "%s is not readable", name)
}

// object is an archived object whose digest has been verified.
type object struct {
	name  string
	lines []byte
}

// fetchObject reads the object that an index row names and verifies its digest.
func fetchObject(ctx context.Context, objects Objects, index ledger.ArchiveRow) (object, error) {
	if objects == nil {
		return object{}, errkind.New(errkind.Internal, "object %s is needed and there is no object store", index.Object)
	}
	data, err := objects.GetObject(ctx, index.Object)
	if errkind.Is(err, errkind.NotFound) {
		return object{}, errkind.New(errkind.Internal, "object %s is missing", index.Object)
	}
	if err != nil {
		return object{}, err
	}
	lines, err := decompress(data)
	if err != nil {
		return object{}, unreadableError(err, "object "+index.Object)
	}
	digest := sha256.New()
	digest.Write(lines)
	if actual := hexDigest(digest); actual != index.Digest {
		return object{}, errkind.New(errkind.Internal, "object %s has digest %s, its index row says %s", index.Object, actual, index.Digest)
	}
	return object{name: index.Object, lines: lines}, nil
}

// decompress returns the lines of an object, which may have at most
// maxReadBytes.
func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return readlimit.All(reader, maxReadBytes)
}

// segments yields the segments of the object, decoding one line at a time. It
// ends after the first error.
func (o object) segments() iter.Seq2[ledger.Segment, error] {
	return func(yield func(ledger.Segment, error) bool) {
		for line := range bytes.Lines(o.lines) {
			segment, err := decodeSegment(line, "object "+o.name)
			if !yield(segment, err) || err != nil {
				return
			}
		}
	}
}
