package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/load"
)

// loadCmd generates load and compares results.
type loadCmd struct {
	Send       loadSendCmd       `cmd:"" default:"withargs" help:"Send load and write its figures."`
	Report     loadReportCmd     `cmd:"" help:"Compare results in a table and a plot."`
	Overhead   loadOverheadCmd   `cmd:"" help:"Measure what router and sidecar add to a direct connection."`
	Control    loadControlCmd    `cmd:"" help:"Measure the control cost of a router against the size of the fleet."`
	Fill       loadFillCmd       `cmd:"" help:"Write teams and budgets into an empty table."`
	Experiment loadExperimentCmd `cmd:"" help:"Compare policies in a series of runs on loopback."`
}

// loadSendCmd is one run of the load generator.
type loadSendCmd struct {
	Target        []string      `required:"" help:"Base URL of a router; may be repeated."`
	Model         string        `default:"standin-model" help:"Model of the completions."`
	Mix           string        `default:"assay" enum:"assay,leaf" help:"Mix of requests."`
	Rate          float64       `default:"10" help:"Mean arrivals per second."`
	Duration      time.Duration `default:"30s" help:"Sending time."`
	Drain         time.Duration `default:"30s" help:"Longest wait for answers after the sending time."`
	Timeout       time.Duration `default:"60s" help:"Time after which a request is given up."`
	Seed          uint64        `default:"1" help:"Seed of arrivals and requests."`
	Keys          string        `type:"existingfile" help:"JSON list of {team, key}, the busiest team first."`
	Teams         int           `default:"10" help:"Number of teams without --keys; their keys are key-team-01 and so on."`
	TeamSkew      float64       `default:"1.2" help:"Zipf exponent of teams, above 1."`
	Prefixes      int           `default:"20" help:"Shared prefixes per team and kind."`
	KeyShare      float64       `default:"1" help:"Share of completions with an Idempotency-Key, 0 to 1."`
	MaxRetries    int           `default:"4" help:"Attempts after the first."`
	MaxInFlight   int           `default:"2000" help:"Arrivals beyond it are skipped and counted."`
	ExactLength   bool          `default:"true" negatable:"" help:"Ask for exactly max_tokens tokens."`
	ServicePrefix string        `default:"/services" help:"Path before the name of a service."`
	Faults        string        `type:"existingfile" help:"JSON list of {at_s, url, body} to POST during the run."`
	Out           string        `help:"File for the result; without it the result goes to stdout."`
	Quiet         bool          `help:"Print no progress."`
}

func (c *loadSendCmd) config(s *Streams) (load.Config, error) {
	config := load.DefaultConfig()
	config.Targets = c.Target
	config.Model = c.Model
	config.Mix = c.Mix
	config.Rate = c.Rate
	config.Duration = c.Duration
	config.Drain = c.Drain
	config.Timeout = c.Timeout
	config.Seed = c.Seed
	config.TeamSkew = c.TeamSkew
	config.Prefixes = c.Prefixes
	config.KeyShare = c.KeyShare
	config.MaxRetries = c.MaxRetries
	config.MaxInFlight = c.MaxInFlight
	config.ExactLength = c.ExactLength
	config.ServicePrefix = c.ServicePrefix
	if !c.Quiet {
		config.Progress = s.Err
	}
	var err error
	if config.Teams, err = c.credentials(); err != nil {
		return config, err
	}
	config.Faults, err = c.faults()
	return config, err
}

func (c *loadSendCmd) credentials() ([]load.Credential, error) {
	var teams []load.Credential
	if c.Keys == "" {
		for i := range c.Teams {
			name := fmt.Sprintf("team-%02d", i+1)
			teams = append(teams, load.Credential{Team: name, Key: "key-" + name})
		}
		return teams, nil
	}
	data, err := os.ReadFile(c.Keys)
	if err != nil {
		return nil, eris.Wrap(err, "keys")
	}
	return teams, eris.Wrap(json.Unmarshal(data, &teams), "keys")
}

func (c *loadSendCmd) faults() ([]load.Fault, error) {
	if c.Faults == "" {
		return nil, nil
	}
	data, err := os.ReadFile(c.Faults)
	if err != nil {
		return nil, eris.Wrap(err, "fault schedule")
	}
	return load.ParseFaults(data)
}

// Run sends the load. SIGTERM and SIGINT end it early; the figures up to then
// are written.
func (c *loadSendCmd) Run(s *Streams) error {
	config, err := c.config(s)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	if c.Out == "" {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	if err := result.Save(c.Out); err != nil {
		return err
	}
	return load.WriteTable(s.Out, []load.NamedResult{{Name: c.Out, Result: result}})
}

// loadReportCmd compares results.
type loadReportCmd struct {
	Results []string `arg:"" type:"existingfile" help:"Result files."`
	Out     string   `default:"report.svg" help:"File for the plot."`
}

// Run prints the table and writes the plot.
func (c *loadReportCmd) Run(s *Streams) error {
	results, err := load.OpenAll(c.Results)
	if err != nil {
		return err
	}
	if err := load.WriteTable(s.Out, results); err != nil {
		return err
	}
	return load.WriteSVG(c.Out, results)
}
