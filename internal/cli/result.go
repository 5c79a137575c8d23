package cli

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// writeResult writes a result to the file at path, or to the standard output if
// path is empty.
func writeResult(s *Streams, path string, write func(io.Writer) error) error {
	if path == "" {
		return write(s.Out)
	}
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "result")
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "result")
}
