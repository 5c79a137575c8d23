// Package settings reads the settings files of routers and sidecars: JSON with
// comments and trailing commas. A check reports all faults of a file at once,
// each with its position.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// Roles that have a settings file.
const (
	RoleRouter  = "router"
	RoleSidecar = "sidecar"
	RoleGateway = "gateway"
	RoleRelay   = "relay"
)

// Target kinds.
const (
	TargetKindEngine  = "engine"
	TargetKindService = "service"
)

// maxFileBytes bounds the memory that a check uses.
const maxFileBytes = 1 << 20

// Router holds the settings of a router.
type Router struct {
	Role          string       `json:"role" check:"required"`
	Host          string       `json:"host" check:"required"`
	FailureDomain string       `json:"failure_domain" check:"required"`
	Listen        RouterListen `json:"listen" check:"required"`
	Platform      Platform     `json:"platform" check:"required"`
	Peers         []string     `json:"peers"`                      // rpc addresses of routers to contact first
	Operators     []Operator   `json:"operators" check:"required"` // written into version 1 of an empty table only
	Limits        RouterLimits `json:"limits"`
	ArchiveAfterS int64        `json:"archive_after_s"` // age at which ledger segments move to the object store; default 600
	LogLevel      string       `json:"log_level"`       // debug, info, warn or error; default info
}

// ArchiveAfter returns the age at which ledger segments are archived.
func (r Router) ArchiveAfter() time.Duration { return time.Duration(r.ArchiveAfterS) * time.Second }

// RouterListen holds the addresses of a router. Port 0 picks a free port.
type RouterListen struct {
	Callers string `json:"callers" check:"required"` // HTTP for callers and operators
	Peers   string `json:"peers" check:"required"`   // rpc; published to other processes
	Metrics string `json:"metrics"`                  // HTTP for metrics and health; empty serves metrics to callers
}

// Platform locates the platform's services.
type Platform struct {
	URL       string `json:"url" check:"required"`
	TimeoutMS int64  `json:"timeout_ms"` // per call; default 2000
}

// Timeout returns the limit of one call to the platform.
func (p Platform) Timeout() time.Duration { return time.Duration(p.TimeoutMS) * time.Millisecond }

// Operator is an operator of the initial configuration.
type Operator struct {
	Name      string `json:"name" check:"required"`
	KeySHA256 string `json:"key_sha256" check:"required"` // hex
}

// RouterLimits bounds what callers may use.
type RouterLimits struct {
	BodyBytes           int64 `json:"body_bytes"`             // default 4 MiB
	HeaderBytes         int64 `json:"header_bytes"`           // default 32 KiB
	Connections         int64 `json:"connections"`            // default 4096
	ReadHeaderTimeoutMS int64 `json:"read_header_timeout_ms"` // default 5000
	ReadTimeoutMS       int64 `json:"read_timeout_ms"`        // header and body; default 30000
	IdleTimeoutMS       int64 `json:"idle_timeout_ms"`        // between requests; default 120000
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Role          string        `json:"role" check:"required"`
	Host          string        `json:"host" check:"required"`
	FailureDomain string        `json:"failure_domain" check:"required"`
	Listen        SidecarListen `json:"listen" check:"required"`
	Platform      Platform      `json:"platform" check:"required"`
	Target        Target        `json:"target" check:"required"`
	Limits        SidecarLimits `json:"limits"`
	LogLevel      string        `json:"log_level"` // debug, info, warn or error; default info
}

// SidecarListen holds the addresses of a sidecar. Port 0 picks a free port.
type SidecarListen struct {
	RPC       string `json:"rpc" check:"required"` // published to routers
	Advertise string `json:"advertise"`            // published instead of rpc if a relay stands in front; default empty
	Metrics   string `json:"metrics"`              // HTTP; empty disables it
}

// Target describes the target next to the sidecar.
type Target struct {
	ID             string `json:"id" check:"required"`
	Kind           string `json:"kind" check:"required"` // engine or service
	URL            string `json:"url" check:"required"`
	Model          string `json:"model"`            // engines only
	Service        string `json:"service"`          // services only
	HonoursFence   bool   `json:"honours_fence"`    // rejects orders with an old fencing number
	ChecksOrders   bool   `json:"checks_orders"`    // verifies who sent an order
	OrderSecretEnv string `json:"order_secret_env"` // environment variable with the secret for checks_orders
}

// SidecarLimits bounds what the sidecar holds.
type SidecarLimits struct {
	Runs        int64 `json:"runs"`         // in progress; default 64
	BufferBytes int64 `json:"buffer_bytes"` // of answers kept for resumption; default 32 MiB
	RetainS     int64 `json:"retain_s"`     // an answer is kept this long after its end; default 900
}

// DefaultRouter returns the values of keys that a router's file leaves out.
func DefaultRouter() Router {
	return Router{
		Platform: Platform{TimeoutMS: 2000},
		Limits: RouterLimits{
			BodyBytes: 4 << 20, HeaderBytes: 32 << 10, Connections: 4096,
			ReadHeaderTimeoutMS: 5000, ReadTimeoutMS: 30000, IdleTimeoutMS: 120000,
		},
		ArchiveAfterS: 600,
		LogLevel:      "info",
	}
}

func defaultSidecar() Sidecar {
	return Sidecar{
		Platform: Platform{TimeoutMS: 2000},
		Limits:   SidecarLimits{Runs: 64, BufferBytes: 32 << 20, RetainS: 900},
		LogLevel: "info",
	}
}

// Problem is one fault of a settings file.
type Problem struct {
	File     string
	Line     int // from 1; 0 if the file could not be read
	Column   int // from 1, in characters
	Key      string
	Message  string
	Expected string // what would be right
}

// String formats the fault as one line.
func (f Problem) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	if f.Key != "" {
		b.WriteString(": " + f.Key)
	}
	b.WriteString(": " + f.Message)
	if f.Expected != "" {
		b.WriteString("; expected " + f.Expected)
	}
	return b.String()
}

// ValidationError carries all faults of the files that were checked.
type ValidationError struct{ Problems []Problem }

// Error lists the faults one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, f := range e.Problems {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// LoadRouter reads the settings of a router. A faulty file yields a
// *FaultsError with all faults.
func LoadRouter(path string, overrides ...Override) (*Router, error) {
	s, faults := load(path, RoleRouter, overrides...)
	if len(faults) > 0 {
		return nil, &ValidationError{Problems: faults}
	}
	return s.(*Router), nil
}

// LoadSidecar reads the settings of a sidecar. A faulty file yields a
// *FaultsError with all faults.
func LoadSidecar(path string, overrides ...Override) (*Sidecar, error) {
	s, faults := load(path, RoleSidecar, overrides...)
	if len(faults) > 0 {
		return nil, &ValidationError{Problems: faults}
	}
	return s.(*Sidecar), nil
}

// LoadGateway reads the settings of a gateway. A faulty file yields a
// *FaultsError with all faults.
func LoadGateway(path string, overrides ...Override) (*Gateway, error) {
	s, faults := load(path, RoleGateway, overrides...)
	if len(faults) > 0 {
		return nil, &ValidationError{Problems: faults}
	}
	return s.(*Gateway), nil
}

// LoadRelay reads the settings of a relay. A faulty file yields a *FaultsError
// with all faults.
func LoadRelay(path string, overrides ...Override) (*Relay, error) {
	s, faults := load(path, RoleRelay, overrides...)
	if len(faults) > 0 {
		return nil, &ValidationError{Problems: faults}
	}
	return s.(*Relay), nil
}

// Check returns all faults of a settings file of any role, in file order.
func Check(path string) []Problem {
	_, faults := load(path, "")
	return faults
}

func load(path, role string, overrides ...Override) (any, []Problem) {
	data, err := readFile(path)
	if err != nil {
		return nil, []Problem{{File: path, Message: err.Error(), Expected: "a readable settings file"}}
	}
	data, err = apply(data, overrides)
	if err != nil {
		return nil, []Problem{{File: path, Message: err.Error(), Expected: "overrides of keys that the file may hold"}}
	}
	return parse(path, data, role)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, plainPathError(err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("file has %d bytes, the limit is %d", info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, plainPathError(err)
	}
	return data, nil
}

// plainPathError drops the path, which the fault line already shows.
func plainPathError(err error) error {
	var pe *os.PathError
	if errors.As(err, &pe) {
		return fmt.Errorf("cannot read: %w", pe.Err)
	}
	return err
}
