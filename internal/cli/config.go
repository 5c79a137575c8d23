package cli

import (
	"fmt"

	"tarragonridge.example/tarragonridge/internal/settings"
)

// UsageError is a fault of the arguments or of a settings file. Main exits
// with ExitUsage for it. A nil Err means that the command has reported the
// fault already.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string {
	if e.Err == nil {
		return "usage error"
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check settings files and print every fault."`
}

type configCheckCmd struct {
	Files []string `arg:"" name:"file" help:"Settings files of routers or sidecars."`
}

// Run prints the faults of all files, one per line, and ok for a good file.
func (c configCheckCmd) Run(s *Streams) error {
	faulty := false
	for _, file := range c.Files {
		faults := settings.Check(file)
		for _, f := range faults {
			fmt.Fprintln(s.Out, f)
		}
		if len(faults) == 0 {
			fmt.Fprintf(s.Out, "%s: ok\n", file)
		}
		faulty = faulty || len(faults) > 0
	}
	if faulty {
		return &UsageError{}
	}
	return nil
}
