package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	minRetainS       = 900     // callers may repeat a key for 15 min
	minBufferPerRun  = 4 << 10 // bytes; a smaller share cannot hold a short answer
	maxTimeoutMS     = 3600_000
	maxBytes         = 1 << 30
	maxCount         = 1 << 20
	maxRetainS       = 7 * 24 * 3600
	maxArchiveAfterS = 24 * 3600
	maxNameLength    = 64
	wantListen       = `IP:port, such as "127.0.0.1:8080"`
	wantPeer         = "IP:port with a port from 1 to 65535"
	wantURL          = `a URL with an IP address, such as "http://127.0.0.1:9000"`
	wantSpecificIP   = "the address under which other hosts reach this one"
	wantName         = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	wantDifferentIPs = "a different address for each listener"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	envPattern    = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logLevels     = []string{"debug", "info", "warn", "error"}
)

// fault adds a fault at a key, unless the key or an object around it is known
// to be missing or of the wrong type.
func (r *reader) fault(key, problem, want string) {
	for k := key; k != ""; k = parent(k) {
		if r.bad[k] {
			return
		}
	}
	r.bad[key] = true
	r.add(r.offset(key), key, problem, want)
}

// offset returns the position of a key's value. An absent key has the position
// of the closest object around it.
func (r *reader) offset(key string) int {
	for ; key != ""; key = parent(key) {
		if at, ok := r.at[key]; ok {
			return at
		}
	}
	return 0
}

// parent cuts the last name or index off a key path.
func parent(key string) string {
	i := strings.LastIndexAny(key, ".[")
	return key[:max(i, 0)]
}

func (r *reader) checkRouter(s *Router) {
	r.checkIdentity(s.Host, s.FailureDomain, s.LogLevel)
	r.checkPlatform(s.Platform)
	r.listen("listen.callers", s.Listen.Callers, false)
	r.listen("listen.peers", s.Listen.Peers, true)
	r.optionalListen("listen.metrics", s.Listen.Metrics)
	r.distinct([]string{"listen.callers", "listen.peers", "listen.metrics"},
		[]string{s.Listen.Callers, s.Listen.Peers, s.Listen.Metrics})
	for i, p := range s.Peers {
		r.peer(fmt.Sprintf("peers[%d]", i), p)
	}
	r.checkOperators(s.Operators)
	r.within("archive_after_s", s.ArchiveAfterS, 1, maxArchiveAfterS)
	r.checkRouterLimits(s.Limits)
}

func (r *reader) checkIdentity(host, domain, level string) {
	r.name("host", host)
	r.name("failure_domain", domain)
	if !slices.Contains(logLevels, level) {
		r.fault("log_level", fmt.Sprintf("unknown level %q", level), "debug, info, warn or error")
	}
}

func (r *reader) checkPlatform(p Platform) {
	r.url("platform.url", p.URL)
	r.within("platform.timeout_ms", p.TimeoutMS, 1, maxTimeoutMS)
}

func (r *reader) checkOperators(ops []Operator) {
	if len(ops) == 0 {
		r.fault("operators", "no operator", "at least one operator, or nobody can change the configuration")
	}
	names := map[string]bool{}
	for i, op := range ops {
		key := fmt.Sprintf("operators[%d]", i)
		r.name(key+".name", op.Name)
		if names[op.Name] {
			r.fault(key+".name", fmt.Sprintf("operator %q stands twice", op.Name), "a name of its own")
		}
		names[op.Name] = true
		if !digestPattern.MatchString(op.KeySHA256) {
			r.fault(key+".key_sha256", "not a SHA-256 digest", "64 hexadecimal digits in lower case")
		}
	}
}

func (r *reader) checkRouterLimits(l RouterLimits) {
	r.within("limits.body_bytes", l.BodyBytes, 1, maxBytes)
	r.within("limits.header_bytes", l.HeaderBytes, 1024, maxBytes)
	r.within("limits.connections", l.Connections, 1, maxCount)
	r.within("limits.read_header_timeout_ms", l.ReadHeaderTimeoutMS, 1, maxTimeoutMS)
	r.within("limits.read_timeout_ms", l.ReadTimeoutMS, 1, maxTimeoutMS)
	r.within("limits.idle_timeout_ms", l.IdleTimeoutMS, 1, maxTimeoutMS)
	if l.ReadHeaderTimeoutMS > l.ReadTimeoutMS {
		r.fault("limits.read_header_timeout_ms",
			fmt.Sprintf("%d exceeds read_timeout_ms %d", l.ReadHeaderTimeoutMS, l.ReadTimeoutMS),
			"at most read_timeout_ms, which includes the header")
	}
}

func (r *reader) checkSidecar(s *Sidecar) {
	r.checkIdentity(s.Host, s.FailureDomain, s.LogLevel)
	r.checkPlatform(s.Platform)
	r.listen("listen.rpc", s.Listen.RPC, true)
	if s.Listen.Advertise != "" {
		r.peer("listen.advertise", s.Listen.Advertise)
	}
	r.optionalListen("listen.metrics", s.Listen.Metrics)
	r.distinct([]string{"listen.rpc", "listen.metrics"}, []string{s.Listen.RPC, s.Listen.Metrics})
	r.checkTarget(s.Target)
	r.within("limits.runs", s.Limits.Runs, 1, maxCount)
	r.within("limits.buffer_bytes", s.Limits.BufferBytes, minBufferPerRun, maxBytes)
	r.within("limits.retain_s", s.Limits.RetainS, minRetainS, maxRetainS)
	if s.Limits.Runs > 0 && s.Limits.BufferBytes/s.Limits.Runs < minBufferPerRun {
		r.fault("limits.buffer_bytes",
			fmt.Sprintf("%d bytes for %d runs", s.Limits.BufferBytes, s.Limits.Runs),
			fmt.Sprintf("at least %d bytes per run", minBufferPerRun))
	}
}

func (r *reader) checkTarget(t Target) {
	r.name("target.id", t.ID)
	r.url("target.url", t.URL)
	switch t.Kind {
	case TargetKindEngine:
		r.served("target.model", t.Model, "target.service", t.Service, "engine")
	case TargetKindService:
		r.served("target.service", t.Service, "target.model", t.Model, "service")
	default:
		r.fault("target.kind", fmt.Sprintf("unknown kind %q", t.Kind), `"engine" or "service"`)
	}
	if t.ChecksOrders && t.OrderSecretEnv == "" {
		r.fault("target.order_secret_env", "missing key", "the variable with the secret, because checks_orders is true")
	}
	if !t.ChecksOrders && t.OrderSecretEnv != "" {
		r.fault("target.order_secret_env", "checks_orders is false", "checks_orders true, or no order_secret_env")
	}
	if t.OrderSecretEnv != "" && !envPattern.MatchString(t.OrderSecretEnv) {
		r.fault("target.order_secret_env", "not a variable name", "the name of an environment variable")
	}
}

// served requires the key that the kind needs and rejects the other.
func (r *reader) served(need, value, other, otherValue, kind string) {
	if value == "" {
		r.fault(need, "missing key", "the name that a target of kind "+kind+" serves")
	} else if !namePattern.MatchString(value) {
		r.fault(need, fmt.Sprintf("bad name %q", value), wantName)
	}
	if otherValue != "" {
		r.fault(other, "contradicts kind "+kind, "no such key")
	}
}

func (r *reader) name(key, v string) {
	if len(v) > maxNameLength || !namePattern.MatchString(v) {
		r.fault(key, fmt.Sprintf("bad name %q", v), wantName)
	}
}

func (r *reader) within(key string, v, low, high int64) {
	if v < low || v > high {
		r.fault(key, strconv.FormatInt(v, 10)+" is out of range", fmt.Sprintf("%d to %d", low, high))
	}
}

// listen checks a listener. A published address must name one interface,
// because other processes dial it as it stands.
func (r *reader) listen(key, v string, published bool) {
	addr, err := netip.ParseAddrPort(v)
	if err != nil {
		r.fault(key, fmt.Sprintf("bad address %q", v), wantListen)
		return
	}
	if published && addr.Addr().IsUnspecified() {
		r.fault(key, fmt.Sprintf("address %q is not specific", v), wantSpecificIP)
	}
}

func (r *reader) optionalListen(key, v string) {
	if v != "" {
		r.listen(key, v, false)
	}
}

func (r *reader) peer(key, v string) {
	addr, err := netip.ParseAddrPort(v)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		r.fault(key, fmt.Sprintf("bad address %q", v), wantPeer)
	}
}

// distinct reports a listener whose address another listener has. Port 0 gives
// each listener a port of its own.
func (r *reader) distinct(keys, values []string) {
	first := map[string]string{}
	for i, v := range values {
		addr, err := netip.ParseAddrPort(v)
		if err != nil || addr.Port() == 0 {
			continue
		}
		if other, ok := first[v]; ok {
			r.fault(keys[i], "same address as "+other, wantDifferentIPs)
			continue
		}
		first[v] = keys[i]
	}
}

func (r *reader) url(key, v string) {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
		r.fault(key, fmt.Sprintf("bad URL %q", v), wantURL)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		r.fault(key, fmt.Sprintf("host %q is not an IP address", u.Hostname()), wantURL)
	}
}
