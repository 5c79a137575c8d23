package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// refused: one of seven replicas fails a part of its requests after it has run them: it
// answers 503, without the header that states that it has not run them. A client must not
// be told by a 503 that its request has not run.
func refused(w *World) (bool, error) {
	const (
		replicas  = 7
		failShare = 0.4 // of the requests at the grey replica
		work      = 15 * time.Millisecond
		greyFor   = 6500 * time.Millisecond
	)
	var greyFrom time.Time // the replica is grey for greyFor from then on
	var mu sync.Mutex
	ran := map[string]int{}      // runs by request id
	reserved := map[string]int{} // runs by bid, which a client may send several times
	var grey, greySent atomic.Int64
	for i := range replicas {
		r := &Replica{ID: fmt.Sprintf("i-d%d", i), Service: "desk", Zone: fmt.Sprintf("z%d", i%3+1), Version: "v1", Slots: 6}
		r.Handler = func(x *Exchange) {
			time.Sleep(work)
			mu.Lock()
			ran[x.ID]++
			reserved[string(x.Body)]++
			mu.Unlock()
			w.Logf("replica %s runs %s, %s", r.ID, x.ID, x.Body)
			if at := time.Since(greyFrom); w.Trouble && i == 0 && at > 0 && at < greyFor {
				if n := grey.Add(1); float64(greySent.Load()) < failShare*float64(n) {
					greySent.Add(1)
					w.Logf("replica %s has run %s and answers 503, not saying that it has not run", r.ID, x.ID)
					x.Answer(503, "the notifier is down")
					return
				}
			}
			x.Answer(200, "reserved "+string(x.Body))
		}
		if err := r.Start(w.Store, fmt.Sprintf("127.0.3.%d", i+1)); err != nil {
			return false, err
		}
	}
	w.Store.PutJSON("op", "config", object{"version": 1, "services": []object{plainService("desk")}, "limits": limits,
		"routes":  []object{{"name": "bid", "host": "case.example", "prefix": "/bid/", "kind": "non_idempotent", "timeout-ms": 600, "target-latency-ms": 100, "priority": 2, "service": "desk", "max-attempts": 1, "public": false}},
		"tenants": []object{{"name": "t1", "api-keys": []string{"key1"}, "prepaid": 3000000}}})
	var gateways []*Process
	for i := 1; i <= 2; i++ {
		g, err := w.Gateway(fmt.Sprintf("front-z%d-1", i), fmt.Sprintf("z%d", i), fmt.Sprintf("127.0.1.%d", i))
		if err != nil {
			return false, err
		}
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(2 * time.Second)
	greyFrom = time.Now().Add(3 * time.Second)
	// Clients: 20 bids a second for 15 s. After a promise that the request has not run (429,
	// 503) a client sends it once more, as a new request, as the pages say.
	var broken atomic.Int64
	var clients sync.WaitGroup
	for n := range 300 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			bid := fmt.Sprintf("bid-%03d", n)
			for try := range 2 {
				id := fmt.Sprintf("r-%03d-%d", n, try+1)
				g := gateways[(n+try)%2]
				request := append(head("POST", "/bid/7/", "Tarragonridge-Request-Id", id, "Tarragonridge-Deadline-Ms", "600", "Authorization", "Bearer key1", "Content-Length", fmt.Sprint(len(bid))), bid...)
				w.Logf("%s %s is sent to %s", id, bid, g.Name)
				a := call(g.Callers, request, "POST", 2*time.Second)
				w.Logf("%s %s at %s: client gets %v", id, bid, g.Name, a)
				promise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
				mu.Lock()
				if promise && ran[id] > 0 {
					w.Logf("%s: was answered %d and has run", id, a.status)
					broken.Add(1)
				}
				mu.Unlock()
				if !promise {
					return
				}
			}
		})
	}
	clients.Wait()
	twice := 0
	for bid, n := range reserved {
		if n > 1 {
			w.Logf("%s was reserved %d times", bid, n)
			twice++
		}
	}
	w.Logf("%d requests that are not idempotent were answered 429 or 503 and have run; %d bids were reserved twice", broken.Load(), twice)
	return broken.Load() == 0, nil
}
