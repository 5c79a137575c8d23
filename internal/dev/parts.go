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
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/router"
	"tarragonridge.example/tarragonridge/internal/settings"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/standin/forwarder"
	"tarragonridge.example/tarragonridge/internal/timeline"
)

const (
	domain   = "local" // of all hosts, unless the options name another
	topUpKey = "dev-start"
)

// configure writes the model, the service and the team. The keys are fixed, so
// they cannot come from the admin API, which generates keys.
func (f *Fleet) configure(ctx context.Context) error {
	operator := policy.Operator{Name: Operator, KeySHA256: policy.HashKey(OperatorKey)}
	store := configstore.New(configstore.Options{
		Table:     f.client("dev"),
		Logger:    f.log,
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
			c.SetTeam(teamOf(t))
		}
		return nil
	})
	return err
}

func teamOf(t TeamOptions) policy.Team {
	return policy.Team{Name: t.Name, Keys: []policy.TeamKey{{
		ID:        t.Name,
		SHA256:    policy.HashKey(t.Key),
		CreatedUS: time.Now().UnixMicro(),
	}}}
}

// startSidecars starts one sidecar per target. They stop together, because
// each keeps its connections for a moment to tell the routers.
func (f *Fleet) startSidecars() error {
	var servers []*sidecar.Server
	for i := range f.targets {
		opts, err := f.sidecarOptions(&f.targets[i])
		if err != nil {
			return err
		}
		server, err := sidecar.New(opts)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	f.background(func(ctx context.Context) error {
		group, groupCtx := errgroup.WithContext(ctx)
		for _, server := range servers {
			group.Go(func() error { return server.Run(groupCtx) })
		}
		return group.Wait()
	})
	return nil
}

func (f *Fleet) sidecarOptions(t *target) (sidecar.Options, error) {
	kind := sidecar.Engine
	if t.service != "" {
		kind = sidecar.Service
	}
	clock := &hlc.Clock{}
	ring := timeline.New(timeline.Options{Process: "sidecar/" + t.id, Clock: clock})
	opts := sidecar.Options{
		Kind:              kind,
		Target:            t.id,
		TargetURL:         t.url,
		Model:             t.model,
		Service:           t.service,
		Host:              t.id,
		Domain:            t.domain,
		Listen:            anyPort,
		TargetChecksFence: kind == sidecar.Engine,
		Table:             f.client(t.id),
		HandoverTimeout:   handoverLimit,
		Logger:            f.log,
		Clock:             clock,
		QueryTimeline:     ring.Query,
		OnEvent:           ring.Append,
	}
	if !f.opts.UseForwarders || kind == sidecar.Service {
		return opts, nil
	}
	return opts, f.startForwarder(t, &opts)
}

// startForwarder puts a forwarder in front of a sidecar. The forwarder needs
// the sidecar's address and the sidecar needs the forwarder's, so the sidecar
// gets a port that has just been free.
func (f *Fleet) startForwarder(t *target, opts *sidecar.Options) error {
	free, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	opts.Listen = free.Addr().String()
	if err := free.Close(); err != nil {
		return err
	}
	relay, err := forwarder.Start(anyPort, opts.Listen, f.log)
	if err != nil {
		return err
	}
	f.onStop(func() error { relay.Close(); return nil })
	opts.Advertise = relay.Addr()
	t.relay, err = f.serve(relay.Control())
	return err
}

// startRouters takes over the first router's listener for callers. The routers
// stop together, so that each can hand over to its peers.
func (f *Fleet) startRouters(callers net.Listener) error {
	var routers []*router.Router
	for i := range f.opts.Routers {
		r, err := f.newRouter(fmt.Sprintf("entry-%d", i+1), callers)
		if err != nil {
			return err
		}
		callers = nil
		routers = append(routers, r)
	}
	f.background(func(ctx context.Context) error {
		group, groupCtx := errgroup.WithContext(ctx)
		for _, r := range routers {
			group.Go(func() error { return r.Run(groupCtx) })
		}
		return group.Wait()
	})
	return nil
}

// newRouter binds the addresses of a router; callers may be nil.
func (f *Fleet) newRouter(host string, callers net.Listener) (*router.Router, error) {
	var err error
	if callers == nil {
		if callers, err = net.Listen("tcp", anyPort); err != nil {
			return nil, err
		}
	}
	peers, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, errors.Join(err, callers.Close())
	}
	cfg := settings.DefaultRouter()
	cfg.Host = host
	cfg.FailureDomain = domain
	cfg.Peers = slices.Clone(f.peers)
	cfg.Operators = []settings.Operator{{Name: Operator, KeySHA256: policy.HashKey(OperatorKey)}}
	f.callers = append(f.callers, callers.Addr().String())
	f.peers = append(f.peers, peers.Addr().String())
	client := f.client(host)
	clock := &hlc.Clock{}
	return router.New(router.Options{
		Settings: cfg,
		Table:    client,
		Objects:  client,
		Hosts:    client,
		Logger:   f.log,
		Clock:    clock,
		Timeline: timeline.New(timeline.Options{Process: "router/" + host, Clock: clock, Logger: f.log}),
	}, router.Listeners{Callers: callers, Peers: peers}), nil
}

func operator(url string) *admin.Client {
	return admin.New(admin.Options{ServerURL: url, OperatorKey: OperatorKey})
}

// waitReady returns once the router is ready and every target is usable.
func (f *Fleet) waitReady(ctx context.Context) error {
	for {
		reason := f.notReady(ctx)
		if reason == "" {
			return nil
		}
		select {
		case err := <-f.failed:
			return err
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Unreachable, "not ready: %s", reason)
		case <-time.After(readyPoll):
		}
	}
}

// notReady returns why a router does not serve all targets yet.
func (f *Fleet) notReady(ctx context.Context) string {
	for _, url := range f.URLs() {
		if reason := f.routerNotReady(ctx, url); reason != "" {
			return reason
		}
	}
	return ""
}

func (f *Fleet) routerNotReady(ctx context.Context, url string) string {
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
	targets, err := operator(url).Targets(ctx)
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
		return "some targets are not connected"
	}
	return ""
}

func (f *Fleet) topUp(ctx context.Context) error {
	for _, t := range f.opts.Teams {
		if _, err := operator(f.URL()).TopUp(ctx, t.Name, topUpKey, t.Budget); err != nil {
			return err
		}
	}
	return nil
}
