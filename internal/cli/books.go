package cli

import (
	"errors"
	"fmt"
	"time"

	"tarragonridge.example/tarragonridge/internal/books"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// booksCmd audits the ledger against the counts that the stand-ins keep
// themselves.
type booksCmd struct {
	Platform      string        `required:"" help:"Base URL of the platform."`
	Engine        []string      `help:"Base URL of an engine; may be repeated."`
	Service       []string      `help:"Base URL of a service; may be repeated."`
	Answers       string        `type:"existingfile" help:"File with one answer per line: team, key, request_id, ran, whole."`
	SettleTimeout time.Duration `default:"10s" help:"Longest wait until the records of ended runs are stored."`
}

// booksCallTimeout bounds one call to the platform.
const booksCallTimeout = 5 * time.Second

var errViolations = errors.New("the ledger does not match the stand-ins' counts")

// Run prints a summary and every violation, and fails if there is a violation.
func (c *booksCmd) Run(s *Streams) error {
	ctx, stop := signalContext()
	defer stop()
	client := platform.NewClient(platform.Options{BaseURL: c.Platform, Timeout: booksCallTimeout})
	defer client.Close()
	data, violations, err := books.CheckUntilStable(ctx, books.Sources{
		Table: client, Objects: client, Engines: c.Engine, Services: c.Service, AnswersFile: c.Answers,
	}, c.SettleTimeout)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "books: teams=%d records=%d runs=%d effects=%d answers=%d violations=%d\n",
		len(data.Accounts), len(data.Records), len(data.Runs), len(data.Effects), len(data.Answers), len(violations))
	for _, v := range violations {
		fmt.Fprintln(s.Out, v)
	}
	if len(violations) > 0 {
		return errViolations
	}
	return nil
}
