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

// adminTimeout bounds one admin command. It exceeds the time in which a router
// resolves an uncertain commit.
const adminTimeout = 30 * time.Second

type adminCmd struct {
	Server string `help:"URL of a router." env:"TARRAGONRIDGE_SERVER" default:"http://127.0.0.1:8080"`
	KeyEnv string `help:"Environment variable with the operator key." default:"TARRAGONRIDGE_OPERATOR_KEY"`
	JSON   bool   `help:"Print JSON instead of a table."`

	Team     teamCmd     `cmd:"" help:"Teams, their permissions and keys."`
	Budget   budgetCmd   `cmd:"" help:"Prepaid budgets."`
	Preset   presetCmd   `cmd:"" help:"Presets."`
	Config   adminConfig `cmd:"" help:"The policy document."`
	Ledger   ledgerCmd   `cmd:"" help:"Run records of a team or a request."`
	Target   targetCmd   `cmd:"" help:"Targets."`
	Timeline timelineCmd `cmd:"" help:"Events of all processes in causal order."`
}

// AfterApply binds the session for the Run method of the chosen command.
func (a *adminCmd) AfterApply(k *kong.Context) error {
	k.Bind(&session{options: a})
	return nil
}

// session is what an admin command works with.
type session struct {
	options *adminCmd
	streams *Streams
	client  *admin.Client
	ctx     context.Context
}

// run calls f with a client. A missing key is a usage error.
func (s *session) run(streams *Streams, f func() error) error {
	key := os.Getenv(s.options.KeyEnv)
	if key == "" {
		return &UsageError{Err: fmt.Errorf("environment variable %s holds no operator key", s.options.KeyEnv)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	s.ctx, s.streams = ctx, streams
	s.client = admin.New(admin.Options{ServerURL: s.options.Server, OperatorKey: key})
	return f()
}

// show prints v as JSON or calls text.
func (s *session) show(v any, text func(w io.Writer)) error {
	if s.options.JSON {
		encoder := json.NewEncoder(s.streams.Out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(v), "print")
	}
	w := tabwriter.NewWriter(s.streams.Out, 0, 8, 2, ' ', 0)
	text(w)
	return eris.Wrap(w.Flush(), "print")
}

// showAccepted prints an accepted change with the processes that lack it.
func (s *session) showAccepted(a admin.ChangeResult, err error) error {
	if err != nil {
		return err
	}
	return s.show(a, func(w io.Writer) { acceptedRows(w, a) })
}

func acceptedRows(w io.Writer, a admin.ChangeResult) {
	row(w, "version", a.Version)
	row(w, "confirmed", len(a.Confirmed))
	row(w, "pending", len(a.Pending))
	for _, p := range a.Pending {
		row(w, "", p)
	}
}

// row prints the cells of a table row.
func row(w io.Writer, cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(parts, "\t"))
}

// all shows an empty restriction as what it means.
func all(list []string) string {
	if len(list) == 0 {
		return "all"
	}
	return strings.Join(list, ",")
}

func clock(us int64) string { return time.UnixMicro(us).UTC().Format("2006-01-02T15:04:05Z") }
