// Package cli implements the commands of the tarragonridge binary.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"tarragonridge.example/tarragonridge/internal/settings"
)

// Exit codes of Main.
const (
	ExitOK    = 0
	ExitError = 1 // the command failed
	ExitUsage = 2 // invalid arguments or an invalid settings file
)

// Streams holds the output streams of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// commands is the root command. Kong derives the names of commands and flags
// from the field names.
type commands struct {
	Router  routerCmd  `cmd:"" help:"Run a router."`
	Sidecar sidecarCmd `cmd:"" help:"Run the sidecar of a target."`
	Gateway gatewayCmd `cmd:"" help:"Run a router for HTTP routes on the users' platform."`
	Relay   relayCmd   `cmd:"" help:"Run a relay to the platform's store beside a target."`
	Explain explainCmd `cmd:"" help:"Tell from log lines what became of a request."`
	Losses  lossesCmd  `cmd:"" help:"Count from log lines the requests that were not served in time, by cause."`
	Where   whereCmd   `cmd:"" help:"Tell where a gateway would send a request now, and why, without sending it."`
	Dev     devCmd     `cmd:"" help:"Run everything in one process on loopback, with stand-ins."`
	Standin standinCmd `cmd:"" help:"Run a stand-in of an outside system."`
	Load    loadCmd    `cmd:"" help:"Generate load and compare results."`
	Version versionCmd `cmd:"" help:"Print the version."`
	Config  configCmd  `cmd:"" help:"Work with settings files."`
	Admin   adminCmd   `cmd:"" help:"Operate a running fleet through a router."`
	Books   booksCmd   `cmd:"" help:"Audit the ledger against the stand-ins' own counts."`
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
	kongExitCode := -1 // exit code requested by kong, as after printing help; -1 if none
	parser, err := kong.New(&root,
		kong.Name("tarragonridge"),
		kong.Description("Router fleet for prepaid token budgets."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { kongExitCode = code }),
	)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	kongContext, err := parser.Parse(args)
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		fmt.Fprintf(errOut, "tarragonridge: %v\n", err)
		return ExitUsage
	}
	return exitCode(kongContext.Run(&Streams{Out: out, Err: errOut}), errOut)
}

// exitCode returns the exit code for err. It prints err, unless the command has
// already reported it.
func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usageErr *UsageError
	if errors.As(err, &usageErr) && usageErr.Err == nil {
		return ExitUsage
	}
	fmt.Fprintf(errOut, "tarragonridge: %v\n", err)
	var validationErr *settings.ValidationError
	if usageErr != nil || errors.As(err, &validationErr) {
		return ExitUsage
	}
	return ExitError
}
