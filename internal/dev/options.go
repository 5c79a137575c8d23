// Package dev runs the whole path from callers to targets in one process on
// loopback, with the stand-ins embedded.
package dev

import (
	"log/slog"
	"net/netip"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
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

// Options configures the process.
type Options struct {
	Listen string       // callers' address, loopback only; default 127.0.0.1:8080, port 0 picks a free one
	Logger *slog.Logger // default slog.Default()
}

// Validate reports a callers' address that is not on loopback. The keys are
// published, so other hosts must not reach the process.
func (o Options) Validate() error {
	addr, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "listen address %q is not IP:port, such as %s", o.Listen, DefaultListen)
	}
	if !addr.Addr().IsLoopback() {
		return errkind.New(errkind.InvalidRequest, "listen address %s is not a loopback address; dev has published keys and serves this host only", o.Listen)
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
	return o
}
