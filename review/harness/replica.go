package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Replica is a sound stand-in of a replica (PROTOCOL.md, "Replicas").
type Replica struct {
	ID, Service, Zone, Version string
	Slots                      int
	Engine                     bool
	Handler                    func(*Exchange)

	store   *Store
	address string
	born    int64

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	seq   int
	gone  bool
}

// Exchange is a request at a replica.
type Exchange struct {
	Replica *Replica
	Conn    net.Conn
	Request *http.Request
	Body    []byte
	ID      string
	// Close closes the connection after the answer.
	Close bool
}

// Start listens on a free port of an address and registers the replica.
func (r *Replica) Start(store *Store, ip string) error {
	r.store, r.conns, r.born = store, map[net.Conn]bool{}, time.Now().UnixMilli()
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	r.ln, r.address = ln, ln.Addr().String()
	r.register()
	go r.accept(ln)
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			r.mu.Lock()
			gone := r.gone
			r.mu.Unlock()
			if gone {
				return
			}
			r.register()
		}
	}()
	return nil
}

func (r *Replica) register() {
	r.mu.Lock()
	r.seq++
	seq, born := r.seq, r.born
	r.mu.Unlock()
	r.store.PutJSON("servers", r.ID, map[string]any{
		"service": r.Service, "address": r.address, "zone": r.Zone, "version": r.Version, "slots": r.Slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": seq, "born": born,
	})
}

func (r *Replica) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Replica) serve(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/-/report" {
			if !r.Engine {
				io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			report := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"num-waiting":0,"num-running":0,"kv-used":0,"kv-total":257859,"handles":0,"born":%d}`, r.born)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		if want := req.Header.Get("Tarragonridge-Expected-Instance"); want != "" && want != r.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTarragonridge-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
			continue
		}
		x := &Exchange{Replica: r, Conn: c, Request: req, Body: body, ID: req.Header.Get("Tarragonridge-Request-Id")}
		r.Handler(x)
		if x.Close {
			return
		}
	}
}

// Crash ends the replica as a crash does: nothing listens at its address any more and all
// connections are reset. Its registration stays, as it sends nothing.
func (r *Replica) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	r.ln.Close()
	for c := range r.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Answer sends a plain answer with a signature and a length.
func (x *Exchange) Answer(status int, body string) error {
	_, err := fmt.Fprintf(x.Conn, "HTTP/1.1 %d %s\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Response-Signature: sig.%s.%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), x.ID, x.Replica.ID, x.ID, len(body), body)
	return err
}

// hostOf returns the IP address of an address with a port.
func hostOf(address string) string { return address[:strings.LastIndex(address, ":")] }
