package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/escrow"
	"tarragonridge.example/tarragonridge/internal/listen"
	"tarragonridge.example/tarragonridge/internal/router"
	"tarragonridge.example/tarragonridge/internal/settings"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/standin/forwarder"
	"tarragonridge.example/tarragonridge/internal/standin/freeport"
	"tarragonridge.example/tarragonridge/internal/timeline"
)

const (
	defaultFailureDomain = "local" // of all hosts for which the options name none
	topUpIdempotencyKey  = "dev-start"
)

// writeConfiguration writes the models, services and teams into the platform's
// table. It does not use the admin API, because that generates keys and these
// are fixed.
func (f *Fleet) writeConfiguration(ctx context.Context) error {
	operator := policy.Operator{Name: Operator, KeySHA256: policy.HashKey(OperatorKey)}
	store := configstore.New(configstore.Options{
		Table:     f.newPlatformClient("dev"),
		Logger:    f.logger,
		Operators: []policy.Operator{operator},
	})
	if err := store.Refresh(ctx); err != nil {
		return err
	}
	_, err := store.Change(ctx, store.Version(), Operator, func(c *configstore.Change) error {
		c.Document.Models[Model] = policy.Model{MaxOutputTokens: 4096, ContextTokens: 32768}
		for _, name := range f.opts.Services {
			c.Document.Services[name] = policy.Service{PriceTokens: 10, KeyRequired: true}
		}
		if f.opts.Configure != nil {
			f.opts.Configure(&c.Document)
		}
		for _, t := range f.opts.Teams {
			c.SetTeam(policyTeam(t))
		}
		return nil
	})
	return err
}

// policyTeam returns the configuration of a team.
func policyTeam(t TeamOptions) policy.Team {
	return policy.Team{Name: t.Name, Keys: []policy.TeamKey{{
		ID:        t.Name,
		SHA256:    policy.HashKey(t.Key),
		CreatedUS: time.Now().UnixMicro(),
	}}}
}

// startSidecars starts one sidecar per target. They stop concurrently, because
// each keeps its connections open for a moment to tell the routers that it is
// leaving. It returns once all are registered: a router that is ready knows only the
// targets that were registered when it looked.
func (f *Fleet) startSidecars(ctx context.Context) error {
	var servers []*sidecar.Server
	registered := make(chan struct{}, len(f.targets))
	for i := range f.targets {
		opts, err := f.sidecarOptions(&f.targets[i])
		if err != nil {
			return err
		}
		opts.OnReady = func(string) { registered <- struct{}{} }
		server, err := sidecar.New(opts)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	f.runInBackground(func(ctx context.Context) error {
		group, groupCtx := errgroup.WithContext(ctx)
		for _, server := range servers {
			group.Go(func() error { return server.Run(groupCtx) })
		}
		return group.Wait()
	})
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for range servers {
		select {
		case <-registered:
		case err := <-f.failed:
			return err
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Unreachable, "the sidecars are not registered")
		}
	}
	return nil
}

// sidecarOptions returns the options of a target's sidecar. With UseForwarders it
// also starts the forwarder in front of an engine's sidecar.
func (f *Fleet) sidecarOptions(t *targetStandin) (sidecar.Options, error) {
	kind := sidecar.Engine
	if t.service != "" {
		kind = sidecar.Service
	}
	clock := &hlc.Clock{}
	events := timeline.New(timeline.Options{Process: "sidecar/" + t.id, Clock: clock})
	opts := sidecar.Options{
		Kind:              kind,
		Target:            t.id,
		TargetURL:         t.url,
		Model:             t.model,
		Service:           t.service,
		Host:              t.id,
		Domain:            t.failureDomain,
		Listen:            loopbackAnyPort,
		TargetChecksFence: kind == sidecar.Engine,
		Table:             f.newPlatformClient(t.id),
		HandoverTimeout:   handoverTimeout,
		Logger:            f.logger,
		Clock:             clock,
		QueryTimeline:     events.Query,
		OnEvent:           events.Append,
	}
	if !f.opts.UseForwarders || kind == sidecar.Service {
		return opts, nil
	}
	return opts, f.startForwarder(t, &opts)
}

// startForwarder starts a forwarder in front of a sidecar. Each needs the address
// of the other before it starts, so the sidecar gets a port that the system gives to
// nobody else.
func (f *Fleet) startForwarder(t *targetStandin, opts *sidecar.Options) error {
	var err error
	if opts.Listen, err = freeport.Address(); err != nil {
		return err
	}
	fwd, err := forwarder.Start(loopbackAnyPort, opts.Listen, f.logger)
	if err != nil {
		return err
	}
	f.onStop(func() error { fwd.Close(); return nil })
	opts.Advertise = fwd.Addr()
	t.forwarderControlURL, err = f.serveHandler(fwd.Control())
	return err
}

// startRouters starts all routers. It takes ownership of callerListener, at which
// the first router serves callers. The routers stop concurrently, so that each can
// hand over to its peers.
func (f *Fleet) startRouters(callerListener net.Listener) error {
	var routers []*router.Router
	for i := range f.opts.Routers {
		r, err := f.newRouter(fmt.Sprintf("entry-%d", i+1), callerListener)
		if err != nil {
			return err
		}
		callerListener = nil
		routers = append(routers, r)
	}
	f.runInBackground(func(ctx context.Context) error {
		group, groupCtx := errgroup.WithContext(ctx)
		for _, r := range routers {
			group.Go(func() error { return r.Run(groupCtx) })
		}
		return group.Wait()
	})
	return nil
}

// newRouter returns a router that serves callers on callerListener, or on a free
// port if that is nil, and its peers on a free port.
func (f *Fleet) newRouter(host string, callerListener net.Listener) (*router.Router, error) {
	var err error
	if callerListener == nil {
		if callerListener, err = listen.TCP(loopbackAnyPort, listen.CallerBuffer); err != nil {
			return nil, err
		}
	}
	peerListener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return nil, errors.Join(err, callerListener.Close())
	}
	cfg := settings.DefaultRouter()
	cfg.Host = host
	cfg.FailureDomain = defaultFailureDomain
	cfg.Peers = slices.Clone(f.peerAddrs)
	cfg.Operators = []settings.Operator{{Name: Operator, KeySHA256: policy.HashKey(OperatorKey)}}
	f.publicAddrs = append(f.publicAddrs, callerListener.Addr().String())
	f.peerAddrs = append(f.peerAddrs, peerListener.Addr().String())
	client := f.newPlatformClient(host)
	clock := &hlc.Clock{}
	return router.New(router.Options{
		Settings: cfg,
		Table:    client,
		Objects:  client,
		Hosts:    client,
		Logger:   f.logger,
		Clock:    clock,
		Timeline: timeline.New(timeline.Options{Process: "router/" + host, Clock: clock, Logger: f.logger}),
		// Half of the descriptors are for the rest of the fleet in this process.
		Descriptors: intake.Descriptors{Limit: f.opts.OpenFiles / (2 * f.opts.Routers)},
	}, router.Listeners{Callers: callerListener, Peers: peerListener}), nil
}

func newAdminClient(url string) *admin.Client {
	return admin.New(admin.Options{ServerURL: url, OperatorKey: OperatorKey})
}

// waitReady waits until all routers are ready and can use every target.
func (f *Fleet) waitReady(ctx context.Context) error {
	for {
		reason := f.notReadyReason(ctx)
		if reason == "" {
			return nil
		}
		select {
		case err := <-f.failed:
			return err
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Unreachable, "not ready: %s", reason)
		case <-time.After(readyPollInterval):
		}
	}
}

// notReadyReason returns why some router is not ready or cannot use every target
// yet, or "" if all can.
func (f *Fleet) notReadyReason(ctx context.Context) string {
	for _, url := range f.URLs() {
		if reason := f.routerNotReadyReason(ctx, url); reason != "" {
			return reason
		}
	}
	return ""
}

func (f *Fleet) routerNotReadyReason(ctx context.Context, url string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "router answers " + resp.Status
	}
	targets, err := newAdminClient(url).Targets(ctx)
	if err != nil {
		return err.Error()
	}
	usable := 0
	for _, t := range targets {
		if t.Connected && t.Healthy {
			usable++
		}
	}
	if usable < len(f.targets) {
		return "some targets are not connected or not healthy"
	}
	return ""
}

// topUp adds the prepaid tokens of every team. It does so before a router starts,
// because a router serves callers as soon as it is ready.
func (f *Fleet) topUp(ctx context.Context) error {
	budgets := escrow.New(escrow.Options{Table: f.newPlatformClient("dev"), Logger: f.logger})
	for _, t := range f.opts.Teams {
		if _, err := budgets.TopUp(ctx, t.Name, topUpIdempotencyKey, t.Budget, Operator); err != nil {
			return err
		}
	}
	return nil
}
