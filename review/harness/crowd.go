package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// crowd: a request crashes each engine that begins to run it, and comes again every two
// seconds, at each of three gateways in turn. Beside it, callers ask for the tags of popular
// lots, which are always served. After three crashes the gateways must stop the request
// that crashes engines.
func crowd(w *World) (bool, error) {
	const (
		engines  = 6
		back     = 3 * time.Second // an engine is back after some seconds
		again    = 2 * time.Second
		stable   = 3 * time.Second // stable-ms
		events   = 20
		gap      = 250 * time.Millisecond
		poison   = "lot that crashes"
		attempts = 14
	)
	const lots, perS = 8, 24
	var mu sync.Mutex
	var reached []time.Time // when the request began to run at an engine
	var start func(i, incarnation int) error
	handler := func(i, incarnation int) func(x *Exchange) {
		return func(x *Exchange) {
			if string(x.Body) == poison {
				mu.Lock()
				reached = append(reached, time.Now())
				n := len(reached)
				mu.Unlock()
				w.Logf("engine %s begins to run %s, the request that crashes engines, the %d. time", x.Replica.ID, x.ID, n)
				if w.Trouble {
					x.Close = true
					time.Sleep(20 * time.Millisecond)
					x.Replica.Crash()
					w.Logf("engine %s crashes", x.Replica.ID)
					go func() {
						time.Sleep(back)
						w.Store.Remove("servers", x.Replica.ID)
						if err := start(i, incarnation+1); err == nil {
							w.Logf("engine i-e%d.%d is back", i, incarnation+1)
						}
					}()
					return
				}
			}
			all := events
			if string(x.Body) == poison { // if it crashes nothing
				all = 2
			}
			w.Logf("engine %s runs %s, %s", x.Replica.ID, x.ID, x.Body)
			x.Stream(all, gap)
		}
	}
	start = func(i, incarnation int) error {
		r := &Replica{ID: fmt.Sprintf("i-e%d.%d", i, incarnation), Service: "writers", Zone: fmt.Sprintf("z%d", i%3+1), Version: "v1", Slots: 64, Engine: true, Handler: handler(i, incarnation)}
		return r.Start(w.Store, fmt.Sprintf("127.0.2.%d", i+1))
	}
	for i := range engines {
		if err := start(i, 1); err != nil {
			return false, err
		}
		if err := w.Relay(fmt.Sprintf("side-%d", i), fmt.Sprintf("z%d", i%3+1), fmt.Sprintf("127.0.2.%d", i+1)); err != nil {
			return false, err
		}
	}
	w.Store.PutJSON("op", "config", object{"version": 1, "services": []object{engineService("writers")}, "limits": limits,
		"routes": []object{tagRoute,
			{"name": "note", "host": "case.example", "prefix": "/note/", "kind": "streaming", "timeout-ms": 4000, "target-latency-ms": 1200, "gap-target-ms": 500, "priority": 1, "service": "writers", "max-attempts": 1, "public": false, "sticky": true, "resumable": false}},
		"tenants": []object{{"name": "t1", "api-keys": []string{"key1"}, "prepaid": 30000000}, {"name": "t2", "api-keys": []string{"key2"}, "prepaid": 30000000}}})
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
	time.Sleep(3 * time.Second)
	var total, refused, served atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / time.Duration(perS)):
			}
			lot := rand.IntN(lots)
			clients.Go(func() {
				id := fmt.Sprintf("c-%05d", n)
				g := gateways[rand.IntN(3)]
				w.Logf("%s for lot %d is sent to %s", id, lot, g.Name)
				a := stream(g, id, fmt.Sprintf("/tag/%d/", lot), fmt.Sprintf("tag of lot %d", lot), "key1", fmt.Sprintf("5c1e:172,e4%02d:371", lot), 15*time.Second)
				w.Logf("%s for lot %d at %s: %v", id, lot, g.Name, a)
				total.Add(1)
				switch {
				case a.status == 422:
					refused.Add(1)
				case a.status == 200 && a.err == nil:
					served.Add(1)
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	for n := range attempts {
		id := fmt.Sprintf("r-%02d", n+1)
		g := gateways[n%3]
		w.Logf("%s, the request that crashes engines, is sent to %s", id, g.Name)
		a := stream(g, id, "/note/7/", poison, "key2", "5c1e:172,ef40:371", 4*time.Second)
		w.Logf("%s at %s: client gets %v", id, g.Name, a)
		time.Sleep(again)
	}
	close(stop)
	clients.Wait()
	for _, g := range gateways {
		for _, line := range g.Log("request quarantined") {
			w.Logf("%s: %s", g.Name, line)
		}
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
	w.Logf("of %d requests for popular lots %d were served whole and %d refused with 422", total.Load(), served.Load(), refused.Load())
	w.Logf("the request that crashes engines reached them %d times, %d of them later than stable-ms after the third crash; BUDGET allows 3", len(reached), late)
	return late <= 3, nil
}
