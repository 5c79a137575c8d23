// Package sidecar is the process beside a target and the only path to it. It
// runs each request once, enforces the output cap, buffers answers and keeps
// run records until they are durable.
package sidecar

import (
	"log/slog"
	"net"
	"net/url"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/run"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// TargetKind says what stands behind a sidecar.
type TargetKind string

// Kinds of targets.
const (
	Engine  TargetKind = "engine"
	Service TargetKind = "service"
)

// Defaults of Options.
const (
	DefaultStallTimeout    = 2 * time.Minute
	DefaultHandoverTimeout = 30 * time.Second
)

// Options configures a sidecar.
type Options struct {
	Kind              TargetKind
	Target            string // id of the target
	TargetURL         string // base URL, without a path
	Model             string // of an engine
	Service           string // of a service
	Host              string
	Domain            string // failure domain
	Listen            string // rpc address; port 0 picks a free one
	Advertise         string // address for routers; default is the address listened on
	HTTPListen        string // metrics and health; empty means none
	OrderSecret       string // bearer token that the target wants with orders; empty sends none
	TargetChecksFence bool   // whether the target checks fencing numbers itself; only logged, the sidecar always checks

	Table           platform.Table
	Limits          run.Limits    // zero fields take the value of run.DefaultLimits
	StallTimeout    time.Duration // a target that sends nothing this long has failed; default 2 min
	VerifyInterval  time.Duration // the registration is read this often; default 30 s
	HandoverTimeout time.Duration // at shutdown, wait this long for records to become durable; default 30 s
	RPC             rpc.Options   // Hello is set by the sidecar
	Logger          *slog.Logger  // default slog.Default()
	Clock           *hlc.Clock    // share it with the timeline; default is a new clock

	QueryTimeline func(wire.TimelineQuery) wire.TimelineResult // answers timeline queries; nil refuses them
	OnEvent       func(wire.TimelineEvent)                     // receives events for the timeline, which adds process and stamp; nil drops them
	OnReady       func(rpcAddr string)                         // called once work is accepted
}

// Validate reports the first fault as errkind.InvalidRequest.
func (o Options) Validate() error {
	required := []struct{ name, value string }{
		{"target", o.Target},
		{"target URL", o.TargetURL},
		{"host", o.Host},
		{"failure domain", o.Domain},
		{"listen address", o.Listen},
	}
	for _, f := range required {
		if f.value == "" {
			return errkind.New(errkind.InvalidRequest, "%s is missing", f.name)
		}
	}
	if err := o.validateKind(); err != nil {
		return err
	}
	u, err := url.Parse(o.TargetURL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errkind.New(errkind.InvalidRequest, "target URL %q is not an http URL", o.TargetURL)
	}
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "listen address %q", o.Listen)
	}
	if o.Table == nil {
		return errkind.New(errkind.InvalidRequest, "table client is missing")
	}
	return nil
}

func (o Options) validateKind() error {
	switch {
	case o.Kind == Engine && o.Model != "" && o.Service == "":
		return nil
	case o.Kind == Service && o.Service != "" && o.Model == "":
		return nil
	}
	return errkind.New(errkind.InvalidRequest, "kind %q needs a model (engine) or a service (service), not both", o.Kind)
}

func (o Options) withDefaults() Options {
	d := run.DefaultLimits()
	setDefault(&o.Limits.MaxRuns, d.MaxRuns)
	setDefault(&o.Limits.MaxRunBytes, d.MaxRunBytes)
	setDefault(&o.Limits.MaxBytes, d.MaxBytes)
	setDefault(&o.Limits.RunRetention, d.RunRetention)
	setDefault(&o.Limits.ServiceIDRetention, d.ServiceIDRetention)
	setDefault(&o.Limits.OrphanTimeout, d.OrphanTimeout)
	setDefault(&o.StallTimeout, DefaultStallTimeout)
	setDefault(&o.VerifyInterval, verifyEvery)
	setDefault(&o.HandoverTimeout, DefaultHandoverTimeout)
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Clock == nil {
		o.Clock = &hlc.Clock{}
	}
	return o
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
