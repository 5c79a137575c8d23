package cli

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/router"
	"tarragonridge.example/tarragonridge/internal/settings"
	"tarragonridge.example/tarragonridge/internal/timeline"
)

// routerCmd runs a router until SIGTERM or SIGINT.
type routerCmd struct {
	settingsFlags
}

// Run runs the router.
func (c *routerCmd) Run(s *Streams) error {
	overrides, err := c.overrides()
	if err != nil {
		return err
	}
	cfg, err := settings.LoadRouter(c.Config, overrides...)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return runRouter(ctx, *cfg, newLogger(s.Err, cfg.LogLevel), s)
}

func runRouter(ctx context.Context, cfg settings.Router, log *slog.Logger, s *Streams) error {
	callers, err := net.Listen("tcp", cfg.Listen.Callers)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", cfg.Listen.Peers)
	if err != nil {
		_ = callers.Close()
		return err
	}
	client := newPlatformClient(cfg.Platform, cfg.Host)
	defer client.Close()
	clock := &hlc.Clock{}
	r := router.New(router.Options{
		Settings: cfg,
		Table:    client,
		Hosts:    client,
		Logger:   log,
		Clock:    clock,
		Timeline: timeline.New(timeline.Options{Process: "router/" + cfg.Host, Clock: clock, Logger: log}),
	}, router.Listeners{Callers: callers, Peers: peers})
	if _, err := fmt.Fprintf(s.Out, "listening addr=%s peers=%s\n", callers.Addr(), peers.Addr()); err != nil {
		return err
	}
	return r.Run(ctx)
}
