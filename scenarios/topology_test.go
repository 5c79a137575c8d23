package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/standin/freeport"
)

const (
	modelName          = "m1"
	serviceName        = "desk"
	readyTimeout       = 20 * time.Second // until every router can use every target
	servicePriceTokens = 10               // price of a service call
)

// Places where a topology can have forwarders.
const (
	betweenRouterAndPlatform = "router-platform"
	betweenRouterAndSidecar  = "router-sidecar"
	betweenSidecarAndTarget  = "sidecar-target"
)

// topology describes the processes that the command topology starts.
type topology struct {
	routers, engines, services int
	teams                      []string            // NAME:TOKENS
	forwarders                 []string            // places with a forwarder
	policyFile                 string              // file with changes to the default policy; empty means none
	extraArgs                  map[string][]string // additional arguments by role
}

func parseTopology(args []string) (*topology, error) {
	t := &topology{routers: 1, engines: 1, teams: []string{"alpha:1000000"}, extraArgs: map[string][]string{
		roleEngine: {"--step-base=2ms", "--restart-delay=300ms"},
	}}
	var err error
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "routers":
			t.routers, err = strconv.Atoi(value)
		case "engines":
			t.engines, err = strconv.Atoi(value)
		case "services":
			t.services, err = strconv.Atoi(value)
		case "teams":
			t.teams = strings.Split(value, ",")
		case "via":
			t.forwarders = strings.Split(value, ",")
		case "policy":
			t.policyFile = value
		case rolePlatform, roleEngine, roleRouter, roleSidecar:
			t.extraArgs[key] = append(t.extraArgs[key], value)
		default:
			err = fmt.Errorf("unknown option %q", arg)
		}
		if err != nil {
			return nil, err
		}
	}
	return t, nil
}

// cmdTopology implements "topology [OPTION...]": it starts a platform, routers, and
// targets with a sidecar each, and returns once every router can use every target.
func cmdTopology(ts *testscript.TestScript, s *script, args []string) error {
	t, err := parseTopology(args)
	if err != nil {
		return err
	}
	if err := s.writeConfigFiles(); err != nil {
		return err
	}
	if err := s.startProcess(ts, rolePlatform, slices.Concat([]string{"standin", rolePlatform}, t.extraArgs[rolePlatform])); err != nil {
		return err
	}
	for i := range t.routers {
		if err := s.startRouter(ts, t, i); err != nil {
			return err
		}
	}
	if err := s.applyConfig(ts, t); err != nil {
		return err
	}
	for i := range t.engines {
		args := slices.Concat([]string{"standin", roleEngine, "--model=" + modelName}, t.extraArgs[roleEngine])
		if err := s.startTarget(ts, t, roleEngine, i, args); err != nil {
			return err
		}
	}
	for i := range t.services {
		if err := s.startTarget(ts, t, roleService, i, []string{"standin", roleService}); err != nil {
			return err
		}
	}
	return s.waitAllTargetsUsable(t)
}

const (
	routerFile  = "router.jsonc"
	sidecarFile = "sidecar.jsonc"
)

// writeConfigFiles writes one settings file per role. The arguments of each process
// override the placeholders in it.
func (s *script) writeConfigFiles() error {
	router := fmt.Sprintf(`{"role":"router","host":"h","failure_domain":"fd",
	"listen":{"callers":"127.0.0.1:0","peers":"127.0.0.1:0"},"platform":{"url":"http://127.0.0.1:1"},
	"operators":[{"name":"op","key_sha256":%q}],"limits":{"body_bytes":65536}}`, policy.HashKey(operatorKey))
	sidecar := `{"role":"sidecar","host":"h","failure_domain":"fd","listen":{"rpc":"127.0.0.1:0"},
	"platform":{"url":"http://127.0.0.1:1"},"target":{"id":"t","kind":"engine","url":"http://127.0.0.1:1"},"limits":{}}`
	if err := os.WriteFile(filepath.Join(s.dir, routerFile), []byte(router), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.dir, sidecarFile), []byte(sidecar), 0o644)
}

// failureDomain distributes processes over three failure domains.
func failureDomain(i int) string { return "fd-" + string(rune('a'+i%3)) }

// throughForwarder starts a forwarder to the target and returns its address. It
// returns the target itself if the topology has no forwarder at that place.
func (s *script) throughForwarder(ts *testscript.TestScript, t *topology, place, name, target string) (string, error) {
	if !slices.Contains(t.forwarders, place) {
		return target, nil
	}
	if err := s.startProcess(ts, name, []string{"standin", roleForwarder, "--target=" + target}); err != nil {
		return "", err
	}
	return s.lookUpProcess(name).readyValue("addr"), nil
}

func setFlag(key, value string) string { return "--set=" + key + "=" + value }

func (s *script) startRouter(ts *testscript.TestScript, t *topology, i int) error {
	name := fmt.Sprintf("router%d", i+1)
	platformAddr, err := s.throughForwarder(ts, t, betweenRouterAndPlatform, "fwd-"+name+"-platform", s.lookUpProcess(rolePlatform).readyValue("addr"))
	if err != nil {
		return err
	}
	args := []string{roleRouter, "--config=" + routerFile, setFlag("host", name), setFlag("failure_domain", failureDomain(i)), setFlag("platform.url", "http://"+platformAddr)}
	if i > 0 {
		args = append(args, setFlag("peers", fmt.Sprintf("[%q]", s.lookUpProcess("router1").readyValue("peers"))))
	}
	return s.startProcess(ts, name, append(args, t.extraArgs[roleRouter]...))
}

// startTarget starts a target and its sidecar.
func (s *script) startTarget(ts *testscript.TestScript, t *topology, kind string, i int, args []string) error {
	name := fmt.Sprintf("%s%d", kind, i+1)
	if err := s.startProcess(ts, name, args); err != nil {
		return err
	}
	targetAddr, err := s.throughForwarder(ts, t, betweenSidecarAndTarget, "fwd-"+name, s.lookUpProcess(name).readyValue("addr"))
	if err != nil {
		return err
	}
	sidecarArgs := []string{roleSidecar, "--config=" + sidecarFile, setFlag("host", "host-"+name), setFlag("failure_domain", failureDomain(i)),
		setFlag("platform.url", "http://"+s.lookUpProcess(rolePlatform).readyValue("addr")),
		setFlag("target.id", name), setFlag("target.kind", kind), setFlag("target.url", "http://"+targetAddr)}
	if kind == roleEngine {
		sidecarArgs = append(sidecarArgs, setFlag("target.model", modelName))
	} else {
		sidecarArgs = append(sidecarArgs, setFlag("target.service", serviceName))
	}
	if slices.Contains(t.forwarders, betweenRouterAndSidecar) {
		advertiseArgs, err := s.advertiseForwarder(ts, t, name)
		if err != nil {
			return err
		}
		sidecarArgs = append(sidecarArgs, advertiseArgs...)
	}
	return s.startProcess(ts, "sidecar-"+name, append(sidecarArgs, t.extraArgs[roleSidecar]...))
}

// advertiseForwarder starts a forwarder in front of a sidecar and returns the
// arguments with which the sidecar advertises it. Since the forwarder is started
// first, the port of the sidecar has to be chosen beforehand.
func (s *script) advertiseForwarder(ts *testscript.TestScript, t *topology, name string) ([]string, error) {
	sidecarAddr, err := freeport.Address()
	if err != nil {
		return nil, err
	}
	advertisedAddr, err := s.throughForwarder(ts, t, betweenRouterAndSidecar, "fwd-sidecar-"+name, sidecarAddr)
	if err != nil {
		return nil, err
	}
	return []string{setFlag("listen.rpc", sidecarAddr), setFlag("listen.advertise", advertisedAddr)}, nil
}

// applyConfig configures the model, the service and the operators and creates the
// teams.
func (s *script) applyConfig(ts *testscript.TestScript, t *topology) error {
	doc := policy.Default()
	if t.policyFile != "" {
		if err := json.Unmarshal([]byte(ts.ReadFile(t.policyFile)), &doc); err != nil {
			return err
		}
	}
	doc.Models[modelName] = policy.Model{MaxOutputTokens: 4096, ContextTokens: 32768}
	doc.Services[serviceName] = policy.Service{PriceTokens: servicePriceTokens, KeyRequired: true}
	doc.Operators = []policy.Operator{{Name: "op", KeySHA256: policy.HashKey(operatorKey)}, {Name: "op2", KeySHA256: policy.HashKey(operatorKey + "-2")}}
	if err := s.waitRoutersReady(t); err != nil {
		return err
	}
	if _, err := s.callAdmin(http.MethodPut, "/config", doc, `If-Match: "1"`); err != nil {
		return err
	}
	for _, team := range t.teams {
		if err := s.createTeam(ts, team); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) waitRoutersReady(t *topology) error {
	for i := range t.routers {
		c := &call{method: http.MethodGet, url: fmt.Sprintf("router%d/readyz", i+1), wantStatus: "200", retryFor: readyTimeout, timeout: defaultCallTimeout}
		if err := s.resolve(c); err != nil {
			return err
		}
		if _, err := c.sendWithRetries(&s.answers); err != nil {
			return err
		}
	}
	return nil
}

// callAdmin makes a call to the admin API of the first router.
func (s *script) callAdmin(method, path string, body any, headers ...string) (*response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	c := &call{method: method, url: "router1" + admin.BasePath + path, bearer: operatorKey, headers: headers,
		body: data, wantStatus: "200,201", timeout: defaultCallTimeout}
	if slices.ContainsFunc(headers, func(h string) bool { return strings.HasPrefix(h, "Idempotency-Key:") }) {
		c.retryFor = readyTimeout // the platform may limit the rate of writes
	}
	if err := s.resolve(c); err != nil {
		return nil, err
	}
	return c.sendWithRetries(&s.answers)
}

// createTeam creates a team described as NAME:TOKENS, with an API key and, unless
// TOKENS is 0, a top-up.
func (s *script) createTeam(ts *testscript.TestScript, team string) error {
	name, tokens, _ := strings.Cut(team, ":")
	if _, err := s.callAdmin(http.MethodPost, "/teams", admin.CreateTeamRequest{Name: name}); err != nil {
		return err
	}
	r, err := s.callAdmin(http.MethodPost, "/teams/"+name+"/keys", struct{}{})
	if err != nil {
		return err
	}
	if s.teamKeys[name], err = r.valueAt("key"); err != nil {
		return err
	}
	ts.Setenv("KEY_"+envName(name), s.teamKeys[name])
	amount, err := strconv.ParseInt(tokens, 10, 64)
	if err != nil || amount == 0 {
		return err
	}
	_, err = s.callAdmin(http.MethodPost, "/teams/"+name+"/topups", admin.TopUpRequest{Tokens: amount}, "Idempotency-Key: first-"+name)
	return err
}

// waitAllTargetsUsable waits until every router has a healthy connection to every
// target.
func (s *script) waitAllTargetsUsable(t *topology) error {
	for i := range t.routers {
		name := fmt.Sprintf("router%d", i+1)
		if err := s.waitTargetsUsable(name, t.engines+t.services); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) waitTargetsUsable(router string, want int) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	c := &call{method: http.MethodGet, url: router + admin.BasePath + "/targets", bearer: operatorKey, wantStatus: "200", timeout: defaultCallTimeout}
	if err := s.resolve(c); err != nil {
		return err
	}
	for {
		r := c.send()
		if countUsableTargets(r.body) == want {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s does not have a healthy connection to all %d targets: %s", router, want, r.body)
		}
		time.Sleep(pollInterval)
	}
}

func countUsableTargets(body []byte) int {
	var targets []admin.Target
	if json.NewDecoder(bytes.NewReader(body)).Decode(&targets) != nil {
		return 0
	}
	usable := 0
	for _, target := range targets {
		if target.Connected && target.Healthy {
			usable++
		}
	}
	return usable
}
