package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// quarantine: callers of a tenant ask for the tag of a popular lot again and again, which
// is always served. Then three of seven engines crash, one after the other, for a reason
// that has nothing to do with the requests. The tag must still be served.
func quarantine(w *World) (bool, error) {
	const (
		engines  = 7
		down     = 4500 * time.Millisecond
		events   = 20
		gap      = 200 * time.Millisecond
		perS     = 24
		hotShare = 0.28
	)
	var running [engines]atomic.Int64 // streams for the popular lot
	var start func(i, incarnation int) error
	replicas := make([]*Replica, engines)
	start = func(i, incarnation int) error {
		replicas[i] = &Replica{ID: fmt.Sprintf("i-e%d.%d", i, incarnation), Service: "writers", Zone: fmt.Sprintf("z%d", i%3+1), Version: "v1", Slots: 64, Engine: true,
			Handler: func(x *Exchange) {
				w.Logf("engine %s runs %s, %s", x.Replica.ID, x.ID, x.Body)
				if string(x.Body) == "tag of lot 17" {
					running[i].Add(1)
					defer running[i].Add(-1)
				}
				x.Stream(events, gap)
			}}
		return replicas[i].Start(w.Store, fmt.Sprintf("127.0.2.%d", i+1))
	}
	for i := range engines {
		if err := start(i, 1); err != nil {
			return false, err
		}
		if err := w.Relay(fmt.Sprintf("side-z%d-%d", i%3+1, i), fmt.Sprintf("z%d", i%3+1), fmt.Sprintf("127.0.2.%d", i+1)); err != nil {
			return false, err
		}
	}
	w.Store.PutJSON("op", "config", object{"version": 1, "services": []object{engineService("writers")}, "limits": limits, "routes": []object{tagRoute},
		"tenants": []object{{"name": "t1", "api-keys": []string{"key1"}, "prepaid": 30000000}}})
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

	var mu sync.Mutex
	counts := map[string]map[string]int{} // by phase, lot and status
	phase := "before the crashes"
	var total, denied, servedHot atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perS):
			}
			lot, hot := 100+n, rand.Float64() < hotShare
			if hot {
				lot = 17
			}
			mu.Lock()
			in := phase
			mu.Unlock()
			clients.Go(func() {
				id, g := fmt.Sprintf("r-%05d", n), gateways[rand.IntN(len(gateways))]
				w.Logf("%s for lot %d is sent to %s", id, lot, g.Name)
				a := stream(g, id, fmt.Sprintf("/tag/%d/", lot), fmt.Sprintf("tag of lot %d", lot), "key1", fmt.Sprintf("e4%05d:543", lot), 15*time.Second)
				w.Logf("%s for lot %d at %s: %v", id, lot, g.Name, a)
				total.Add(1)
				if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
					denied.Add(1)
				}
				whole := a.status == 200 && a.err == nil
				if whole && hot {
					servedHot.Add(1)
				}
				what := fmt.Sprint(a.status)
				if a.status == 200 && !whole {
					what = "broken off"
				}
				if hot {
					what = "popular lot: " + what
				}
				mu.Lock()
				if counts[in] == nil {
					counts[in] = map[string]int{}
				}
				counts[in][what]++
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
	time.Sleep(8 * time.Second)
	setPhase("crashes")
	for i := range 3 {
		if w.Trouble {
			w.Logf("engine %s crashes with %d streams for the popular lot in flight; %d were served whole before", replicas[i].ID, running[i].Load(), servedHot.Load())
			replicas[i].Crash()
		}
		time.Sleep(down)
		if w.Trouble {
			w.Store.Remove("servers", replicas[i].ID)
			if err := start(i, 2); err != nil {
				return false, err
			}
			w.Logf("engine %s is back", replicas[i].ID)
		}
		time.Sleep(2 * time.Second)
	}
	setPhase("all engines are well again")
	time.Sleep(10 * time.Second)
	close(stop)
	clients.Wait()
	for _, name := range []string{"before the crashes", "crashes", "all engines are well again"} {
		w.Logf("%s: answers %v", name, counts[name])
	}
	for _, g := range gateways {
		for _, line := range g.Log("request quarantined") {
			w.Logf("%s: %s", g.Name, line)
		}
	}
	bound := 5 + total.Load()/500
	w.Logf("%d of %d requests got a 3xx or 4xx of the gateway's own; DENIED allows %d", denied.Load(), total.Load(), bound)
	return denied.Load() <= bound, nil
}
