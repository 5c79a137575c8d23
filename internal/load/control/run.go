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
	changer *changer
}

// Run starts the light processes, measures all repetitions and takes the
// registrations back.
func Run(ctx context.Context, c Config) (result *Result, err error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.Progress == nil {
		c.Progress = io.Discard
	}
	client := c.client()
	defer client.Close()
	m := &measurement{config: c, table: &countingTable{Table: client}}
	arrivals := &spread{seen: map[string]arrival{}}
	m.changer = newChanger(c, m.table, arrivals)
	m.fleet, err = startFleet(ctx, c, m.table, arrivals.note)
	if m.fleet != nil {
		defer func() { err = errors.Join(err, m.fleet.close()) }()
	}
	if err != nil {
		return nil, err
	}
	timing.Sleep(ctx, c.Settle)
	return m.repeat(ctx)
}

func (m *measurement) repeat(ctx context.Context) (*Result, error) {
	c := m.config
	r := &Result{
		Started: time.Now().UTC(), Sidecars: c.Sidecars, Peers: c.Peers, Hints: c.Hints, Window: c.Window.Seconds(),
		ReportEvery: c.ReportEvery.Seconds(), ChangeEvery: c.ChangeEvery.Seconds(),
		CPUs: runtime.NumCPU(), LoadAverageBefore: loadAverage(), Connected: m.fleet.connected(),
	}
	for i := range c.Repeats {
		rep, err := m.once(ctx)
		if err != nil {
			return nil, err
		}
		r.Repetitions = append(r.Repetitions, rep)
		_, _ = fmt.Fprintf(c.Progress, "repetition %d: cpu %.4f, resident %.1f MB, rpc %.0f B/s, reads %.1f/s, writes %.1f/s, change worst %.2f s\n",
			i+1, rep.CPUShare, rep.ResidentBytes/1e6, rep.RPCReceived+rep.RPCSent, rep.PlatformReads, rep.PlatformWrites, rep.ChangeDelays.Worst)
	}
	r.LoadAverageAfter = loadAverage()
	r.summarize()
	return r, nil
}

func (m *measurement) once(ctx context.Context) (Repetition, error) {
	before, err := m.sample(ctx)
	if err != nil {
		return Repetition{}, err
	}
	changes, failures := m.window(ctx)
	after, err := m.sample(ctx)
	if err != nil {
		return Repetition{}, err
	}
	if err := ctx.Err(); err != nil {
		return Repetition{}, err
	}
	rep := between(before, after)
	rep.ChangesInWindow, rep.ChangesFailed = changes, failures
	rep.ChangeDelays, err = m.timedChanges(ctx)
	return rep, err
}

func (m *measurement) window(ctx context.Context) (changes, failures int) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Window)
	defer cancel()
	if m.config.ChangeEvery > 0 {
		return m.changer.churn(ctx)
	}
	<-ctx.Done()
	return 0, 0
}

// changePhase is the longest pause before a timed change. It exceeds the
// periods of the polls and pings, so that the changes fall on any phase of
// them.
const changePhase = 5 * time.Second

// timedChanges makes the timed changes one after the other. The routers are
// watched only during them, because reading their metrics costs CPU.
func (m *measurement) timedChanges(ctx context.Context) (Quantiles, error) {
	if m.config.Changes == 0 {
		return Quantiles{}, nil
	}
	watchCtx, stop := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() { defer close(watched); m.changer.watchRouters(watchCtx) }()
	defer func() { stop(); <-watched }()
	processes := len(m.fleet.sidecars) + len(m.fleet.peers) + len(m.config.Metrics)
	var all []float64
	missing := 0
	for range m.config.Changes {
		timing.Sleep(ctx, rand.N(changePhase))
		delays, lacking, err := m.changer.timed(ctx, processes)
		if err != nil {
			return Quantiles{}, err
		}
		all = append(all, delays...)
		missing += lacking
	}
	return quantiles(all, missing), nil
}
