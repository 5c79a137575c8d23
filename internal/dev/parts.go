package dev

import (
	"context"
	"errors"
	"net"
	"net/http"
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
	"tarragonridge.example/tarragonridge/internal/timeline"
)

const (
	routerHost = "entry-1"
	domain     = "local"
	topUpKey   = "dev-start"
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
		c.Document.Services[Service] = policy.Service{PriceTokens: 10, KeyRequired: true}
		c.SetTeam(policy.Team{Name: Team, Keys: []policy.TeamKey{{
			ID:        "demo",
			SHA256:    policy.HashKey(CallerKey),
			CreatedUS: time.Now().UnixMicro(),
		}}})
		return nil
	})
	return err
}

// startSidecars starts one sidecar per target. They stop together, because
// each keeps its connections for a moment to tell the routers.
func (f *Fleet) startSidecars() error {
	var servers []*sidecar.Server
	for _, t := range f.targets {
		server, err := sidecar.New(f.sidecarOptions(t))
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

func (f *Fleet) sidecarOptions(t target) sidecar.Options {
	kind := sidecar.Engine
	if t.service != "" {
		kind = sidecar.Service
	}
	clock := &hlc.Clock{}
	ring := timeline.New(timeline.Options{Process: "sidecar/" + t.id, Clock: clock})
	return sidecar.Options{
		Kind:          kind,
		Target:        t.id,
		TargetURL:     t.url,
		Model:         t.model,
		Service:       t.service,
		Host:          t.id,
		Domain:        domain,
		Listen:        anyPort,
		HonourFence:   kind == sidecar.Engine,
		Table:         f.client(t.id),
		HandoverLimit: handoverLimit,
		Logger:        f.log,
		Clock:         clock,
		Timeline:      ring.Query,
		Event:         ring.Append,
	}
}

// startRouter takes over the callers' listener.
func (f *Fleet) startRouter(callers net.Listener) error {
	peers, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	cfg := settings.DefaultRouter()
	cfg.Host = routerHost
	cfg.FailureDomain = domain
	cfg.Operators = []settings.Operator{{Name: Operator, KeySHA256: policy.HashKey(OperatorKey)}}
	client := f.client(routerHost)
	clock := &hlc.Clock{}
	r := router.New(router.Options{
		Settings: cfg,
		Table:    client,
		Objects:  client,
		Hosts:    client,
		Logger:   f.log,
		Clock:    clock,
		Timeline: timeline.New(timeline.Options{Process: "router/" + routerHost, Clock: clock, Logger: f.log}),
	}, router.Listeners{Callers: callers, Peers: peers})
	f.background(r.Run)
	return nil
}

func (f *Fleet) operator() *admin.Client {
	return admin.New(admin.Options{Server: f.URL(), Key: OperatorKey})
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

func (f *Fleet) notReady(ctx context.Context) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL()+"/readyz", nil)
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
	targets, err := f.operator().Targets(ctx)
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
	_, err := f.operator().TopUp(ctx, Team, topUpKey, Budget)
	return err
}
