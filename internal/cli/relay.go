package cli

import (
	"net"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	coreplacement "tarragonridge.example/tarragonridge/internal/core/placement"
	"tarragonridge.example/tarragonridge/internal/listen"
	"tarragonridge.example/tarragonridge/internal/placement"
	"tarragonridge.example/tarragonridge/internal/relay"
	"tarragonridge.example/tarragonridge/internal/settings"
)

// relayCmd runs a relay until SIGTERM or SIGINT.
type relayCmd struct {
	settingsFlags
}

// Run runs the relay.
func (c *relayCmd) Run(s *Streams) error {
	surviveBrokenLog()
	signal.Ignore(syscall.SIGHUP) // no setting can change at run time
	overrides, err := c.overrides()
	if err != nil {
		return err
	}
	cfg, err := settings.LoadRelay(c.Config, overrides...)
	if err != nil {
		return err
	}
	log, _ := newAdjustableLogger(s.Err, cfg.LogLevel)
	setMemoryLimit(cfg.Limits.MemoryMB)
	ctx, stop := signalContext()
	defer stop()
	ln, err := listen.TCP(cfg.Listen.Routers, listen.CallerBuffer)
	if err != nil {
		return err
	}
	udpAddress, err := net.ResolveUDPAddr("udp", ln.Addr().String())
	if err != nil {
		return err
	}
	messages, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return err
	}
	log.Info("started", "host", cfg.Host, "listen", ln.Addr(), "store", cfg.Store.Address)
	server := &relay.Server{StoreAddress: cfg.Store.Address, Logger: log, OpenFiles: openFiles(0)}
	queue := &placement.Server{Queue: coreplacement.NewQueue(), Logger: log}
	servers, serversCtx := errgroup.WithContext(ctx)
	servers.Go(func() error { return server.Serve(serversCtx, ln) })
	servers.Go(func() error { return queue.Serve(serversCtx, messages) })
	err = servers.Wait()
	log.Info("stopped")
	return err
}
