package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/standin/forwarder"
	platformstandin "tarragonridge.example/tarragonridge/internal/standin/platform"
	"tarragonridge.example/tarragonridge/internal/standin/service"
)

const (
	standinHeaderTimeout = 5 * time.Second
	// standinStopTimeout bounds the wait for calls in progress at shutdown, because
	// an injected fault can make a call last forever.
	standinStopTimeout = 5 * time.Second
)

type standinCmd struct {
	Platform  standinPlatformCmd  `cmd:"" help:"Run the stand-in platform."`
	Engine    standinEngineCmd    `cmd:"" help:"Run a stand-in model engine."`
	Service   standinServiceCmd   `cmd:"" help:"Run a stand-in service."`
	Forwarder standinForwarderCmd `cmd:"" help:"Run a TCP relay that can be faulty."`
}

type standinPlatformCmd struct {
	Listen           string        `help:"Address to listen on." default:"127.0.0.1:0"`
	WritesPerSecond  float64       `help:"Rate limit of table commits and object puts." default:"500"`
	ReadsPerSecond   float64       `help:"Rate limit of reads." default:"2000"`
	WeightsPerSecond float64       `help:"Rate limit of the weight store." default:"2"`
	HostLag          time.Duration `help:"Delay until an edit of the host list is visible." default:"0s"`
	Hosts            string        `help:"JSON file with the initial host list." type:"existingfile"`
	Weights          string        `help:"JSON file with the contents of the weight store." type:"existingfile"`
}

// Validate checks the flags. Kong calls it after parsing.
func (c *standinPlatformCmd) Validate() error {
	if c.WritesPerSecond <= 0 || c.ReadsPerSecond <= 0 || c.WeightsPerSecond <= 0 {
		return errors.New("rate limits must be positive")
	}
	if c.HostLag < 0 {
		return errors.New("--host-lag must not be negative")
	}
	return nil
}

// Run serves until SIGTERM or SIGINT.
func (c *standinPlatformCmd) Run(s *Streams) error {
	var hosts []platform.Host
	if err := readJSONFile(c.Hosts, &hosts); err != nil {
		return err
	}
	var weights []platform.Weights
	if err := readJSONFile(c.Weights, &weights); err != nil {
		return err
	}
	server := platformstandin.New(platformstandin.Options{
		WritesPerSecond:  c.WritesPerSecond,
		ReadsPerSecond:   c.ReadsPerSecond,
		WeightsPerSecond: c.WeightsPerSecond,
		HostLag:          c.HostLag,
		Hosts:            hosts,
		Weights:          weights,
		Log:              newStandinLogger(s.Err),
	})
	defer server.Close()
	return serveStandin(s.Out, c.Listen, server)
}

// readJSONFile decodes a JSON file into dst. An empty path leaves dst unchanged.
func readJSONFile(path string, dst any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

type standinServiceCmd struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0"`
}

// Run serves until SIGTERM or SIGINT.
func (c *standinServiceCmd) Run(s *Streams) error {
	return serveStandin(s.Out, c.Listen, service.New(newStandinLogger(s.Err)))
}

type standinForwarderCmd struct {
	Listen  string `help:"Address to accept connections on." default:"127.0.0.1:0"`
	Target  string `help:"Address to relay connections to." required:""`
	Control string `help:"Address of the control API." default:"127.0.0.1:0"`
}

// Run relays connections until SIGTERM or SIGINT.
func (c *standinForwarderCmd) Run(s *Streams) error {
	relay, err := forwarder.Start(c.Listen, c.Target, newStandinLogger(s.Err))
	if err != nil {
		return err
	}
	defer relay.Close()
	listener, err := net.Listen("tcp", c.Control)
	if err != nil {
		return err
	}
	ready := fmt.Sprintf("listening addr=%s control=%s", relay.Addr(), listener.Addr())
	return serveUntilSignal(s.Out, ready, listener, relay.Control())
}

func newStandinLogger(w io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, nil))
}

// serveStandin serves handler on addr until SIGTERM or SIGINT.
func serveStandin(out io.Writer, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return serveUntilSignal(out, fmt.Sprintf("listening addr=%s", listener.Addr()), listener, handler)
}

// serveUntilSignal prints the ready line and serves until SIGTERM or SIGINT. It
// then waits up to standinStopTimeout for the calls in progress.
func serveUntilSignal(out io.Writer, ready string, listener net.Listener, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	if _, err := fmt.Fprintln(out, ready); err != nil {
		_ = server.Close()
		return err
	}
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}
