package settings

import (
	"fmt"
	"time"
)

// Gateway holds the settings of a gateway, which routes HTTP requests on a
// platform that provides the configuration and the list of targets.
type Gateway struct {
	Role          string             `json:"role" check:"required"`
	Host          string             `json:"host" check:"required"`
	FailureDomain string             `json:"failure_domain" check:"required"`
	Listen        GatewayListen      `json:"listen" check:"required"`
	Store         Store              `json:"store" check:"required"`
	Budgets       GatewayBudgets     `json:"budgets"`
	Placement     GatewayPlacement   `json:"placement"`
	Retries       GatewayRetryLimits `json:"retries"`
	Limits        GatewayLimits      `json:"limits"`
	GraceS        float64            `json:"grace_s"`   // time from SIGTERM to the end of the process; default 8
	LogLevel      string             `json:"log_level"` // debug, info, warn or error; default info
}

// GracePeriod returns the longest time from SIGTERM to the end of the process.
func (g Gateway) GracePeriod() time.Duration { return secondsToDuration(g.GraceS) }

// GatewayListen holds the listen addresses of a gateway.
type GatewayListen struct {
	Callers string `json:"callers" check:"required"` // HTTP for callers
	Ready   string `json:"ready" check:"required"`   // HTTP for the readiness checks of the load balancer
	Metrics string `json:"metrics"`                  // HTTP; empty disables it
}

// Store says how to reach the platform's store.
type Store struct {
	Address   string `json:"address" check:"required"` // IP address and port
	RelayPort int64  `json:"relay_port"`               // port of the relays on the engines' hosts; 0 if there are none
	// WritesPerS and PartWritesPerS are the writing calls a second that the store accepts
	// from all gateways together, and the transactions a second of one part. 0 if unknown.
	WritesPerS     float64 `json:"writes_per_s"`
	PartWritesPerS float64 `json:"part_writes_per_s"`
}

// maxStripes bounds the stripes of a budget: a gateway's processor time for planning its
// shares grows with their square.
const maxStripes = 8

// Stripes returns the number of parts that the store's rate of writes can keep busy, up
// to maxStripes, 0 if it is unknown.
func (s Store) Stripes() int {
	if s.PartWritesPerS <= 0 {
		return 0
	}
	return min(max(int(s.WritesPerS/s.PartWritesPerS), 1), maxStripes)
}

// GatewayBudgets says what the budgets must withstand.
type GatewayBudgets struct {
	// OldestCopyS is the greatest age in seconds of a copy from which the store is
	// restored; default 10. It matters only for a store that reports restores.
	OldestCopyS float64 `json:"oldest_copy_s"`
}

// OldestCopy returns the greatest age of a copy from which the store is restored.
func (b GatewayBudgets) OldestCopy() time.Duration { return secondsToDuration(b.OldestCopyS) }

// GatewayPlacement says how engines are chosen for prompts.
type GatewayPlacement struct {
	// Disabled makes the gateway choose engines without asking relays for their loads, as
	// it does where store.relay_port is 0.
	Disabled bool `json:"disabled"`
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

// RelayListen holds the listen address of a relay.
type RelayListen struct {
	Routers string `json:"routers" check:"required"` // TCP for routers
}

// RelayLimits bounds the resources that a relay uses.
type RelayLimits struct {
	MemoryMB int64 `json:"memory_mb"` // the platform kills a process that exceeds it; 0 means no limit
}

func (d *decoder) checkRelay(s *Relay) {
	d.checkIdentity(s.Host, s.FailureDomain, s.LogLevel)
	d.checkListenAddress("listen.routers", s.Listen.Routers, true)
	d.checkDialAddress("store.address", s.Store.Address)
	d.checkIntRange("limits.memory_mb", s.Limits.MemoryMB, 0, maxCount)
}

// GatewayRetryLimits bounds the retries, which are the attempts after the first,
// of all requests to one service. The limits hold over all gateways together.
type GatewayRetryLimits struct {
	Ratio   float64 `json:"ratio"`    // retries per request in the window; default 0.2
	Slack   float64 `json:"slack"`    // retries allowed in the window in addition to the ratio; default 10
	WindowS float64 `json:"window_s"` // default 10
}

// Window returns the length of the window in which retries are counted.
func (r GatewayRetryLimits) Window() time.Duration { return secondsToDuration(r.WindowS) }

// GatewayLimits bounds the resources that a gateway uses.
type GatewayLimits struct {
	MemoryMB int64 `json:"memory_mb"` // the platform kills a process that exceeds it; 0 means no limit
	// The limits below make the gateway watch the room of its host (docs/design/room.md).
	// What is 0 is not watched.
	LinkMbps       float64 `json:"link_mbps"`       // rate of the host's link each way, 10^6 bits per second
	ProcessorShare float64 `json:"processor_share"` // cores that the process may use
	Descriptors    int64   `json:"descriptors"`     // open descriptors that the process may have
}

// LinkBytesPerS returns the rate of the link each way, 0 if it is unknown.
func (l GatewayLimits) LinkBytesPerS() float64 { return l.LinkMbps * 1e6 / 8 }

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func defaultGateway() Gateway {
	return Gateway{
		Budgets:  GatewayBudgets{OldestCopyS: 10},
		Retries:  GatewayRetryLimits{Ratio: 0.2, Slack: 10, WindowS: 10},
		GraceS:   8,
		LogLevel: "info",
	}
}

// Valid ranges of a gateway's settings.
const (
	minGraceS  = 4 // the load balancer needs 2 s to stop sending requests
	maxGraceS  = 600
	minWindowS = 1
	maxPort    = 65535
	maxWindowS = 600
	// Shares are drawn twice this time ahead of their use.
	maxOldestCopyS = 600
	maxCores       = 4096
)

func (d *decoder) checkGateway(s *Gateway) {
	d.checkIdentity(s.Host, s.FailureDomain, s.LogLevel)
	d.checkListenAddress("listen.callers", s.Listen.Callers, false)
	d.checkListenAddress("listen.ready", s.Listen.Ready, false)
	d.checkOptionalListenAddress("listen.metrics", s.Listen.Metrics)
	d.checkDistinctAddresses([]string{"listen.callers", "listen.ready", "listen.metrics"},
		[]string{s.Listen.Callers, s.Listen.Ready, s.Listen.Metrics})
	d.checkDialAddress("store.address", s.Store.Address)
	d.checkIntRange("store.relay_port", s.Store.RelayPort, 0, maxPort)
	d.checkFloatRange("store.writes_per_s", s.Store.WritesPerS, 0, maxCount)
	d.checkFloatRange("store.part_writes_per_s", s.Store.PartWritesPerS, 0, maxCount)
	d.checkFloatRange("budgets.oldest_copy_s", s.Budgets.OldestCopyS, 0, maxOldestCopyS)
	d.checkFloatRange("retries.ratio", s.Retries.Ratio, 0, 1)
	d.checkFloatRange("retries.slack", s.Retries.Slack, 0, maxCount)
	d.checkFloatRange("retries.window_s", s.Retries.WindowS, minWindowS, maxWindowS)
	d.checkFloatRange("grace_s", s.GraceS, minGraceS, maxGraceS)
	d.checkIntRange("limits.memory_mb", s.Limits.MemoryMB, 0, maxCount)
	d.checkFloatRange("limits.link_mbps", s.Limits.LinkMbps, 0, maxCount)
	d.checkFloatRange("limits.processor_share", s.Limits.ProcessorShare, 0, maxCores)
	d.checkIntRange("limits.descriptors", s.Limits.Descriptors, 0, maxCount)
}

func (d *decoder) checkFloatRange(key string, v, minimum, maximum float64) {
	if v < minimum || v > maximum {
		d.addProblem(key, fmt.Sprintf("%g is out of range", v), fmt.Sprintf("%g to %g", minimum, maximum))
	}
}
