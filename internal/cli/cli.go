// Package cli defines the command line.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	ExitOK    = 0
	ExitError = 1 // the command failed
	ExitUsage = 2 // wrong arguments or a faulty settings file
)

// Streams are the outputs of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// commands is the root of the command line.
type commands struct {
	Load    loadCmd    `cmd:"" help:"Generate load and compare results."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// Version is the release of this binary.
const Version = "0.1.0"

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(s *Streams) error {
	_, err := fmt.Fprintln(s.Out, "tarragonridge "+Version)
	return err
}

// Main parses args, runs the command and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var root commands
	parser, err := kong.New(&root,
		kong.Name("tarragonridge"),
		kong.Description("Router fleet for prepaid token budgets."),
		kong.Writers(out, errOut),
		kong.Exit(func(int) {}),
	)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	kctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "tarragonridge: %v\n", err)
		return ExitUsage
	}
	if err := kctx.Run(&Streams{Out: out, Err: errOut}); err != nil {
		fmt.Fprintf(errOut, "tarragonridge: %v\n", err)
		return ExitError
	}
	return ExitOK
}
