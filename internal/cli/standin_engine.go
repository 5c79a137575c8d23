package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"tarragonridge.example/tarragonridge/internal/standin/engine"
)

// standinEngineCmd runs a model engine stand-in until SIGTERM or SIGINT.
type standinEngineCmd struct {
	Listen        string        `default:"127.0.0.1:0" help:"TCP address to serve on."`
	Model         string        `default:"standin-model" help:"Model loaded at the start."`
	Adapters      []string      `name:"adapter" help:"Adapter loaded at the start; may be repeated."`
	Role          string        `default:"mixed" enum:"prefill,decode,mixed" help:"Role at the start."`
	Seed          uint64        `default:"1" help:"Seed of token texts, output lengths and lost cache events."`
	HonourFence   bool          `default:"true" negatable:"" help:"Reject orders with an old fencing number."`
	OrderSecret   string        `env:"TARRAGONRIDGE_ORDER_SECRET" help:"Bearer token that orders need; empty turns the check off."`
	MaxBatch      int           `default:"32" help:"Sequences that run at once."`
	MaxWaiting    int           `default:"256" help:"Sequences in the waiting queue."`
	CacheBlocks   int           `default:"8192" help:"Cache memory in blocks of 16 tokens."`
	StepBase      time.Duration `default:"8ms" help:"Fixed part of a step."`
	StepPerSeq    time.Duration `default:"150us" help:"Part of a step per running sequence."`
	PrefillToken  time.Duration `default:"25us" help:"Part of a step per uncached prompt token."`
	MinOutput     int           `default:"8" help:"Shortest natural output in tokens."`
	MaxOutput     int           `default:"256" help:"Longest natural output in tokens."`
	LoadLag       time.Duration `default:"250ms" help:"Age of the load report, up to 1m."`
	EventDelay    time.Duration `default:"500ms" help:"Age at which cache events become visible."`
	EventDropRate float64       `default:"0.02" help:"Share of cache events that are lost, 0 to 1."`
	LoadDelay     time.Duration `default:"2s" help:"Time to load a model or adapter."`
	RestartDelay  time.Duration `default:"1s" help:"Time for which a crashed engine refuses connections."`
	CrashMarker   string        `default:"crash-me" help:"Prompt text that crashes the engine; empty turns it off."`
	StopTimeout   time.Duration `default:"30s" help:"Longest wait for requests in progress at the end."`
}

func (c *standinEngineCmd) config(log *slog.Logger) engine.Config {
	config := engine.DefaultConfig()
	config.Listen = c.Listen
	config.Model = c.Model
	config.Adapters = c.Adapters
	config.Role = c.Role
	config.HonourFence = c.HonourFence
	config.OrderSecret = c.OrderSecret
	config.LoadDelay = c.LoadDelay
	config.RestartDelay = c.RestartDelay
	config.Logger = log
	config.Sim.Seed = c.Seed
	config.Sim.MaxBatch = c.MaxBatch
	config.Sim.MaxWaiting = c.MaxWaiting
	config.Sim.CacheBlocks = c.CacheBlocks
	config.Sim.StepBase = c.StepBase
	config.Sim.StepPerSequence = c.StepPerSeq
	config.Sim.PrefillPerToken = c.PrefillToken
	config.Sim.MinOutput = c.MinOutput
	config.Sim.MaxOutput = c.MaxOutput
	config.Sim.LoadLag = c.LoadLag
	config.Sim.EventDelay = c.EventDelay
	config.Sim.EventDropRate = c.EventDropRate
	config.Sim.CrashMarker = c.CrashMarker
	return config
}

// Run serves until a signal and then finishes the requests in progress.
func (c *standinEngineCmd) Run(s *Streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := slog.New(slog.NewTextHandler(s.Err, nil))
	server, err := engine.Start(c.config(log))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.Out, "listening addr=%s\n", server.Addr()); err != nil {
		server.Close()
		return err
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.Background(), c.StopTimeout)
	defer cancel()
	return server.Shutdown(drain)
}
