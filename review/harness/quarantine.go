package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// quarantine: callers of a tenant read the same price again and again, which always
// succeeds. Then three of seven replicas crash, one after the other, for a reason that has
// nothing to do with the requests. The price must still be served.
func quarantine(w *World) (bool, error) {
	const (
		replicas = 7
		hot      = "/price/17/"
		hotShare = 0.28
		work     = 100 * time.Millisecond
		down     = 4500 * time.Millisecond
	)
	var served atomic.Int64
	running := map[string]*atomic.Int64{}
	handler := func(x *Exchange) {
		n := running[strings.SplitN(x.Replica.ID, ".", 2)[0]]
		popular := x.Request.URL.Path == hot
		if popular {
			n.Add(1)
		}
		time.Sleep(work)
		if popular {
			n.Add(-1)
		}
		if x.Answer(200, "price of "+x.Request.URL.Path) == nil && popular {
			served.Add(1)
		}
	}
	desk := make([]*Replica, replicas)
	start := func(i, incarnation int) error {
		desk[i] = &Replica{ID: fmt.Sprintf("i-d%d.%d", i, incarnation), Service: "desk", Zone: fmt.Sprintf("z%d", i%3+1), Version: "v1", Slots: 6, Handler: handler}
		return desk[i].Start(w.Store, fmt.Sprintf("127.0.3.%d", i+1))
	}
	for i := range desk {
		running[fmt.Sprintf("i-d%d", i)] = &atomic.Int64{}
	}
	for i := range desk {
		if err := start(i, 1); err != nil {
			return false, err
		}
	}
	w.Store.PutJSON("op", "config", object{"version": 1, "services": []object{plainService("desk")}, "limits": limits,
		"routes":  []object{{"name": "price", "host": "case.example", "prefix": "/price/", "kind": "idempotent", "timeout-ms": 600, "target-latency-ms": 100, "priority": 2, "service": "desk", "max-attempts": 2, "public": false}},
		"tenants": []object{{"name": "t1", "api-keys": []string{"key1"}, "prepaid": 3000000}}})
	var gateways []*Process
	for i := 1; i <= 2; i++ {
		g, err := w.Gateway(fmt.Sprintf("front-z%d-1", i), fmt.Sprintf("z%d", i), fmt.Sprintf("127.0.1.%d", i))
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)

	// Clients: 100 requests a second, of which 28 in 100 read the same price.
	var mu sync.Mutex
	counts := map[string]map[int]int{} // by phase and status
	phase := "before the crashes"
	var total, denied atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			path := hot
			if rand.Float64() >= hotShare {
				path = fmt.Sprintf("/price/%d/", 100+n)
			}
			mu.Lock()
			in := phase
			mu.Unlock()
			clients.Go(func() {
				id := fmt.Sprintf("r-%05d", n)
				request := head("GET", path, "Tarragonridge-Request-Id", id, "Tarragonridge-Deadline-Ms", "600", "Authorization", "Bearer key1")
				a := call(gateways[n%2].Callers, request, "GET", 3*time.Second)
				w.Logf("%s GET %s at %s: %s", id, path, gateways[n%2].Name, a)
				total.Add(1)
				if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
					denied.Add(1)
				}
				mu.Lock()
				if counts[in] == nil {
					counts[in] = map[int]int{}
				}
				counts[in][a.status]++
				mu.Unlock()
			})
		}
	})
	setPhase := func(name string) {
		mu.Lock()
		phase = name
		mu.Unlock()
		w.Logf("-- %s", name)
	}
	time.Sleep(5 * time.Second)
	setPhase("crashes")
	for i := range 3 {
		if w.Trouble {
			n := running[fmt.Sprintf("i-d%d", i)]
			for end := time.Now().Add(2 * time.Second); n.Load() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			w.Logf("replica %s crashes with %d requests for %s in flight; %d of them were served before", desk[i].ID, n.Load(), hot, served.Load())
			desk[i].Crash()
		}
		time.Sleep(down)
		if w.Trouble {
			w.Store.Remove("servers", desk[i].ID)
			if err := start(i, 2); err != nil {
				return false, err
			}
			w.Logf("replica %s is back", desk[i].ID)
		}
		time.Sleep(2 * time.Second)
	}
	setPhase("all replicas are well again")
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()
	for _, name := range []string{"before the crashes", "crashes", "all replicas are well again"} {
		w.Logf("%s: answers by status %v", name, counts[name])
	}
	for _, g := range gateways {
		for _, line := range g.Log("quarantined") {
			w.Logf("%s: %s", g.Name, line)
			break
		}
	}
	bound := 5 + total.Load()/500
	w.Logf("%d of %d requests got a 3xx or 4xx of the gateway's own; DENIED allows %d", denied.Load(), total.Load(), bound)
	return denied.Load() <= bound, nil
}
