// Package settings reads and validates the settings files of routers, sidecars,
// gateways and relays: JSON with comments and trailing commas. All problems of a
// file are reported at once, each with its position.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// Roles of processes that have a settings file.
const (
	RoleRouter  = "router"
	RoleSidecar = "sidecar"
	RoleGateway = "gateway"
	RoleRelay   = "relay"
)

// Kinds of targets.
const (
	TargetKindEngine  = "engine"
	TargetKindService = "service"
)

// maxFileBytes bounds the memory needed to read a file.
const maxFileBytes = 1 << 20

// Router holds the settings of a router.
type Router struct {
	Role          string       `json:"role" check:"required"`
	Host          string       `json:"host" check:"required"`
	FailureDomain string       `json:"failure_domain" check:"required"`
	Listen        RouterListen `json:"listen" check:"required"`
	Platform      Platform     `json:"platform" check:"required"`
	Peers         []string     `json:"peers"`                      // RPC addresses of routers to contact first
	Operators     []Operator   `json:"operators" check:"required"` // used only to write version 1 of the configuration into an empty table
	Limits        RouterLimits `json:"limits"`
	ArchiveAfterS int64        `json:"archive_after_s"` // age at which ledger segments move to the object store; default 600
	LogLevel      string       `json:"log_level"`       // debug, info, warn or error; default info
}

// ArchiveAfter returns the age at which ledger segments are archived.
func (r Router) ArchiveAfter() time.Duration { return time.Duration(r.ArchiveAfterS) * time.Second }

// RouterListen holds the listen addresses of a router. Port 0 picks a free port.
type RouterListen struct {
	Callers string `json:"callers" check:"required"` // HTTP for callers and operators
	Peers   string `json:"peers" check:"required"`   // RPC; advertised to other processes
	Metrics string `json:"metrics"`                  // HTTP for metrics and health; if empty, the callers' address serves the metrics
}

// Platform says how to reach the platform's services.
type Platform struct {
	URL       string `json:"url" check:"required"`
	TimeoutMS int64  `json:"timeout_ms"` // per call; default 2000
}

// Timeout returns the timeout of one call to the platform.
func (p Platform) Timeout() time.Duration { return time.Duration(p.TimeoutMS) * time.Millisecond }

// Operator is an operator of the initial configuration.
type Operator struct {
	Name      string `json:"name" check:"required"`
	KeySHA256 string `json:"key_sha256" check:"required"` // hex
}

// RouterLimits bounds the resources that callers may use.
type RouterLimits struct {
	BodyBytes           int64 `json:"body_bytes"`             // default 4 MiB
	HeaderBytes         int64 `json:"header_bytes"`           // default 32 KiB
	Connections         int64 `json:"connections"`            // default 4096
	CallerMemoryMB      int64 `json:"caller_memory_mb"`       // that callers may make the process hold; default 64, and at least 14 times body_bytes
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

// SidecarListen holds the listen addresses of a sidecar. Port 0 picks a free
// port.
type SidecarListen struct {
	RPC       string `json:"rpc" check:"required"` // advertised to routers
	Advertise string `json:"advertise"`            // advertised instead of rpc if connections go through a relay; default empty
	Metrics   string `json:"metrics"`              // HTTP; empty disables it
}

// Target describes the target that a sidecar serves.
type Target struct {
	ID             string `json:"id" check:"required"`
	Kind           string `json:"kind" check:"required"` // engine or service
	URL            string `json:"url" check:"required"`
	Model          string `json:"model"`            // engines only
	Service        string `json:"service"`          // services only
	HonoursFence   bool   `json:"honours_fence"`    // the target rejects orders with an outdated fencing number
	ChecksOrders   bool   `json:"checks_orders"`    // the target authenticates the sender of an order
	OrderSecretEnv string `json:"order_secret_env"` // environment variable with the secret for checks_orders
}

// SidecarLimits bounds the runs and answers that a sidecar holds.
type SidecarLimits struct {
	Runs        int64 `json:"runs"`         // in progress; default 64
	BufferBytes int64 `json:"buffer_bytes"` // for answers kept so that callers can resume them; default 32 MiB
	RetainS     int64 `json:"retain_s"`     // how long a finished answer is kept; default 900
}

// DefaultRouter returns the defaults for keys that a router's settings file
// omits.
func DefaultRouter() Router {
	return Router{
		Platform: Platform{TimeoutMS: 2000},
		Limits: RouterLimits{
			BodyBytes: 4 << 20, HeaderBytes: 32 << 10, Connections: 4096, CallerMemoryMB: 64,
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

// Problem is one error in a settings file.
type Problem struct {
	File     string
	Line     int // from 1; 0 if the file could not be read
	Column   int // from 1, counted in characters
	Key      string
	Message  string
	Expected string // what a correct file has in its place
}

// String formats the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	if p.Key != "" {
		b.WriteString(": " + p.Key)
	}
	b.WriteString(": " + p.Message)
	if p.Expected != "" {
		b.WriteString("; expected " + p.Expected)
	}
	return b.String()
}

// ValidationError lists all problems of a settings file.
type ValidationError struct{ Problems []Problem }

// Error lists the problems, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// LoadRouter reads the settings of a router. An invalid file yields a
// *ValidationError with all its problems.
func LoadRouter(path string, overrides ...Override) (*Router, error) {
	s, problems := load(path, RoleRouter, overrides...)
	if len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return s.(*Router), nil
}

// LoadSidecar reads the settings of a sidecar. An invalid file yields a
// *ValidationError with all its problems.
func LoadSidecar(path string, overrides ...Override) (*Sidecar, error) {
	s, problems := load(path, RoleSidecar, overrides...)
	if len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return s.(*Sidecar), nil
}

// LoadGateway reads the settings of a gateway. An invalid file yields a
// *ValidationError with all its problems.
func LoadGateway(path string, overrides ...Override) (*Gateway, error) {
	s, problems := load(path, RoleGateway, overrides...)
	if len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return s.(*Gateway), nil
}

// LoadRelay reads the settings of a relay. An invalid file yields a
// *ValidationError with all its problems.
func LoadRelay(path string, overrides ...Override) (*Relay, error) {
	s, problems := load(path, RoleRelay, overrides...)
	if len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return s.(*Relay), nil
}

// Check returns all problems of a settings file of any role, in file order.
func Check(path string) []Problem {
	_, problems := load(path, "")
	return problems
}

// load reads, overrides and parses a settings file. An empty role accepts a file
// of any role.
func load(path, role string, overrides ...Override) (any, []Problem) {
	data, err := readFile(path)
	if err != nil {
		return nil, []Problem{{File: path, Message: err.Error(), Expected: "a readable settings file"}}
	}
	data, err = applyOverrides(data, overrides)
	if err != nil {
		return nil, []Problem{{File: path, Message: err.Error(), Expected: "overrides of keys whose enclosing object is in the file"}}
	}
	return parse(path, data, role)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, withoutPath(err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("file has %d bytes, the limit is %d", info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, withoutPath(err)
	}
	return data, nil
}

// withoutPath removes the path from err, because the formatted problem already
// names the file.
func withoutPath(err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return fmt.Errorf("cannot read: %w", pathErr.Err)
	}
	return err
}
