package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
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
)

const (
	modelName    = "m1"
	serviceName  = "desk"
	settleLimit  = 20 * time.Second // until all targets are usable at all routers
	servicePrice = 10               // tokens per call
)

// Places of forwarders.
const (
	viaRouterPlatform = "router-platform"
	viaRouterSidecar  = "router-sidecar"
	viaSidecarTarget  = "sidecar-target"
)

// topology describes the processes of a script.
type topology struct {
	routers, engines, services int
	teams                      []string // NAME:TOKENS
	via                        []string
	policy                     string              // file with changes of the policy document
	extra                      map[string][]string // arguments by role
}

func parseTopology(args []string) (*topology, error) {
	t := &topology{routers: 1, engines: 1, teams: []string{"alpha:1000000"}, extra: map[string][]string{
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
			t.via = strings.Split(value, ",")
		case "policy":
			t.policy = value
		case rolePlatform, roleEngine, roleRouter, roleSidecar:
			t.extra[key] = append(t.extra[key], value)
		default:
			err = fmt.Errorf("unknown option %q", arg)
		}
		if err != nil {
			return nil, err
		}
	}
	return t, nil
}

// cmdTopology starts a platform, routers, and targets with a sidecar each, and
// returns once every router can use every target.
func cmdTopology(ts *testscript.TestScript, w *world, args []string) error {
	t, err := parseTopology(args)
	if err != nil {
		return err
	}
	if err := w.writeSettings(); err != nil {
		return err
	}
	if err := w.start(ts, rolePlatform, slices.Concat([]string{"standin", rolePlatform}, t.extra[rolePlatform])); err != nil {
		return err
	}
	for i := range t.routers {
		if err := w.startRouter(ts, t, i); err != nil {
			return err
		}
	}
	if err := w.configure(ts, t); err != nil {
		return err
	}
	for i := range t.engines {
		args := slices.Concat([]string{"standin", roleEngine, "--model=" + modelName}, t.extra[roleEngine])
		if err := w.startTarget(ts, t, roleEngine, i, args); err != nil {
			return err
		}
	}
	for i := range t.services {
		if err := w.startTarget(ts, t, roleService, i, []string{"standin", roleService}); err != nil {
			return err
		}
	}
	return w.awaitTargets(t)
}

const (
	routerFile  = "router.jsonc"
	sidecarFile = "sidecar.jsonc"
)

// writeSettings writes the files that the arguments of each process complete.
func (w *world) writeSettings() error {
	router := fmt.Sprintf(`{"role":"router","host":"h","failure_domain":"fd",
	"listen":{"callers":"127.0.0.1:0","peers":"127.0.0.1:0"},"platform":{"url":"http://127.0.0.1:1"},
	"operators":[{"name":"op","key_sha256":%q}],"limits":{"body_bytes":65536}}`, policy.HashKey(operatorKey))
	sidecar := `{"role":"sidecar","host":"h","failure_domain":"fd","listen":{"rpc":"127.0.0.1:0"},
	"platform":{"url":"http://127.0.0.1:1"},"target":{"id":"t","kind":"engine","url":"http://127.0.0.1:1"},"limits":{}}`
	if err := os.WriteFile(filepath.Join(w.dir, routerFile), []byte(router), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(w.dir, sidecarFile), []byte(sidecar), 0o644)
}

// domain spreads processes over three failure domains.
func domain(i int) string { return "fd-" + string(rune('a'+i%3)) }

// forward starts a forwarder and returns its address, or returns the target
// itself if the topology has none at that place.
func (w *world) forward(ts *testscript.TestScript, t *topology, place, name, target string) (string, error) {
	if !slices.Contains(t.via, place) {
		return target, nil
	}
	if err := w.start(ts, name, []string{"standin", roleForwarder, "--target=" + target}); err != nil {
		return "", err
	}
	return w.named(name).value("addr"), nil
}

func set(key, value string) string { return "--set=" + key + "=" + value }

func (w *world) startRouter(ts *testscript.TestScript, t *topology, i int) error {
	name := fmt.Sprintf("router%d", i+1)
	table, err := w.forward(ts, t, viaRouterPlatform, "fwd-"+name+"-platform", w.named(rolePlatform).value("addr"))
	if err != nil {
		return err
	}
	args := []string{roleRouter, "--config=" + routerFile, set("host", name), set("failure_domain", domain(i)), set("platform.url", "http://"+table)}
	if i > 0 {
		args = append(args, set("peers", fmt.Sprintf("[%q]", w.named("router1").value("peers"))))
	}
	return w.start(ts, name, append(args, t.extra[roleRouter]...))
}

// startTarget starts a target and its sidecar.
func (w *world) startTarget(ts *testscript.TestScript, t *topology, kind string, i int, args []string) error {
	name := fmt.Sprintf("%s%d", kind, i+1)
	if err := w.start(ts, name, args); err != nil {
		return err
	}
	target, err := w.forward(ts, t, viaSidecarTarget, "fwd-"+name, w.named(name).value("addr"))
	if err != nil {
		return err
	}
	sidecar := []string{roleSidecar, "--config=" + sidecarFile, set("host", "host-"+name), set("failure_domain", domain(i)),
		set("platform.url", "http://"+w.named(rolePlatform).value("addr")),
		set("target.id", name), set("target.kind", kind), set("target.url", "http://"+target)}
	if kind == roleEngine {
		sidecar = append(sidecar, set("target.model", modelName))
	} else {
		sidecar = append(sidecar, set("target.service", serviceName))
	}
	if slices.Contains(t.via, viaRouterSidecar) {
		published, err := w.publish(ts, t, name)
		if err != nil {
			return err
		}
		sidecar = append(sidecar, published...)
	}
	return w.start(ts, "sidecar-"+name, append(sidecar, t.extra[roleSidecar]...))
}

// publish starts the forwarder in front of a sidecar, which needs a port that
// is known beforehand.
func (w *world) publish(ts *testscript.TestScript, t *topology, name string) ([]string, error) {
	own, err := freeAddress()
	if err != nil {
		return nil, err
	}
	published, err := w.forward(ts, t, viaRouterSidecar, "fwd-sidecar-"+name, own)
	if err != nil {
		return nil, err
	}
	return []string{set("listen.rpc", own), set("listen.advertise", published)}, nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// configure puts model, service and teams in force.
func (w *world) configure(ts *testscript.TestScript, t *topology) error {
	doc := policy.Default()
	if t.policy != "" {
		if err := json.Unmarshal([]byte(ts.ReadFile(t.policy)), &doc); err != nil {
			return err
		}
	}
	doc.Models[modelName] = policy.Model{MaxOutputTokens: 4096, ContextTokens: 32768}
	doc.Services[serviceName] = policy.Service{PriceTokens: servicePrice, KeyRequired: true}
	doc.Operators = []policy.Operator{{Name: "op", KeySHA256: policy.HashKey(operatorKey)}, {Name: "op2", KeySHA256: policy.HashKey(operatorKey + "-2")}}
	if err := w.awaitReady(t); err != nil {
		return err
	}
	if _, err := w.admin(http.MethodPut, "/config", doc, `If-Match: "1"`); err != nil {
		return err
	}
	for _, team := range t.teams {
		if err := w.createTeam(ts, team); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) awaitReady(t *topology) error {
	for i := range t.routers {
		c := &call{method: http.MethodGet, url: fmt.Sprintf("router%d/readyz", i+1), status: "200", until: settleLimit, timeout: defaultCallTimeout}
		if err := w.complete(c); err != nil {
			return err
		}
		if _, err := c.run(&w.answers); err != nil {
			return err
		}
	}
	return nil
}

// admin calls the admin API of the first router.
func (w *world) admin(method, path string, body any, headers ...string) (*answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	c := &call{method: method, url: "router1" + admin.BasePath + path, bearer: operatorKey, headers: headers,
		body: data, status: "200,201", timeout: defaultCallTimeout}
	if err := w.complete(c); err != nil {
		return nil, err
	}
	return c.run(&w.answers)
}

// createTeam takes NAME:TOKENS.
func (w *world) createTeam(ts *testscript.TestScript, team string) error {
	name, tokens, _ := strings.Cut(team, ":")
	if _, err := w.admin(http.MethodPost, "/teams", admin.CreateTeamRequest{Name: name}); err != nil {
		return err
	}
	a, err := w.admin(http.MethodPost, "/teams/"+name+"/keys", struct{}{})
	if err != nil {
		return err
	}
	if w.keys[name], err = a.value("key"); err != nil {
		return err
	}
	ts.Setenv("KEY_"+variable(name), w.keys[name])
	amount, err := strconv.ParseInt(tokens, 10, 64)
	if err != nil || amount == 0 {
		return err
	}
	_, err = w.admin(http.MethodPost, "/teams/"+name+"/topups", admin.TopUpRequest{Tokens: amount}, "Idempotency-Key: first-"+name)
	return err
}

// awaitTargets returns once every router has a healthy connection to every
// target.
func (w *world) awaitTargets(t *topology) error {
	for i := range t.routers {
		name := fmt.Sprintf("router%d", i+1)
		if err := w.awaitTargetsAt(name, t.engines+t.services); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) awaitTargetsAt(router string, want int) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	c := &call{method: http.MethodGet, url: router + admin.BasePath + "/targets", bearer: operatorKey, status: "200", timeout: defaultCallTimeout}
	if err := w.complete(c); err != nil {
		return err
	}
	for {
		a := c.send()
		if usable(a.body) == want {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s cannot use all %d targets: %s", router, want, a.body)
		}
		time.Sleep(pollInterval)
	}
}

func usable(body []byte) int {
	var targets []admin.Target
	if json.NewDecoder(bytes.NewReader(body)).Decode(&targets) != nil {
		return 0
	}
	n := 0
	for _, target := range targets {
		if target.Connected && target.Healthy {
			n++
		}
	}
	return n
}
