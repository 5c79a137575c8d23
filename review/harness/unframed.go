package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// unframed: two engines stream 40 answers of 10 s. Two of them, 5 in 100, have no length
// and end with their connection, as the pages allow. Meanwhile the gateway gets SIGTERM and
// cuts off what has not ended within its grace period. The client must be able to tell that
// the answers are not complete. VARIANT=kill sends SIGKILL instead.
func unframed(w *World) (bool, error) {
	const (
		streams = 40
		each20  = 20 // of which one has no length
		events  = 34
		gap     = 300 * time.Millisecond
	)
	var begun atomic.Int64
	handler := func(x *Exchange) {
		n := begun.Add(1)
		noLength := n%each20 == 0
		w.Logf("replica %s runs %s, without a length: %v", x.Replica.ID, x.ID, noLength)
		framing := "Transfer-Encoding: chunked"
		if noLength {
			framing, x.Close = "Connection: close", true
		}
		send := func(text string) bool {
			if !noLength {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			if _, err := x.Conn.Write([]byte(text)); err != nil {
				x.Close = true
				return false
			}
			return true
		}
		fmt.Fprintf(x.Conn, "HTTP/1.1 200 OK\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Response-Signature: sig.%s.%s\r\nContent-Type: text/event-stream\r\n%s\r\n\r\n", x.ID, x.Replica.ID, x.ID, framing)
		for i := range events {
			time.Sleep(gap)
			if !send(fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i+1, i+1, events)) {
				w.Logf("replica %s: %s was dropped after %d of %d events", x.Replica.ID, x.ID, i, events)
				return
			}
		}
		if !noLength {
			x.Conn.Write([]byte("0\r\n\r\n"))
		}
		w.Logf("replica %s has made all events of %s", x.Replica.ID, x.ID)
	}
	for i := 1; i <= 2; i++ {
		ip := fmt.Sprintf("127.0.2.%d", i)
		engine := &Replica{ID: fmt.Sprintf("i-e%d", i), Service: "writers", Zone: "z1", Version: "v1", Slots: 64, Engine: true, Handler: handler}
		if err := engine.Start(w.Store, ip); err != nil {
			return false, err
		}
		if err := w.Relay(fmt.Sprintf("side-z1-%d", i), "z1", ip); err != nil {
			return false, err
		}
	}
	w.Store.PutJSON("op", "config", object{"version": 1, "services": []object{engineService("writers")}, "limits": limits,
		"routes":  []object{{"name": "tag", "host": "case.example", "prefix": "/tag/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 1500, "gap-target-ms": 500, "priority": 2, "service": "writers", "max-attempts": 2, "public": false, "sticky": true, "resumable": true}},
		"tenants": []object{{"name": "t1", "api-keys": []string{"key1"}, "prepaid": 3000000}}})
	g, err := w.Gateway("front-z1-1", "z1", "127.0.1.1")
	if err != nil {
		return false, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var looksWhole, whole, cut atomic.Int64
	var clients sync.WaitGroup
	for n := range streams {
		clients.Go(func() {
			id := fmt.Sprintf("r-%02d", n+1)
			c, err := net.Dial("tcp", g.Callers)
			if err != nil {
				w.Logf("%s: %v", id, err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(16 * time.Second))
			w.Logf("client sends %s", id)
			c.Write(head("POST", "/tag/1/", "Tarragonridge-Request-Id", id, "Tarragonridge-Model", "m", "Tarragonridge-Token-Usage", "543,280",
				"Tarragonridge-Prompt-Prefix", fmt.Sprintf("5c1e:103,91bd:69,e4%02d:371", n), "Tarragonridge-Deadline-Ms", "15000", "Authorization", "Bearer key1", "Content-Length", "0"))
			a := readAnswer(bufio.NewReader(c), "POST")
			got := strings.Count(a.body, "\n\n")
			w.Logf("client of %s gets %v, %d of %d events; the end: %s", id, a, got, events, endOf(a.err))
			switch {
			case a.status == 200 && a.err == nil && got < events:
				w.Logf("%s: a success that looks complete and lacks %d events", id, events-got)
				looksWhole.Add(1)
			case a.status == 200 && a.err == nil:
				whole.Add(1)
			default:
				cut.Add(1)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if w.Trouble {
		if os.Getenv("VARIANT") == "kill" {
			g.Signal(syscall.SIGKILL)
		} else {
			g.Signal(syscall.SIGTERM)
		}
	}
	clients.Wait()
	w.Logf("%d answers whole, %d seen to be incomplete, %d look complete and are not", whole.Load(), cut.Load(), looksWhole.Load())
	return looksWhole.Load() == 0, nil
}
