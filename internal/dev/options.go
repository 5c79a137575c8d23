// Package dev runs a whole fleet, from callers to targets, in one process on
// loopback addresses. The platform, the engines and the services are embedded
// stand-ins.
package dev

import (
	"log/slog"
	"net/netip"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
)

// Defaults, and the fixed names and keys of the fleet.
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

// loopbackAnyPort lets the system pick a free port.
const loopbackAnyPort = "127.0.0.1:0"

// Limits of the size of a fleet.
const (
	maxRouters = 16
	maxEngines = 64
)

// Options configures a fleet. The zero value stands for one router, two engines
// and one service in one failure domain.
type Options struct {
	Listen        string                 // address of the first router for callers, on loopback; default 127.0.0.1:8080, port 0 picks a free port
	Logger        *slog.Logger           // default slog.Default()
	Routers       int                    // default 1
	Engines       []EngineOptions        // default two engines with engine.DefaultConfig and different seeds
	Services      []string               // names of the services; default submissions
	Teams         []TeamOptions          // default the team demo, with CallerKey and Budget
	UseForwarders bool                   // put a forwarder in front of each engine's sidecar, to inject connection faults
	OpenFiles     int                    // descriptors that the process may open; default unknown
	Configure     func(*policy.Document) // changes the policy document before the routers start; default none
}

// EngineOptions configures an engine and the failure domain of its host.
type EngineOptions struct {
	FailureDomain string        // default local
	Config        engine.Config // Start sets Listen, Model and Logger
}

// TeamOptions configures a team.
type TeamOptions struct {
	Name   string
	Key    string // for callers
	Budget int64  // prepaid tokens
}

// Validate rejects a fleet that is too large, and an address for callers that is
// not on loopback: the keys are well known, so other hosts must not reach the
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
		engines[i] = EngineOptions{FailureDomain: defaultFailureDomain, Config: engine.DefaultConfig()}
		engines[i].Config.Sim.Seed = uint64(i + 1)
	}
	return engines
}
