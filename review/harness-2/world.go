package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is what is written to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// cannotRun ends the program because the case could not run.
type cannotRun struct{ err error }

func (c cannotRun) Error() string { return c.err.Error() }

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// world is a small deployment on loopback addresses.
type world struct {
	rec     *record
	dir     string // temporary
	program string
	trouble bool
	store   *store
	runs    runs

	mu       sync.Mutex
	procs    []*process
	replicas []*replica
	version  int64
}

// process is one of the project's programs.
type process struct {
	name    string
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped atomic.Bool // this program has sent it a signal
	code    int
	callers string // address
	ready   string
}

var usedPorts sync.Map

// freePort returns a port that is free for TCP and UDP at an address, and that was not returned
// before. It is below those that the kernel gives to connections.
func freePort(host string) int {
	for range 200 {
		port := 12000 + rand.IntN(18000)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", host, port))
		if err == nil {
			_ = u.Close()
			return port
		}
	}
	panic(cannotRun{fmt.Errorf("no free port")})
}

func newWorld(rec *record, program string, trouble bool) *world {
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	s, err := newStore()
	must(err)
	w := &world{rec: rec, dir: dir, program: program, trouble: trouble, store: s}
	w.runs.byID = map[string][]run{}
	return w
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		p.stopped.Store(true)
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) startProcess(name, role, settings string) *process {
	config := filepath.Join(w.dir, name+".jsonc")
	must(os.WriteFile(config, []byte(settings), 0o600))
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(w.program, role, "--config="+config)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	must(cmd.Start())
	w.rec.add("%s: process started", name)
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.code = cmd.ProcessState.ExitCode()
		if !p.stopped.Load() {
			w.rec.add("%s: process ended by itself, %v", name, err)
		}
		_ = log.Close()
		close(p.ended)
	}()
	return p
}

// hasEnded reports whether a process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal.
func (w *world) signal(p *process, s syscall.Signal) {
	p.stopped.Store(true)
	w.rec.add("%s: %v sent", p.name, s)
	must(p.cmd.Process.Signal(s))
}

// logLines returns the lines of a process's log that contain a text.
func (w *world) logLines(name, text string) (lines []string) {
	data, _ := os.ReadFile(filepath.Join(w.dir, name+".log"))
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Figures of the settings, as on the sheet of leafledger-glk-grown.
const (
	graceS   = 8
	configMS = 3000
)

// startGateway starts a gateway with the settings of deploy/gateway.jsonc.tmpl.
func (w *world) startGateway(host string, relayPort int) *process {
	return w.restartGateway(host, relayPort, fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1")), fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1")))
}

func (w *world) restartGateway(host string, relayPort int, callers, ready string) *process {
	settings := fmt.Sprintf(`{
  "role": "gateway", "host": %q, "failure_domain": "zone-a",
  "listen": {"callers": %q, "ready": %q, "metrics": "127.0.0.1:%d"},
  "store": {"address": %q, "relay_port": %d, "writes_per_s": 1500, "part_writes_per_s": 200},
  "retries": {"ratio": 0.2, "slack": 86, "window_s": 10},
  "limits": {"memory_mb": 536, "link_mbps": 200.0},
  "grace_s": %d, "log_level": "info",
}`, host, callers, ready, freePort("127.0.0.1"), w.store.address, relayPort, graceS)
	p := w.startProcess(host, "gateway", settings)
	p.callers, p.ready = callers, ready
	return p
}

// startRelay starts a relay on the host of an engine.
func (w *world) startRelay(host, ip string, port int) *process {
	return w.startProcess(host, "relay", fmt.Sprintf(`{
  "role": "relay", "host": %q, "failure_domain": "zone-a", "listen": {"routers": "%s:%d"},
  "store": {"address": %q}, "limits": {"memory_mb": 216},
}`, host, ip, port, w.store.address))
}

// isReady asks a gateway whether it is ready, like the platform.
func isReady(p *process) bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) awaitReady(p *process, timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if isReady(p) {
			w.rec.add("%s: ready", p.name)
			return
		}
	}
	panic(cannotRun{fmt.Errorf("%s is not ready", p.name)})
}

// object is a JSON object.
type object = map[string]any

// writeConfig writes a version of the configuration like the operator. The store has
// acknowledged it when it returns.
func (w *world) writeConfig(routes, services, tenants []object) (version int64) {
	w.mu.Lock()
	w.version += 3
	version = w.version
	w.mu.Unlock()
	value, err := json.Marshal(object{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	must(err)
	w.store.put("op", "config", value)
	w.rec.add("operator: configuration %d written and acknowledged", version)
	return version
}

// run is a run of a request at a replica.
type run struct {
	replica string
	at      time.Time
	tokens  int64 // of the prompt and the events that were sent
}

type runs struct {
	mu   sync.Mutex
	byID map[string][]run
	n    int
}

func (r *runs) add(id string, x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], x)
	r.n++
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// replica is a stand-in for a replica of a service.
type replica struct {
	id, service, address string
	born                 int64
	engine               bool
	work                 time.Duration // of a plain request; of each event of a stream
	events               int           // of a stream
	w                    *world
}

// heartbeatMS is the time between two registrations of a replica.
const heartbeatMS = 1200

func (w *world) startReplica(id, service, host string, engine bool, work time.Duration, events int) *replica {
	l, err := net.Listen("tcp", host+":0")
	must(err)
	r := &replica{id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), engine: engine, work: work, events: events, w: w}
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	go http.Serve(l, r)
	go func() {
		for sequence := 1; ; sequence++ {
			r.register(sequence)
			time.Sleep(heartbeatMS * time.Millisecond)
		}
	}()
	return r
}

func (r *replica) register(sequence int) {
	value, err := json.Marshal(object{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
		"cold-remaining-ms": 0, "sequence": sequence, "born": r.born,
	})
	must(err)
	r.w.store.mu.Lock()
	serves := r.w.store.mode == storeServes
	r.w.store.mu.Unlock()
	if serves {
		r.w.store.put("servers", r.id, value)
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/-/report" {
		if !r.engine {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(object{"stage": "both", "born": r.born, "busy": false, "sequence": 1, "num-waiting": 0, "num-running": 0, "kv-used": 0, "kv-total": 257859, "handles": 0})
		return
	}
	if expected := req.Header.Get("Tarragonridge-Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Tarragonridge-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("Tarragonridge-Request-Id")
	w.Header().Set("Tarragonridge-Request-Id", id)
	w.Header().Set("Tarragonridge-Response-Signature", "s."+r.id)
	usage := strings.Split(req.Header.Get("Tarragonridge-Token-Usage"), ",")
	prompt, _ := strconv.ParseInt(usage[0], 10, 64)
	r.w.runs.add(id, run{replica: r.id, at: time.Now(), tokens: prompt})
	r.w.rec.add("%s: runs %s", r.id, id)
	if !r.engine {
		select {
		case <-time.After(r.work):
		case <-req.Context().Done():
			r.w.rec.add("%s: run of %s cut", r.id, id)
			return
		}
		body := []byte("answer to " + id + "\n")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= r.events; event++ {
		select {
		case <-time.After(r.work):
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", event, id, event)
		w.(http.Flusher).Flush()
	}
}

// answer is what a client has got.
type answer struct {
	id, path string
	sent     time.Time // the last byte of the request
	ended    time.Time
	status   int // 0: the connection has ended without a head
	whole    bool
	body     string
	again    time.Duration // Retry-After
	err      error
}

// client sends one request after another on kept connections.
type client struct {
	w       *world
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5e2<<40+lastID.Add(1)) }

// do sends a request and waits for its answer, up to its deadline.
func (c *client) do(method, path, key string, deadline time.Duration, headers map[string]string, body string) (a answer) {
	a = answer{id: newID(), path: path}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err, a.ended = err, time.Now()
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: site.example\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, a.id, deadline.Milliseconds(), key)
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	c.w.rec.add("client: sends %s %s", path, a.id)
	_, a.err = io.WriteString(c.conn, b.String())
	a.sent = time.Now()
	if a.err == nil {
		a.read(c, method)
	}
	a.ended = time.Now()
	c.w.rec.add("client: %s answered %d, whole %v, error %v", a.id, a.status, a.whole, a.err)
	if a.err != nil {
		c.drop()
	}
	return a
}

// wait returns how long a client waits before it comes again: as it was told, up to a third
// of the time that it has left.
func (a *answer) wait(deadline time.Duration) time.Duration {
	return min(a.again, max(deadline-a.ended.Sub(a.sent), 0)/3)
}

func (a *answer) read(c *client, method string) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.again = time.Duration(seconds * float64(time.Second))
	}
	text, err := io.ReadAll(resp.Body)
	a.body, a.err, a.whole = string(text), err, err == nil
	if resp.Close {
		c.drop()
	}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
