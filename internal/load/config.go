// Package load is an open-loop load generator. It sends each request at its
// planned time whether or not earlier ones have been answered, and measures
// latencies from the planned time, so a slow system cannot hide its delays
// (coordinated omission).
package load

import (
	"io"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a run.
const (
	maxRate          = 20_000        // requests per second
	maxDuration      = 6 * time.Hour // of the sending phase
	maxInFlight      = 20_000        // requests
	maxTeams         = 100_000
	maxFaults        = 1000
	maxResponseBytes = 8 << 20 // of one response
	maxLineBytes     = 1 << 20 // of one line of an event stream
)

// Credential is a team and its caller key.
type Credential struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

// Config configures a run. The defaults below are those of DefaultConfig.
type Config struct {
	Targets       []string      // base URLs, used in turn; a retry goes to the next one
	Model         string        // default standin-model
	Mix           string        // assay or leaf; default assay
	Rate          float64       // mean arrivals per second; default 10
	Duration      time.Duration // of the sending phase; default 30 s
	Drain         time.Duration // longest wait for responses after the sending phase; default 30 s
	Timeout       time.Duration // of a request, from its planned send time; default 60 s
	Teams         []Credential  // the busiest team first
	TeamSkew      float64       // Zipf exponent of teams, above 1; default 1.2
	PrefixSkew    float64       // Zipf exponent of shared prompt prefixes, above 1; default 1.1
	Prefixes      int           // shared prompt prefixes per team and request kind; default 20
	Seed          uint64        // default 1
	KeyShare      float64       // share of completions with an Idempotency-Key, 0 to 1; default 1
	MaxRetries    int           // attempts after the first; default 4
	MaxInFlight   int           // requests beyond this limit are skipped and counted; default 2000
	ExactLength   bool          // send ignore_eos and expect max_tokens tokens; default true
	ServicePrefix string        // URL path before the service name; default /services
	Faults        []Fault       // faults to inject into stand-ins during the run
	Surge         Surge         // additional requests of one team; default none
	Progress      io.Writer     // receives a line every ProgressEvery; nil for none
	ProgressEvery time.Duration // default 1 s
}

// Surge is a period during which one team sends additional requests.
type Surge struct {
	Team   int           // index into Config.Teams
	Rate   float64       // mean additional arrivals per second; 0 means no surge
	Start  time.Duration // since the start of the run
	Length time.Duration
}

// DefaultConfig returns the default configuration, without Targets and Teams.
func DefaultConfig() Config {
	return Config{
		Model:         "standin-model",
		Mix:           MixAssay,
		Rate:          10,
		Duration:      30 * time.Second,
		Drain:         30 * time.Second,
		Timeout:       time.Minute,
		TeamSkew:      1.2,
		PrefixSkew:    1.1,
		Prefixes:      20,
		Seed:          1,
		KeyShare:      1,
		MaxRetries:    4,
		MaxInFlight:   2000,
		ExactLength:   true,
		ServicePrefix: "/services",
		ProgressEvery: time.Second,
	}
}

// Validate returns an error for the first invalid setting.
func (c Config) Validate() error {
	checks := []struct {
		ok      bool
		message string
	}{
		{len(c.Targets) > 0, "at least one target is required"},
		{c.Model != "", "a model is required"},
		{mixes[c.Mix] != nil, "mix must be assay or leaf"},
		{c.Rate > 0 && c.Rate <= maxRate, "rate must be above 0 and at most 20000"},
		{c.Duration > 0 && c.Duration <= maxDuration, "duration must be above 0 and at most 6h"},
		{c.Drain >= 0 && c.Drain <= maxDuration, "drain must be between 0 and 6h"},
		{c.Timeout > 0, "timeout must be positive"},
		{len(c.Teams) > 0 && len(c.Teams) <= maxTeams, "number of teams must be between 1 and 100000"},
		{c.TeamSkew > 1, "team skew must be above 1"},
		{c.PrefixSkew > 1, "prefix skew must be above 1"},
		{c.Prefixes > 0, "number of prefixes must be positive"},
		{c.KeyShare >= 0 && c.KeyShare <= 1, "key share must be between 0 and 1"},
		{c.MaxRetries >= 0, "max retries must not be negative"},
		{c.MaxInFlight > 0 && c.MaxInFlight <= maxInFlight, "max in flight must be between 1 and 20000"},
		{c.Surge.Rate >= 0 && c.Surge.Rate <= maxRate, "surge rate must be between 0 and 20000"},
		{c.Surge.Team >= 0 && c.Surge.Team < max(1, len(c.Teams)), "surge team must be the index of a team"},
		{c.Surge.Start >= 0 && c.Surge.Length >= 0, "surge start and length must not be negative"},
		{len(c.Faults) <= maxFaults, "at most 1000 faults can be scheduled"},
		{c.ProgressEvery > 0, "progress interval must be positive"},
	}
	for _, check := range checks {
		if !check.ok {
			return eris.New("load: " + check.message)
		}
	}
	return c.validateURLs()
}

func (c Config) validateURLs() error {
	for _, target := range c.Targets {
		if !isHTTPURL(target) {
			return eris.Errorf("load: target %q is not an http URL", target)
		}
	}
	for i, fault := range c.Faults {
		if err := fault.validate(); err != nil {
			return eris.Wrapf(err, "load: fault %d", i)
		}
	}
	return nil
}

func isHTTPURL(rawURL string) bool {
	u, err := url.Parse(rawURL)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
