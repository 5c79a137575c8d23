package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/books"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/dev"
	"tarragonridge.example/tarragonridge/internal/load"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
)

const (
	settleTimeout     = 10 * time.Second // longest wait until the records of ended runs are stored
	defaultPriority   = 6                // of workloads without a priority in the series
	workloadTimeoutMS = 120_000          // of every workload
	warmUpSeed        = 1 << 32          // added to the seed so that the requests of the warm-up differ from the measured ones
)

// mixServices lists the services that each mix calls.
var mixServices = map[string][]string{
	load.MixAssay: {"submissions"},
	load.MixLeaf:  {"auction"},
}

// Shard selects every Count-th cell of a series, starting with cell Index, so
// that several processes can share a series.
type Shard struct {
	Index int // from 0
	Count int // at least 1
}

// Run measures the cells of the shard and saves each result in dir. It returns
// the results in order, together with the errors of cells that failed, and
// writes its progress to out.
func Run(ctx context.Context, s *Spec, shard Shard, dir string, out io.Writer) ([]*Result, error) {
	if shard.Count < 1 || shard.Index < 0 || shard.Index >= shard.Count {
		return nil, eris.Errorf("experiment: there is no shard %d of %d", shard.Index, shard.Count)
	}
	capacity, err := s.findCapacity(ctx, out)
	if err != nil {
		return nil, err
	}
	var results []*Result
	var errs []error
	for i, c := range s.cells() {
		if i%shard.Count != shard.Index || ctx.Err() != nil {
			continue
		}
		result, err := s.measureUndisturbed(ctx, c, capacity, out)
		if err == nil {
			err = result.Save(dir)
		}
		if err != nil {
			fmt.Fprintf(out, "%s failed: %v\n", c.name(s.Name), err)
			errs = append(errs, eris.Wrapf(err, "cell %s", c.name(s.Name)))
			continue
		}
		fmt.Fprintln(out, result.summary())
		results = append(results, result)
	}
	return results, errors.Join(errs...)
}

func (c cell) name(series string) string {
	return fmt.Sprintf("%s-%s-%s-%g-%d", series, c.situation.Name, c.policy.Name, c.level, c.seed)
}

// findCapacity returns the configured capacity. Without one it measures the
// geometric mean of the bounds, narrows the bounds to one side of it, and after
// all steps returns the highest rate that met the limit.
func (s *Spec) findCapacity(ctx context.Context, out io.Writer) (float64, error) {
	if s.Capacity.RatePerSecond > 0 {
		return s.Capacity.RatePerSecond, nil
	}
	low, high := s.Capacity.LowRate, s.Capacity.HighRate
	limitMet := false
	for range s.Capacity.BisectionSteps {
		rate := math.Sqrt(low * high)
		c := cell{policy: s.Capacity.Policy, level: 1, situation: Situation{Name: "capacity"}, seed: s.Seeds[0]}
		result, err := s.measure(ctx, c, rate)
		if err != nil {
			return 0, eris.Wrap(err, "capacity")
		}
		p95 := result.All.FirstToken.P95MS
		fmt.Fprintf(out, "capacity rate=%.1f ttft_p95_ms=%.0f refused=%d\n", rate, p95, result.All.Counts.Refused)
		if p95 <= s.Capacity.LimitMS && result.All.Counts.Refused == 0 {
			low, limitMet = rate, true
		} else {
			high = rate
		}
	}
	if !limitMet {
		return 0, eris.Errorf("no rate from %g per second on meets the limit", s.Capacity.LowRate)
	}
	fmt.Fprintf(out, "capacity per_second=%.1f\n", low)
	return low, nil
}

// measureUndisturbed measures a cell and repeats the measurement if the load
// tool sent requests too late, because then the machine was too busy for the
// figures to describe the policy. It returns the last measurement, whose SendLag
// shows whether it was disturbed as well.
func (s *Spec) measureUndisturbed(ctx context.Context, c cell, capacity float64, out io.Writer) (*Result, error) {
	for repeats := 0; ; repeats++ {
		result, err := s.measure(ctx, c, capacity)
		if err != nil {
			return nil, err
		}
		result.Repeats = repeats
		if result.SendLag.P99MS <= s.Load.MaxSendLagMS || repeats >= s.Load.Repeats {
			return result, nil
		}
		fmt.Fprintf(out, "disturbed %s\n", result.summary())
	}
}

// measure starts a fleet, warms it up, measures the cell, audits the fleet and
// stops it.
func (s *Spec) measure(ctx context.Context, c cell, capacity float64) (result *Result, err error) {
	fleet, err := dev.Start(ctx, s.fleetOptions(c))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	if err := s.warmUp(ctx, fleet, c, capacity); err != nil {
		return nil, err
	}
	before, err := readEngineCounts(ctx, fleet)
	if err != nil {
		return nil, err
	}
	config, err := s.measuredLoadConfig(fleet, c, capacity)
	if err != nil {
		return nil, err
	}
	loadResult, err := load.Run(ctx, config)
	if err != nil {
		return nil, err
	}
	if err := clearFaults(ctx, fleet); err != nil {
		return nil, err
	}
	result = &Result{
		Name: c.name(s.Name), Policy: c.policy.Name, Situation: c.situation.Name,
		Level: c.level, Capacity: capacity, Result: loadResult,
	}
	return result, s.audit(ctx, fleet, before, result)
}

func (s *Spec) fleetOptions(c cell) dev.Options {
	opts := dev.Options{
		Listen:        "127.0.0.1:0",
		Logger:        slog.New(slog.DiscardHandler),
		Routers:       s.Fleet.Routers,
		UseForwarders: c.situation.needsForwarders(),
	}
	engineSpec := s.Fleet.Engine
	if c.situation.LoadLagMS > 0 {
		engineSpec.LoadLagMS = c.situation.LoadLagMS
	}
	for i := range s.Fleet.Engines {
		config := engine.DefaultConfig()
		config.Sim = engineSpec.simConfig(uint64(i + 1))
		domain := fmt.Sprintf("domain-%d", i%s.Fleet.Domains+1)
		opts.Engines = append(opts.Engines, dev.EngineOptions{FailureDomain: domain, Config: config})
	}
	opts.Services = s.Fleet.Services
	if opts.Services == nil {
		opts.Services = mixServices[s.Load.Mix]
	}
	for _, t := range s.credentials() {
		opts.Teams = append(opts.Teams, dev.TeamOptions{Name: t.Team, Key: t.Key, Budget: s.Fleet.Budget})
	}
	opts.Configure = func(d *policy.Document) { s.configure(d, c.policy) }
	return opts
}

// configure adds a workload for each request kind of the mix and applies the
// policy. Errors of the policy are ignored, because it was validated when the
// series was read.
func (s *Spec) configure(d *policy.Document, p Policy) {
	for _, kind := range load.Kinds(s.Load.Mix) {
		priority, given := s.Fleet.Priorities[kind]
		if !given {
			priority = defaultPriority
		}
		d.Workloads[kind] = policy.Workload{Priority: priority, TimeoutMS: workloadTimeoutMS}
	}
	_ = p.apply(d)
}

func (s *Spec) credentials() []load.Credential {
	var teams []load.Credential
	for i := range s.Fleet.Teams {
		name := fmt.Sprintf("team-%02d", i+1)
		teams = append(teams, load.Credential{Team: name, Key: "key-" + name})
	}
	return teams
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// baseLoadConfig returns the settings that warm-up and measured load have in
// common.
func (s *Spec) baseLoadConfig(fleet *dev.Fleet, c cell) load.Config {
	config := load.DefaultConfig()
	config.Targets = fleet.URLs()
	config.Model = dev.Model
	config.Mix = s.Load.Mix
	config.Teams = s.credentials()
	config.Seed = c.seed
	config.Drain = seconds(s.Load.DrainSeconds)
	config.Timeout = seconds(s.Load.TimeoutSeconds)
	if s.Load.Prefixes > 0 {
		config.Prefixes = s.Load.Prefixes
	}
	if s.Load.MaxRetries != nil {
		config.MaxRetries = *s.Load.MaxRetries
	}
	return config
}

func (s *Spec) warmUp(ctx context.Context, fleet *dev.Fleet, c cell, capacity float64) error {
	if s.Load.WarmUpSeconds == 0 {
		return nil
	}
	config := s.baseLoadConfig(fleet, c)
	config.Seed += warmUpSeed
	config.Rate = capacity * s.Load.WarmUpLevel
	config.Duration = seconds(s.Load.WarmUpSeconds)
	_, err := load.Run(ctx, config)
	return err
}

func (s *Spec) measuredLoadConfig(fleet *dev.Fleet, c cell, capacity float64) (load.Config, error) {
	config := s.baseLoadConfig(fleet, c)
	config.Rate = capacity * c.level
	config.Duration = seconds(s.Load.DurationSeconds)
	surge := c.situation.Surge
	config.Surge = load.Surge{
		Team:   surge.Team,
		Rate:   surge.Level * capacity,
		Start:  seconds(surge.StartSeconds),
		Length: seconds(surge.LengthSeconds),
	}
	for _, f := range c.situation.Faults {
		urls := controlURLs(fleet, f.Component)
		if len(urls) == 0 {
			return config, eris.Errorf("the fleet has no %s", f.Component)
		}
		for _, url := range urls {
			config.Faults = append(config.Faults, load.Fault{AtSeconds: f.AtSeconds, URL: url, Body: f.Body})
		}
	}
	return config, nil
}

// needsForwarders reports whether connections to sidecars must pass through
// forwarders, which inject the faults of a failure domain.
func (s Situation) needsForwarders() bool {
	for _, f := range s.Faults {
		if strings.HasPrefix(f.Component, "domain-") {
			return true
		}
	}
	return false
}

// controlURLs returns the URLs at which faults of a component are set. There are
// none if the fleet has no such component.
func controlURLs(fleet *dev.Fleet, component string) []string {
	if component == "platform" {
		return []string{fleet.PlatformURL() + "/control/fault"}
	}
	var n int
	if _, err := fmt.Sscanf(component, "engine-%d", &n); err == nil {
		if engines := fleet.EngineURLs(); n <= len(engines) {
			return []string{engines[n-1] + "/control/fault"}
		}
		return nil
	}
	var urls []string
	for _, url := range fleet.ForwarderControlURLs(component) {
		urls = append(urls, url+"/control/mode")
	}
	return urls
}

// audit adds the findings of the audit and the counts of the engines to the
// result.
func (s *Spec) audit(ctx context.Context, fleet *dev.Fleet, before engineCounts, result *Result) error {
	client := platform.NewClient(platform.Options{BaseURL: fleet.PlatformURL(), Timeout: settleTimeout})
	defer client.Close()
	sources := books.Sources{Table: client, Engines: fleet.EngineURLs(), Services: fleet.ServiceURLs()}
	_, violations, err := books.CheckUntilStable(ctx, sources, settleTimeout)
	if err != nil {
		return err
	}
	result.Audit = newAuditFindings(violations)
	after, err := readEngineCounts(ctx, fleet)
	if err != nil {
		return err
	}
	result.Engines = after.delta(before, result.All.Counts.Tokens)
	return nil
}
