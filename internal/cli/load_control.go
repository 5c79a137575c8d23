package cli

import (
	"os"
	"time"

	"tarragonridge.example/tarragonridge/internal/load/control"
)

// loadControlCmd measures what a router spends on control traffic, depending on
// the size of the fleet.
type loadControlCmd struct {
	Metrics     []string      `required:"" help:"Metrics URLs of routers; the first is measured, all are watched for configuration changes."`
	Platform    string        `required:"" help:"URL of the stand-in platform."`
	Admin       string        `help:"Base URL of a router, for changes with hints."`
	KeyEnv      string        `default:"TARRAGONRIDGE_OPERATOR_KEY" help:"Environment variable with the operator key."`
	Sidecars    int           `default:"24" help:"Light sidecars in this process."`
	Peers       int           `default:"2" help:"Light routers in this process."`
	Model       string        `help:"Model of all light sidecars."`
	Draining    bool          `help:"The light sidecars take no requests, but routers ask them for earlier runs."`
	Dial        []string      `help:"Rpc addresses of sidecars that the light routers connect to; then --metrics may name a sidecar."`
	Models      int           `default:"1" help:"Models over which the sidecars are spread."`
	ReportEvery time.Duration `help:"Interval of load reports with a new load; 0: idle targets."`
	ChangeEvery time.Duration `help:"Interval of configuration changes during the window; 0: none."`
	Changes     int           `default:"0" help:"Timed configuration changes after each window."`
	Hints       bool          `default:"true" negatable:"" help:"Make the changes through the admin API, which pushes them; otherwise straight in the table."`
	Settle      time.Duration `default:"5s" help:"Wait between the registrations and the first window."`
	Window      time.Duration `default:"10s" help:"Length of a window."`
	Repeats     int           `default:"3" help:"Repetitions, at least 3."`
	Out         string        `help:"File for the result; without it the result goes to stdout."`
}

// Run measures until all repetitions are done or a signal arrives, and writes
// the result.
func (c *loadControlCmd) Run(s *Streams) error {
	ctx, stop := signalContext()
	defer stop()
	result, err := control.Run(ctx, control.Config{
		Metrics: c.Metrics, Platform: c.Platform, Admin: c.Admin, OperatorKey: os.Getenv(c.KeyEnv),
		Sidecars: c.Sidecars, Peers: c.Peers, Models: c.Models, Dial: c.Dial, Model: c.Model, Draining: c.Draining, ReportEvery: c.ReportEvery,
		ChangeEvery: c.ChangeEvery, Changes: c.Changes, Hints: c.Hints, Settle: c.Settle,
		Window: c.Window, Repeats: c.Repeats, Progress: s.Err,
	})
	if err != nil {
		return err
	}
	return writeResult(s, c.Out, result.Write)
}

// loadFillCmd writes teams and budgets into the platform's empty table.
type loadFillCmd struct {
	Platform string `required:"" help:"URL of the stand-in platform."`
	Teams    int    `default:"10" help:"Teams team-01 and so on, with the keys key-team-01 and so on."`
	Budgets  int    `default:"10" help:"The first teams that get a prepaid budget."`
}

// Run fills the table. It must run before the first router starts.
func (c *loadFillCmd) Run(*Streams) error {
	ctx, stop := signalContext()
	defer stop()
	return control.Fill(ctx, c.Platform, c.Teams, c.Budgets)
}
