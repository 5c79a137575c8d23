package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// replica is a stand-in for a replica of a service, as a process of its own, so that a test can
// kill it. Its answers have no length and end with their connection, unless it is told to send
// them in chunks. The path of a request says
// what it sends: /app/BYTES/MILLISECONDS is a body sent in 50 parts, and /llm/EVENTS/MILLISECONDS
// is a stream, both within that time. A request with the path /app/poison crashes it at once, and one
// with the path /llm/poison as it begins to answer.
type replica struct {
	id, address, store string
	service            string // app or llm
	version            string
	framed             bool
	born               int64
	mu                 sync.Mutex
	draining           bool
	sequence           int
}

func runReplica(args []string) {
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	r := &replica{born: time.Now().UnixMilli()}
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.address, "listen", "", "")
	flags.StringVar(&r.store, "store", "", "")
	flags.StringVar(&r.service, "service", "app", "")
	flags.StringVar(&r.version, "version", "v1", "of its software")
	flags.BoolVar(&r.framed, "framed", false, "its answers are in chunks")
	drain := flags.Duration("drain", 2*time.Second, "drain-ms: how long it serves after it has reported that it leaves")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fmt.Println("replica:", err)
		os.Exit(2)
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM)
	r.register()
	fmt.Printf("replica %s listens\n", r.id)
	var open sync.WaitGroup
	go func() {
		for range time.Tick(heartbeat) {
			r.register()
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Go(func() { r.serve(c) })
		}
	}()
	<-leave
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.register()
	fmt.Printf("replica %s leaves: its entry says draining\n", r.id)
	time.Sleep(*drain)
	_ = l.Close() // it takes nothing new, and goes on with what it has begun
	fmt.Printf("replica %s takes no more connections\n", r.id)
	open.Wait()
}

// registering gives up a call that gets no answer, so that the next one is not late.
var registering = &http.Client{Timeout: time.Second}

func (r *replica) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "z-a", "version": r.version, "slots": 6, "state": state,
		"cold-remaining-ms": 0, "sequence": r.sequence, "born": r.born,
	})
	req, _ := http.NewRequest(http.MethodPut, "http://"+r.store+"/replica/"+r.id, bytes.NewReader(entry))
	if resp, err := registering.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.answer(c, req) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (r *replica) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Tarragonridge-Request-Id")
	switch expected := req.Header.Get("Tarragonridge-Expected-Instance"); {
	case req.URL.Path == "/health":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTarragonridge-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
		return true
	case req.URL.Path == "/-/report" && r.service == "llm":
		report, _ := json.Marshal(map[string]any{
			"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "num-waiting": 0, "num-running": 0,
			"kv-used": 0, "kv-total": 250000, "handles": 0, "state": "ready", "runs": []any{}, "born": r.born,
		})
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		return true
	case id == "":
		fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	case expected != "" && expected != r.id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	path := strings.Replace(req.URL.Path, "/added/llm/", "/llm/", 1)
	path = strings.Replace(path, "/added/", "/app/", 1)
	var size, ms int
	if req.URL.Path == "/app/poison" {
		fmt.Printf("replica %s runs %s and crashes\n", r.id, id)
		os.Exit(3)
	}
	if req.URL.Path == "/llm/poison" {
		time.Sleep(prefill)
		_, _ = io.WriteString(c, r.head(id, 0, "text/event-stream"))
		fmt.Printf("replica %s runs %s and crashes\n", r.id, id)
		os.Exit(3)
	}
	if _, err := fmt.Sscanf(path, "/llm/%d/%d", &size, &ms); err == nil {
		return r.stream(c, id, size, ms)
	}
	if _, err := fmt.Sscanf(path, "/app/%d/%d", &size, &ms); err != nil {
		fmt.Fprintf(c, "HTTP/1.1 404 Not Found\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Response-Signature: s.%s.404\r\nContent-Length: 0\r\n\r\n", id, id)
		return true
	}
	fmt.Printf("replica %s runs %s: %d bytes in %d ms\n", r.id, id, size, ms)
	if _, err := io.WriteString(c, r.head(id, size, "application/octet-stream")); err != nil {
		return false
	}
	const pieces = 50
	piece := bytes.Repeat([]byte("x"), size/pieces)
	for range pieces {
		if err := r.send(c, piece); err != nil {
			fmt.Printf("replica %s could not send all of %s: %v\n", r.id, id, err)
			return false
		}
		time.Sleep(time.Duration(ms) * time.Millisecond / pieces)
	}
	return r.finish(c, id)
}

// head returns the head of an answer.
func (r *replica) head(id string, size int, contentType string) string {
	framing := "Connection: close"
	if r.framed {
		framing = "Transfer-Encoding: chunked"
	}
	return "HTTP/1.1 200 OK\r\nTarragonridge-Request-Id: " + id + "\r\nTarragonridge-Response-Signature: s." + id + "." + strconv.Itoa(size) +
		"\r\nContent-Type: " + contentType + "\r\n" + framing + "\r\n\r\n"
}

// send sends a part of an answer.
func (r *replica) send(c net.Conn, part []byte) error {
	if r.framed {
		part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
	}
	_, err := c.Write(part)
	return err
}

// finish ends an answer and reports whether the connection stays open.
func (r *replica) finish(c net.Conn, id string) bool {
	fmt.Printf("replica %s has sent all of %s\n", r.id, id)
	if !r.framed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// prefill is how long a replica reads the prompt of a request that crashes it.
const prefill = 200 * time.Millisecond

// stream sends a number of events within a time.
func (r *replica) stream(c net.Conn, id string, events, ms int) bool {
	fmt.Printf("replica %s runs %s: %d events in %d ms\n", r.id, id, events, ms)
	if _, err := io.WriteString(c, r.head(id, events, "text/event-stream")); err != nil {
		return false
	}
	for i := 1; i <= events; i++ {
		time.Sleep(time.Duration(ms) * time.Millisecond / time.Duration(events))
		if err := r.send(c, fmt.Appendf(nil, "id: %d\ndata: piece %d of %d\n\n", i, i, events)); err != nil {
			fmt.Printf("replica %s could not send all of %s: %v\n", r.id, id, err)
			return false
		}
	}
	return r.finish(c, id)
}
