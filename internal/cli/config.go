package cli

import (
	"fmt"

	"tarragonridge.example/tarragonridge/internal/settings"
)

// UsageError is an error in the arguments or in a settings file. Main exits with
// ExitUsage for it. A nil Err means that the command has already reported the
// error.
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

// Run prints the problems of all files, one per line, and ok for each valid file.
func (c configCheckCmd) Run(s *Streams) error {
	invalid := false
	for _, file := range c.Files {
		problems := settings.Check(file)
		for _, p := range problems {
			fmt.Fprintln(s.Out, p)
		}
		if len(problems) == 0 {
			fmt.Fprintf(s.Out, "%s: ok\n", file)
		}
		invalid = invalid || len(problems) > 0
	}
	if invalid {
		return &UsageError{}
	}
	return nil
}
