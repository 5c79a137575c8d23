package cli

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// writeResult writes a result to the file, or to the standard output if no file
// is named.
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
