package cli

import (
	"io"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/wire"
)

type ledgerCmd struct {
	Team    string    `help:"Team."`
	Request string    `help:"Request id."`
	From    time.Time `help:"Only runs that ended at this time or later, such as 2026-01-31T12:00:00Z."`
	To      time.Time `help:"Only runs that ended before this time."`
	Cursor  string    `help:"Go on after the page that named this cursor."`
	Limit   int       `help:"Most records to print." default:"1000"`
	Format  string    `help:"table, csv or jsonl." enum:"table,csv,jsonl" default:"table"`
}

// Run prints the matching run records, latest first.
func (c ledgerCmd) Run(s *adminSession, streams *Streams) error {
	query := admin.LedgerQuery{Team: c.Team, RequestID: c.Request, From: c.From, To: c.To, Cursor: c.Cursor, Limit: c.Limit}
	return s.withClient(streams, func() error {
		if c.Format != "table" {
			data, err := s.client.LedgerExport(s.ctx, query, c.Format)
			if err != nil {
				return err
			}
			_, err = streams.Out.Write(data)
			return eris.Wrap(err, "print")
		}
		page, err := s.client.Ledger(s.ctx, query)
		if err != nil {
			return err
		}
		return s.print(page, func(w io.Writer) { printLedgerRows(w, page) })
	})
}

func printLedgerRows(w io.Writer, page admin.LedgerPage) {
	printRow(w, "ENDED", "TEAM", "REQUEST", "RUN", "TARGET", "WORKLOAD", "OUTCOME", "PROMPT", "OUTPUT", "BILLED", "LOST")
	for _, e := range page.Entries {
		printRow(w, formatUnixMicro(e.EndedUS), e.Team, e.RequestID, e.RunID, e.Target, e.Workload, e.Outcome,
			e.PromptTokens, e.OutputTokens, e.Billed, e.Lost)
	}
	printRow(w, "TOTAL", "", "", "", "", "", "", "", "", page.Billed, page.Lost)
	if page.More {
		printRow(w, "There are more records; the totals cover only those shown. Continue with --cursor="+page.Next)
	}
}

type targetCmd struct {
	List   targetListCmd   `cmd:"" help:"List targets."`
	Drain  targetDrainCmd  `cmd:"" help:"Refuse new work at a target; runs in progress finish."`
	Forget targetForgetCmd `cmd:"" help:"Declare the sidecar of a target permanently gone; its open runs are settled as lost."`
	Order  targetOrderCmd  `cmd:"" help:"Send an order to a target."`
}

type targetListCmd struct{}

// Run lists the targets.
func (targetListCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		targets, err := s.client.Targets(s.ctx)
		if err != nil {
			return err
		}
		return s.print(targets, func(w io.Writer) {
			printRow(w, "TARGET", "KIND", "SERVES", "HOST", "DOMAIN", "CONNECTED", "HEALTHY", "LEAVING", "RUNNING", "WAITING")
			for _, t := range targets {
				printRow(w, t.ID, t.Kind, t.Model+t.Service, t.Host, t.FailureDomain, t.Connected, t.Healthy, t.Leaving, t.Running, t.Waiting)
			}
		})
	})
}

type targetDrainCmd struct {
	Target string `arg:"" help:"Target."`
	Undo   bool   `help:"Accept new work again."`
}

// Run drains a target or, with --undo, lets it accept new work again.
func (c targetDrainCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error { return s.client.DrainTarget(s.ctx, c.Target, !c.Undo) })
}

type targetForgetCmd struct {
	Target string `arg:"" help:"Target."`
}

// Run declares the sidecar of a target permanently gone.
func (c targetForgetCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error { return s.client.ForgetTarget(s.ctx, c.Target) })
}

type targetOrderCmd struct {
	Target  string `arg:"" help:"Target."`
	Action  string `arg:"" help:"load_model, load_adapter, unload_adapter or set_role." enum:"load_model,load_adapter,unload_adapter,set_role"`
	Model   string `help:"Model to load."`
	Adapter string `help:"Adapter to load or unload."`
	Version string `help:"Version of the model or adapter."`
	Role    string `help:"prefill, decode or mixed."`
}

// Run sends an order to a target and prints its fencing number.
func (c targetOrderCmd) Run(s *adminSession, streams *Streams) error {
	order := admin.Order{Action: c.Action, Model: c.Model, Adapter: c.Adapter, Version: c.Version, Role: c.Role}
	return s.withClient(streams, func() error {
		result, err := s.client.OrderTarget(s.ctx, c.Target, order)
		if err != nil {
			return err
		}
		return s.print(result, func(w io.Writer) { printRow(w, "fence", result.Fence) })
	})
}

type timelineCmd struct {
	Request string        `help:"Only events of this request."`
	Since   time.Duration `help:"Only events of the last while, such as 5m."`
	Limit   int           `help:"Most events to print." default:"1000"`
}

// Run prints the events of all processes in causal order.
func (c timelineCmd) Run(s *adminSession, streams *Streams) error {
	query := wire.TimelineQuery{RequestID: c.Request, Limit: c.Limit}
	if c.Since > 0 {
		query.FromUS = time.Now().Add(-c.Since).UnixMicro()
	}
	return s.withClient(streams, func() error {
		merged, err := s.client.Timeline(s.ctx, query)
		if err != nil {
			return err
		}
		if s.options.JSON {
			return s.print(merged, nil)
		}
		return merged.WriteText(streams.Out)
	})
}
