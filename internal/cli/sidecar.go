package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/run"
	"tarragonridge.example/tarragonridge/internal/settings"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/timeline"
)

// sidecarCmd runs a sidecar until SIGTERM or SIGINT.
type sidecarCmd struct {
	settingsFlags
	StallAfter    time.Duration `name:"stall-after" help:"A target that sends nothing this long has failed; 0 means 2m."`
	HandoverLimit time.Duration `name:"handover-limit" help:"Longest wait for durable records at shutdown; 0 means 30s."`
}

// Run runs the sidecar.
func (c *sidecarCmd) Run(s *Streams) error {
	surviveBrokenLog()
	signal.Ignore(syscall.SIGHUP) // no setting can change at run time
	overrides, err := c.overrides()
	if err != nil {
		return err
	}
	cfg, err := settings.LoadSidecar(c.Config, overrides...)
	if err != nil {
		return err
	}
	opts, err := sidecarOptions(*cfg)
	if err != nil {
		return err
	}
	opts.StallTimeout = c.StallAfter
	opts.HandoverTimeout = c.HandoverLimit
	ctx, stop := signalContext()
	defer stop()
	return runSidecar(ctx, *cfg, opts, newLogger(s.Err, cfg.LogLevel), s)
}

func runSidecar(ctx context.Context, cfg settings.Sidecar, opts sidecar.Options, log *slog.Logger, s *Streams) error {
	client := newPlatformClient(cfg.Platform, cfg.Host)
	defer client.Close()
	opts.Table = client
	opts.Logger = log
	opts.Clock = &hlc.Clock{}
	events := timeline.New(timeline.Options{Process: "sidecar/" + cfg.Target.ID, Clock: opts.Clock})
	opts.QueryTimeline = events.Query
	opts.OnEvent = events.Append
	opts.OnReady = func(addr string) { fmt.Fprintln(s.Out, "listening addr="+addr) }
	server, err := sidecar.New(opts)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}

// sidecarOptions converts settings to options, and reads the secret for orders
// from the environment.
func sidecarOptions(cfg settings.Sidecar) (sidecar.Options, error) {
	secret := ""
	if cfg.Target.ChecksOrders {
		secret = os.Getenv(cfg.Target.OrderSecretEnv)
		if secret == "" {
			return sidecar.Options{}, errkind.New(errkind.InvalidRequest, "environment variable %s, which must hold the secret for orders, is not set or is empty", cfg.Target.OrderSecretEnv)
		}
	}
	return sidecar.Options{
		Kind:              sidecar.TargetKind(cfg.Target.Kind),
		Target:            cfg.Target.ID,
		TargetURL:         cfg.Target.URL,
		Model:             cfg.Target.Model,
		Service:           cfg.Target.Service,
		Host:              cfg.Host,
		Domain:            cfg.FailureDomain,
		Listen:            cfg.Listen.RPC,
		Advertise:         cfg.Listen.Advertise,
		HTTPListen:        cfg.Listen.Metrics,
		TargetChecksFence: cfg.Target.HonoursFence,
		OrderSecret:       secret,
		Limits: run.Limits{
			MaxRuns:      int(cfg.Limits.Runs),
			MaxBytes:     cfg.Limits.BufferBytes,
			RunRetention: time.Duration(cfg.Limits.RetainS) * time.Second,
		},
	}, nil
}
