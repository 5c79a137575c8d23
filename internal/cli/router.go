package cli

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os/signal"
	"syscall"

	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/listen"
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
	surviveBrokenLog()
	signal.Ignore(syscall.SIGHUP) // no setting can change at run time
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
	listeners, err := openRouterListeners(cfg.Listen)
	if err != nil {
		return err
	}
	client := newPlatformClient(cfg.Platform, cfg.Host)
	defer client.Close()
	clock := &hlc.Clock{}
	r := router.New(router.Options{
		Settings: cfg,
		Table:    client,
		Objects:  client,
		Hosts:    client,
		Logger:   log,
		Clock:    clock,
		// The listeners for peers and metrics count as side listeners.
		Descriptors: intake.Descriptors{Limit: openFiles(0), SideListeners: 2},
		Timeline:    timeline.New(timeline.Options{Process: "router/" + cfg.Host, Clock: clock, Logger: log}),
	}, listeners)
	if _, err := fmt.Fprintln(s.Out, routerReadyLine(listeners)); err != nil {
		return err
	}
	return r.Run(ctx)
}

// openRouterListeners opens the listeners of a router. If one fails, it closes
// those already open. An empty address gets no listener.
func openRouterListeners(addresses settings.RouterListen) (listeners router.Listeners, err error) {
	bindings := []struct {
		addr string
		ln   *net.Listener
	}{{addresses.Callers, &listeners.Callers}, {addresses.Peers, &listeners.Peers}, {addresses.Metrics, &listeners.Metrics}}
	for _, binding := range bindings {
		if binding.addr == "" {
			continue
		}
		if *binding.ln, err = listen.TCP(binding.addr, listen.CallerBuffer); err != nil {
			closeRouterListeners(listeners)
			return router.Listeners{}, err
		}
	}
	return listeners, nil
}

func closeRouterListeners(l router.Listeners) {
	for _, ln := range []net.Listener{l.Callers, l.Peers, l.Metrics} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// routerReadyLine returns the line that announces the addresses of a router.
func routerReadyLine(l router.Listeners) string {
	line := fmt.Sprintf("listening addr=%s peers=%s", l.Callers.Addr(), l.Peers.Addr())
	if l.Metrics != nil {
		line += fmt.Sprintf(" metrics=%s", l.Metrics.Addr())
	}
	return line
}
