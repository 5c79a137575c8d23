package cli

import (
	"fmt"
	"io"

	"tarragonridge.example/tarragonridge/internal/dev"
)

// devCmd runs a fleet with its stand-ins in one process until SIGINT or SIGTERM.
type devCmd struct {
	Listen   string `default:"127.0.0.1:8080" help:"Address for callers and operators; loopback only, port 0 picks a free one."`
	LogLevel string `default:"warn" enum:"debug,info,warn,error" help:"Least level of log lines."`
}

// Run starts the fleet, prints example commands, and stops the fleet gracefully
// at a signal. A second signal ends the process at once.
func (c *devCmd) Run(s *Streams) error {
	opts := dev.Options{Listen: c.Listen, OpenFiles: openFiles(0), Logger: newLogger(s.Err, c.LogLevel)}
	if err := opts.Validate(); err != nil {
		return &UsageError{Err: err}
	}
	ctx, stop := signalContext()
	defer stop()
	fleet, err := dev.Start(ctx, opts)
	if err != nil {
		if ctx.Err() != nil {
			return nil // a signal arrived before the fleet was ready
		}
		return err
	}
	printExamples(s.Out, fleet.URL())
	select {
	case err = <-fleet.Failed():
	case <-ctx.Done():
	}
	stop()
	fmt.Fprintln(s.Out, "stopping")
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func printExamples(w io.Writer, url string) {
	fmt.Fprintf(w, `listening url=%[1]s team=%[2]s model=%[3]s

Chat completion, streamed:
  curl -sN %[1]s/v1/chat/completions -H 'Authorization: Bearer %[4]s' -H 'Content-Type: application/json' -d '{"model":"%[3]s","stream":true,"max_tokens":32,"messages":[{"role":"user","content":"Summarise the dossier."}]}'

Service call that runs once, however often it is sent:
  curl -s %[1]s/services/%[5]s/registrations -H 'Authorization: Bearer %[4]s' -H 'Content-Type: application/json' -H 'Idempotency-Key: registration-1' -d '{"ref":"lot-1"}'

Budget of the team (in a source tree: go run ./cmd/tarragonridge instead of tarragonridge):
  TARRAGONRIDGE_OPERATOR_KEY=%[6]s tarragonridge admin --server %[1]s budget show %[2]s

Ctrl-C stops.
`, url, dev.Team, dev.Model, dev.CallerKey, dev.Service, dev.OperatorKey)
}
