package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/run"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/sidecar"
)

// newTable opens the platform's table at a URL.
var newTable = func(url string) (platform.Table, error) {
	return nil, errkind.New(errkind.Internal, "this build has no table client for %s", url)
}

// sidecarCmd runs a sidecar until SIGTERM or SIGINT.
type sidecarCmd struct {
	Listen        string        `default:"127.0.0.1:0" help:"Address for routers."`
	Advertise     string        `help:"Address that routers dial, if it differs from the one listened on."`
	HTTPListen    string        `name:"http-listen" help:"Address for metrics and health."`
	Target        string        `required:"" help:"Id of the target."`
	TargetURL     string        `name:"target-url" required:"" help:"Base URL of the target."`
	Kind          string        `enum:"engine,service" default:"engine" help:"Kind of the target: ${enum}."`
	Model         string        `help:"Model of an engine."`
	Service       string        `help:"Service of a service target."`
	Host          string        `required:"" help:"Name of this host."`
	Domain        string        `required:"" help:"Failure domain of this host."`
	PlatformURL   string        `name:"platform-url" required:"" help:"Base URL of the platform."`
	HonourFence   bool          `name:"honour-fence" help:"The target checks fencing numbers itself."`
	OrderSecret   string        `name:"order-secret" env:"TARRAGONRIDGE_ORDER_SECRET" help:"Bearer token that the target wants with orders."`
	MaxRuns       int           `name:"max-runs" help:"Runs in progress at once; 0 means 256."`
	MaxBytes      int64         `name:"max-bytes" help:"Bytes of buffered answers; 0 means 16 MiB."`
	StallAfter    time.Duration `name:"stall-after" help:"A target that sends nothing this long has failed; 0 means 2m."`
	HandoverLimit time.Duration `name:"handover-limit" help:"Longest wait for durable records at shutdown; 0 means 30s."`
}

// Run runs the sidecar.
func (c *sidecarCmd) Run(s *Streams) error {
	table, err := newTable(c.PlatformURL)
	if err != nil {
		return err
	}
	opts := c.options()
	opts.Table = table
	opts.Logger = slog.New(slog.NewTextHandler(s.Err, nil))
	opts.Ready = func(addr string) { fmt.Fprintln(s.Out, "listening addr="+addr) }
	server, err := sidecar.New(opts)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return server.Run(ctx)
}

func (c *sidecarCmd) options() sidecar.Options {
	return sidecar.Options{
		Kind:          sidecar.TargetKind(c.Kind),
		Target:        c.Target,
		TargetURL:     c.TargetURL,
		Model:         c.Model,
		Service:       c.Service,
		Host:          c.Host,
		Domain:        c.Domain,
		Listen:        c.Listen,
		Advertise:     c.Advertise,
		HTTPListen:    c.HTTPListen,
		HonourFence:   c.HonourFence,
		OrderSecret:   c.OrderSecret,
		Limits:        run.Limits{MaxRuns: c.MaxRuns, MaxBytes: c.MaxBytes},
		StallAfter:    c.StallAfter,
		HandoverLimit: c.HandoverLimit,
	}
}
