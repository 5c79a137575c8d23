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
)

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object or replaces it.
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns an object, or errkind.NotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

var _ Objects = (*platform.Client)(nil)

// maxObjectBytes bounds what is read from one object. It exceeds the size of
// every object that is written, because a row has at most 16 MiB.
const maxObjectBytes = 32 << 20

// encoder writes one line of JSON per segment. Its compressor is made with the
// first line, because it takes much memory and most rounds find nothing to do.
type encoder struct {
	buf    bytes.Buffer
	zip    *gzip.Writer
	digest hash.Hash
}

func newEncoder() *encoder {
	return &encoder{digest: sha256.New()}
}

func (e *encoder) add(line []byte) error {
	if e.zip == nil {
		e.zip = gzip.NewWriter(&e.buf)
	}
	out := io.MultiWriter(e.zip, e.digest)
	if _, err := out.Write(line); err != nil {
		return err
	}
	_, err := out.Write([]byte{'\n'})
	return err
}

// finish returns the object of at least one line and the digest of its lines.
func (e *encoder) finish() (data []byte, digest string, err error) {
	if err := e.zip.Close(); err != nil {
		return nil, "", err
	}
	return e.buf.Bytes(), digestText(e.digest), nil
}

func digestText(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)) }

// line returns the value of a segment's row as one line.
func line(row platform.Row) ([]byte, error) {
	var out bytes.Buffer
	if err := json.Compact(&out, row.Value); err != nil {
		return nil, unreadable(err, row.Key)
	}
	return out.Bytes(), nil
}

func segmentOf(value []byte, name string) (ledger.Segment, error) {
	var s ledger.Segment
	if err := json.Unmarshal(value, &s); err != nil {
		return s, unreadable(err, name)
	}
	return s, nil
}

func unreadable(err error, name string) error {
	return errkind.Wrap(err, errkind.Internal, "%s is not readable", name)
}

// object is the verified content of an archived object.
type object struct {
	name  string
	lines []byte
}

// fetch reads the object of an index row and verifies its digest.
func fetch(ctx context.Context, objects Objects, index ledger.ArchiveRow) (object, error) {
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
	lines, err := unzip(data)
	if err != nil {
		return object{}, unreadable(err, "object "+index.Object)
	}
	sum := sha256.New()
	sum.Write(lines)
	if got := digestText(sum); got != index.Digest {
		return object{}, errkind.New(errkind.Internal, "object %s has digest %s, its index row says %s", index.Object, got, index.Digest)
	}
	return object{name: index.Object, lines: lines}, nil
}

func unzip(data []byte) ([]byte, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	lines, err := io.ReadAll(io.LimitReader(zip, maxObjectBytes+1))
	if err == nil && len(lines) > maxObjectBytes {
		err = errkind.New(errkind.Internal, "more than %d bytes", maxObjectBytes)
	}
	return lines, err
}

// segments decodes one line at a time.
func (o object) segments() iter.Seq2[ledger.Segment, error] {
	return func(yield func(ledger.Segment, error) bool) {
		for text := range bytes.Lines(o.lines) {
			s, err := segmentOf(text, "object "+o.name)
			if !yield(s, err) || err != nil {
				return
			}
		}
	}
}
