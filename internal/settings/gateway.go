package settings

import (
	"fmt"
	"time"
)

// Gateway holds the settings of a gateway: a router for HTTP routes on a
// platform that holds the configuration and the list of targets.
type Gateway struct {
	Role          string             `json:"role" check:"required"`
	Host          string             `json:"host" check:"required"`
	FailureDomain string             `json:"failure_domain" check:"required"`
	Listen        GatewayListen      `json:"listen" check:"required"`
	Store         Store              `json:"store" check:"required"`
	Retries       GatewayRetryLimits `json:"retries"`
	Limits        GatewayLimits      `json:"limits"`
	GraceS        float64            `json:"grace_s"`   // from SIGTERM to the end of the process; default 8
	LogLevel      string             `json:"log_level"` // debug, info, warn or error; default info
}

// GracePeriod returns the time from SIGTERM to the end of the process.
func (g Gateway) GracePeriod() time.Duration { return seconds(g.GraceS) }

// GatewayListen holds the addresses of a gateway.
type GatewayListen struct {
	Callers string `json:"callers" check:"required"` // HTTP for callers
	Ready   string `json:"ready" check:"required"`   // HTTP for the balancer
	Metrics string `json:"metrics"`                  // HTTP; empty disables it
}

// Store locates the platform's store.
type Store struct {
	Address   string `json:"address" check:"required"` // IP address and port
	RelayPort int64  `json:"relay_port"`               // of the relays on the engines' hosts; 0 if there are none
}

// Relay holds the settings of a relay to the platform's store.
type Relay struct {
	Role          string      `json:"role" check:"required"`
	Host          string      `json:"host" check:"required"`
	FailureDomain string      `json:"failure_domain" check:"required"`
	Listen        RelayListen `json:"listen" check:"required"`
	Store         Store       `json:"store" check:"required"`
	Limits        RelayLimits `json:"limits"`
	LogLevel      string      `json:"log_level"` // debug, info, warn or error; default info
}

// RelayListen holds the address of a relay.
type RelayListen struct {
	Routers string `json:"routers" check:"required"` // TCP for routers
}

// RelayLimits bounds what the process uses.
type RelayLimits struct {
	MemoryMB int64 `json:"memory_mb"` // the platform ends a process above it; 0 means no limit
}

func (r *reader) checkRelay(s *Relay) {
	r.checkIdentity(s.Host, s.FailureDomain, s.LogLevel)
	r.listen("listen.routers", s.Listen.Routers, true)
	r.peer("store.address", s.Store.Address)
	r.within("limits.memory_mb", s.Limits.MemoryMB, 0, maxCount)
}

// GatewayRetryLimits bounds the attempts beyond the first of all requests to one
// service, over all gateways.
type GatewayRetryLimits struct {
	Ratio   float64 `json:"ratio"`    // of the requests in the window; default 0.2
	Slack   float64 `json:"slack"`    // attempts in the window beyond the ratio; default 10
	WindowS float64 `json:"window_s"` // default 10
}

// Window returns the window in which attempts are counted.
func (r GatewayRetryLimits) Window() time.Duration { return seconds(r.WindowS) }

// GatewayLimits bounds what the process uses.
type GatewayLimits struct {
	MemoryMB int64 `json:"memory_mb"` // the platform ends a process above it; 0 means no limit
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func defaultGateway() Gateway {
	return Gateway{
		Retries:  GatewayRetryLimits{Ratio: 0.2, Slack: 10, WindowS: 10},
		GraceS:   8,
		LogLevel: "info",
	}
}

// Bounds of a gateway's settings.
const (
	minGraceS  = 4 // the balancer needs 2 s to turn away
	maxGraceS  = 600
	minWindowS = 1
	maxPort    = 65535
	maxWindowS = 600
)

func (r *reader) checkGateway(s *Gateway) {
	r.checkIdentity(s.Host, s.FailureDomain, s.LogLevel)
	r.listen("listen.callers", s.Listen.Callers, false)
	r.listen("listen.ready", s.Listen.Ready, false)
	r.optionalListen("listen.metrics", s.Listen.Metrics)
	r.distinct([]string{"listen.callers", "listen.ready", "listen.metrics"},
		[]string{s.Listen.Callers, s.Listen.Ready, s.Listen.Metrics})
	r.peer("store.address", s.Store.Address)
	r.within("store.relay_port", s.Store.RelayPort, 0, maxPort)
	r.between("retries.ratio", s.Retries.Ratio, 0, 1)
	r.between("retries.slack", s.Retries.Slack, 0, maxCount)
	r.between("retries.window_s", s.Retries.WindowS, minWindowS, maxWindowS)
	r.between("grace_s", s.GraceS, minGraceS, maxGraceS)
	r.within("limits.memory_mb", s.Limits.MemoryMB, 0, maxCount)
}

func (r *reader) between(key string, v, low, high float64) {
	if v < low || v > high {
		r.fault(key, fmt.Sprintf("%g is out of range", v), fmt.Sprintf("%g to %g", low, high))
	}
}
