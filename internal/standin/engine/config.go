// Package engine is a stand-in for an inference engine, for tests and local runs.
// It serves completions in the OpenAI format over HTTP, and control endpoints for
// load reports, cache events, orders, faults and the engine's own token counts of
// each run, which an audit compares with the ledger. Package sim simulates the
// engine.
package engine

import (
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// Config configures a Server. DefaultConfig returns the defaults.
type Config struct {
	Listen             string        // TCP address; default 127.0.0.1:0
	Model              string        // model loaded at startup; default standin-model
	Adapters           []string      // adapters loaded at startup; default none
	Role               string        // prefill, decode or mixed; default mixed
	HonourFence        bool          // reject orders with a fencing number below the highest accepted one; default true
	OrderSecret        string        // bearer token required for orders; default empty, which disables the check
	LoadDelay          time.Duration // time to load a model or adapter; default 2 s
	RestartDelay       time.Duration // time after a crash during which connections are refused; default 1 s
	KVTransferPerBlock time.Duration // time per block of an export or import; default 200 µs
	RunLimit           int           // number of run records kept; the oldest are dropped first; default 100000
	MaxBodyBytes       int64         // size limit of request bodies; default 4 MiB
	Sim                sim.Config    // parameters of the simulation
	Logger             *slog.Logger  // default discards all messages
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Listen:             "127.0.0.1:0",
		Model:              "standin-model",
		Role:               RoleMixed,
		HonourFence:        true,
		LoadDelay:          2 * time.Second,
		RestartDelay:       time.Second,
		KVTransferPerBlock: 200 * time.Microsecond,
		RunLimit:           100_000,
		MaxBodyBytes:       4 << 20,
		Sim:                sim.DefaultConfig(),
	}
}

// Validate returns an error for the first invalid field.
func (c Config) Validate() error {
	switch {
	case c.Listen == "":
		return eris.New("listen address is missing")
	case c.Model == "":
		return eris.New("model is missing")
	case !validRole(c.Role):
		return eris.Errorf("role %q is not prefill, decode or mixed", c.Role)
	case c.LoadDelay < 0:
		return eris.New("load delay must not be negative")
	case c.RestartDelay < 0:
		return eris.New("restart delay must not be negative")
	case c.KVTransferPerBlock < 0:
		return eris.New("kv transfer per block must not be negative")
	case c.RunLimit <= 0:
		return eris.New("run limit must be positive")
	case c.MaxBodyBytes <= 0:
		return eris.New("max body bytes must be positive")
	}
	return c.Sim.Validate()
}
