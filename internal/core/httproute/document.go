// Package httproute maps HTTP requests to routes by host and path prefix. A route
// names the services that handle its requests and says how they may be attempted.
package httproute

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Kind classifies requests by whether they may run more than once.
type Kind string

// Kinds of request.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Route sends the requests with a host and path prefix to services.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration     // the longest that a caller is kept waiting
	LatencyObjective time.Duration     // time to the response, or to the first event of a stream
	GapObjective     time.Duration     // objective for the longest time between two events of a stream
	Priority         int               // 0 is the most urgent
	Split            []WeightedService // services that share the requests, by weight
	MaxAttempts      int               // number of targets that one request may be sent to
	Public           bool              // requests need no key
	Affinity         bool              // requests list the shared parts of their prompt
	Resumable        bool              // another target may continue a stream
}

// LeadsTo reports whether a service gets requests of the route.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service })
}

// WeightedService is a service that gets a part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64 // relative to the sum over the route's services
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService returns the service for a random point between 0 and 1.
func (r *Route) PickService(point float64) string {
	var sum float64
	for _, s := range r.Split {
		sum += s.Weight
	}
	point *= sum
	for _, s := range r.Split {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a group of targets.
type Service struct {
	Name           string
	MaxConnections int   // to one target, from all clients together
	Slots          int   // requests that an engine runs at once; 0 if the targets are not engines
	MemoryTokens   int64 // that an engine can hold
	TokensPerEvent int64 // tokens in each event of an engine's stream

	ColdPerSecond float64       // requests that a cold target takes from all gateways; 0 if cold targets are not limited
	ColdTime      time.Duration // how long a target is cold after its start
}

// Team is a group of callers with keys and a prepaid budget.
type Team struct {
	Name        string
	Priority    int // overrides the priority of the route if HasPriority is set
	HasPriority bool
	Prepaid     int64 // tokens; Unlimited if the team has no limit
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a head to its end
	IdleTimeout    time.Duration // without a request
}

// Config is one version of the configuration. It is immutable after Index.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    map[string]Team
	Keys     map[string]string // team name by key
	Limits   Limits

	byHost map[string][]*Route // routes by lower-case host, longest prefix first
}

// Unlimited is the prepaid amount of a team without a limit.
const Unlimited int64 = math.MaxInt64

// Index builds the index that Match uses. It must be called once, before any other
// method.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route of the host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes := c.byHost[host]
	if routes == nil {
		if name, _, ok := strings.Cut(host, ":"); ok {
			routes = c.byHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authenticate returns the team of a key and reports whether a request of the route
// is allowed with the key. Requests need no key if the route is public or the
// configuration has no teams.
func (c *Config) Authenticate(r *Route, key string) (team Team, ok bool) {
	if name, known := c.Keys[key]; known && key != "" {
		return c.Teams[name], true
	}
	return Team{Prepaid: Unlimited}, r.Public || len(c.Teams) == 0
}
