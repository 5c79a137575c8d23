// Package control measures what a router spends on control: the links to
// sidecars and routers, the polls of the platform's table and the spread of
// the configuration. It runs many light sidecars and routers in its own
// process against a running router.
package control

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/platform"
)

// Config describes a measurement.
type Config struct {
	Metrics     []string // metrics URLs of routers; the first is measured, all are watched for changes
	Platform    string   // URL of the stand-in platform
	Admin       string   // base URL of the admin API that accepts changes; unused without Hints
	OperatorKey string
	Sidecars    int           // light sidecars
	Peers       int           // light routers
	Model       string        // of all light sidecars; empty: model-0 and so on
	Draining    bool          // the light sidecars take no requests but are asked for earlier runs
	Dial        []string      // rpc addresses of sidecars that the light routers hold links to
	Models      int           // the sidecars are spread over this many models; default 1
	ReportEvery time.Duration // of load reports with a new load; 0: the targets are idle
	ChangeEvery time.Duration // of configuration changes during the window; 0: none
	Changes     int           // timed changes of each repetition, after the window
	Hints       bool          // timed changes go through the admin API, which pushes them; otherwise straight into the table
	Settle      time.Duration // between the registration and the first window
	Window      time.Duration
	Repeats     int // at least 3
	Progress    io.Writer
}

// minRepeats is the least number of repetitions that shows a spread.
const minRepeats = 3

// Validate reports the first fault of the configuration.
func (c Config) Validate() error {
	switch {
	case len(c.Metrics) == 0 || c.Platform == "":
		return eris.New("a router's metrics and a platform are required")
	case c.Sidecars < 0 || c.Peers < 0 || c.Changes < 0:
		return eris.New("counts must not be negative")
	case c.Repeats < minRepeats:
		return eris.Errorf("at least %d repetitions are required", minRepeats)
	case c.Window < time.Second:
		return eris.New("the window must be at least 1 s")
	case c.Hints && c.Changes > 0 && c.Admin == "":
		return eris.New("changes with hints need the URL of an admin API")
	}
	return nil
}

// model returns the model of a light sidecar.
func (c Config) model(i int) string {
	if c.Model != "" {
		return c.Model
	}
	return fmt.Sprintf("model-%d", i%max(c.Models, 1))
}

// client returns a client of the platform. Host names the caller.
func (c Config) client() *platform.Client {
	return platform.NewClient(platform.Options{BaseURL: c.Platform, Timeout: platformTimeout, Host: hostName})
}

const (
	platformTimeout = 5 * time.Second
	hostName        = "control"
)
