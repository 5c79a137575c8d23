package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// hup: a gateway gets SIGTERM while it serves, and SIGHUP a second later, as its settings
// have changed. Both are planned work: what it has passed on to a replica it must answer.
func hup(w *World) (bool, error) {
	const work = 110 * time.Millisecond
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 3 {
		r := &Replica{ID: fmt.Sprintf("i-d%d", i), Service: "desk", Zone: "z1", Version: "v1", Slots: 6}
		r.Handler = func(x *Exchange) {
			mu.Lock()
			ran[x.ID] = true
			mu.Unlock()
			w.Logf("replica %s runs %s", r.ID, x.ID)
			time.Sleep(work)
			err := x.Answer(200, "reserved")
			w.Logf("replica %s has run %s to its end, answer sent: %v", r.ID, x.ID, err == nil)
		}
		if err := r.Start(w.Store, fmt.Sprintf("127.0.3.%d", i+1)); err != nil {
			return false, err
		}
	}
	w.Store.PutJSON("op", "config", object{"version": 1, "services": []object{plainService("desk")}, "limits": limits,
		"routes":  []object{{"name": "bid", "host": "case.example", "prefix": "/bid/", "kind": "non_idempotent", "timeout-ms": 600, "target-latency-ms": 100, "priority": 2, "service": "desk", "max-attempts": 1, "public": false}},
		"tenants": []object{{"name": "t1", "api-keys": []string{"key1"}, "prepaid": 3000000}}})
	g, err := w.Gateway("front-z1-1", "z1", "127.0.1.1")
	if err != nil {
		return false, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// 40 bids a second until the platform sends no more connections.
	var lost, answered, refused atomic.Int64
	var clients sync.WaitGroup
	began := time.Now()
	const termAfter = 2 * time.Second
	for n := range 40 * 4 {
		clients.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(n) * 25 * time.Millisecond)))
			id := fmt.Sprintf("r-%03d", n)
			c, err := net.Dial("tcp", g.Callers)
			if err != nil {
				w.Logf("%s: cannot connect", id)
				refused.Add(1)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(2 * time.Second))
			c.Write(append(head("POST", "/bid/7/", "Tarragonridge-Request-Id", id, "Tarragonridge-Deadline-Ms", "600", "Authorization", "Bearer key1", "Content-Length", "3"), "bid"...))
			a := readAnswer(bufio.NewReader(c), "POST")
			w.Logf("%s: client gets %v", id, a)
			time.Sleep(2 * work)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status != 0 && a.err == nil:
				answered.Add(1)
			case ran[id]:
				w.Logf("%s: was passed on to a replica, which ran it, and got no answer", id)
				lost.Add(1)
			default:
				refused.Add(1)
			}
		})
	}
	time.Sleep(time.Until(began.Add(termAfter)))
	g.Signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if w.Trouble {
		g.Signal(syscall.SIGHUP)
	}
	clients.Wait()
	select {
	case <-g.Done():
	case <-time.After(10 * time.Second):
		return false, fmt.Errorf("the gateway does not end")
	}
	w.Logf("%d answered, %d not read, %d passed on to a replica and lost", answered.Load(), refused.Load(), lost.Load())
	return lost.Load() == 0, nil
}
