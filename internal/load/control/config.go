// Package control measures the control-plane cost of a router: its links to
// sidecars and other routers, its polls of the platform's table, and the
// propagation of configuration changes. It simulates many sidecars and routers
// in its own process and connects them to a running router.
package control

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/platform"
)

// Config configures a measurement.
type Config struct {
	Metrics     []string // metrics URLs of routers; the first router is measured, all are watched for configuration changes
	Platform    string   // URL of the stand-in platform
	Admin       string   // base URL of the admin API that accepts changes; unused without Hints
	OperatorKey string
	Sidecars    int           // simulated sidecars
	Peers       int           // simulated routers
	Model       string        // of all simulated sidecars; empty: model-0, model-1 and so on
	Draining    bool          // the simulated sidecars accept no requests but can still be asked for earlier runs
	Dial        []string      // RPC addresses of sidecars to which the simulated routers keep links
	Models      int           // number of models over which the sidecars are distributed; default 1
	ReportEvery time.Duration // interval of load reports with a changed load; 0: the targets are idle
	ChangeEvery time.Duration // interval of configuration changes during the window; 0: none
	Changes     int           // changes whose propagation is measured after the window of each repetition
	Hints       bool          // make changes through the admin API, which pushes them; otherwise write them directly to the table
	Settle      time.Duration // wait between the registration and the first window
	Window      time.Duration // measured time of each repetition, at least 1 s
	Repeats     int           // number of repetitions, at least 3
	Progress    io.Writer
}

// minRepeats is the smallest number of repetitions that shows the spread of the
// figures.
const minRepeats = 3

// Validate returns an error for the first invalid setting.
func (c Config) Validate() error {
	switch {
	case len(c.Metrics) == 0 || c.Platform == "":
		return eris.New("a router's metrics URL and a platform URL are required")
	case c.Sidecars < 0 || c.Peers < 0 || c.Changes < 0:
		return eris.New("numbers of sidecars, peers and changes must not be negative")
	case c.Repeats < minRepeats:
		return eris.Errorf("at least %d repetitions are required", minRepeats)
	case c.Window < time.Second:
		return eris.New("the window must be at least 1 s")
	case c.Hints && c.Changes > 0 && c.Admin == "":
		return eris.New("changes with hints require the URL of an admin API")
	}
	return nil
}

// model returns the model of the simulated sidecar with index i.
func (c Config) model(i int) string {
	if c.Model != "" {
		return c.Model
	}
	return fmt.Sprintf("model-%d", i%max(c.Models, 1))
}

// platformClient returns a client of the platform. The host name in its options
// identifies this process as the caller.
func (c Config) platformClient() *platform.Client {
	return platform.NewClient(platform.Options{BaseURL: c.Platform, Timeout: platformTimeout, Host: hostName})
}

const (
	platformTimeout = 5 * time.Second // of a call to the platform
	hostName        = "control"
)
