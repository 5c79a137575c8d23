// Package sidecar implements the process that runs beside a target and is the
// only path to it. It runs each request once, enforces the output cap, buffers
// answers and keeps run records until they are durable.
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

// TargetKind is the type of a sidecar's target.
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
	Target            string // target ID
	TargetURL         string // base URL, without a path
	Model             string // of an engine
	Service           string // of a service
	Host              string
	Domain            string // failure domain
	Listen            string // RPC address; port 0 picks a free one
	Advertise         string // address that routers dial; default is the listen address
	HTTPListen        string // address of the metrics and health endpoint; empty disables it
	OrderSecret       string // bearer token sent to the target with orders; empty sends none
	TargetChecksFence bool   // the target checks fencing numbers itself; only logged, because the sidecar always checks them

	Table           platform.Table
	Limits          run.Limits    // zero fields default to run.DefaultLimits
	StallTimeout    time.Duration // a run fails if the target sends nothing for this long; default 2 min
	VerifyInterval  time.Duration // how often the registration is read back; default 30 s
	HandoverTimeout time.Duration // longest wait at shutdown for records to become durable; default 30 s
	RPC             rpc.Options   // Hello is set by the sidecar
	Logger          *slog.Logger  // default slog.Default()
	Clock           *hlc.Clock    // shared with the timeline; default is a new clock

	QueryTimeline func(wire.TimelineQuery) wire.TimelineResult // answers timeline queries; nil refuses them
	OnEvent       func(wire.TimelineEvent)                     // receives timeline events without process and stamp, which the timeline adds; nil drops them
	OnReady       func(rpcAddr string)                         // called when the sidecar begins to accept work; may be nil
}

// Validate returns errkind.InvalidRequest for the first invalid option.
func (o Options) Validate() error {
	required := []struct{ name, value string }{
		{"target", o.Target},
		{"target URL", o.TargetURL},
		{"host", o.Host},
		{"failure domain", o.Domain},
		{"listen address", o.Listen},
	}
	for _, field := range required {
		if field.value == "" {
			return errkind.New(errkind.InvalidRequest, "%s is missing", field.name)
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
	limits := run.DefaultLimits()
	setDefault(&o.Limits.MaxRuns, limits.MaxRuns)
	setDefault(&o.Limits.MaxRunBytes, limits.MaxRunBytes)
	setDefault(&o.Limits.MaxBytes, limits.MaxBytes)
	setDefault(&o.Limits.RunRetention, limits.RunRetention)
	setDefault(&o.Limits.ServiceCallIDRetention, limits.ServiceCallIDRetention)
	setDefault(&o.Limits.OrphanTimeout, limits.OrphanTimeout)
	setDefault(&o.StallTimeout, DefaultStallTimeout)
	setDefault(&o.VerifyInterval, defaultVerifyInterval)
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
