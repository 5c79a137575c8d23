package cli

import (
	"os"
	"time"

	"tarragonridge.example/tarragonridge/internal/load"
)

// loadOverheadCmd compares the path through router and sidecar with a direct
// connection to the engine.
type loadOverheadCmd struct {
	Direct         string        `required:"" help:"Base URL of the engine."`
	Routed         string        `required:"" help:"Base URL of the router."`
	RouterMetrics  string        `required:"" help:"URL of the router's metrics."`
	SidecarMetrics string        `required:"" help:"URL of the sidecar's metrics."`
	KeyEnv         string        `default:"TARRAGONRIDGE_CALLER_KEY" help:"Environment variable with the caller key for the router."`
	Model          string        `default:"standin-model" help:"Model of the completions."`
	Rate           float64       `default:"20" help:"Mean arrivals per second over both paths."`
	Tokens         int           `default:"400" help:"Tokens of each answer."`
	PromptBytes    int           `default:"400" help:"Size of each prompt."`
	Duration       time.Duration `default:"10s" help:"Sending time of a repetition."`
	Timeout        time.Duration `default:"30s" help:"Time after which a request is given up."`
	Repeats        int           `default:"3" help:"Repetitions, at least 3."`
	Keyed          bool          `help:"Send an Idempotency-Key with the routed requests."`
	Seed           uint64        `default:"1" help:"Seed of the arrivals."`
	Out            string        `help:"File for the result; without it the result goes to stdout."`
}

func (c *loadOverheadCmd) config(s *Streams) load.OverheadConfig {
	return load.OverheadConfig{
		Direct:         c.Direct,
		Routed:         c.Routed,
		RouterMetrics:  c.RouterMetrics,
		SidecarMetrics: c.SidecarMetrics,
		Key:            os.Getenv(c.KeyEnv),
		Model:          c.Model,
		Rate:           c.Rate,
		Tokens:         c.Tokens,
		PromptBytes:    c.PromptBytes,
		Duration:       c.Duration,
		Timeout:        c.Timeout,
		Repeats:        c.Repeats,
		Keyed:          c.Keyed,
		Seed:           c.Seed,
		Progress:       s.Err,
	}
}

// Run measures until all repetitions are done or a signal arrives.
func (c *loadOverheadCmd) Run(s *Streams) error {
	ctx, stop := signalContext()
	defer stop()
	result, err := load.MeasureOverhead(ctx, c.config(s))
	if err != nil {
		return err
	}
	return writeResult(s, c.Out, result.Write)
}
