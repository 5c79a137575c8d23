// Package readlimit reads data of bounded size.
package readlimit

import (
	"io"

	"github.com/rotisserie/eris"
)

// All reads all of r, and fails if that is more than limit bytes.
func All(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = eris.Errorf("longer than %d bytes", limit)
	}
	return data, err
}

// HeaderBytes bounds the headers of a response or request of another process of the
// system, of the platform, or of a target.
const HeaderBytes = 64 << 10
