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

	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
	platformstandin "tarragonridge.example/tarragonridge/internal/standin/platform"
	"tarragonridge.example/tarragonridge/internal/standin/service"
)

const (
	headerTimeout = 5 * time.Second
	standinStop   = 2 * time.Second // for calls at the stand-ins when the sidecars have ended
	handoverLimit = 2 * time.Second // the router has flushed before the sidecars stop
	readyLimit    = 15 * time.Second
	readyPoll     = 50 * time.Millisecond
)

// Fleet is the running process.
type Fleet struct {
	log     *slog.Logger
	opts    Options
	callers []string // addresses of the routers for callers
	peers   []string // rpc addresses of the routers
	table   string   // base URL of the platform
	engines []*engine.Server
	targets []target
	stops   []func() error // run in reverse order
	failed  chan error
}

// target is a stand-in that gets a sidecar.
type target struct {
	id     string
	url    string
	domain string
	relay  string // base URL of the forwarder's control; empty without one
	// One of the two is set.
	model   string
	service string
}

// Start starts all parts and waits until requests are served.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	opts = opts.withDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	f := &Fleet{log: opts.Logger, opts: opts, failed: make(chan error, 1)}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	// The callers' address comes first, because it is the one that may be taken.
	callers, err := net.Listen("tcp", f.opts.Listen)
	if err != nil {
		return err
	}
	if err := f.startTargets(ctx); err != nil {
		return errors.Join(err, callers.Close())
	}
	if err := f.startRouters(callers); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	return f.topUp(ctx)
}

func (f *Fleet) startTargets(ctx context.Context) error {
	if err := f.startStandins(); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	return f.startSidecars()
}

// URL returns the base URL of the first router for callers and operators.
func (f *Fleet) URL() string { return f.URLs()[0] }

// URLs returns the base URLs of all routers.
func (f *Fleet) URLs() []string {
	var out []string
	for _, addr := range f.callers {
		out = append(out, "http://"+addr)
	}
	return out
}

// PlatformURL returns the base URL of the platform.
func (f *Fleet) PlatformURL() string { return f.table }

// ServiceURLs returns the base URLs of the services' own endpoints.
func (f *Fleet) ServiceURLs() []string {
	var out []string
	for _, t := range f.targets {
		if t.service != "" {
			out = append(out, t.url)
		}
	}
	return out
}

// ForwarderControlURLs returns the control URLs of the forwarders in front of a failure
// domain's sidecars, or of all sidecars if the domain is empty.
func (f *Fleet) ForwarderControlURLs(domain string) []string {
	var out []string
	for _, t := range f.targets {
		if (domain == "" || t.domain == domain) && t.relay != "" {
			out = append(out, t.relay)
		}
	}
	return out
}

// EngineURLs returns the base URLs of the engines' own endpoints.
func (f *Fleet) EngineURLs() []string {
	var out []string
	for _, e := range f.engines {
		out = append(out, e.URL())
	}
	return out
}

// Failed receives the error of a part that has ended by itself.
func (f *Fleet) Failed() <-chan error { return f.failed }

// Stop finishes the requests in progress, settles them and ends all parts.
func (f *Fleet) Stop() error {
	var errs []error
	for i := len(f.stops) - 1; i >= 0; i-- {
		errs = append(errs, f.stops[i]())
	}
	f.stops = nil
	return errors.Join(errs...)
}

func (f *Fleet) onStop(stop func() error) { f.stops = append(f.stops, stop) }

// background runs a part until Stop ends its context.
func (f *Fleet) background(run func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		err := run(ctx)
		if ctx.Err() == nil {
			f.fail(err)
		}
		done <- err
	}()
	f.onStop(func() error {
		stop()
		return <-done
	})
}

func (f *Fleet) fail(err error) {
	if err == nil {
		err = errors.New("a part has ended by itself")
	}
	select {
	case f.failed <- err:
	default: // an earlier failure is reported already
	}
}

func (f *Fleet) startStandins() error {
	server := platformstandin.New(platformstandin.Options{Log: f.log})
	f.onStop(func() error { server.Close(); return nil })
	var err error
	if f.table, err = f.serve(server); err != nil {
		return err
	}
	for i, opts := range f.opts.Engines {
		if err := f.startEngine(fmt.Sprintf("engine-%d", i+1), opts); err != nil {
			return err
		}
	}
	for _, name := range f.opts.Services {
		url, err := f.serve(service.New(f.log))
		if err != nil {
			return err
		}
		f.targets = append(f.targets, target{id: name + "-1", url: url, domain: domain, service: name})
	}
	return nil
}

func (f *Fleet) startEngine(id string, opts EngineOptions) error {
	config := opts.Config
	config.Listen = anyPort
	config.Model = Model
	config.Logger = f.log
	server, err := engine.Start(config)
	if err != nil {
		return err
	}
	f.onStop(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), standinStop)
		defer cancel()
		return server.Shutdown(ctx)
	})
	f.engines = append(f.engines, server)
	f.targets = append(f.targets, target{id: id, url: server.URL(), domain: cmp.Or(opts.FailureDomain, domain), model: Model})
	return nil
}

// serve serves a stand-in on a free port and returns its base URL.
func (f *Fleet) serve(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	f.background(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { shutdown(server) })
		defer stop()
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return "http://" + ln.Addr().String(), nil
}

// shutdown closes calls that outlast the limit, because a fault of a stand-in
// can make them last for ever.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), standinStop)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// client opens the platform for one part.
func (f *Fleet) client(host string) *platform.Client {
	client := platform.NewClient(platform.Options{BaseURL: f.table, Host: host})
	f.onStop(func() error { client.Close(); return nil })
	return client
}
