package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/admin"
)

// adminTimeout bounds one admin command. It exceeds the time that a router takes
// to find out whether a commit with an unknown outcome has succeeded.
const adminTimeout = 30 * time.Second

// adminCmd holds the options that all admin commands share.
type adminCmd struct {
	Server string `help:"URL of a router." env:"TARRAGONRIDGE_SERVER" default:"http://127.0.0.1:8080"`
	KeyEnv string `help:"Environment variable with the operator key." default:"TARRAGONRIDGE_OPERATOR_KEY"`
	JSON   bool   `help:"Print JSON instead of a table."`

	Team     teamCmd        `cmd:"" help:"Teams, their permissions and keys."`
	Budget   budgetCmd      `cmd:"" help:"Prepaid budgets."`
	Preset   presetCmd      `cmd:"" help:"Presets."`
	Config   adminConfigCmd `cmd:"" help:"The policy document."`
	Ledger   ledgerCmd      `cmd:"" help:"Run records of a team or a request."`
	Target   targetCmd      `cmd:"" help:"Targets."`
	Timeline timelineCmd    `cmd:"" help:"Events of all processes in causal order."`
}

// AfterApply binds the session that kong passes to the Run method of the chosen
// command.
func (a *adminCmd) AfterApply(k *kong.Context) error {
	k.Bind(&adminSession{options: a})
	return nil
}

// adminSession gives an admin command its options, and a client and output while
// withClient runs.
type adminSession struct {
	options *adminCmd
	streams *Streams
	client  *admin.Client
	ctx     context.Context // ends after adminTimeout
}

// withClient sets up the session's client and calls f. A missing operator key is
// a usage error.
func (s *adminSession) withClient(streams *Streams, f func() error) error {
	key := os.Getenv(s.options.KeyEnv)
	if key == "" {
		return &UsageError{Err: fmt.Errorf("environment variable %s, which must hold the operator key, is not set or is empty", s.options.KeyEnv)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	s.ctx, s.streams = ctx, streams
	s.client = admin.New(admin.Options{ServerURL: s.options.Server, OperatorKey: key})
	return f()
}

// print prints v as JSON if --json is set, and otherwise calls printTable with a
// writer that aligns tab-separated columns.
func (s *adminSession) print(v any, printTable func(w io.Writer)) error {
	if s.options.JSON {
		encoder := json.NewEncoder(s.streams.Out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(v), "print")
	}
	w := tabwriter.NewWriter(s.streams.Out, 0, 8, 2, ' ', 0)
	printTable(w)
	return eris.Wrap(w.Flush(), "print")
}

// printChange prints the result of a change, or returns its error.
func (s *adminSession) printChange(result admin.ChangeResult, err error) error {
	if err != nil {
		return err
	}
	return s.print(result, func(w io.Writer) { printChangeRows(w, result) })
}

// printChangeRows prints the version, the numbers of processes that have and have
// not confirmed it, and the names of the latter.
func printChangeRows(w io.Writer, result admin.ChangeResult) {
	printRow(w, "version", result.Version)
	printRow(w, "confirmed", len(result.Confirmed))
	printRow(w, "pending", len(result.Pending))
	for _, p := range result.Pending {
		printRow(w, "", p)
	}
}

// printRow prints the cells of a table row, separated by tabs.
func printRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// listOrAll formats a list of permitted values. An empty list permits all.
func listOrAll(list []string) string {
	if len(list) == 0 {
		return "all"
	}
	return strings.Join(list, ",")
}

// formatUnixMicro formats microseconds since the Unix epoch.
func formatUnixMicro(us int64) string { return time.UnixMicro(us).UTC().Format("2006-01-02T15:04:05Z") }
