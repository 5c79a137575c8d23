package cli

import (
	"net"
	"os/signal"
	"syscall"

	"tarragonridge.example/tarragonridge/internal/relay"
	"tarragonridge.example/tarragonridge/internal/settings"
)

// relayCmd runs a relay until SIGTERM or SIGINT.
type relayCmd struct {
	settingsFlags
}

// Run runs the relay.
func (c *relayCmd) Run(s *Streams) error {
	overrides, err := c.overrides()
	if err != nil {
		return err
	}
	cfg, err := settings.LoadRelay(c.Config, overrides...)
	if err != nil {
		return err
	}
	log, _ := newLeveledLogger(s.Err, cfg.LogLevel)
	limitMemory(cfg.Limits.MemoryMB)
	signal.Ignore(syscall.SIGHUP) // nothing in the settings can change while it runs
	ctx, stop := signalContext()
	defer stop()
	ln, err := net.Listen("tcp", cfg.Listen.Routers)
	if err != nil {
		return err
	}
	log.Info("started", "host", cfg.Host, "listen", ln.Addr(), "store", cfg.Store.Address)
	server := &relay.Server{StoreAddress: cfg.Store.Address, Logger: log}
	err = server.Serve(ctx, ln)
	log.Info("stopped")
	return err
}
