package dev

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/listen"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
	platformstandin "tarragonridge.example/tarragonridge/internal/standin/platform"
	"tarragonridge.example/tarragonridge/internal/standin/service"
)

const (
	readHeaderTimeout = 5 * time.Second
	// How long a stand-in that is being stopped waits for open calls. The sidecars
	// have stopped by then.
	standinStopTimeout = 2 * time.Second
	// How long a stopping sidecar waits until the routers have acknowledged its
	// records as durable. It is short, because the routers stop first and have
	// flushed their records by then.
	handoverTimeout   = 2 * time.Second
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Fleet is a running fleet: stand-ins, sidecars and routers.
type Fleet struct {
	logger      *slog.Logger
	opts        Options
	publicAddrs []string // addresses at which the routers serve callers and operators
	peerAddrs   []string // RPC addresses of the routers
	platformURL string   // base URL of the platform
	engines     []*engine.Server
	targets     []targetStandin
	stopFuncs   []func() error // called in reverse order by Stop
	failed      chan error     // holds the error of the first component that ended unexpectedly
}

// targetStandin is a stand-in engine or service, which gets a sidecar. With
// Options.UseForwarders, the routers reach an engine's sidecar through a forwarder:
// a TCP proxy that injects connection faults, which are set by its control API.
type targetStandin struct {
	id                  string
	url                 string
	failureDomain       string
	forwarderControlURL string // base URL of the forwarder's control API; empty without a forwarder
	// Exactly one of model and service is set.
	model   string
	service string
}

// Start writes the configuration and the budgets, starts all components and waits
// until requests are served. If it fails, it stops what it has started.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	opts = opts.withDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	f := &Fleet{logger: opts.Logger, opts: opts, failed: make(chan error, 1)}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	// Listen for callers first: this address may already be in use, while all other
	// listeners use any free port.
	callerListener, err := listen.TCP(f.opts.Listen, listen.CallerBuffer)
	if err != nil {
		return err
	}
	if err := f.startTargets(ctx); err != nil {
		return errors.Join(err, callerListener.Close())
	}
	if err := f.startRouters(callerListener); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return f.waitReady(ctx)
}

func (f *Fleet) startTargets(ctx context.Context) error {
	if err := f.startStandins(); err != nil {
		return err
	}
	if err := f.writeConfiguration(ctx); err != nil {
		return err
	}
	if err := f.topUp(ctx); err != nil {
		return err
	}
	return f.startSidecars(ctx)
}

// URL returns the base URL of the first router, for callers and operators.
func (f *Fleet) URL() string { return f.URLs()[0] }

// URLs returns the base URLs of all routers.
func (f *Fleet) URLs() []string {
	var out []string
	for _, addr := range f.publicAddrs {
		out = append(out, "http://"+addr)
	}
	return out
}

// PlatformURL returns the base URL of the platform.
func (f *Fleet) PlatformURL() string { return f.platformURL }

// ServiceURLs returns the base URLs of the stand-in services, for calls that bypass
// the sidecars.
func (f *Fleet) ServiceURLs() []string {
	var out []string
	for _, t := range f.targets {
		if t.service != "" {
			out = append(out, t.url)
		}
	}
	return out
}

// ForwarderControlURLs returns the base URLs of the control APIs of the
// forwarders in one failure domain, or in all of them if failureDomain is empty.
func (f *Fleet) ForwarderControlURLs(failureDomain string) []string {
	var out []string
	for _, t := range f.targets {
		if (failureDomain == "" || t.failureDomain == failureDomain) && t.forwarderControlURL != "" {
			out = append(out, t.forwarderControlURL)
		}
	}
	return out
}

// EngineURLs returns the base URLs of the stand-in engines, for calls that bypass
// the sidecars.
func (f *Fleet) EngineURLs() []string {
	var out []string
	for _, e := range f.engines {
		out = append(out, e.URL())
	}
	return out
}

// Failed returns a channel that receives the error of the first component that
// ends before Stop is called.
func (f *Fleet) Failed() <-chan error { return f.failed }

// Stop waits until the requests in progress have finished and are settled, and
// stops all components.
func (f *Fleet) Stop() error {
	var errs []error
	for i := len(f.stopFuncs) - 1; i >= 0; i-- {
		errs = append(errs, f.stopFuncs[i]())
	}
	f.stopFuncs = nil
	return errors.Join(errs...)
}

func (f *Fleet) onStop(stop func() error) { f.stopFuncs = append(f.stopFuncs, stop) }

// runInBackground runs a component until Stop cancels its context. A component
// that returns earlier is reported as failed.
func (f *Fleet) runInBackground(run func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		err := run(ctx)
		if ctx.Err() == nil {
			f.reportFailure(err)
		}
		done <- err
	}()
	f.onStop(func() error {
		stop()
		return <-done
	})
}

func (f *Fleet) reportFailure(err error) {
	if err == nil {
		err = errors.New("a component of the fleet ended unexpectedly")
	}
	select {
	case f.failed <- err:
	default: // an earlier failure has already been reported
	}
}

func (f *Fleet) startStandins() error {
	server := platformstandin.New(platformstandin.Options{Log: f.logger})
	f.onStop(func() error { server.Close(); return nil })
	var err error
	if f.platformURL, err = f.serveHandler(server); err != nil {
		return err
	}
	for i, opts := range f.opts.Engines {
		if err := f.startEngine(fmt.Sprintf("engine-%d", i+1), opts); err != nil {
			return err
		}
	}
	for _, name := range f.opts.Services {
		url, err := f.serveHandler(service.New(f.logger))
		if err != nil {
			return err
		}
		f.targets = append(f.targets, targetStandin{id: name + "-1", url: url, failureDomain: defaultFailureDomain, service: name})
	}
	return nil
}

func (f *Fleet) startEngine(id string, opts EngineOptions) error {
	config := opts.Config
	config.Listen = loopbackAnyPort
	config.Model = Model
	config.Logger = f.logger
	server, err := engine.Start(config)
	if err != nil {
		return err
	}
	f.onStop(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
		defer cancel()
		return server.Shutdown(ctx)
	})
	f.engines = append(f.engines, server)
	f.targets = append(f.targets, targetStandin{id: id, url: server.URL(), failureDomain: cmp.Or(opts.FailureDomain, defaultFailureDomain), model: Model})
	return nil
}

// serveHandler serves handler on a free loopback port and returns the base URL.
func (f *Fleet) serveHandler(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	f.runInBackground(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { shutDownServer(server) })
		defer stop()
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return "http://" + ln.Addr().String(), nil
}

// shutDownServer waits for the calls in progress, but cuts them off after
// standinStopTimeout, because an injected fault of a stand-in can make a call
// last forever.
func shutDownServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// newPlatformClient returns a client of the platform for the component on a
// host. Stop closes it.
func (f *Fleet) newPlatformClient(host string) *platform.Client {
	client := platform.NewClient(platform.Options{BaseURL: f.platformURL, Host: host})
	f.onStop(func() error { client.Close(); return nil })
	return client
}
