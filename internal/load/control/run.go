package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"tarragonridge.example/tarragonridge/internal/timing"
)

// measurement is a measurement in progress.
type measurement struct {
	config  Config
	table   *countingTable
	fleet   *fleet
	changer *configChanger
}

// Run starts the simulated processes, measures all repetitions, and stops the
// processes and withdraws their registrations.
func Run(ctx context.Context, c Config) (result *Result, err error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.Progress == nil {
		c.Progress = io.Discard
	}
	client := c.platformClient()
	defer client.Close()
	m := &measurement{config: c, table: &countingTable{Table: client}}
	versions := &versionTracker{latestByProcess: map[string]receivedVersion{}}
	m.changer = newConfigChanger(c, m.table, versions)
	m.fleet, err = startFleet(ctx, c, m.table, versions.record)
	if m.fleet != nil {
		defer func() { err = errors.Join(err, m.fleet.close()) }()
	}
	if err != nil {
		return nil, err
	}
	timing.Sleep(ctx, c.Settle)
	return m.runRepetitions(ctx)
}

func (m *measurement) runRepetitions(ctx context.Context) (*Result, error) {
	c := m.config
	result := &Result{
		Started: time.Now().UTC(), Sidecars: c.Sidecars, Peers: c.Peers, Hints: c.Hints, Window: c.Window.Seconds(),
		ReportEvery: c.ReportEvery.Seconds(), ChangeEvery: c.ChangeEvery.Seconds(),
		CPUs: runtime.NumCPU(), LoadAverageBefore: loadAverage(), Connected: m.fleet.countConnected(),
	}
	for i := range c.Repeats {
		repetition, err := m.runRepetition(ctx)
		if err != nil {
			return nil, err
		}
		result.Repetitions = append(result.Repetitions, repetition)
		_, _ = fmt.Fprintf(c.Progress, "repetition %d: cpu %.4f, resident %.1f MB, rpc %.0f B/s, reads %.1f/s, writes %.1f/s, change worst %.2f s\n",
			i+1, repetition.CPUShare, repetition.ResidentBytes/1e6, repetition.RPCReceived+repetition.RPCSent, repetition.PlatformReads, repetition.PlatformWrites, repetition.ChangeDelays.Worst)
	}
	result.LoadAverageAfter = loadAverage()
	result.summarize()
	return result, nil
}

func (m *measurement) runRepetition(ctx context.Context) (Repetition, error) {
	before, err := m.takeSample(ctx)
	if err != nil {
		return Repetition{}, err
	}
	changes, failures := m.runWindow(ctx)
	after, err := m.takeSample(ctx)
	if err != nil {
		return Repetition{}, err
	}
	if err := ctx.Err(); err != nil {
		return Repetition{}, err
	}
	repetition := newRepetition(before, after)
	repetition.ChangesInWindow, repetition.ChangesFailed = changes, failures
	repetition.ChangeDelays, err = m.measureChanges(ctx)
	return repetition, err
}

func (m *measurement) runWindow(ctx context.Context) (changes, failures int) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Window)
	defer cancel()
	if m.config.ChangeEvery > 0 {
		return m.changer.changePeriodically(ctx)
	}
	<-ctx.Done()
	return 0, 0
}

// maxPauseBeforeChange is the longest random pause before a change whose
// propagation is measured. It exceeds the intervals of polls and pings, so that
// changes fall at any point of them.
const maxPauseBeforeChange = 5 * time.Second

// measureChanges measures the propagation of the configured number of changes,
// one after the other. The routers are watched only meanwhile, because reading
// their metrics costs them CPU time.
func (m *measurement) measureChanges(ctx context.Context) (Quantiles, error) {
	if m.config.Changes == 0 {
		return Quantiles{}, nil
	}
	watchCtx, stop := context.WithCancel(ctx)
	watchDone := make(chan struct{})
	go func() { defer close(watchDone); m.changer.watchRouters(watchCtx) }()
	defer func() { stop(); <-watchDone }()
	totalProcesses := len(m.fleet.sidecars) + len(m.fleet.peers) + len(m.config.Metrics)
	var allDelays []float64
	totalMissing := 0
	for range m.config.Changes {
		timing.Sleep(ctx, rand.N(maxPauseBeforeChange))
		delays, missing, err := m.changer.measureChange(ctx, totalProcesses)
		if err != nil {
			return Quantiles{}, err
		}
		allDelays = append(allDelays, delays...)
		totalMissing += missing
	}
	return newQuantiles(allDelays, totalMissing), nil
}
