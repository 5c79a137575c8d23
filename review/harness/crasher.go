package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// crasher is no case of its own, see REPORT.md: a request crashes each replica that begins to run it, and comes again every two
// seconds, at each of three gateways in turn. After three crashes the gateways must stop
// it. Its tenant is named coop/leaf. TENANT=coopleaf gives it a name without a slash.
func crasher(w *World) (bool, error) {
	const (
		replicas = 10
		back     = 3 * time.Second // a replica is back after some seconds
		again    = 2 * time.Second
		stable   = 3 * time.Second // stable-ms
		body     = "bid that crashes"
	)
	tenant := "coop/leaf"
	if name := os.Getenv("TENANT"); name != "" {
		tenant = name
	}
	var mu sync.Mutex
	var reached []time.Time // when the request began to run at a replica
	var start func(i, incarnation int) error
	var handler func(i, incarnation int) func(x *Exchange)
	handler = func(i, incarnation int) func(x *Exchange) {
		return func(x *Exchange) {
			if string(x.Body) != body {
				time.Sleep(15 * time.Millisecond)
				x.Answer(200, "reserved")
				return
			}
			mu.Lock()
			reached = append(reached, time.Now())
			n := len(reached)
			mu.Unlock()
			w.Logf("replica %s begins to run %s of tenant %s, the %d. time", x.Replica.ID, x.ID, x.Request.Header.Get("Tarragonridge-Tenant-Id"), n)
			if !w.Trouble {
				x.Answer(200, "reserved")
				return
			}
			x.Close = true
			x.Replica.Crash()
			w.Logf("replica %s crashes", x.Replica.ID)
			go func() {
				time.Sleep(back)
				w.Store.Remove("servers", x.Replica.ID)
				if err := start(i, incarnation+1); err == nil {
					w.Logf("replica i-d%d.%d is back", i, incarnation+1)
				}
			}()
		}
	}
	start = func(i, incarnation int) error {
		r := &Replica{ID: fmt.Sprintf("i-d%d.%d", i, incarnation), Service: "desk", Zone: fmt.Sprintf("z%d", i%3+1), Version: "v1", Slots: 6, Handler: handler(i, incarnation)}
		return r.Start(w.Store, fmt.Sprintf("127.0.3.%d", i+1))
	}
	for i := range replicas {
		if err := start(i, 1); err != nil {
			return false, err
		}
	}
	w.Store.PutJSON("op", "config", object{"version": 1, "services": []object{plainService("desk")}, "limits": limits,
		"routes":  []object{{"name": "bid", "host": "case.example", "prefix": "/bid/", "kind": "non_idempotent", "timeout-ms": 600, "target-latency-ms": 100, "priority": 2, "service": "desk", "max-attempts": 1, "public": false}},
		"tenants": []object{{"name": tenant, "api-keys": []string{"key1"}, "prepaid": 3000000}}})
	var gateways []*Process
	for i := 1; i <= 3; i++ {
		g, err := w.Gateway(fmt.Sprintf("front-z%d-1", i), fmt.Sprintf("z%d", i), fmt.Sprintf("127.0.1.%d", i))
		if err != nil {
			return false, err
		}
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	for n := range 15 {
		id := fmt.Sprintf("r-%02d", n+1)
		g := gateways[n%3]
		a := call(g.Callers, append(head("POST", "/bid/7/", "Tarragonridge-Request-Id", id, "Tarragonridge-Deadline-Ms", "600", "Authorization", "Bearer key1", "Content-Length", fmt.Sprint(len(body))), body...), "POST", 2*time.Second)
		w.Logf("%s at %s: client gets %v", id, g.Name, a)
		time.Sleep(again)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if w.Trouble {
		for i, at := range reached {
			if i >= 3 && at.Sub(reached[2]) > stable {
				late++
			}
		}
	}
	w.Logf("the request of tenant %s reached replicas %d times, %d of them later than stable-ms after the third crash; BUDGET allows 3", tenant, len(reached), late)
	return late <= 3, nil
}
