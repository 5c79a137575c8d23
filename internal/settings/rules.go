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
	minRetainS                = 900     // callers may repeat an idempotency key for 15 minutes
	minBufferBytesPerRun      = 4 << 10 // a smaller share of the buffer cannot hold a short answer
	maxTimeoutMS              = 3600_000
	maxBytes                  = 1 << 30
	maxCount                  = 1 << 20 // of runs, connections, retries or megabytes
	maxRetainS                = 7 * 24 * 3600
	maxArchiveAfterS          = 24 * 3600
	maxNameLength             = 64
	expectedListenAddress     = `IP:port, such as "127.0.0.1:8080"`
	expectedDialAddress       = "IP:port with a port from 1 to 65535"
	expectedURL               = `a URL with an IP address, such as "http://127.0.0.1:9000"`
	expectedReachableAddress  = "the address at which other hosts reach this one"
	expectedName              = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	expectedDistinctAddresses = "a different address for each listener"
)

var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	envNamePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
	sha256Pattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logLevels      = []string{"debug", "info", "warn", "error"}
)

// addProblem reports a problem with the value of key, unless key or an object or
// array around it is already marked as reported.
func (d *decoder) addProblem(key, message, expected string) {
	for k := key; k != ""; k = parentKey(k) {
		if d.reported[k] {
			return
		}
	}
	d.reported[key] = true
	d.addAt(d.offsetOf(key), key, message, expected)
}

// offsetOf returns the byte offset of a key's value. For an absent key it is the
// offset of the closest enclosing value that is present.
func (d *decoder) offsetOf(key string) int {
	for ; key != ""; key = parentKey(key) {
		if valueOffset, ok := d.valueOffsets[key]; ok {
			return valueOffset
		}
	}
	return 0
}

// parentKey returns key without its last name or index.
func parentKey(key string) string {
	i := strings.LastIndexAny(key, ".[")
	return key[:max(i, 0)]
}

func (d *decoder) checkRouter(s *Router) {
	d.checkIdentity(s.Host, s.FailureDomain, s.LogLevel)
	d.checkPlatform(s.Platform)
	d.checkListenAddress("listen.callers", s.Listen.Callers, false)
	d.checkListenAddress("listen.peers", s.Listen.Peers, true)
	d.checkOptionalListenAddress("listen.metrics", s.Listen.Metrics)
	d.checkDistinctAddresses([]string{"listen.callers", "listen.peers", "listen.metrics"},
		[]string{s.Listen.Callers, s.Listen.Peers, s.Listen.Metrics})
	for i, p := range s.Peers {
		d.checkDialAddress(fmt.Sprintf("peers[%d]", i), p)
	}
	d.checkOperators(s.Operators)
	d.checkIntRange("archive_after_s", s.ArchiveAfterS, 1, maxArchiveAfterS)
	d.checkRouterLimits(s.Limits)
}

func (d *decoder) checkIdentity(host, failureDomain, logLevel string) {
	d.checkName("host", host)
	d.checkName("failure_domain", failureDomain)
	if !slices.Contains(logLevels, logLevel) {
		d.addProblem("log_level", fmt.Sprintf("unknown log level %q", logLevel), "debug, info, warn or error")
	}
}

func (d *decoder) checkPlatform(p Platform) {
	d.checkURL("platform.url", p.URL)
	d.checkIntRange("platform.timeout_ms", p.TimeoutMS, 1, maxTimeoutMS)
}

func (d *decoder) checkOperators(operators []Operator) {
	if len(operators) == 0 {
		d.addProblem("operators", "no operators", "at least one operator, because only operators can change the configuration")
	}
	seenNames := map[string]bool{}
	for i, op := range operators {
		key := fmt.Sprintf("operators[%d]", i)
		d.checkName(key+".name", op.Name)
		if seenNames[op.Name] {
			d.addProblem(key+".name", fmt.Sprintf("duplicate operator %q", op.Name), "a unique name")
		}
		seenNames[op.Name] = true
		if !sha256Pattern.MatchString(op.KeySHA256) {
			d.addProblem(key+".key_sha256", "not a SHA-256 digest", "64 lowercase hexadecimal digits")
		}
	}
}

func (d *decoder) checkRouterLimits(l RouterLimits) {
	d.checkIntRange("limits.body_bytes", l.BodyBytes, 1, maxBytes)
	d.checkIntRange("limits.header_bytes", l.HeaderBytes, 1024, maxBytes)
	d.checkIntRange("limits.connections", l.Connections, 1, maxCount)
	d.checkIntRange("limits.caller_memory_mb", l.CallerMemoryMB, 1, maxCount)
	d.checkIntRange("limits.read_header_timeout_ms", l.ReadHeaderTimeoutMS, 1, maxTimeoutMS)
	d.checkIntRange("limits.read_timeout_ms", l.ReadTimeoutMS, 1, maxTimeoutMS)
	d.checkIntRange("limits.idle_timeout_ms", l.IdleTimeoutMS, 1, maxTimeoutMS)
	if l.ReadHeaderTimeoutMS > l.ReadTimeoutMS {
		d.addProblem("limits.read_header_timeout_ms",
			fmt.Sprintf("%d exceeds read_timeout_ms %d", l.ReadHeaderTimeoutMS, l.ReadTimeoutMS),
			"at most read_timeout_ms, which includes the header")
	}
}

func (d *decoder) checkSidecar(s *Sidecar) {
	d.checkIdentity(s.Host, s.FailureDomain, s.LogLevel)
	d.checkPlatform(s.Platform)
	d.checkListenAddress("listen.rpc", s.Listen.RPC, true)
	if s.Listen.Advertise != "" {
		d.checkDialAddress("listen.advertise", s.Listen.Advertise)
	}
	d.checkOptionalListenAddress("listen.metrics", s.Listen.Metrics)
	d.checkDistinctAddresses([]string{"listen.rpc", "listen.metrics"}, []string{s.Listen.RPC, s.Listen.Metrics})
	d.checkTarget(s.Target)
	d.checkIntRange("limits.runs", s.Limits.Runs, 1, maxCount)
	d.checkIntRange("limits.buffer_bytes", s.Limits.BufferBytes, minBufferBytesPerRun, maxBytes)
	d.checkIntRange("limits.retain_s", s.Limits.RetainS, minRetainS, maxRetainS)
	if s.Limits.Runs > 0 && s.Limits.BufferBytes/s.Limits.Runs < minBufferBytesPerRun {
		d.addProblem("limits.buffer_bytes",
			fmt.Sprintf("%d bytes are too few for %d runs", s.Limits.BufferBytes, s.Limits.Runs),
			fmt.Sprintf("at least %d bytes per run", minBufferBytesPerRun))
	}
}

func (d *decoder) checkTarget(t Target) {
	d.checkName("target.id", t.ID)
	d.checkURL("target.url", t.URL)
	switch t.Kind {
	case TargetKindEngine:
		d.checkServedName("target.model", t.Model, "target.service", t.Service, "engine")
	case TargetKindService:
		d.checkServedName("target.service", t.Service, "target.model", t.Model, "service")
	default:
		d.addProblem("target.kind", fmt.Sprintf("unknown kind %q", t.Kind), `"engine" or "service"`)
	}
	if t.ChecksOrders && t.OrderSecretEnv == "" {
		d.addProblem("target.order_secret_env", "missing key", "the environment variable that holds the secret, because checks_orders is true")
	}
	if !t.ChecksOrders && t.OrderSecretEnv != "" {
		d.addProblem("target.order_secret_env", "set although checks_orders is false", "checks_orders true, or no order_secret_env")
	}
	if t.OrderSecretEnv != "" && !envNamePattern.MatchString(t.OrderSecretEnv) {
		d.addProblem("target.order_secret_env", "not a valid variable name", "the name of an environment variable")
	}
}

// checkServedName checks the name that a target serves: its kind requires one
// key, model or service, and excludes the other.
func (d *decoder) checkServedName(requiredKey, requiredValue, excludedKey, excludedValue, targetKind string) {
	if requiredValue == "" {
		d.addProblem(requiredKey, "missing key", "the name that a target of kind "+targetKind+" serves")
	} else if !namePattern.MatchString(requiredValue) {
		d.addProblem(requiredKey, fmt.Sprintf("invalid name %q", requiredValue), expectedName)
	}
	if excludedValue != "" {
		d.addProblem(excludedKey, "not allowed for a target of kind "+targetKind, "no such key")
	}
}

func (d *decoder) checkName(key, v string) {
	if len(v) > maxNameLength || !namePattern.MatchString(v) {
		d.addProblem(key, fmt.Sprintf("invalid name %q", v), expectedName)
	}
}

func (d *decoder) checkIntRange(key string, v, minimum, maximum int64) {
	if v < minimum || v > maximum {
		d.addProblem(key, strconv.FormatInt(v, 10)+" is out of range", fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

// checkListenAddress checks the address of a listener. An advertised address
// must not be the unspecified one, because other processes dial it unchanged.
func (d *decoder) checkListenAddress(key, v string, advertised bool) {
	addr, err := netip.ParseAddrPort(v)
	if err != nil {
		d.addProblem(key, fmt.Sprintf("invalid address %q", v), expectedListenAddress)
		return
	}
	if advertised && addr.Addr().IsUnspecified() {
		d.addProblem(key, fmt.Sprintf("address %q does not name one interface", v), expectedReachableAddress)
	}
}

func (d *decoder) checkOptionalListenAddress(key, v string) {
	if v != "" {
		d.checkListenAddress(key, v, false)
	}
}

// checkDialAddress checks an address that this or another process dials.
func (d *decoder) checkDialAddress(key, v string) {
	addr, err := netip.ParseAddrPort(v)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		d.addProblem(key, fmt.Sprintf("invalid address %q", v), expectedDialAddress)
	}
}

// checkDistinctAddresses reports listeners that share an address. Port 0 is
// exempt, because the system then assigns each listener its own port.
func (d *decoder) checkDistinctAddresses(keys, values []string) {
	keyByAddress := map[string]string{}
	for i, v := range values {
		addr, err := netip.ParseAddrPort(v)
		if err != nil || addr.Port() == 0 {
			continue
		}
		if otherKey, ok := keyByAddress[v]; ok {
			d.addProblem(keys[i], "same address as "+otherKey, expectedDistinctAddresses)
			continue
		}
		keyByAddress[v] = keys[i]
	}
}

func (d *decoder) checkURL(key, v string) {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
		d.addProblem(key, fmt.Sprintf("invalid URL %q", v), expectedURL)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		d.addProblem(key, fmt.Sprintf("host %q is not an IP address", u.Hostname()), expectedURL)
	}
}
