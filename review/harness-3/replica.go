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
	"sync"
	"syscall"
	"time"
)

// replica is a stand-in for a replica of a plain service, as a process of its own, so that a
// test can kill it. Its answers have no length and end with their connection. The path of a
// request says how long its body is and how long the replica takes to send it:
// /app/BYTES/MILLISECONDS.
type replica struct {
	id, address, store string
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

func (r *replica) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": "app", "address": r.address, "zone": "z-a", "version": "v1", "slots": 6, "state": state,
		"cold-remaining-ms": 0, "sequence": r.sequence, "born": r.born,
	})
	req, _ := http.NewRequest(http.MethodPut, "http://"+r.store+"/replica/"+r.id, bytes.NewReader(entry))
	if resp, err := http.DefaultClient.Do(req); err == nil {
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
	case id == "":
		fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	case expected != "" && expected != r.id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	var size, ms int
	if _, err := fmt.Sscanf(req.URL.Path, "/app/%d/%d", &size, &ms); err != nil {
		fmt.Fprintf(c, "HTTP/1.1 404 Not Found\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Response-Signature: s.%s.404\r\nContent-Length: 0\r\n\r\n", id, id)
		return true
	}
	fmt.Printf("replica %s runs %s: %d bytes in %d ms\n", r.id, id, size, ms)
	head := "HTTP/1.1 200 OK\r\nTarragonridge-Request-Id: " + id + "\r\nTarragonridge-Response-Signature: s." + id + "." + strconv.Itoa(size) + "\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	const pieces = 50
	piece := bytes.Repeat([]byte("x"), size/pieces)
	for range pieces {
		if _, err := c.Write(piece); err != nil {
			fmt.Printf("replica %s could not send all of %s: %v\n", r.id, id, err)
			return false
		}
		time.Sleep(time.Duration(ms) * time.Millisecond / pieces)
	}
	fmt.Printf("replica %s has sent all of %s\n", r.id, id)
	return false
}
