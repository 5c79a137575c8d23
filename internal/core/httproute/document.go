// Package httproute matches HTTP requests to routes: host and path prefix to a
// service, with the rules under which a request may be attempted.
package httproute

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// Kinds of request.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Route sends requests of a host and path prefix to a service.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration     // longest time to keep a caller waiting
	LatencyObjective time.Duration     // latency objective, up to the first event of a stream
	GapObjective     time.Duration     // longest pause between two events of a stream
	Priority         int               // 0 is the most urgent
	Split            []WeightedService // services by weight
	MaxAttempts      int               // targets that one request may be sent to
	Public           bool              // needs no key
	Affinity         bool              // requests carry the parts of their prompt
	Resumable        bool              // a stream may go on at another target
}

// WeightedService is the part of a route's requests that a service gets.
type WeightedService struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService returns the service for a point between 0 and 1.
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
	MaxConnections int   // of a target, from all callers together
	Slots          int   // requests that an engine runs at once; 0 for a plain service
	TokensPerEvent int64 // of an engine's stream
}

// Team owns keys and a prepaid budget.
type Team struct {
	Name        string
	Priority    int // takes the place of the route's priority
	HasPriority bool
	Prepaid     int64 // tokens; math.MaxInt64 if the team has no limit
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    map[string]Team
	Keys     map[string]string // key to team
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
}

// Unlimited is the prepaid amount of a team without a limit.
const Unlimited int64 = math.MaxInt64

// Index prepares the document for Match. It is called once, before use.
func (d *Config) Index() {
	d.byHost = map[string][]*Route{}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		d.byHost[host] = append(d.byHost[host], r)
	}
	for _, routes := range d.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route with the longest prefix of path, or nil.
func (d *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes := d.byHost[host]
	if routes == nil {
		if name, _, ok := strings.Cut(host, ":"); ok {
			routes = d.byHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authenticate returns the team that holds a key. A document without teams
// needs no keys.
func (d *Config) Authenticate(r *Route, key string) (team Team, ok bool) {
	if name, known := d.Keys[key]; known && key != "" {
		return d.Teams[name], true
	}
	return Team{}, r.Public || len(d.Teams) == 0
}
