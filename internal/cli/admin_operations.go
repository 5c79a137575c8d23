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

// Run prints run records, latest first.
func (c ledgerCmd) Run(s *session, streams *Streams) error {
	q := admin.LedgerQuery{Team: c.Team, RequestID: c.Request, From: c.From, To: c.To, Cursor: c.Cursor, Limit: c.Limit}
	return s.run(streams, func() error {
		if c.Format != "table" {
			data, err := s.client.LedgerExport(s.ctx, q, c.Format)
			if err != nil {
				return err
			}
			_, err = streams.Out.Write(data)
			return eris.Wrap(err, "print")
		}
		l, err := s.client.Ledger(s.ctx, q)
		if err != nil {
			return err
		}
		return s.show(l, func(w io.Writer) { ledgerRows(w, l) })
	})
}

func ledgerRows(w io.Writer, l admin.LedgerPage) {
	row(w, "ENDED", "TEAM", "REQUEST", "RUN", "TARGET", "WORKLOAD", "OUTCOME", "PROMPT", "OUTPUT", "BILLED", "LOST")
	for _, e := range l.Entries {
		row(w, clock(e.EndedUS), e.Team, e.RequestID, e.RunID, e.Target, e.Workload, e.Outcome,
			e.PromptTokens, e.OutputTokens, e.Billed, e.Lost)
	}
	row(w, "TOTAL", "", "", "", "", "", "", "", "", l.Billed, l.Lost)
	if l.More {
		row(w, "The limit cuts the list; the totals cover the records shown. Go on with --cursor="+l.Next)
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
func (targetListCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		targets, err := s.client.Targets(s.ctx)
		if err != nil {
			return err
		}
		return s.show(targets, func(w io.Writer) {
			row(w, "TARGET", "KIND", "SERVES", "HOST", "DOMAIN", "CONNECTED", "HEALTHY", "LEAVING", "RUNNING", "WAITING")
			for _, t := range targets {
				row(w, t.ID, t.Kind, t.Model+t.Service, t.Host, t.FailureDomain, t.Connected, t.Healthy, t.Leaving, t.Running, t.Waiting)
			}
		})
	})
}

type targetDrainCmd struct {
	Target string `arg:"" help:"Target."`
	Undo   bool   `help:"Accept new work again."`
}

// Run drains a target.
func (c targetDrainCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error { return s.client.DrainTarget(s.ctx, c.Target, !c.Undo) })
}

type targetForgetCmd struct {
	Target string `arg:"" help:"Target."`
}

// Run forgets a target.
func (c targetForgetCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error { return s.client.ForgetTarget(s.ctx, c.Target) })
}

type targetOrderCmd struct {
	Target  string `arg:"" help:"Target."`
	Action  string `arg:"" help:"load_model, load_adapter, unload_adapter or set_role." enum:"load_model,load_adapter,unload_adapter,set_role"`
	Model   string `help:"Model to load."`
	Adapter string `help:"Adapter to load or unload."`
	Version string `help:"Version of the model or adapter."`
	Role    string `help:"prefill, decode or mixed."`
}

// Run sends an order.
func (c targetOrderCmd) Run(s *session, streams *Streams) error {
	order := admin.Order{Action: c.Action, Model: c.Model, Adapter: c.Adapter, Version: c.Version, Role: c.Role}
	return s.run(streams, func() error {
		o, err := s.client.OrderTarget(s.ctx, c.Target, order)
		if err != nil {
			return err
		}
		return s.show(o, func(w io.Writer) { row(w, "fence", o.Fence) })
	})
}

type timelineCmd struct {
	Request string        `help:"Only events of this request."`
	Since   time.Duration `help:"Only events of the last while, such as 5m."`
	Limit   int           `help:"Most events to print." default:"1000"`
}

// Run prints the events of all processes.
func (c timelineCmd) Run(s *session, streams *Streams) error {
	q := wire.TimelineQuery{RequestID: c.Request, Limit: c.Limit}
	if c.Since > 0 {
		q.FromUS = time.Now().Add(-c.Since).UnixMicro()
	}
	return s.run(streams, func() error {
		m, err := s.client.Timeline(s.ctx, q)
		if err != nil {
			return err
		}
		if s.options.JSON {
			return s.show(m, nil)
		}
		return m.WriteText(streams.Out)
	})
}
