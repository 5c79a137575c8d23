package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes the events of a case to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// Logf writes a line with the seconds since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// World is a small deployment.
type World struct {
	*Record
	Trouble bool // whether the disruption is made
	Store   *Store
	dir     string
	program string
	relay   int // port of the relays
	procs   []*Process
}

// NewWorld prepares a deployment whose record lies in a folder.
func NewWorld(caseDir string) (*World, error) {
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := StartStore("127.0.0.10")
	if err != nil {
		return nil, err
	}
	relay, err := freePort("127.0.0.10")
	if err != nil {
		return nil, err
	}
	w := &World{Record: &Record{file: file, began: time.Now()}, Trouble: os.Getenv("TROUBLE") != "0", Store: store, dir: dir, program: "target/tarragonridge", relay: relay}
	w.Logf("trouble %v, store at %s", w.Trouble, store.Address)
	return w, nil
}

// Close ends all processes that the case has started.
func (w *World) Close() {
	for _, p := range w.procs {
		p.Kill()
	}
	os.RemoveAll(w.dir)
}

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// Process is a program of the project.
type Process struct {
	Name, Callers, Ready string
	world                *World
	args                 []string
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	done                 chan struct{}
}

// Bounds of the deployment in whose settings a gateway is started.
const (
	retrySlack = 52
	graceS     = 8
)

// gatewaySettings are the fields of deploy/gateway.jsonc.tmpl, filled in.
const gatewaySettings = `{
  "role": "gateway", "host": %q, "failure_domain": %q,
  "listen": {"callers": %q, "ready": %q, "metrics": %q},
  "store": {"address": %q, "relay_port": %d, "writes_per_s": 800, "part_writes_per_s": 200},
  "retries": {"ratio": 0.2, "slack": %d, "window_s": 10},
  "limits": {"memory_mb": 134, "link_mbps": 1000},
  "grace_s": %d, "log_level": "info",
}
`

// relaySettings are the fields of deploy/relay.jsonc.tmpl, filled in.
const relaySettings = `{
  "role": "relay", "host": %q, "failure_domain": %q,
  "listen": {"routers": %q}, "store": {"address": %q}, "limits": {"memory_mb": 216},
}
`

// Gateway starts a gateway of a name on an address of its own, with the command of the
// deploy file.
func (w *World) Gateway(name, zone, ip string) (*Process, error) {
	var addresses [3]string
	for i := range addresses {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		addresses[i] = fmt.Sprintf("%s:%d", ip, port)
	}
	text := fmt.Sprintf(gatewaySettings, name, zone, addresses[0], addresses[1], addresses[2], w.Store.Address, w.relay, retrySlack, graceS)
	p := &Process{Name: name, Callers: addresses[0], Ready: addresses[1], world: w}
	return p, w.launch(p, "gateway", text)
}

// Relay starts a relay on the host of an engine.
func (w *World) Relay(name, zone, ip string) error {
	text := fmt.Sprintf(relaySettings, name, zone, fmt.Sprintf("%s:%d", ip, w.relay), w.Store.Address)
	return w.launch(&Process{Name: name, world: w}, "relay", text)
}

func (w *World) launch(p *Process, role, settings string) error {
	path := filepath.Join(w.dir, p.Name+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p.args = []string{role, "--config=" + path}
	w.procs = append(w.procs, p)
	return p.Start()
}

// Start starts the process, also again after its end.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.world.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.world.program, p.args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	done := p.done
	go func() {
		err := cmd.Wait()
		p.world.Logf("process %s ended: %v", p.Name, err)
		log.Close()
		close(done)
	}()
	p.world.Logf("process %s started", p.Name)
	return nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.world.Logf("signal %v to %s", s, p.Name)
	p.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.done:
		return
	default:
	}
	p.cmd.Process.Kill()
	<-p.done
}

// Done is closed at the end of the process.
func (p *Process) Done() <-chan struct{} { return p.done }

// Log returns the lines of the process's log that contain a text.
func (p *Process) Log(text string) (lines []string) {
	data, _ := os.ReadFile(filepath.Join(p.world.dir, p.Name+".log"))
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// AwaitReady waits until the process says that it is ready.
func (p *Process) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get("http://" + p.Ready + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", p.Name)
}

// JSON objects of the operator's configuration.
type object = map[string]any

func engineService(name string) object {
	return object{"name": name, "health-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false,
		"engine": object{"slots": 64, "kv-capacity-tokens": 257859, "kv-token-bytes": 163840, "link-mbps": 370000, "moves": true, "backups": true,
			"stride": 4, "most": 12, "pin-ms": 4000, "hold-ms": 2000, "handle-s": 5, "models": []object{{"name": "m"}}}}
}

func plainService(name string) object {
	return object{"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false}
}

var limits = object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

// head builds the head of a client's request.
func head(method, path string, header ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: case.example\r\n", method, path)
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
