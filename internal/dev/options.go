// Package dev runs the whole path from callers to targets in one process on
// loopback, with the stand-ins embedded.
package dev

import (
	"log/slog"
	"net/netip"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
)

// What the process starts with.
const (
	DefaultListen = "127.0.0.1:8080"
	Team          = "demo"
	CallerKey     = "demo-key"
	OperatorKey   = "operator-key"
	Operator      = "operator"
	Model         = "standin-model"
	Service       = "submissions"
	Budget        = 1_000_000 // prepaid tokens of the team
)

const anyPort = "127.0.0.1:0"

// Limits of the fleet.
const (
	maxRouters = 16
	maxEngines = 64
)

// Options configures the process. The zero value starts one router, two engines
// and one service in one failure domain.
type Options struct {
	Listen        string                 // address of the first router for callers, loopback only; default 127.0.0.1:8080, port 0 picks a free one
	Logger        *slog.Logger           // default slog.Default()
	Routers       int                    // default 1
	Engines       []EngineOptions        // default two engines with the parameters of engine.DefaultConfig
	Services      []string               // names; default submissions
	Teams         []TeamOptions          // default the team demo
	UseForwarders bool                   // a forwarder stands in front of each sidecar, for faults of its connections
	Configure     func(*policy.Document) // changes the document before the routers start; default none
}

// EngineOptions configures one engine and the failure domain of its host.
type EngineOptions struct {
	FailureDomain string        // default local
	Config        engine.Config // Listen, Model and Logger are set by the process
}

// TeamOptions is a team with its caller key and prepaid tokens.
type TeamOptions struct {
	Name   string
	Key    string
	Budget int64
}

// Validate reports a fleet that is too large or a callers' address that is not
// on loopback. The keys are published, so other hosts must not reach the
// process.
func (o Options) Validate() error {
	addr, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "listen address %q is not IP:port, such as %s", o.Listen, DefaultListen)
	}
	if !addr.Addr().IsLoopback() {
		return errkind.New(errkind.InvalidRequest, "listen address %s is not a loopback address; dev has published keys and serves this host only", o.Listen)
	}
	if o.Routers < 0 || o.Routers > maxRouters {
		return errkind.New(errkind.InvalidRequest, "%d routers; at most %d are possible", o.Routers, maxRouters)
	}
	if len(o.Engines) > maxEngines {
		return errkind.New(errkind.InvalidRequest, "%d engines; at most %d are possible", len(o.Engines), maxEngines)
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = DefaultListen
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Routers == 0 {
		o.Routers = 1
	}
	if o.Engines == nil {
		o.Engines = defaultEngines()
	}
	if o.Services == nil {
		o.Services = []string{Service}
	}
	if o.Teams == nil {
		o.Teams = []TeamOptions{{Name: Team, Key: CallerKey, Budget: Budget}}
	}
	return o
}

func defaultEngines() []EngineOptions {
	engines := make([]EngineOptions, 2)
	for i := range engines {
		engines[i] = EngineOptions{FailureDomain: domain, Config: engine.DefaultConfig()}
		engines[i].Config.Sim.Seed = uint64(i + 1)
	}
	return engines
}
