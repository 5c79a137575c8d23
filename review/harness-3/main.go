// Command review-3 holds the stand-ins and the cases of review 3.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(*fleet, bool) (bool, error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// record is record.txt of the case.
var record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// say writes a line to the record.
func say(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%7.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

func runCase(run func(*fleet, bool) (bool, error), folder string) int {
	var err error
	if record.file, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	record.began = time.Now()
	trouble := os.Getenv("TROUBLE") != "0"
	say("TROUBLE=%v", trouble)
	f, err := newFleet()
	if f != nil {
		defer f.end()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-stop
			f.end()
			os.Exit(notRun)
		}()
	}
	var isBroken bool
	if err == nil {
		isBroken, err = run(f, trouble)
	}
	switch {
	case err != nil:
		say("the case could not run: %v", err)
		return notRun
	case isBroken:
		say("the rule was BROKEN")
		return broken
	}
	say("the rule held")
	return held
}

// fleet is the processes of a case.
type fleet struct {
	dir     string
	store   *store
	address string      // of the store
	runs    chan string // ids of replicas, as they run a request

	mu    sync.Mutex
	procs []*process
	ended bool // no further process is started
}

// process is a process that the case has started.
type process struct {
	name    string
	address string // of a replica
	cmd     *exec.Cmd
}

func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newStore(), runs: make(chan string, 1000)}
	f.address, err = f.store.serve()
	return f, err
}

// errEnded is the error of a process that is not started because the case has ended.
var errEnded = errors.New("the case has ended")

// end ends all processes.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for _, p := range f.procs {
		p.signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	_ = os.RemoveAll(f.dir)
}

// start starts a process. What it prints goes to the record, of the system's processes only
// the lines that contain one of keep.
func (f *fleet) start(name string, keep []string, command ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(command[0], command[1:]...)}
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return nil, errEnded
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	_ = in.Close()
	f.procs = append(f.procs, p)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			line := lines.Text()
			var id string
			if n, _ := fmt.Sscanf(line, "replica %s runs", &id); n == 1 && strings.Contains(line, " runs ") {
				select {
				case f.runs <- id:
				default: // no case asks for so many
				}
			}
			shown := len(keep) == 0
			for _, k := range keep {
				shown = shown || strings.Contains(line, k)
			}
			if shown {
				if _, rest, ok := strings.Cut(line, "level="); ok {
					line = rest // without the time, which the record has
				}
				say("%s: %s", name, line)
			}
		}
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills a process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	say("%s was killed", p.name)
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// gatewayLines are the lines of a gateway that tell how a case went.
var gatewayLines = []string{"started", "unframed", "ended", "request not served", "attempt failed", "source", "registration gone", "presumed", "end="}

// startReplicas starts seven replicas of a service, of which one is 0.143.
func (f *fleet) startReplicas(more ...string) (map[string]*process, error) {
	started := map[string]*process{}
	for i := range 7 {
		id := fmt.Sprintf("i-%d", i)
		p, err := f.startReplica(id, freeAddress(), more...)
		if err != nil {
			return nil, err
		}
		started[id] = p
	}
	return started, nil
}

// startReturning starts some replicas of a service. Each is back some time after a crash, with a
// new id, until stop is called. crashes returns when replicas have crashed.
func (f *fleet) startReturning(n int, downTime time.Duration, more ...string) (crashes func() []time.Time, stop func(), err error) {
	var mu sync.Mutex
	var at []time.Time
	stopped := false
	for i := range n {
		address := freeAddress()
		p, err := f.startReplica(fmt.Sprintf("i-%d-1", i), address, more...)
		if err != nil {
			return nil, nil, err
		}
		go func() {
			for starts := 2; ; starts++ {
				_ = p.cmd.Wait()
				mu.Lock()
				ended := stopped
				at = append(at, time.Now())
				mu.Unlock()
				if ended {
					return
				}
				time.Sleep(downTime)
				if p, err = f.startReplica(fmt.Sprintf("i-%d-%d", i, starts), address, more...); err != nil {
					say("%v", err)
					return
				}
			}
		}()
	}
	crashes = func() []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(at)
	}
	stop = func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
	}
	return crashes, stop, nil
}

// startGateways starts some gateways and returns their addresses for callers.
func (f *fleet) startGateways(n int) ([]string, error) {
	callers := make([]string, n)
	for i := range callers {
		var err error
		if _, callers[i], err = f.startGateway(fmt.Sprintf("front-%d", i+1), 8); err != nil {
			return nil, err
		}
	}
	return callers, nil
}

// startGateway starts a gateway with settings like those of the deploy file's template, and
// waits until it is ready. It returns its address for callers.
func (f *fleet) startGateway(name string, graceS int) (*process, string, error) {
	callers, ready, relay := freeAddress(), freeAddress(), freeAddress()
	if err := f.startRelay(relay); err != nil {
		return nil, "", err
	}
	_, relayPort, _ := net.SplitHostPort(relay)
	text := fmt.Sprintf(`{
  "role": "gateway", "host": %q, "failure_domain": "z-a",
  "listen": {"callers": %q, "ready": %q},
  "store": {"address": %q, "relay_port": %s, "writes_per_s": 800, "part_writes_per_s": 200},
  "retries": {"ratio": 0.2, "slack": 52, "window_s": 10},
  "limits": {"memory_mb": 134, "link_mbps": 1000},
  "grace_s": %d, "log_level": "info",
}`, name, callers, ready, f.address, relayPort, graceS)
	path := filepath.Join(f.dir, name+".jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	p, err := f.start(name, gatewayLines, "target/tarragonridge", "gateway", "--config="+path)
	if err != nil {
		return nil, "", err
	}
	for range 100 {
		if resp, err := http.Get("http://" + ready + "/-/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return p, callers, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, "", errors.New("the gateway does not become ready")
}

// startRelay starts the relay of the machine on which the replicas are.
func (f *fleet) startRelay(address string) error {
	path := filepath.Join(f.dir, "relay.jsonc")
	text := fmt.Sprintf(`{"role": "relay", "host": "side-1", "failure_domain": "z-a", "listen": {"routers": %q}, "store": {"address": %q}, "limits": {"memory_mb": 216}}`, address, f.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	_, err := f.start("side-1", []string{"level=ERROR"}, "target/tarragonridge", "relay", "--config="+path)
	return err
}

// startReplica starts a replica of the service app and waits until it listens.
func (f *fleet) startReplica(id, address string, more ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := f.start("replica "+id, nil, append([]string{self, "replica", "--id=" + id, "--listen=" + address, "--store=" + f.address}, more...)...)
	if err != nil {
		return nil, err
	}
	p.address = address
	for range 100 {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			return p, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, errors.New("the replica does not listen")
}

// route is a route of the operator's configuration.
type route struct {
	prefix, kind, service  string
	timeoutMS, objectiveMS int
	attempts               int
	resumable              bool
}

// appRoute is a route to the service app.
func appRoute(prefix, kind string, timeoutMS, objectiveMS int) route {
	return route{prefix: prefix, kind: kind, service: "app", timeoutMS: timeoutMS, objectiveMS: objectiveMS, attempts: 1}
}

// configure writes a version of the operator's configuration.
func (f *fleet) configure(version int, all ...route) {
	routes := []any{}
	for i, r := range all {
		m := map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": "app.example", "prefix": r.prefix, "kind": r.kind, "service": r.service, "timeout-ms": r.timeoutMS,
			"target-latency-ms": r.objectiveMS, "priority": 2, "max-attempts": r.attempts, "resumable": r.resumable,
		}
		if r.kind == "streaming" {
			m["gap-target-ms"], m["sticky"] = 500, true
		}
		routes = append(routes, m)
	}
	f.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "app", "max-connections": 96},
			map[string]any{"name": "llm", "max-connections": 360, "engine": map[string]any{"slots": 64, "stride": 4, "kv-capacity-tokens": 257859}},
		},
		"limits":  map[string]any{"max-header-bytes": 32768, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
		"tenants": []any{map[string]any{"name": "t", "api-keys": []string{"key"}, "prepaid": 50_000_000}},
	})
}

// promptOf returns the parts of the prompt of a request, and how many tokens they have. A path may
// name the parts.
func promptOf(path string) (parts string, tokens int) {
	parts = "5c1e07a2:600,e4402b7d:200"
	if _, named, ok := strings.Cut(path, "?prompt="); ok {
		parts = named
	}
	for part := range strings.SplitSeq(parts, ",") {
		_, n, _ := strings.Cut(part, ":")
		count, _ := strconv.Atoi(n) // the case names numbers
		tokens += count
	}
	return parts, tokens
}

// got is what a client got.
type got struct {
	status    int
	signature string
	body      int
	events    int  // of a stream
	complete  bool // the answer ended in order
	err       error
}

// send sends a request and records what is answered.
func send(address, id, path string, deadlineMS, rate int) got {
	say("client sends %s: POST %s, deadline %d ms", id, path, deadlineMS)
	g := exchange(address, id, path, deadlineMS, rate)
	say("client got %s: status %d, signature %q, %d bytes, %d events, ended in order: %v, error: %v", id, g.status, g.signature, g.body, g.events, g.complete, g.err)
	return g
}

// exchange sends a request and reads its answer. rate is how many bytes a second the client reads;
// 0 means as fast as it can.
func exchange(address, id, path string, deadlineMS, rate int) got {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return got{err: err}
	}
	defer c.Close()
	if rate > 0 {
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	}
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadlineMS)*time.Millisecond + 2*time.Second))
	model := ""
	if strings.HasPrefix(path, "/llm/") || strings.HasPrefix(path, "/added/llm/") {
		prompt, tokens := promptOf(path)
		model = fmt.Sprintf("Tarragonridge-Model: m\r\nTarragonridge-Token-Usage: %d,80\r\nTarragonridge-Prompt-Prefix: %s\r\n", tokens, prompt)
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: app.example\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Deadline-Ms: %d\r\n%sAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\nhi", path, id, deadlineMS, model)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return got{err: err}
	}
	defer resp.Body.Close()
	g := got{status: resp.StatusCode, signature: resp.Header.Get("Tarragonridge-Response-Signature")}
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		g.body += n
		g.events += bytes.Count(buf[:n], []byte("id: "))
		if rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if err != nil {
			g.complete = errors.Is(err, io.EOF)
			if !g.complete {
				g.err = err
			}
			return g
		}
	}
}

// mixed reports whether a success is not the replica's whole body.
func (g got) mixed(size int) bool {
	return g.status == http.StatusOK && g.complete && g.body != size
}

// refused reports whether the gateway has refused a proper request with a status that does not
// promise that it may come again.
func (g got) refused() bool {
	return g.signature == "" && g.status >= 300 && g.status < 500 && g.status != 408 && g.status != 421 && g.status != 429
}
