// Package cli defines the command line.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"tarragonridge.example/tarragonridge/internal/settings"
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
	Router  routerCmd  `cmd:"" help:"Run a router."`
	Sidecar sidecarCmd `cmd:"" help:"Run the sidecar of a target."`
	Gateway gatewayCmd `cmd:"" help:"Run a router for HTTP routes on the users' platform."`
	Relay   relayCmd   `cmd:"" help:"Run a relay to the platform's store beside a target."`
	Explain explainCmd `cmd:"" help:"Tell from log lines what became of a request."`
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
	exited := -1 // code with which kong wanted to exit after printing help
	parser, err := kong.New(&root,
		kong.Name("tarragonridge"),
		kong.Description("Router fleet for prepaid token budgets."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }),
	)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	kctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(errOut, "tarragonridge: %v\n", err)
		return ExitUsage
	}
	return exitCode(kctx.Run(&Streams{Out: out, Err: errOut}), errOut)
}

// exitCode prints err and maps it to an exit code.
func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *UsageError
	if errors.As(err, &usage) && usage.Err == nil {
		return ExitUsage
	}
	fmt.Fprintf(errOut, "tarragonridge: %v\n", err)
	var faults *settings.ValidationError
	if usage != nil || errors.As(err, &faults) {
		return ExitUsage
	}
	return ExitError
}
